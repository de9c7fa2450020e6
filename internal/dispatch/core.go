// Package dispatch decides when a request may run at the host's own target. The node is the only path to the target, so
// it knows exactly what runs there: a request is admitted if its answer is expected in time, waits by priority, and is
// otherwise refused at once with a time to come back. Core performs no I/O and takes the time as an argument;
// Controller makes it usable from many goroutines.
package dispatch

import (
	"maps"
	"math"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// serviceTimeWeight is the weight of one answer in the mean service time: about the last 25 answers count.
	serviceTimeWeight = 0.04
	// priorityShareWeight is the weight of one start in the shares of the classes: about the last 50 starts count.
	priorityShareWeight = 0.02
	// maxHigherPriorityShare bounds the share of the slots that a class is expected to lose to more urgent ones.
	maxHigherPriorityShare = 0.9
	// defaultServiceShare is the service time that is assumed before the first answer, as a share of the latency objective.
	defaultServiceShare = 0.3
	// coldHeadroom is how far above its stated rate a cold target is used. The platform's rules bear 1.5.
	coldHeadroom = 1.2
	// defaultColdRate is the rate before the configuration is known; the platform's services bear 16 and more.
	defaultColdRate = 10
	// coldBurst is how many requests a cold target may get at once.
	coldBurst = 3
	// minRetryAfterShare and maxReturn bound the time after which a refused caller may come back, as shares of the objective.
	// Sooner the queue that refused it is still there, later its answer would hardly be in time for its deadline.
	minRetryAfterShare = 0.5
	maxRetryAfterShare = 1
	// priorityClasses is the number of priorities that are told apart; higher numbers share the last one.
	priorityClasses = 8
	// serviceTimeMargin is the part of the service time that is added to it, because half of the answers take longer than the mean.
	serviceTimeMargin = 0.25
	// lateWaitDeadlineShare is the part of its deadline that a request which has missed its objective may wait for.
	lateWaitDeadlineShare = 0.6
	// lateWaitObjectiveShare is the part of its objective that a request may wait which misses its objective in any case. It goes after all that
	// can still be in time, so that it is served where there is room, and refused at once where there is none.
	lateWaitObjectiveShare = 0.25
	// paceProbeInterval is how often the pace of a slow target is asked for while requests wait for its spell to end.
	paceProbeInterval = 50 * time.Millisecond
)

// Request is a request that asks to run.
type Request struct {
	Route string
	// Priority is the rank; 0 is the highest.
	Priority int
	// Objective is the latency objective of the route.
	Objective time.Duration
	// SoftDeadline is when the answer is due to meet the objective.
	SoftDeadline clock.Instant
	// Deadline is when nobody waits for the answer any more.
	Deadline clock.Instant
}

// Ticket is a request that waits or runs.
type Ticket struct {
	Request
	arrived clock.Instant
	// decided is closed by the controller when refusal and Started are final.
	decided chan struct{}
	// lateOnArrival says that it missed its objective already when it arrived.
	lateOnArrival bool
	started       clock.Instant
	// slowdown is how many times longer than usual work took when it started.
	slowdown float64
	running  bool
	refused  *Refusal
}

// Refusal returns why a decided ticket does not run, or nil if it runs.
func (t *Ticket) Refusal() *Refusal { return t.refused }

// Refusal says why a request does not run, and when the caller may come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedLatency is when the answer would have been there, counted from the arrival.
	ExpectedLatency time.Duration
}

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	Overload Reason = "overload"
	Cold     Reason = "cold"
	Late     Reason = "late"
)

