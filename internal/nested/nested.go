// Package nested tracks the requests that a target makes while it runs others. It gives such a call the rank of the work that it is made
// for, and predicts the share of that work that would be lost because its calls are refused. It performs no I/O and takes the time as an
// argument.
package nested

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// window is the time over which refusals of calls are counted. Bursts last for one to a few seconds.
	window = time.Second
	// buckets is the number of parts of the window.
	buckets = 10
	// maxRoutes bounds the routes that are tracked as callers, and those that are tracked as called.
	maxRoutes = 64
	// recentTime is the time constant of the estimate of the current share of refusals. Within the whole window, refusals of a burst that is
	// over would go on for a second.
	recentTime = 400 * time.Millisecond
	// priorCalls is the number of calls that are assumed not to have been refused. It makes the estimate small while there are few calls.
	priorCalls = 2
	// minLostShare is the share of lost runs below which all run. In the simulation, higher values (0.3, 0.5, 0.65) gave less value.
	minLostShare = 0.1
	// maxRefusedShare bounds the share of requests that are refused. Those that would make no call are refused with the others, and some have
	// to run to show when the refusals end. At 0.4, the least urgent requests lost 0.04 of their value in the simulation while urgent ones
	// alone overloaded the called service.
	maxRefusedShare = 0.25
	// learnRate is the weight of one run in the moving average of the calls that runs of its route make: about the last 100 runs count.
	learnRate = 0.01
	// firstShare is the assumed number of calls in one run before any has been observed. It is above minShare, so that a new route may have
	// made a call, and small, so that routes with observed calls get the credit.
	firstShare = 0.05
	// minShare is the number of calls in one run below which a route does not count as a caller.
	minShare = 0.02
	// retryShare is the share of the remaining time after which a caller may retry. Callers wait for a third of it, and the entrance adds up
	// to a quarter. A burst outlasts most callers, so that the last time at which they retry is the best.
	retryShare = 0.26
	// minRetryAfter is the least time after which a caller may retry.
	minRetryAfter = 100 * time.Millisecond
	// ranks is the number of distinct ranks, as many as the dispatcher has classes; larger ones share the last.
	ranks = 64
)

// Tracker learns which routes the runs of each route call. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// runs holds the running requests by their IDs.
	runs    map[string]*run
	parents map[string]*parent
	called  map[string]*called
	// mostUrgent is the lowest rank that a request can have. Requests of this rank are never refused.
	mostUrgent int
}

// run is a running request.
type run struct {
	route string
	rank  int
	// lost says that a call of the run was refused.
	lost bool
}

// parent is a route whose requests run at the target.
type parent struct {
	running [ranks]int
	total   int
	// calls is the expected number of calls in one run, by the called route.
	calls map[string]float64
	// recentRuns and recentLost are the numbers of runs and of their refused calls, which fade with recentTime. A refused call ends the run
	// that made it.
	recentRuns, recentLost float64
	fadedAt                clock.Instant
	// excess accumulates the share of requests to refuse; a request is refused when it reaches 1.
	excess float64
	// seen holds when a request of each rank was last admitted or refused.
	seen [ranks]clock.Instant
}

// called is a route that runs call.
type called struct {
	counts  [buckets]struct{ calls, refused int }
	current int64 // number of the current bucket since the start of the clock
	// recentCalls and recentRefused are the numbers of calls and refusals, which fade with recentTime.
	recentCalls, recentRefused float64
	fadedAt                    clock.Instant
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{runs: map[string]*run{}, parents: map[string]*parent{}, called: map[string]*called{}}
}

// Retain drops the state of all routes not in the set and sets the most urgent rank that a request can have.
func (t *Tracker) Retain(routes map[string]bool, mostUrgent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mostUrgent = mostUrgent
	for name, p := range t.parents {
		if !routes[name] && p.total == 0 {
			delete(t.parents, name)
		}
	}
	for name := range t.called {
		if routes[name] {
			continue
		}
		delete(t.called, name)
		for _, p := range t.parents {
			delete(p.calls, name)
		}
	}
}

func rankIndex(rank int) int { return min(max(rank, 0), ranks-1) }

// Begin records that a request starts to run at the target. id is its ID, empty if it has none.
func (t *Tracker) Begin(id, route string, rank int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != "" {
		t.runs[id] = &run{route: route, rank: rank}
	}
	p := t.parents[route]
	if p == nil {
		if len(t.parents) >= maxRoutes {
			return
		}
		p = &parent{calls: map[string]float64{}}
		t.parents[route] = p
	}
	p.running[rankIndex(rank)]++
	p.total++
	for name := range t.called { // A call adds learnRate for its run, so that the average settles at the number of calls in one run.
		p.calls[name] = p.share(name) * (1 - learnRate)
	}
}

// End records that a request has ended for which Begin was called.
func (t *Tracker) End(now clock.Instant, id, route string, rank int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, id)
	if p, k := t.parents[route], rankIndex(rank); p != nil && p.running[k] > 0 {
		p.running[k]--
		p.total--
		p.fade(now)
		p.recentRuns++ // Not at its begin: a call may be refused much later, and runs that have been refused meanwhile would be missing.
	}
}

// share returns the expected number of calls in one run.
func (p *parent) share(name string) float64 {
	if share, known := p.calls[name]; known {
		return share
	}
	return firstShare
}

// mostUrgentRunning returns the most urgent rank that runs.
func (p *parent) mostUrgentRunning() int {
	for k, n := range p.running {
		if n > 0 {
			return k
		}
	}
	return ranks
}

