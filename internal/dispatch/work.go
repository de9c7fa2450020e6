package dispatch

import (
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cost"
)

const (
	// minRemainderShare is the least expected remainder of a running request, as a share of its service time, so that one
	// request about to end does not make the wait for a slot look like zero.
	minRemainderShare = 0.05
	// maxAdmissionShare is the share of the objective above which a predicted service time does not count against a request,
	// unless the mean of its route is longer. Without this limit large requests starve: of those of the simulated load "heavy
	// tail, explained" at 1.2 times the capacity 0.13 were served, 0.23 with 0.5 and 0.61 with 0.3.
	maxAdmissionShare = 0.3
	// overtakeRatio is the share of the service time of a waiting request below which a later one may start before it.
	overtakeRatio = 0.5
	// maxOvertakenShare is the share of its objective after which a waiting request is no longer overtaken.
	maxOvertakenShare = 0.25
)

// CostModel predicts service times, normalised to the baseline pace of the target. *cost.Predictor implements it.
type CostModel interface {
	Predict(f *cost.Features) cost.Estimate
	// Remaining returns the expected remainder of a request with the expected service time that has run for elapsed
	// seconds.
	Remaining(f *cost.Features, expected, elapsed float64) float64
	Observe(f *cost.Features, took float64)
	ObserveCensored(f *cost.Features, took float64)
	RetainRoutes(routes map[string]bool)
}

// workTracker tracks the running requests, whose remainders are expected from a cost model. Without a model it tracks
// nothing.
type workTracker struct {
	costs   CostModel
	running []*Ticket
}

// SetCostModel makes the scheduler use the model. It must be called before the first request.
func (c *Scheduler) SetCostModel(m CostModel) { c.work.costs = m }

// predict sets the request's estimate.
func (w *workTracker) predict(r *Request) {
	if w.costs != nil && !r.estimate.Known {
		r.estimate = w.costs.Predict(&r.Features)
	}
}

func (w *workTracker) start(t *Ticket) {
	if w.costs != nil {
		w.running = append(w.running, t)
	}
}

// end removes a request that ended and learns its cost. measured says that it ended by itself.
func (w *workTracker) end(now clock.Instant, t *Ticket, measured bool) {
	if w.costs == nil {
		return
	}
	for i, other := range w.running {
		if other == t {
			last := len(w.running) - 1
			w.running[i], w.running[last] = w.running[last], nil
			w.running = w.running[:last]
			break
		}
	}
	took := now.Sub(t.started).Seconds() / t.slowdown
	switch {
	case t.startedCold:
	case measured:
		w.costs.Observe(&t.Features, took)
	default:
		w.costs.ObserveCensored(&t.Features, took)
	}
}

// admissionTime returns the service time in seconds by which the request is admitted and ordered, given the mean of its
// route.
func (r *Request) admissionTime(mean float64) float64 {
	if !r.estimate.Known {
		return mean
	}
	return min(r.estimate.Mean, max(mean, maxAdmissionShare*r.Objective.Seconds()))
}

// expectedCost returns the expected service time of the request in seconds.
func (c *Scheduler) expectedCost(r *Request) float64 {
	if r.estimate.Known {
		return r.estimate.Mean
	}
	return c.serviceTime(r)
}

// remaining returns the expected remainder of a running request in seconds.
func (c *Scheduler) remaining(now clock.Instant, t *Ticket) float64 {
	expected := c.expectedCost(&t.Request)
	elapsed := now.Sub(t.started).Seconds() / t.slowdown
	return t.slowdown * max(minRemainderShare*expected, c.work.costs.Remaining(&t.Features, expected, elapsed))
}

// RemainingWork returns the expected time in seconds that the running and waiting requests will occupy slots, and whether
// it is known.
func (c *Scheduler) RemainingWork(now clock.Instant) (work float64, known bool) {
	if c.work.costs == nil {
		return 0, false
	}
	for _, t := range c.work.running {
		work += c.remaining(now, t)
	}
	slowdown := c.pace.slowdown(now)
	for k := range c.queue {
		for _, t := range c.queue[k] {
			work += slowdown * c.expectedCost(&t.Request)
		}
	}
	return work, true
}

// waitForSlot returns the expected time in seconds until all slots have been occupied by the requests ahead and one more
// is free. It may be called only while all slots are occupied. Slots become free at the sum of the rates at which
// the running requests end: a few long ones delay the next start little, and many of them a lot, which the mean service time
// does not show. The rate is not believed to be higher than the mean says: costs that vary little end later than their
// mean remainders suggest, and requests admitted for that reason were late in the simulation.
func (c *Scheduler) waitForSlot(now clock.Instant, priorityClass, ahead int, mean float64) float64 {
	rate, running := 0.0, 0
	for _, t := range c.work.running {
		if r := c.remaining(now, t); r > 0 {
			rate += 1 / r
			running++
		}
	}
	first := mean / float64(c.slots)
	if running > 0 {
		first = max(first, 1/rate)
	}
	queued := float64(ahead) * mean
	for k := 0; k <= priorityClass; k++ {
		for _, t := range c.queue[k] {
			if t.estimate.Known {
				queued += t.estimate.Mean - mean
			}
		}
	}
	return first + max(0, queued)/float64(c.slots)
}

// overtaker returns the index of the request that starts instead of the i-th of the class: one that is expected to take less
// than half as long, so that small requests don't wait for large ones. The i-th is not overtaken once it has waited for a
// part of its objective or would be late. Only requests whose features explain their cost take part, and only those of the same
// tenant, since tenants start in turn.
func (c *Scheduler) overtaker(now clock.Instant, class, i int) int {
	queue := c.queue[class]
	first := queue[i]
	if !first.estimate.Known || now.Sub(first.arrived) > seconds(maxOvertakenShare*first.Objective.Seconds()) {
		return i
	}
	best, least := i, overtakeRatio*first.estimate.Mean
	slack := first.SoftDeadline.Sub(now) - seconds(first.estimate.High)
	for k := i + 1; k < len(queue); k++ {
		t := queue[k]
		if e := t.estimate; t.Tenant == first.Tenant && e.Known && e.Mean < least && seconds(e.High) <= slack && now.Add(seconds(e.Mean)) <= t.SoftDeadline && c.deferFor(now, &t.Request) == 0 {
			best, least = k, e.Mean
		}
	}
	return best
}
