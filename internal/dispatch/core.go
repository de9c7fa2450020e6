// Package dispatch decides when a request may run on the host's own target. The node is the only path to the target, so
// it knows exactly which requests run there. A request is admitted if its response is expected in time, and then waits
// by priority; otherwise it is refused at once with a retry-after time. Scheduler performs no I/O and takes the time as
// an argument; Controller makes it safe for concurrent use.
package dispatch

import (
	"maps"
	"math"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cost"
	"github.com/citronvane/citronvane/internal/tenant"
)

const (
	// serviceTimeWeight is the weight of one response in the moving average of the service time: about the last 25
	// responses count.
	serviceTimeWeight = 0.04
	// priorityShareWeight is the weight of one start in higherPriorityShare: about the last 50 starts count.
	priorityShareWeight = 0.02
	// maxHigherPriorityShare bounds the share of the slots that a class is expected to lose to higher priorities.
	maxHigherPriorityShare = 0.9
	// defaultServiceShare is the service time assumed before the first response, as a share of the latency objective.
	defaultServiceShare = 0.3
	// minRetryAfterShare and maxRetryAfterShare bound the retry-after time of a refusal, as shares of the latency
	// objective. Earlier, the queue that caused the refusal is still there; later, the response would hardly meet the
	// caller's deadline.
	minRetryAfterShare = 0.5
	maxRetryAfterShare = 1
	// priorityClasses is the number of distinct priorities; larger numbers share the last class.
	priorityClasses = tenant.Ranks
	// serviceTimeMargin is the share of the expected service time that is added to it, because half of the responses
	// take longer than the mean.
	serviceTimeMargin = 0.25
	// lateWaitDeadlineShare is the share of its deadline for which a request that has missed its objective may wait.
	lateWaitDeadlineShare = 0.6
	// lateWaitObjectiveShare is the share of its objective for which a request may wait that can't meet its objective
	// even if it starts at once. Such a request runs after all that can still meet theirs: it is served if there is
	// spare capacity and refused at once if there is none.
	lateWaitObjectiveShare = 0.25
	// paceProbeInterval is the interval of pace probes while requests wait for the end of a slow period.
	paceProbeInterval = 50 * time.Millisecond
)

// Request describes a request that asks for admission.
type Request struct {
	Route string
	// Tenant is the tenant whose request it is, "" if it has none. Tenants share the starts of a priority fairly.
	Tenant string
	// Priority is the priority; 0 is the highest.
	Priority int
	// Objective is the latency objective of the route.
	Objective time.Duration
	// SoftDeadline is the time by which the response is due to meet the objective.
	SoftDeadline clock.Instant
	// Deadline is the time after which the caller no longer waits for the response.
	Deadline clock.Instant
	// Features are what the cost model knows of the request.
	Features cost.Features
	estimate cost.Estimate
}

// Ticket is an admitted request, waiting or running.
type Ticket struct {
	Request
	arrived clock.Instant
	// decided is closed by the controller when the outcome is final: either the request is running or refused is set.
	decided chan struct{}
	// lateOnArrival says that the request could not meet its objective any more when it arrived.
	lateOnArrival bool
	started       clock.Instant
	// slowdown is the ratio of the current to the usual service time when the request started.
	slowdown float64
	// startedCold says that the target was cold when the request started.
	startedCold bool
	running     bool
	refused     *Refusal
}

// Refusal returns the refusal of a decided ticket, or nil if the request runs.
func (t *Ticket) Refusal() *Refusal { return t.refused }

// Refusal says why a request was refused and when the caller may retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedLatency is the expected time from the arrival of the request to its response; for requests refused after
	// waiting, it is the time that they waited.
	ExpectedLatency time.Duration
}

// Reason is the reason of a refusal.
type Reason string

// The reasons of a refusal.
const (
	Overload Reason = "overload"
	Cold     Reason = "cold"
	Late     Reason = "late"
)

