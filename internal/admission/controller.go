package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
)

// pollInterval is the interval at which waiting requests are checked even if no request arrives or ends, because
// the limit of a cold target rises with time.
const pollInterval = 20 * time.Millisecond

// retryAfter is the retry delay suggested to refused callers.
const retryAfter = time.Second

// Controller makes a Core safe for concurrent use.
type Controller struct {
	clock clock.Clock

	mu      sync.Mutex
	core    *Core
	results map[uint64]chan answer.Kind
	polling bool
	// incarnation counts restarts of the target. Outcomes from an earlier incarnation are inconclusive for the current one.
	incarnation int
}

// NewController returns a Controller for a target in cold start.
func NewController(clk clock.Clock, target TargetCapacity) *Controller {
	return &Controller{clock: clk, core: NewCore(clk.Now(), target), results: map[uint64]chan answer.Kind{}}
}

// Permit is the right to run one request.
type Permit struct {
	controller *Controller
	granted    clock.Instant
	// incarnation is the value of Controller.incarnation at the grant.
	incarnation int
	released    atomic.Bool
}

// Acquire waits until the request may run. The context must have a deadline.
func (c *Controller) Acquire(ctx context.Context, class Class) (*Permit, *answer.Refusal) {
	id, result := c.arrive(ctx, class)
	select {
	case kind := <-result:
		return c.permit(kind)
	case <-ctx.Done():
	}
	if c.cancel(id) {
		return nil, answer.Refuse(answer.Deadline, "the request waited for a free slot at the target until its deadline")
	}
	return c.permit(<-result) // The decision was made before the cancellation.
}

// arrive queues a request and returns the channel that receives its decision.
func (c *Controller) arrive(ctx context.Context, class Class) (uint64, <-chan answer.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	deadline := now.Add(maxWait)
	if end, ok := ctx.Deadline(); ok {
		deadline = now.Add(time.Until(end))
	}
	result := make(chan answer.Kind, 1)
	id, decisions := c.core.Arrive(now, class, deadline)
	c.results[id] = result
	c.deliver(decisions)
	c.startPolling()
	return id, result
}

// maxWait limits the wait of a request without a deadline. It is the highest permitted max_request.
const maxWait = 30 * time.Second

// deliver sends decisions to the waiting requests. It does not block, because each channel has a buffer for its
// only decision.
func (c *Controller) deliver(decisions []Decision) {
	for _, e := range decisions {
		c.results[e.RequestID] <- e.Refusal
		delete(c.results, e.RequestID)
	}
}

// permit returns a permit, or the refusal of the given kind.
func (c *Controller) permit(refusal answer.Kind) (*Permit, *answer.Refusal) {
	switch refusal {
	case "":
		c.mu.Lock()
		defer c.mu.Unlock()
		return &Permit{controller: c, granted: c.clock.Now(), incarnation: c.incarnation}, nil
	case answer.Cold:
		return nil, answer.Refuse(refusal, "the target is in cold start and its queue is full").WithRetryAfter(retryAfter)
	}
	return nil, answer.Refuse(refusal, "the request can't run at the target before its deadline").WithRetryAfter(retryAfter)
}

func (c *Controller) cancel(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.core.Cancel(id) {
		return false
	}
	delete(c.results, id)
	return true
}

// Release ends the run and frees its slot. Calls after the first have no effect.
func (p *Permit) Release(o Outcome) {
	if p.released.Swap(true) {
		return
	}
	c := p.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if p.incarnation != c.incarnation {
		o = Outcome{Result: Inconclusive}
	}
	c.deliver(c.core.Done(now, now.Sub(p.granted), o))
}

// Restart begins a cold start of a new incarnation of the target.
func (c *Controller) Restart(target TargetCapacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.incarnation++
	c.core.Restart(now, target)
	c.deliver(c.core.Poll(now))
}

// SetColdStart changes the cold start settings. It does not restart the ramp.
func (c *Controller) SetColdStart(cold ColdStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetColdStart(cold)
}

// ReportRunning handles the number of running requests that the target reports.
func (c *Controller) ReportRunning(running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.ReportRunning(c.clock.Now(), running)
}

// Stats returns the current state.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Stats(c.clock.Now())
}

// startPolling schedules polling for as long as requests wait.
func (c *Controller) startPolling() {
	if c.polling || len(c.results) == 0 {
		return
	}
	c.polling = true
	time.AfterFunc(pollInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.polling = false
		c.deliver(c.core.Poll(c.clock.Now()))
		c.startPolling()
	})
}

// BodyBudget limits the memory used by the bodies of waiting requests.
type BodyBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBodyBudget returns a budget of the given size.
func NewBodyBudget(bytes int64) *BodyBudget { return &BodyBudget{limit: bytes} }

// Reserve reserves n bytes. It returns false and reserves nothing if they would exceed the budget.
func (b *BodyBudget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release returns n bytes to the budget.
func (b *BodyBudget) Release(n int64) { b.used.Add(-n) }