// Call records a call that the target makes, and returns its rank: the less urgent of its route's rank and the rank of the most urgent
// running request that may have made it. ok is false if nothing runs that may have made it: the request does not come from a run. A call
// whose ID consists of that of a running request, a dot and more was made by that request.
func (t *Tracker) Call(now clock.Instant, id, name string, routeRank int) (rank int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, urgent, maker := t.called[name], ranks, t.maker(id)
	if maker != nil {
		urgent = rankIndex(maker.rank)
	}
	for _, p := range t.parents {
		if maker == nil && p.total > 0 && p.share(name) >= minShare {
			urgent = min(urgent, p.mostUrgentRunning())
		}
	}
	if urgent == ranks {
		// All running routes were thought not to make this call, which is wrong for one of them.
		for _, p := range t.parents {
			if p.total > 0 {
				p.calls[name] = minShare
			}
		}
		return routeRank, false
	}
	if c == nil {
		if len(t.called) >= maxRoutes {
			return routeRank, false
		}
		c = &called{}
		t.called[name] = c
	}
	c.advance(now)
	c.counts[c.current%buckets].calls++
	c.recentCalls++
	t.credit(maker, name, func(p *parent, part float64) { p.calls[name] = p.share(name) + learnRate*part })
	return max(routeRank, urgent), true
}

// maker returns the running request that made the call with the ID, or nil if that is unknown.
func (t *Tracker) maker(id string) *run {
	if i := strings.LastIndexByte(id, '.'); i > 0 {
		return t.runs[id[:i]]
	}
	return nil
}

// credit credits a call to the route of its maker. If that is unknown, it divides the call among the routes that run, in proportion to the
// calls that they are expected to make.
func (t *Tracker) credit(maker *run, name string, add func(p *parent, part float64)) {
	if maker != nil {
		if p := t.parents[maker.route]; p != nil {
			add(p, 1)
		}
		return
	}
	total := 0.0
	for _, p := range t.parents {
		if share := p.share(name); share >= minShare {
			total += float64(p.total) * share
		}
	}
	for _, p := range t.parents {
		if share := p.share(name); p.total > 0 && share >= minShare {
			add(p, float64(p.total)*share/total)
		}
	}
}

// fading returns the factor by which numbers fade between two times.
func fading(now, before clock.Instant) float64 {
	return math.Exp(-max(0, now.Sub(before)).Seconds() / recentTime.Seconds())
}

func (p *parent) fade(now clock.Instant) {
	f := fading(now, p.fadedAt)
	p.recentRuns, p.recentLost, p.fadedAt = p.recentRuns*f, p.recentLost*f, max(now, p.fadedAt)
}

// Refused records that a call was refused.
func (t *Tracker) Refused(now clock.Instant, id, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.called[name]; c != nil {
		c.advance(now)
		c.counts[c.current%buckets].refused++
		c.recentRefused++
		maker := t.maker(id)
		if maker != nil && maker.lost {
			return
		}
		t.credit(maker, name, func(p *parent, part float64) { p.fade(now); p.recentLost += part })
		if maker != nil {
			maker.lost = true
		}
	}
}

// advance clears the buckets that have left the window and fades the recent numbers.
func (c *called) advance(now clock.Instant) {
	number := int64(now) / int64(window/buckets)
	for i := max(c.current+1, number-buckets+1); i <= number; i++ {
		c.counts[i%buckets] = struct{ calls, refused int }{}
	}
	c.current = max(c.current, number)
	f := fading(now, c.fadedAt)
	c.recentCalls, c.recentRefused, c.fadedAt = c.recentCalls*f, c.recentRefused*f, max(now, c.fadedAt)
}

// refusedShare returns the share of calls that are currently refused, at most the share within the window.
func (c *called) refusedShare(now clock.Instant) float64 {
	c.advance(now)
	calls, refused := 0, 0
	for _, n := range c.counts {
		calls += n.calls
		refused += n.refused
	}
	if refused == 0 {
		return 0
	}
	return min(1, float64(refused)/float64(calls+priorCalls), c.recentRefused/(c.recentCalls+priorCalls))
}

// Admit decides on a request before it runs. Of the routes whose calls are refused, it refuses requests of the least urgent rank, and of
// those only the share that would be lost. The caller waits for the remaining time. The result is the time after which the caller may
// retry, 0 if the request is not refused.
func (t *Tracker) Admit(now clock.Instant, route string, rank int, remaining time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.parents[route]
	if p == nil || len(t.called) == 0 {
		return 0
	}
	p.seen[rankIndex(rank)] = now
	if rank <= t.mostUrgent {
		return 0
	}
	kept := 1.0
	for name, c := range t.called {
		share := p.share(name)
		if share < minShare {
			continue
		}
		refused := c.refusedShare(now)
		if refused == 0 || t.lessUrgentCaller(now, name, rank) {
			continue
		}
		kept *= math.Pow(1-refused, share)
	}
	p.fade(now)
	lost := min(1-kept, p.recentLost/(p.recentRuns+priorCalls))
	if lost-math.Sqrt(lost*(1-lost)/(p.recentRuns+priorCalls)) < minLostShare { // Less a standard deviation, because there are few runs.
		p.excess = 0
		return 0
	}
	p.excess += min(lost, maxRefusedShare)
	if p.excess < 1 {
		return 0
	}
	p.excess--
	return max(minRetryAfter, time.Duration(retryShare*float64(remaining)))
}

// lessUrgentCaller reports whether requests of a less urgent rank than the given one have made the call within the window.
func (t *Tracker) lessUrgentCaller(now clock.Instant, name string, rank int) bool {
	for _, p := range t.parents {
		if p.share(name) < minShare {
			continue
		}
		for k := rankIndex(rank) + 1; k < ranks; k++ {
			if p.seen[k] > 0 && now.Sub(p.seen[k]) < window {
				return true
			}
		}
	}
	return false
}