// Scheduler is the state machine that admits, queues and starts the requests of one target. It is not safe for
// concurrent use.
type Scheduler struct {
	slots   int
	running int
	queue   [priorityClasses][]*Ticket
	fair    [priorityClasses]fairQueue
	waiting int
	// serviceTimes holds the mean service time of each route in seconds, normalised to the baseline pace.
	// meanServiceTime is the mean over all routes at the pace that the requests ran at.
	serviceTimes    map[string]float64
	meanServiceTime float64
	pace            paceTracker
	// probedAt is the time of the last pace probe.
	probedAt clock.Instant
	// higherPriorityShare holds, for each class, the share of recent starts that went to higher priorities: a waiting
	// request gets only the rest of the slots.
	higherPriorityShare [priorityClasses]float64

	cold coldPacer
	room roomPlan
	// fixedRetryAfter gives refused callers a time that depends on their own delay only, for comparisons.
	fixedRetryAfter bool
	work            workTracker
}

// NewScheduler returns a scheduler for a target with the given number of slots.
func NewScheduler(slots int) *Scheduler {
	return &Scheduler{slots: max(1, slots), serviceTimes: map[string]float64{}, cold: newColdPacer()}
}

// SetSlots changes the number of slots.
func (c *Scheduler) SetSlots(slots int) { c.slots = max(1, slots) }

// SetColdUntil sets the time until which the target is cold, as it reports it.
func (c *Scheduler) SetColdUntil(now, until clock.Instant) { c.cold.report(now, until) }

// ObserveColdProbe records the answer to a probe that was sent at the given time: for how long the target stays cold.
func (c *Scheduler) ObserveColdProbe(now, sent clock.Instant, remaining time.Duration) {
	c.cold.observeProbe(now, sent, remaining)
}

// ColdRemaining returns for how long the target stays cold.
func (c *Scheduler) ColdRemaining(now clock.Instant) time.Duration {
	return max(0, c.cold.until().Sub(now))
}

// ResetCold forgets the cold period of an earlier incarnation of the target.
func (c *Scheduler) ResetCold() { c.cold.reset() }

// SetColdRate sets the number of requests per second that a cold target sustains. Until the first call defaultColdRate
// applies.
func (c *Scheduler) SetColdRate(perSecond float64) { c.cold.setRate(perSecond) }

// BeginColdProbe reports whether the target should be probed now, because it has got more requests than it would bear if
// it had become cold. If so, the probe counts as sent.
func (c *Scheduler) BeginColdProbe(now clock.Instant) bool { return c.cold.beginProbe(now) }

func priorityClass(priority int) int { return min(max(priority, 0), priorityClasses-1) }

// serviceTime returns the expected service time of a request in seconds.
func (c *Scheduler) serviceTime(r *Request) float64 {
	mean, ok := c.serviceTimes[r.Route]
	if !ok {
		mean = defaultServiceShare * r.Objective.Seconds()
	}
	return r.admissionTime(mean)
}

// Admit admits or refuses a request. An admitted request starts in this or a later Poll.
func (c *Scheduler) Admit(now clock.Instant, r Request) (*Ticket, *Refusal) {
	c.work.predict(&r)
	service := c.serviceTime(&r)
	if r.SoftDeadline > now {
		c.room.arrive(now, service) // A retry is late.
	}
	wait, reason := c.expectedWait(now, &r, service)
	if deferral := c.deferFor(now, &r); deferral > 0 {
		wait = max(wait, deferral)
	} else if wait == 0 {
		service *= c.pace.slowdown(now)
	}
	finish := now.Add(seconds(wait + service))
	late := now.Add(seconds(service)) > r.SoftDeadline && finish <= r.Deadline && seconds(wait) <= r.maxLateWait()
	if overrun := finish.Add(seconds(serviceTimeMargin * service)).Sub(r.SoftDeadline); overrun > 0 && !late && (wait > 0 || finish > r.Deadline) {
		return nil, &Refusal{Reason: reason, RetryAfter: c.retryTime(now, &r, overrun), ExpectedLatency: finish.Sub(now)}
	}
	t := &Ticket{Request: r, arrived: now, lateOnArrival: late, decided: make(chan struct{})}
	k := priorityClass(r.Priority)
	c.queue[k] = append(c.queue[k], t)
	c.fair[k].add(r.Tenant)
	c.waiting++
	return t, nil
}