// Scheduler is the state machine. It is not safe for concurrent use.
type Scheduler struct {
	slots   int
	running int
	queue   [priorityClasses][]*Ticket
	waiting int
	// serviceTimes holds the service time of each route at the usual pace, mean the one of all at the pace that they had.
	serviceTimes    map[string]float64
	meanServiceTime float64
	pace            paceTracker
	// probedAt is when the pace was last probedAt for.
	probedAt clock.Instant
	// higherPriorityShare is, by class, the share of the latest starts that went to more urgent classes: a waiting request
	// gets only the rest of the slots.
	higherPriorityShare [priorityClasses]float64

	coldUntil  clock.Instant
	coldRate   float64
	tokens     float64
	refilledAt clock.Instant
}

// NewScheduler returns the state for a target with so many slots.
func NewScheduler(slots int) *Scheduler {
	return &Scheduler{slots: max(1, slots), serviceTimes: map[string]float64{}, coldRate: defaultColdRate}
}

// SetSlots changes the number of slots.
func (c *Scheduler) SetSlots(slots int) { c.slots = max(1, slots) }

// SetColdUntil says until when the target is cold.
func (c *Scheduler) SetColdUntil(now, until clock.Instant) {
	if now >= c.coldUntil && until > now {
		c.tokens, c.refilledAt = coldBurst, now
	}
	c.coldUntil = until
}

// SetColdRate says how many requests a second the target bears while it is cold. Before the first call it gets
// unknownColdRate.
func (c *Scheduler) SetColdRate(perSecond float64) { c.coldRate = perSecond * coldHeadroom }

func priorityClass(priority int) int { return min(max(priority, 0), priorityClasses-1) }

// serviceTime returns the expected serviceTime time of a request in seconds.
func (c *Scheduler) serviceTime(r *Request) float64 {
	if t, ok := c.serviceTimes[r.Route]; ok {
		return t
	}
	return defaultServiceShare * r.Objective.Seconds()
}

// Admit admits or refuses a request. An admitted one starts in this or a later Poll.
func (c *Scheduler) Admit(now clock.Instant, r Request) (*Ticket, *Refusal) {
	service := c.serviceTime(&r)
	wait, reason := c.expectedWait(now, &r, service)
	if deferral := c.deferFor(now, &r); deferral > 0 {
		wait = max(wait, deferral)
	} else if wait == 0 {
		service *= c.pace.slowdown(now)
	}
	finish := now.Add(seconds(wait + service))
	late := now.Add(seconds(service)) > r.SoftDeadline && finish <= r.Deadline && seconds(wait) <= r.maxLateWait()
	if overrun := finish.Add(seconds(serviceTimeMargin * service)).Sub(r.SoftDeadline); overrun > 0 && !late && (wait > 0 || finish > r.Deadline) {
		return nil, &Refusal{Reason: reason, RetryAfter: retryAfter(overrun, r.Objective), ExpectedLatency: finish.Sub(now)}
	}
	t := &Ticket{Request: r, arrived: now, lateOnArrival: late, decided: make(chan struct{})}
	k := priorityClass(r.Priority)
	c.queue[k] = append(c.queue[k], t)
	c.waiting++
	return t, nil
}

// ObservePace takes the pace that the target states: how long work takes at this moment, in any unit that stays the same.
func (c *Scheduler) ObservePace(now clock.Instant, pace float64) { c.pace.observe(now, pace) }

// ExpectedDelay returns by how much longer than at an idle target of its usual pace a request would take that arrives now: it waits for
// others, or the target is slowed by its neighbours at this moment.
func (c *Scheduler) ExpectedDelay(now clock.Instant, r Request) time.Duration {
	service := c.serviceTime(&r)
	wait, _ := c.expectedWait(now, &r, service)
	if c.pace.slowRemaining(now) > 0 {
		wait += (c.pace.slowdown(now) - 1) * service
	}
	return seconds(wait)
}

// deferFor returns for how many seconds the request had better wait for the end of a slow spell, 0 if it is answered sooner without.
func (c *Scheduler) deferFor(now clock.Instant, r *Request) float64 {
	rest := c.pace.slowRemaining(now).Seconds()
	if rest > 0 && (c.pace.slowdown(now)-1)*c.serviceTime(r) > rest {
		return rest
	}
	return 0
}

