package gate

import (
	"context"
	"errors"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
)

var errLeaseExpired = errors.New("the lease ended while the request was running")

// scheduleRecheck checks the request again and again until its context ends.
func (c *call) scheduleRecheck(ctx context.Context) {
	time.AfterFunc(c.recheckDelay(), func() {
		if ctx.Err() != nil {
			return
		}
		c.recheck()
		c.scheduleRecheck(ctx)
	})
}

// recheckDelay ends at the end of the lease if that comes before the regular check.
func (c *call) recheckDelay() time.Duration {
	left := c.gate.cfg.Lease.End().Sub(c.gate.cfg.Clock.Now())
	if left <= 0 {
		return recheckInterval
	}
	return min(left, recheckInterval)
}

// recheck ends a request that may not be passed to the target any more, or may not go on running there. It excludes
// start, so that a planned handover never cancels a request that is running.
func (c *call) recheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dispatched {
		if refusal := c.gate.checkDispatch(c); refusal != nil {
			c.cancel(refusal)
		}
		return
	}
	if c.keyed && c.gate.checkLease() != nil {
		c.cancel(errLeaseExpired)
	}
}

// markDispatched notes that the request is passed to the target. It returns the refusal of a last check, or nil. A request
// whose identity is recorded and whose body is here goes on without its caller, so that a repeat gets the answer.
func (c *call) markDispatched(ctx context.Context) *answer.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return answer.Refuse(answer.Deadline, "the request ended before it was passed to the target")
	}
	if refusal := c.gate.checkDispatch(c); refusal != nil {
		return refusal
	}
	if c.record != nil && c.buffered && !c.detachCaller() {
		return answer.Refuse(answer.Deadline, "the caller left before the request was passed to the target")
	}
	c.dispatched = true
	return nil
}
