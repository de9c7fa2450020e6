package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// Controller makes a Scheduler safe for concurrent use.
type Controller struct {
	clock     clock.Clock
	mu        sync.Mutex
	scheduler *Scheduler
	timer     *time.Timer
	// probe sends a probe of its pace and its cold period to the target without blocking; the result arrives through
	// Update. It may be nil.
	probe func()
}

// NewController returns a controller for a target with the given number of slots. probe sends a probe of its pace and its
// cold period to the target without blocking, and the result arrives through Update; it is nil for targets that can't be
// probed.
func NewController(clk clock.Clock, slots int, probe func()) *Controller {
	c := &Controller{clock: clk, scheduler: NewScheduler(slots), probe: probe}
	c.timer = time.AfterFunc(time.Hour, c.poll)
	c.timer.Stop()
	return c
}

// Acquire blocks until the request may run. It returns a refusal, or the cause of the context's cancellation if the
// caller left; in both cases the request has not run.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Ticket, *Refusal, error) {
	c.mu.Lock()
	t, refusal := c.scheduler.Admit(c.clock.Now(), r)
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
		waiting := c.scheduler.Cancel(t)
		if !waiting && t.running {
			c.scheduler.Done(c.clock.Now(), t, false)
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

// Release ends a request that ran. pace is the pace that the target reported with its response, 0 if it reported none.
func (c *Controller) Release(t *Ticket, measured bool, pace float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.scheduler.ObservePace(now, pace)
	c.scheduler.Done(now, t, measured)
	c.notifyDecided()
}

// Update calls change with the scheduler while it holds the lock, and then starts the requests that may run.
func (c *Controller) Update(change func(now clock.Instant, scheduler *Scheduler)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.clock.Now(), c.scheduler)
	c.notifyDecided()
}

// Stats returns the current statistics and the mean service time of each route in seconds.
func (c *Controller) Stats() (Stats, map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Stats(c.clock.Now()), c.scheduler.ServiceTimes()
}

// ColdRemaining returns for how long the target stays cold.
func (c *Controller) ColdRemaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.ColdRemaining(c.clock.Now())
}

// ExpectedDelay returns how much longer than on an idle target at its baseline pace a request would take that arrives
// now. During a slow period it also probes the target's pace, because no other event may report that the period is
// over.
func (c *Controller) ExpectedDelay(r Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.scheduler.pace.slowRemaining(now) > 0 {
		c.probePace(now)
	}
	return c.scheduler.ExpectedDelay(now, r)
}

func (c *Controller) probePace(now clock.Instant) {
	if c.probe != nil && c.scheduler.BeginPaceProbe(now) {
		c.probe()
	}
}

func (c *Controller) poll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyDecided()
}

// notifyDecided polls the scheduler, wakes the callers of the decided tickets and arms the timer for the next poll. The
// caller holds the lock.
func (c *Controller) notifyDecided() {
	now := c.clock.Now()
	for _, t := range c.scheduler.Poll(now) {
		close(t.decided)
	}
	if c.scheduler.Deferring(now) {
		c.probePace(now)
	}
	if c.probe != nil && c.scheduler.BeginColdProbe(now) {
		c.probe()
	}
	if d := c.scheduler.NextPoll(now); d > 0 {
		c.timer.Reset(d)
	}
}