// Deferring reports whether requests wait for the end of a slow spell although a slot is free.
func (c *Scheduler) Deferring(now clock.Instant) bool {
	return c.waiting > 0 && c.running < c.slots && c.pace.slow && c.coldAllows(now)
}

// BeginPaceProbe reports whether the target is to be asked for its pace, because something waits for the end of a slow spell and the
// last statement is old. It is then taken as asked.
func (c *Scheduler) BeginPaceProbe(now clock.Instant) bool {
	if now.Sub(c.pace.observedAt) < paceProbeInterval || now.Sub(c.probedAt) < paceProbeInterval {
		return false
	}
	c.probedAt = now
	return true
}

func (r *Request) maxLateWait() time.Duration {
	return seconds(lateWaitObjectiveShare * r.Objective.Seconds())
}

// retryAfter returns when a caller may come back whose answer would have been late by so much.
func retryAfter(late, objective time.Duration) time.Duration {
	return min(max(late, seconds(minRetryAfterShare*objective.Seconds())), seconds(maxRetryAfterShare*objective.Seconds()))
}

// expectedWait returns the time in seconds until the request would start.
func (c *Scheduler) expectedWait(now clock.Instant, r *Request, service float64) (float64, Reason) {
	ahead := 0
	for k := 0; k <= priorityClass(r.Priority); k++ {
		ahead += len(c.queue[k])
	}
	wait, reason := 0.0, Overload
	if excess := ahead + 1 + c.running - c.slots; excess > 0 {
		mean := c.meanServiceTime
		if mean == 0 {
			mean = service
		}
		wait = float64(excess) * mean / (float64(c.slots) * (1 - min(c.higherPriorityShare[priorityClass(r.Priority)], maxHigherPriorityShare)))
	}
	if now < c.coldUntil && c.coldRate > 0 {
		c.refill(now)
		if coldWait := (float64(ahead) + 1 - c.tokens) / c.coldRate; coldWait > wait {
			wait, reason = coldWait, Cold
		}
	}
	return wait, reason
}

