// Package admission controls when requests may run at the host's own target. It
// adapts the concurrency limit to the measured latency, protects a target during
// cold start, and queues requests by priority. Core is deterministic and takes
// the time as an argument; Controller makes it safe for concurrent use.
package admission

import (
	"container/list"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/config"
)

const (
	// queuePerSlot is the maximum queue length per slot: the last request in a full queue waits for about
	// four service times.
	queuePerSlot = 4
	// minShareDivisor is the inverse of the minimum share of the grants and of the queue that each class keeps.
	minShareDivisor = 10
)

// Class is a priority class. Lower numbers are served first.
type Class int

// The priority classes.
const (
	Internal Class = iota
	Interactive
	Batch
	classCount
)

// ClassOf returns the class for a priority. A request without a priority is interactive.
func ClassOf(p config.Priority) Class {
	switch p {
	case config.Internal:
		return Internal
	case config.Batch:
		return Batch
	}
	return Interactive
}

// Result describes how the run of a request ended.
type Result int

// The results of a run.
const (
	// Completed means that the target received the request, whether or not it answered.
	Completed Result = iota
	// Refused means that the target refused the request without running it.
	Refused
	// RefusedCold means that the target refused the request because it is in cold start.
	RefusedCold
	// Inconclusive means that the run provides no information about the target.
	Inconclusive
)

// Outcome is the result of a run with its latency.
type Outcome struct {
	Result Result
	// Latency is the time until the response headers. The time to transfer a body also depends on the caller.
	Latency time.Duration
}

// Decision grants or refuses a waiting request.
type Decision struct {
	RequestID uint64
	// Refusal is empty if the request may run.
	Refusal answer.Kind
}

// Core is the state machine of admission control. It is not safe for concurrent use.
type Core struct {
	limiter     limiter
	running     int
	runningPeak runningPeak
	queues      [classCount]list.List // *waiter, oldest first
	credits     [classCount]int
	waiting     map[uint64]*waiter
	lastID      uint64
	meanHold    time.Duration // mean time for which a completed request occupied a slot
	minLatency  minLatency
}

type waiter struct {
	id       uint64
	class    Class
	deadline clock.Instant
	element  *list.Element
}

// NewCore returns a Core for a target in cold start.
func NewCore(now clock.Instant, target TargetCapacity) *Core {
	c := &Core{waiting: map[uint64]*waiter{}}
	c.Restart(now, target)
	return c
}

// Restart begins a cold start after a new incarnation of the target has announced itself. Requests that run at the
// earlier incarnation occupy slots until they end.
func (c *Core) Restart(now clock.Instant, target TargetCapacity) {
	c.limiter.restart(now, target)
	c.meanHold, c.minLatency = 0, minLatency{}
}

// SetColdStart changes the cold start settings, because the configuration has changed or has just become known. The
// progress of the ramp is kept.
func (c *Core) SetColdStart(cold ColdStart) { c.limiter.setColdStart(cold) }

// Arrive queues a request that may wait until its deadline, and returns its ID. The decision on it is among those
// returned by this or a later call. The returned decisions may concern other requests as well.
func (c *Core) Arrive(now clock.Instant, class Class, deadline clock.Instant) (uint64, []Decision) {
	c.limiter.advance(now, c.running)
	c.lastID++
	w := &waiter{id: c.lastID, class: class, deadline: deadline}
	if len(c.waiting) > 0 || c.running >= c.limiter.limit(now) {
		if now.Add(c.expectedWait(now, class)) >= deadline {
			return w.id, []Decision{{w.id, c.overloadReason(now)}}
		}
	}
	var decisions []Decision
	if len(c.waiting) >= c.queueCapacity() {
		evicted := c.evictionCandidate(class)
		if evicted == nil {
			return w.id, []Decision{{w.id, c.overloadReason(now)}}
		}
		c.remove(evicted)
		decisions = append(decisions, Decision{evicted.id, c.overloadReason(now)})
	}
	w.element = c.queues[class].PushBack(w)
	c.waiting[w.id] = w
	return w.id, append(decisions, c.Poll(now)...)
}

// Done ends a granted request. elapsed is the time since the grant.
func (c *Core) Done(now clock.Instant, elapsed time.Duration, o Outcome) []Decision {
	c.limiter.advance(now, c.running)
	saturated := len(c.waiting) > 0 || c.running >= c.limiter.limit(now)
	c.running--
	c.limiter.done(now, o, saturated)
	if o.Result == Completed {
		c.meanHold = time.Duration(smooth(float64(c.meanHold), float64(elapsed)))
		c.minLatency.add(now, o.Latency)
	}
	return c.Poll(now)
}

// Cancel removes a waiting request. It returns false if the request is no longer waiting.
func (c *Core) Cancel(id uint64) bool {
	w := c.waiting[id]
	if w == nil {
		return false
	}
	c.remove(w)
	return true
}

