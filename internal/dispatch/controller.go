package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// Controller makes a Core usable from many goroutines.
type Controller struct {
	clock clock.Clock
	mu    sync.Mutex
	core  *Scheduler
	timer *time.Timer
	// probePace asks the target for its pace without blocking; the answer comes by Update. It may be nil.
	probePace func()
}

// NewController returns a controller for a target with so many slots. askPace asks the target for its pace without blocking, and
// the answer comes by Update; it is nil for targets that can't be asked.
func NewController(clk clock.Clock, slots int, probePace func()) *Controller {
	c := &Controller{clock: clk, core: NewScheduler(slots), probePace: probePace}
	c.timer = time.AfterFunc(time.Hour, c.poll)
	c.timer.Stop()
	return c
}

// Acquire waits until the request may run. It returns a refusal, or the context's error if the caller left; the
// request has not run then.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Ticket, *Refusal, error) {
	c.mu.Lock()
	t, refusal := c.core.Admit(c.clock.Now(), r)
	if refusal != nil {
		c.mu.Unlock()
		return nil, refusal, nil
	}
	c.notifyDecided()
	c.mu.Unlock()
	select {
	case <-t.decided:
	case <-ctx.Done():
		c.mu.Lock()
		waiting := c.core.Cancel(t)
		if !waiting && t.running {
			c.core.Done(c.clock.Now(), t, false)
			c.notifyDecided()
		}
		c.mu.Unlock()
		return nil, nil, context.Cause(ctx)
	}
	if t.refused != nil {
		return nil, t.refused, nil
	}
	return t, nil, nil
}

// Release ends a request that ran. pace is what the target stated with its answer, 0 if it did not.
func (c *Controller) Release(t *Ticket, measured bool, pace float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.core.ObservePace(now, pace)
	c.core.Done(now, t, measured)
	c.notifyDecided()
}

// Update changes the state of the core.
func (c *Controller) Update(change func(now clock.Instant, core *Scheduler)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.clock.Now(), c.core)
	c.notifyDecided()
}

// Stats returns the current state and the service times by route.
func (c *Controller) Stats() (Stats, map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Stats(c.clock.Now()), c.core.ServiceTimes()
}

// ExpectedDelay returns by how much longer than usual a request would take that arrives now. In a slow spell the target is asked for its
// pace, since nothing else may tell that the spell is over.
func (c *Controller) ExpectedDelay(r Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.core.pace.slowRemaining(now) > 0 {
		c.probe(now)
	}
	return c.core.ExpectedDelay(now, r)
}

func (c *Controller) probe(now clock.Instant) {
	if c.probePace != nil && c.core.BeginPaceProbe(now) {
		c.probePace()
	}
}

func (c *Controller) poll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyDecided()
}

// notifyDecided tells the tickets that were decided. The lock is held.
func (c *Controller) notifyDecided() {
	now := c.clock.Now()
	for _, t := range c.core.Poll(now) {
		close(t.decided)
	}
	if c.core.Deferring(now) {
		c.probe(now)
	}
	if d := c.core.NextPoll(now); d > 0 {
		c.timer.Reset(d)
	}
}