func (c *Scheduler) refill(now clock.Instant) {
	c.tokens = min(coldBurst, c.tokens+c.coldRate*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
}

// Poll starts what may run and refuses what can't meet its deadline any more. It returns the tickets that it decided.
func (c *Scheduler) Poll(now clock.Instant) []*Ticket {
	var decided []*Ticket
	for c.waiting > 0 {
		if refused := c.refuseLate(now); refused != nil {
			decided = append(decided, refused)
			continue
		}
		if c.running >= c.slots || !c.coldAllows(now) {
			break
		}
		t := c.takeNext(now)
		if t == nil {
			break
		}
		t.started, t.running, t.slowdown = now, true, c.pace.slowdown(now)
		c.running++
		c.recordStart(priorityClass(t.Priority))
		if now < c.coldUntil {
			c.tokens--
		}
		decided = append(decided, t)
	}
	return decided
}

// recordStart records to which class a start went.
func (c *Scheduler) recordStart(started int) {
	for k := range c.higherPriorityShare {
		sample := 0.0
		if started < k {
			sample = 1
		}
		c.higherPriorityShare[k] += priorityShareWeight * (sample - c.higherPriorityShare[k])
	}
}

func (c *Scheduler) coldAllows(now clock.Instant) bool {
	if now >= c.coldUntil || c.coldRate <= 0 {
		return true
	}
	c.refill(now)
	return c.tokens >= 1
}

// NextPoll returns after which time Poll has something to do although nothing arrives or ends, or 0.
func (c *Scheduler) NextPoll(now clock.Instant) time.Duration {
	if c.waiting == 0 || c.running >= c.slots {
		return 0
	}
	if c.Deferring(now) {
		return paceProbeInterval
	}
	if c.coldAllows(now) {
		return 0
	}
	return max(time.Millisecond, seconds((1-c.tokens)/c.coldRate))
}

// refuseLate removes a request that can't be answered within lateShare of its deadline, or that was late from the start and did not
// find room.
func (c *Scheduler) refuseLate(now clock.Instant) *Ticket {
	for k := range c.queue {
		for i, t := range c.queue[k] {
			if now.Add(seconds(c.serviceTime(&t.Request))) <= t.SoftDeadline {
				continue
			}
			limit := t.arrived.Add(time.Duration(lateWaitDeadlineShare * float64(t.Deadline.Sub(t.arrived))))
			if t.lateOnArrival {
				limit = t.arrived.Add(2 * t.maxLateWait()) // Others went first; twice the expected wait is over.
			}
			if now > limit || now.Add(seconds(c.serviceTime(&t.Request))) > t.Deadline {
				c.remove(k, i)
				t.refused = &Refusal{Reason: Late, RetryAfter: retryAfter(0, t.Objective), ExpectedLatency: now.Sub(t.arrived)}
				return t
			}
		}
	}
	return nil
}

// takeNext removes the request to run: by class, those that still meet their objective first. Requests that are answered sooner
// after a slow spell wait.
func (c *Scheduler) takeNext(now clock.Instant) *Ticket {
	for _, inTime := range []bool{true, false} {
		for k := range c.queue {
			for i, t := range c.queue[k] {
				if c.deferFor(now, &t.Request) > 0 {
					continue
				}
				if !inTime || now.Add(seconds(c.serviceTime(&t.Request))) <= t.SoftDeadline {
					c.remove(k, i)
					return t
				}
			}
		}
	}
	return nil
}

func (c *Scheduler) remove(k, i int) {
	c.queue[k] = append(c.queue[k][:i:i], c.queue[k][i+1:]...)
	c.waiting--
}

// Cancel removes a waiting request. It returns false if the request does not wait any more.
func (c *Scheduler) Cancel(t *Ticket) bool {
	k := priorityClass(t.Priority)
	for i, other := range c.queue[k] {
		if other == t {
			c.remove(k, i)
			return true
		}
	}
	return false
}

// Done ends a running request. measured says that the time it ran is the service time of the target.
func (c *Scheduler) Done(now clock.Instant, t *Ticket, measured bool) {
	c.running = max(0, c.running-1)
	if !measured {
		return
	}
	took := now.Sub(t.started).Seconds()
	c.serviceTimes[t.Route] = movingAverage(c.serviceTimes[t.Route], took/t.slowdown)
	c.meanServiceTime = movingAverage(c.meanServiceTime, took)
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + serviceTimeWeight*(sample-old)
}

// Stats describes the state.
type Stats struct {
	Slots, Running, Waiting int
	// MeanServiceTime is the mean service time in seconds, 0 if unknown.
	MeanServiceTime float64
	// Slowdown is how many times longer than usual work takes at this moment, 1 if that is not known.
	Slowdown float64
}

// Stats returns the current state.
func (c *Scheduler) Stats(now clock.Instant) Stats {
	return Stats{c.slots, c.running, c.waiting, c.meanServiceTime, c.pace.slowdown(now)}
}

// ServiceTimes returns the mean service time of each route in seconds.
func (c *Scheduler) ServiceTimes() map[string]float64 {
	times := make(map[string]float64, len(c.serviceTimes))
	for route, t := range c.serviceTimes {
		times[route] = math.Round(t*1e4) / 1e4
	}
	return times
}

// RetainRoutes forgets the routes that are not in the set, so that the state does not grow with configurations.
func (c *Scheduler) RetainRoutes(routes map[string]bool) { retainRoutes(c.serviceTimes, routes) }

func retainRoutes(known map[string]float64, routes map[string]bool) {
	maps.DeleteFunc(known, func(route string, _ float64) bool { return !routes[route] })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
