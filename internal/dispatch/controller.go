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
	core  *Core
	timer *time.Timer
}

// NewController returns a controller for a target with so many slots.
func NewController(clk clock.Clock, slots int) *Controller {
	c := &Controller{clock: clk, core: NewCore(slots)}
	c.timer = time.AfterFunc(time.Hour, c.poll)
	c.timer.Stop()
	return c
}

// Acquire waits until the request may run. It returns a refusal, or the context's error if the caller left; the
// request has not run then.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Ticket, *Refusal, error) {
	c.mu.Lock()
	t, refusal := c.core.Arrive(c.clock.Now(), r)
	if refusal != nil {
		c.mu.Unlock()
		return nil, refusal, nil
	}
	c.advance()
	c.mu.Unlock()
	select {
	case <-t.decided:
	case <-ctx.Done():
		c.mu.Lock()
		waiting := c.core.Cancel(t)
		if !waiting && t.running {
			c.core.Done(c.clock.Now(), t, false)
			c.advance()
		}
		c.mu.Unlock()
		return nil, nil, context.Cause(ctx)
	}
	if t.refused != nil {
		return nil, t.refused, nil
	}
	return t, nil, nil
}

// Release ends a request that ran.
func (c *Controller) Release(t *Ticket, measured bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Done(c.clock.Now(), t, measured)
	c.advance()
}

// Update changes the state of the core.
func (c *Controller) Update(change func(now clock.Instant, core *Core)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.clock.Now(), c.core)
	c.advance()
}

// Stats returns the current state and the service times by route.
func (c *Controller) Stats() (Stats, map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Stats(), c.core.Times()
}

func (c *Controller) poll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
}

// advance tells the tickets that were decided. The lock is held.
func (c *Controller) advance() {
	now := c.clock.Now()
	for _, t := range c.core.Poll(now) {
		close(t.decided)
	}
	if d := c.core.Wake(now); d > 0 {
		c.timer.Reset(d)
	}
}