// ObservePace records the pace that the target reports: the current duration of a piece of work, in any unit that stays
// the same.
func (c *Scheduler) ObservePace(now clock.Instant, pace float64) { c.pace.observe(now, pace) }

// ExpectedDelay returns how much longer than on an idle target at its baseline pace a request would take that arrives
// now, because it waits for other requests or because neighbours on the host slow the target down.
func (c *Scheduler) ExpectedDelay(now clock.Instant, r Request) time.Duration {
	c.work.predict(&r)
	service := c.serviceTime(&r)
	wait, _ := c.expectedWait(now, &r, service)
	if c.pace.slowRemaining(now) > 0 {
		wait += (c.pace.slowdown(now) - 1) * service
	}
	return seconds(wait)
}

// deferFor returns the number of seconds for which the start of the request should be deferred until a slow period
// ends, or 0 if its response comes sooner without deferral.
func (c *Scheduler) deferFor(now clock.Instant, r *Request) float64 {
	rest := c.pace.slowRemaining(now).Seconds()
	if rest > 0 && (c.pace.slowdown(now)-1)*c.serviceTime(r) > rest {
		return rest
	}
	return 0
}

// Deferring reports whether requests are deferred because of a slow period although a slot is free.
func (c *Scheduler) Deferring(now clock.Instant) bool {
	return c.waiting > 0 && c.running < c.slots && c.pace.slow && c.cold.allows(now)
}

// BeginPaceProbe reports whether the target's pace should be probed now, because the last report and the last probe are
// both older than paceProbeInterval. If so, the probe counts as sent.
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

// retryAfter returns the retry-after time for a request whose response would have missed the objective by the given
// time.
func retryAfter(late, objective time.Duration) time.Duration {
	return min(max(late, seconds(minRetryAfterShare*objective.Seconds())), seconds(maxRetryAfterShare*objective.Seconds()))
}

// expectedWait returns the expected time in seconds until the request starts, and the reason of a refusal because of
// it.
func (c *Scheduler) expectedWait(now clock.Instant, r *Request, service float64) (float64, Reason) {
	class := priorityClass(r.Priority)
	ahead := c.fair[class].ahead(r.Tenant)
	for k := range class {
		ahead += len(c.queue[k])
	}
	wait, reason := 0.0, Overload
	if excess := ahead + 1 + c.running - c.slots; excess > 0 {
		mean := c.meanServiceTime
		if mean == 0 {
			mean = service
		}
		wait = float64(excess) * mean / float64(c.slots)
		if c.work.costs != nil && c.running >= c.slots {
			wait = c.waitForSlot(now, class, ahead, mean)
		}
		wait /= 1 - min(c.higherPriorityShare[class], maxHigherPriorityShare)
	}
	if coldWait := c.cold.wait(now, ahead); coldWait > wait {
		wait, reason = coldWait, Cold
	}
	return wait, reason
}

// Poll starts the requests that may run and refuses those that can't be answered in time any more. It returns the
// tickets that it decided.
func (c *Scheduler) Poll(now clock.Instant) []*Ticket {
	var decided []*Ticket
	for c.waiting > 0 {
		if refused := c.refuseLate(now); refused != nil {
			decided = append(decided, refused)
			continue
		}
		if c.running >= c.slots || !c.cold.allows(now) {
			break
		}
		t := c.takeNext(now)
		if t == nil {
			break
		}
		t.started, t.running, t.slowdown, t.startedCold = now, true, c.pace.slowdown(now), c.cold.isCold(now)
		c.running++
		c.work.start(t)
		c.recordStart(priorityClass(t.Priority))
		c.cold.recordStart(now)
		decided = append(decided, t)
	}
	return decided
}

