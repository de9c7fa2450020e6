// Package admission decides when a request may run at the host's own target: it
// adapts the concurrency limit to measured latency, protects a cold target, and
// queues requests by priority. Core is deterministic and takes the time as an
// argument; Controller makes it usable from many goroutines.
package admission

import (
	"container/list"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/config"
)

const (
	// queuePerSlot bounds the queue: a request at its end waits for about four service times.
	queuePerSlot = 4
	// minShareDivisor is the part of the grants and of the queue, as a divisor, that each class keeps.
	minShareDivisor = 10
)

// Class is a priority class; the lowest number is served first.
type Class int

// The classCount.
const (
	Internal Class = iota
	Interactive
	Batch
	classCount
)

// ClassOf returns the class of a priority. A request without one is interactive.
func ClassOf(p config.Priority) Class {
	switch p {
	case config.Internal:
		return Internal
	case config.Batch:
		return Batch
	}
	return Interactive
}

// Result says how a run ended.
type Result int

// The results of a run.
const (
	// Completed means that the target answered, or failed to answer, after it got the request.
	Completed Result = iota
	// Refused means that the target refused the request without running it.
	Refused
	// RefusedCold means that the target refused the request because it is in cold start.
	RefusedCold
	// Inconclusive says nothing about the target.
	Inconclusive
)

// Outcome describes a run.
type Outcome struct {
	Result Result
	// Latency is the time to the head of the answer. The time to send a body depends on the caller.
	Latency time.Duration
}

// Decision tells a waiting request that it may run, or that it is refused.
type Decision struct {
	RequestID uint64
	// Refusal is empty if the request may run.
	Refusal answer.Kind
}

// Core is the state machine. It is not safe for concurrent use.
type Core struct {
	limiter     limiter
	running     int
	runningPeak runningPeak
	queues      [classCount]list.List // *waiter, oldest first
	credits     [classCount]int
	waiting     map[uint64]*waiter
	lastID      uint64
	meanHold    time.Duration // mean time for which a request keeps its place
	minLatency  minLatency
}

type waiter struct {
	id       uint64
	class    Class
	deadline clock.Instant
	element  *list.Element
}

// NewCore returns the state for a target in cold start.
func NewCore(now clock.Instant, target TargetCapacity) *Core {
	c := &Core{waiting: map[uint64]*waiter{}}
	c.Restart(now, target)
	return c
}

// Restart begins a cold start, because a new incarnation of the target has announced itself. Requests of the earlier
// incarnation count until they end.
func (c *Core) Restart(now clock.Instant, target TargetCapacity) {
	c.limiter.restart(now, target)
	c.meanHold, c.minLatency = 0, minLatency{}
}

// SetColdStart changes what a cold target bears, because the configuration has changed or has just become known. The time
// under load counts on.
func (c *Core) SetColdStart(cold ColdStart) { c.limiter.setColdStart(cold) }

// Arrive takes a request that may wait until its deadline. Its event is among the returned ones, now or in a later
// call. Events may concern other requests as well.
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

// Done ends a request that was granted. held is the time since the grant.
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

// Cancel removes a waiting request. It returns false if the request does not wait any more.
func (c *Core) Cancel(id uint64) bool {
	w := c.waiting[id]
	if w == nil {
		return false
	}
	c.remove(w)
	return true
}

// ReportRunning takes the number of running requests that the target reports. The report lags, so it is compared to the
// most that ran lately.
func (c *Core) ReportRunning(now clock.Instant, reported int) {
	c.limiter.report(now, reported, c.runningPeak.update(now, c.running))
}

// Poll grants places that are free and refuses requests that can't meet their deadline any more.
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

func (c *Core) deadlineRefusal(now clock.Instant, w *waiter) answer.Kind {
	if now >= w.deadline {
		return answer.Deadline
	}
	if now.Add(c.minLatency.get()) >= w.deadline {
		return answer.Shed
	}
	return ""
}

// nextWaiter returns the next request: of the highest class, unless a lower one has waited for its share.
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

// updateCredits counts a grant against the shares of the classes.
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

// overloaded reports whether the queue holds more than one request for each slot. Then the newest request is served
// first, because the oldest ones would miss their deadlines anyway.
func (c *Core) overloaded() bool { return len(c.waiting) > c.limiter.target.Slots }

func (c *Core) queueCapacity() int { return queuePerSlot * c.limiter.target.Slots }

// evictionCandidate returns the request that gives its place in a full queue to an arrival, or nil. It is the oldest of the
// lowest class that holds more than its share, or else the oldest of the arrival's own class. Higher classes give
// places only to a class that has not filled its share.
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

// expectedWait estimates the wait of an arrival.
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

// overloadReason returns why requests are refused now.
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

// Stats describes the state for metrics.
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
