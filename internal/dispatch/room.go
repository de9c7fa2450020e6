package dispatch

import (
	"math"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// roomWidth is the length of one slice of the time ahead, and roomSlices the number of slices. Callers retry within a third of their
	// remaining time; the longest timeouts of the platform are a few seconds.
	roomWidth  = 50 * time.Millisecond
	roomSlices = 64
	// usualLoadTime and currentLoadTime are the time constants of the usual and of the current arriving work.
	usualLoadTime   = 20 * time.Second
	currentLoadTime = 300 * time.Millisecond
	// burstTime is the time constant with which the current load is expected to fall back to the usual one. Bursts last for one to a few
	// seconds.
	burstTime = time.Second
	// roomShare is the share of the slot time that is given out. At 0.9, 3 in 100 fewer late requests were answered in the simulation.
	roomShare = 1
	// retryJitter is the mean share by which the entrance extends a retry-after time, and retryLimit the share of its remaining time within
	// which a caller retries, less the greatest extension: a third by 1.25.
	retryJitter = 0.125
	retryLimit  = 0.26
)

// roomPlan finds times for retries at which slots are expected to be free, and reserves them. It performs no I/O and takes the time as an
// argument.
type roomPlan struct {
	// reserved is the slot time in seconds that callers were told to return for, by slice; next is the first slice that is not past.
	reserved [roomSlices]float64
	next     int64
	// usual and current are the work in slot seconds per second that arrives, updated at the given time.
	usual, current float64
	updatedAt      clock.Instant
	startedAt      clock.Instant
}

func sliceOf(t clock.Instant) int64 { return int64(t) / int64(roomWidth) }

// advance frees the reservations that are past and fades the loads.
func (p *roomPlan) advance(now clock.Instant) {
	first := sliceOf(now)
	for i := max(p.next, first-roomSlices); i < first; i++ {
		p.reserved[i%roomSlices] = 0
	}
	p.next = max(p.next, first)
	if p.startedAt == 0 {
		p.startedAt, p.updatedAt = now, now
	}
	if passed := now.Sub(p.updatedAt).Seconds(); passed > 0 {
		p.usual *= math.Exp(-passed / usualLoadTime.Seconds())
		p.current *= math.Exp(-passed / currentLoadTime.Seconds())
		p.updatedAt = now
	}
}

// arrive records work that arrives for the first time.
func (p *roomPlan) arrive(now clock.Instant, service float64) {
	p.advance(now)
	p.usual += service / usualLoadTime.Seconds()
	p.current += service / currentLoadTime.Seconds()
}

// expected returns the work per second that is expected to arrive at a time ahead.
func (p *roomPlan) expected(now clock.Instant, ahead time.Duration) float64 {
	// The average has not settled during the first usualLoadTime.
	usual := p.usual / (1 - math.Exp(-(now.Sub(p.startedAt)+currentLoadTime).Seconds()/usualLoadTime.Seconds()))
	return usual + (p.current-usual)*math.Exp(-ahead.Seconds()/burstTime.Seconds())
}

// reserve returns the time after which a caller may retry: the first with room for its work from earliest on, or 0 if there is none within
// the limit. What waits now has started by then: admission bounds its wait by the objective.
func (p *roomPlan) reserve(now clock.Instant, slots int, service float64, earliest, limit time.Duration) time.Duration {
	p.advance(now)
	capacity := roomShare * float64(slots)
	for i := range int64(roomSlices) {
		ahead := time.Duration(i) * roomWidth
		if ahead > seconds(limit.Seconds()*(1+retryJitter)) {
			return 0
		}
		slice := &p.reserved[(p.next+i)%roomSlices]
		room := (capacity-p.expected(now, ahead))*roomWidth.Seconds() - *slice
		if room <= 0 {
			continue
		}
		if after := seconds((ahead + roomWidth/2).Seconds() / (1 + retryJitter)); after >= earliest {
			*slice += service
			return after
		}
	}
	return 0
}

// retryTime returns the retry-after time of a refused request whose response would have missed the objective by the given time. If no room
// is found, it is the latest time at which the caller still retries: bursts outlast most callers, and one that does not retry is lost
// for certain. A cold target has its own rate, which the plan does not know.
func (c *Scheduler) retryTime(now clock.Instant, r *Request, late time.Duration) time.Duration {
	usual := retryAfter(late, r.Objective)
	limit := seconds(retryLimit * r.Deadline.Sub(now).Seconds())
	if c.fixedRetryAfter || limit <= usual || c.cold.isCold(now) {
		return usual
	}
	service := c.serviceTime(r)
	if after := c.room.reserve(now, c.slots, service, usual, limit); after > 0 {
		return after
	}
	return limit
}