// recordStart records the class of a started request.
func (c *Scheduler) recordStart(started int) {
	for k := range c.higherPriorityShare {
		sample := 0.0
		if started < k {
			sample = 1
		}
		c.higherPriorityShare[k] += priorityShareWeight * (sample - c.higherPriorityShare[k])
	}
}

// nextStart returns the time after which a waiting request may start even if no request arrives or ends, or 0 if none may.
func (c *Scheduler) nextStart(now clock.Instant) time.Duration {
	if c.waiting == 0 || c.running >= c.slots {
		return 0
	}
	if c.Deferring(now) {
		return paceProbeInterval
	}
	if c.cold.allows(now) {
		return 0
	}
	return c.cold.nextToken()
}

// refuseLate removes and returns a request that has waited until its refusalDue.
func (c *Scheduler) refuseLate(now clock.Instant) *Ticket {
	for k := range c.queue {
		for i, t := range c.queue[k] {
			if now > c.refusalDue(t) {
				c.remove(k, i)
				t.refused = &Refusal{Reason: Late, RetryAfter: c.retryTime(now, &t.Request, 0), ExpectedLatency: now.Sub(t.arrived)}
				return t
			}
		}
	}
	return nil
}

// takeNext removes and returns the request to start: by class, requests that can still meet their objective first, and
// within a class by tenant. It skips deferred requests.
func (c *Scheduler) takeNext(now clock.Instant) *Ticket {
	for _, inTime := range []bool{true, false} {
		for k := range c.queue {
			if i := c.pick(now, k, inTime); i >= 0 {
				if inTime {
					i = c.overtaker(now, k, i)
				}
				t := c.queue[k][i]
				c.remove(k, i)
				c.fair[k].start(t.Tenant, c.serviceTime(&t.Request))
				return t
			}
		}
	}
	return nil
}

func (c *Scheduler) remove(k, i int) {
	c.fair[k].remove(c.queue[k][i].Tenant)
	c.queue[k] = append(c.queue[k][:i:i], c.queue[k][i+1:]...)
	c.waiting--
}

// Cancel removes a waiting request. It returns false if the request is no longer waiting.
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

// Done ends a running request. measured says that the time it ran counts as a sample of the target's service time.
func (c *Scheduler) Done(now clock.Instant, t *Ticket, measured bool) {
	c.running = max(0, c.running-1)
	c.work.end(now, t, measured)
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

// Stats describes the state of a scheduler.
type Stats struct {
	Slots, Running, Waiting int
	// MeanServiceTime is the mean service time in seconds, 0 if unknown.
	MeanServiceTime float64
	// Slowdown is the ratio of the current to the usual service time, 1 if unknown.
	Slowdown float64
	// RemainingWork is the expected time in seconds that the running and waiting requests will occupy slots, if WorkKnown is
	// set.
	RemainingWork float64
	WorkKnown     bool
}

// Stats returns the current state.
func (c *Scheduler) Stats(now clock.Instant) Stats {
	work, known := c.RemainingWork(now)
	return Stats{c.slots, c.running, c.waiting, c.meanServiceTime, c.pace.slowdown(now), work, known}
}

// ServiceTimes returns the mean service time of each route in seconds.
func (c *Scheduler) ServiceTimes() map[string]float64 {
	times := make(map[string]float64, len(c.serviceTimes))
	for route, t := range c.serviceTimes {
		times[route] = math.Round(t*1e4) / 1e4
	}
	return times
}

// RetainRoutes drops the statistics of all routes not in the set, so that the state does not grow with configuration
// changes.
func (c *Scheduler) RetainRoutes(routes map[string]bool) {
	retainRoutes(c.serviceTimes, routes)
	if c.work.costs != nil {
		c.work.costs.RetainRoutes(routes)
	}
}

func retainRoutes(known map[string]float64, routes map[string]bool) {
	maps.DeleteFunc(known, func(route string, _ float64) bool { return !routes[route] })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
