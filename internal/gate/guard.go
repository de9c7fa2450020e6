package gate

import (
	"context"
	"errors"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
)

var errLeaseExpired = errors.New("the lease expired while the request was running")

// scheduleRecheck rechecks the request periodically until its context ends.
func (c *call) scheduleRecheck(ctx context.Context) {
	time.AfterFunc(c.recheckDelay(), func() {
		if ctx.Err() != nil {
			return
		}
		c.recheck()
		c.scheduleRecheck(ctx)
	})
}

// recheckDelay returns the time until the next recheck: recheckInterval, or less if the lease expires earlier.
func (c *call) recheckDelay() time.Duration {
	left := c.gate.cfg.Lease.End().Sub(c.gate.cfg.Clock.Now())
	if left <= 0 {
		return recheckInterval
	}
	return min(left, recheckInterval)
}

// recheck cancels a request that may no longer be dispatched or, after the dispatch, whose lease has expired. It holds
// the same lock as markDispatched, so that a planned handover never cancels a request that is running.
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

// markDispatched runs the last check and marks the request as dispatched if it passes. A request with an idempotency
// record and a buffered body is detached from its caller: it completes even if the caller disconnects, so that a retry
// gets the stored response.
func (c *call) markDispatched(ctx context.Context) *answer.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return answer.Refuse(answer.Deadline, "the request was cancelled or timed out before it was sent to the target")
	}
	if refusal := c.gate.checkDispatch(c); refusal != nil {
		return refusal
	}
	if c.record != nil && c.buffered && !c.detachCaller() {
		return answer.Refuse(answer.Deadline, "the caller disconnected before the request was sent to the target")
	}
	c.dispatched = true
	return nil
}
