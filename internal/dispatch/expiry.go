package dispatch

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// minPollInterval bounds how often waiting requests are checked without an arrival or an end.
const minPollInterval = time.Millisecond

// refusalDue returns the time after which a waiting request is refused: it can't meet its objective any more, and it has waited for
// lateWaitDeadlineShare of its deadline, or, if it was late on arrival, for twice maxLateWait, or it can't meet its deadline.
func (c *Scheduler) refusalDue(t *Ticket) clock.Instant {
	service := seconds(c.serviceTime(&t.Request))
	limit := t.arrived.Add(time.Duration(lateWaitDeadlineShare * float64(t.Deadline.Sub(t.arrived))))
	if t.lateOnArrival {
		limit = t.arrived.Add(2 * t.maxLateWait()) // Twice the wait allowed on admission: requests that can be in time go first.
	}
	return max(t.SoftDeadline.Add(-service), min(limit, t.Deadline.Add(-service)))
}

// NextPoll returns the time after which Poll has to be called even if no request arrives or ends, or 0 if it need not. A refusal that
// waits for the next arrival or end would come after the caller's deadline.
func (c *Scheduler) NextPoll(now clock.Instant) time.Duration {
	next := c.nextStart(now)
	for k := range c.queue {
		for _, t := range c.queue[k] {
			due := max(c.refusalDue(t).Sub(now)+1, minPollInterval)
			if next == 0 || due < next {
				next = due
			}
		}
	}
	return next
}