// ReportRunning handles the number of running requests that the target reports. Reports are delayed, so the number is
// compared to the recent peak of requests running through this node.
func (c *Core) ReportRunning(now clock.Instant, reported int) {
	c.limiter.report(now, reported, c.runningPeak.update(now, c.running))
}

// Poll grants free slots and refuses requests that can no longer meet their deadline.
func (c *Core) Poll(now clock.Instant) []Decision {
	c.limiter.advance(now, c.running)
	var decisions []Decision
	for len(c.waiting) > 0 && c.running < c.limiter.limit(now) {
		w := c.nextWaiter()
		c.remove(w)
		if refusal := c.deadlineRefusal(now, w); refusal != "" {
			decisions = append(decisions, Decision{w.id, refusal})
			continue
		}
		c.updateCredits(w.class)
		c.running++
		c.runningPeak.update(now, c.running)
		decisions = append(decisions, Decision{RequestID: w.id})
	}
	return decisions
}

// deadlineRefusal returns why a request can't meet its deadline, or an empty kind if it can.
func (c *Core) deadlineRefusal(now clock.Instant, w *waiter) answer.Kind {
	if now >= w.deadline {
		return answer.Deadline
	}
	if now.Add(c.minLatency.get()) >= w.deadline {
		return answer.Shed
	}
	return ""
}

// nextWaiter returns the next request to serve. It belongs to the highest nonempty class, unless a lower class is due
// its minimum share.
func (c *Core) nextWaiter() *waiter {
	class := Class(-1)
	for i := range classCount {
		if c.queues[i].Len() == 0 {
			continue
		}
		if class < 0 || c.credits[i] >= minShareDivisor && c.credits[i] > c.credits[class] {
			class = i
		}
	}
	if c.overloaded() {
		return c.queues[class].Back().Value.(*waiter)
	}
	return c.queues[class].Front().Value.(*waiter)
}

// updateCredits counts, for each class with waiting requests, the grants to other classes since its own last grant.
func (c *Core) updateCredits(granted Class) {
	for i := range classCount {
		if c.queues[i].Len() == 0 {
			c.credits[i] = 0
			continue
		}
		if i != granted {
			c.credits[i]++
		}
	}
	c.credits[granted] = 0
}

// overloaded reports whether the queue holds more than one request per slot. The newest request is then served first,
// because the oldest ones would probably miss their deadlines anyway.
func (c *Core) overloaded() bool { return len(c.waiting) > c.limiter.target.Slots }

func (c *Core) queueCapacity() int { return queuePerSlot * c.limiter.target.Slots }

// evictionCandidate returns the request that is evicted from a full queue in favour of an arrival, or nil. It is the
// oldest request of the lowest class above its share, or else the oldest of the arrival's own class. Requests of a
// higher class are evicted only for a class that has not filled its share.
func (c *Core) evictionCandidate(arriving Class) *waiter {
	share := max(1, c.queueCapacity()/minShareDivisor)
	entitled := c.queues[arriving].Len() < share
	for i := classCount - 1; i >= 0; i-- {
		if i != arriving && (i > arriving || entitled) && c.queues[i].Len() > share {
			return c.queues[i].Front().Value.(*waiter)
		}
	}
	if oldest := c.queues[arriving].Front(); oldest != nil {
		return oldest.Value.(*waiter)
	}
	return nil
}

// expectedWait estimates how long a new request of the class would wait.
func (c *Core) expectedWait(now clock.Instant, class Class) time.Duration {
	own := c.queues[class].Len()
	if c.overloaded() {
		own = 0
	}
	ahead := own
	for i := range class {
		ahead += c.queues[i].Len()
	}
	ahead = min(ahead+1, (own+1)*minShareDivisor)
	return c.meanHold * time.Duration(ahead) / time.Duration(c.limiter.limit(now))
}

// overloadReason returns the kind of refusal for requests that exceed the capacity: cold if the cold start ramp
// determines the limit.
func (c *Core) overloadReason(now clock.Instant) answer.Kind {
	if !c.limiter.warm() && c.limiter.rampLimit() <= c.limiter.limit(now) {
		return answer.Cold
	}
	return answer.Shed
}

func (c *Core) remove(w *waiter) {
	c.queues[w.class].Remove(w.element)
	delete(c.waiting, w.id)
}

// Stats is the state reported in metrics.
type Stats struct {
	Running int
	Waiting int
	Limit   int
	Cold    bool
}

// Stats returns the current state.
func (c *Core) Stats(now clock.Instant) Stats {
	return Stats{Running: c.running, Waiting: len(c.waiting), Limit: c.limiter.limit(now), Cold: !c.limiter.warm()}
}
