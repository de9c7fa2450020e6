package ingress

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/dispatch"
)

const (
	// crossZonePenalty is added to the expected wait of a target in another zone: it costs a round trip between zones.
	crossZonePenalty = 5 * time.Millisecond
	// crossZonePenaltyPerKiB is added for each KiB of the answer, since operators pay for bytes between zones.
	crossZonePenaltyPerKiB = 10 * time.Millisecond
	// maxCrossZoneShare bounds both by the latency objective, so that callers don't wait for bytes that are saved.
	maxCrossZoneShare = 1
	// minEjection and maxEject bound how long a target that could not be reached is left out.
	minEjection = 300 * time.Millisecond
	maxEjection = 3 * time.Second
	// maxLoadAge is how long the load that an answer stated is believed.
	maxLoadAge = 500 * time.Millisecond
	// rerouteRoundTrip is what the refusal of a slow target costs.
	rerouteRoundTrip = 3 * time.Millisecond
	// maxSlowdownAge is how long the pace that an answer stated is believed: neighbours of the target come and go.
	maxSlowdownAge = 200 * time.Millisecond
	// linkQueueFadeTime is how long a stated queue of a host's link is believed, less and less. Others fill it again, so that it does
	// not end by itself.
	linkQueueFadeTime = 3 * time.Second
	// staleSampleSize is the number of targets of unknown load that are compared: two random ones are nearly as good as all with
	// known loads.
	staleSampleSize = 2
	// sameZoneWeight is how much more often a target in the own zone is drawn, since bytes between zones cost.
	sameZoneWeight = 2
	// sameZoneWeightPerKiB is added to it for each KiB of the answer, up to maxOwnZoneWeight.
	sameZoneWeightPerKiB = 0.2
	maxSameZoneWeight    = 16
	// sizeWeight is the weight of one answer in the mean size of a route's answers.
	sizeWeight = 0.05
	// defaultResponseBytes and unknownBulkBytes are the sizes that are assumed of answers before the first one.
	defaultResponseBytes      = 4 << 10
	defaultLargeResponseBytes = 64 << 10
	// defaultServiceTime is the service time that is assumed for a target before its first answer.
	defaultServiceTime = 50 * time.Millisecond
)

// Load is what a target's node states in its answers.
type Load struct {
	// Outstanding is the number of requests that run or wait.
	Outstanding int
	Slots       int
	// MeanServiceTime is the mean service time.
	MeanServiceTime time.Duration
	// LinkQueueDelay is how long an answer would wait for the host's link, LinkRate the rate of that in bytes a second, 0 if unknown.
	LinkQueueDelay     time.Duration
	LinkBytesPerSecond float64
	// Slowdown is how many times longer than usual work takes at this moment, 0 if that is not known.
	Slowdown float64
}

// targetState is what this node knows of one target.
type targetState struct {
	load           Load
	loadReportedAt clock.Instant
	inFlight       int // in flight from this node
	failures       int
	ejectedUntil   clock.Instant
}

// Balancer chooses among the targets of pooled services, and remembers hosts that could not be reached. It is safe for
// concurrent use.
type Balancer struct {
	zone    string
	mu      sync.Mutex
	targets map[string]*targetState
	// responseSizes holds the mean size of the answers by route.
	responseSizes map[string]float64
}

// NewBalancer returns a pool for a node in the zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{zone: zone, targets: map[string]*targetState{}, responseSizes: map[string]float64{}}
}

// RequestInfo is what is known of a request before it is sent.
type RequestInfo struct {
	Route string
	// LargeResponse says that the answer is large.
	LargeResponse bool
	// Objective is the latency objective of the route, 0 if it has none.
	Objective time.Duration
}

// RecordResponseSize records the size of an answer.
func (p *Balancer) RecordResponseSize(ask RequestInfo, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.responseSize(ask)
	p.responseSizes[ask.Route] = old + sizeWeight*(float64(bytes)-old)
}

func (p *Balancer) responseSize(ask RequestInfo) float64 {
	if size, ok := p.responseSizes[ask.Route]; ok {
		return size
	}
	if ask.LargeResponse {
		return defaultLargeResponseBytes
	}
	return defaultResponseBytes
}

// RetainRoutes forgets the routes that are not in the set.
func (p *Balancer) RetainRoutes(routes map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.responseSizes, func(route string, _ float64) bool { return !routes[route] })
}

// Candidate is a target that may get the request.
type Candidate struct {
	Host  string
	Zone  string
	Slots int
}

func (p *Balancer) target(host string) *targetState {
	q := p.targets[host]
	if q == nil {
		q = &targetState{}
		p.targets[host] = q
	}
	return q
}

// Choose returns the index of the candidate with the least expected wait, or -1 if there is none, and what it costs to move the
// request from there to another one, 0 if there is no other. tried holds the
// hosts that had the request already. All nodes know the same targets as quick, so that a node compares only those whose load
// it knows and a few that it draws: nodes that know nothing new would all choose the same one.
func (p *Balancer) Choose(now clock.Instant, candidates []Candidate, ask RequestInfo, tried map[string]bool) (chosen int, rerouteCost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes := p.responseSize(ask)
	var all, open, ejected []option
	for i, c := range candidates {
		o := option{index: i, Candidate: c, target: p.target(c.Host), sameZone: c.Zone == p.zone, bytes: bytes, objective: ask.Objective}
		all = append(all, o)
		switch {
		case tried[c.Host]:
		case now < o.target.ejectedUntil:
			ejected = append(ejected, o)
		default:
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		open = ejected
	}
	defaults := meanLoad(all)
	best, bestCost := -1, time.Duration(0)
	for _, o := range freshOrSampled(now, open, defaults) {
		if cost := o.cost(now, defaults); best < 0 || cost < bestCost {
			best, bestCost = o.index, cost
		}
	}
	return best, rerouteCostOf(open, best)
}

// rerouteCostOf returns what it costs to move a request from the chosen option to another one: a round trip between nodes, and the way
// between zones where only options in other zones are left.
func rerouteCostOf(open []option, chosen int) time.Duration {
	var chosenCost, leastOther time.Duration
	others := false
	for _, o := range open {
		way := time.Duration(0)
		if !o.sameZone {
			way = o.crossZoneCost()
		}
		switch {
		case o.index == chosen:
			chosenCost = way
		case !others || way < leastOther:
			others, leastOther = true, way
		}
	}
	if !others {
		return 0
	}
	return rerouteRoundTrip + max(0, leastOther-chosenCost)
}

// option is a candidate that may be chosen, with what is known of it.
type option struct {
	index int
	Candidate
	target   *targetState
	sameZone bool // in the own zone
	// bytes is the expected size of the answer.
	bytes     float64
	objective time.Duration
	// sampleKey is when it is drawn: the lowest ones are.
	sampleKey float64
}

// defaultLoad is what is assumed of targets that have stated nothing lately.
type defaultLoad struct {
	mean        time.Duration
	utilisation float64 // busy requests by slots, 1 at most: that one target is overloaded says little about the others
}

// meanLoad returns the mean of what the options stated last.
func meanLoad(options []option) defaultLoad {
	u, stated := defaultLoad{}, 0
	for _, o := range options {
		if l := o.target.load; l.MeanServiceTime > 0 {
			stated++
			u.mean += l.MeanServiceTime
			u.utilisation += float64(l.Outstanding) / float64(max(1, l.Slots))
		}
	}
	if stated == 0 {
		return defaultLoad{mean: defaultServiceTime}
	}
	return defaultLoad{u.mean / time.Duration(stated), min(1, u.utilisation/float64(stated))}
}

// freshOrSampled returns the options whose load is fresh, and drawn ones of the others. Those that are quicker are drawn more often, in
// the ratio of the requests that they can bear.
func freshOrSampled(now clock.Instant, options []option, defaults defaultLoad) []option {
	var fresh, stale []option
	for _, o := range options {
		if o.fresh(now) {
			fresh = append(fresh, o)
			continue
		}
		o.sampleKey = rand.ExpFloat64() / o.capacity(defaults)
		stale = append(stale, o)
	}
	slices.SortFunc(stale, func(a, b option) int { return cmp.Compare(a.sampleKey, b.sampleKey) })
	return append(fresh, stale[:min(staleSampleSize, len(stale))]...)
}

func (o *option) fresh(now clock.Instant) bool { return now.Sub(o.target.loadReportedAt) < maxLoadAge }

// serviceTime returns the service time.
func (o *option) serviceTime(defaults defaultLoad) time.Duration {
	if o.target.load.MeanServiceTime == 0 {
		return defaults.mean
	}
	return o.target.load.MeanServiceTime
}

// capacity returns how many requests a second the target can bear, and more for one in the own zone.
func (o *option) capacity(defaults defaultLoad) float64 {
	capacity := float64(max(1, o.Slots)) / o.serviceTime(defaults).Seconds()
	if rate := o.target.load.LinkBytesPerSecond; rate > 0 {
		capacity = min(capacity, rate/o.bytes)
	}
	if o.sameZone {
		capacity *= min(maxSameZoneWeight, sameZoneWeight+sameZoneWeightPerKiB*o.bytes/1024)
	}
	return capacity
}

// cost is the expected time to the answer, with a little noise that keeps nodes from choosing alike.
func (o *option) cost(now clock.Instant, defaults defaultLoad) time.Duration {
	mean, slots := o.serviceTime(defaults), max(1, o.Slots)
	if o.target.load.Slowdown > 1 && now.Sub(o.target.loadReportedAt) < maxSlowdownAge {
		mean = time.Duration(float64(mean) * o.target.load.Slowdown)
	}
	stated := o.target.load.Outstanding
	if !o.fresh(now) {
		stated = int(defaults.utilisation * float64(slots))
	}
	busy := max(o.target.inFlight, stated)
	cost := mean + time.Duration(float64(mean)*float64(busy)/float64(slots))
	if busy >= slots {
		cost += time.Duration(float64(mean) * float64(busy-slots+1) / float64(slots))
	}
	if rate := o.target.load.LinkBytesPerSecond; rate > 0 {
		if o.bytes >= dispatch.LargeResponseSize { // Smaller ones overtake it.
			cost += max(0, o.linkQueueDelay(now)-mean)
		}
		cost += time.Duration(o.bytes / rate * float64(time.Second))
	}
	if !o.sameZone {
		cost += o.crossZoneCost()
	}
	return cost + time.Duration(rand.Int64N(int64(mean)/16+1))
}

// crossZoneCost is what an answer from another zone is held to cost.
func (o *option) crossZoneCost() time.Duration {
	cost := crossZonePenalty + time.Duration(o.bytes/1024*float64(crossZonePenaltyPerKiB))
	if o.objective > 0 {
		cost = min(cost, time.Duration(maxCrossZoneShare*float64(o.objective)))
	}
	return cost
}

// linkQueueDelay returns the expected wait for the host's link. What was stated fades, so that the host is asked again after a while.
func (o *option) linkQueueDelay(now clock.Instant) time.Duration {
	left := 1 - now.Sub(o.target.loadReportedAt).Seconds()/linkQueueFadeTime.Seconds()
	return time.Duration(max(0, left) * float64(o.target.load.LinkQueueDelay))
}

// RecordSent counts a request on its way to the host.
func (p *Balancer) RecordSent(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(host).inFlight++
}

// RecordResponse ends a request. A nil load says that the answer stated none.
func (p *Balancer) RecordResponse(now clock.Instant, host string, load *Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.target(host)
	q.inFlight--
	if load != nil {
		q.load, q.loadReportedAt, q.failures, q.ejectedUntil = *load, now, 0, 0
	}
}

// RecordUnreachable ends a request that did not reach the host, and leaves the host out for a while.
func (p *Balancer) RecordUnreachable(now clock.Instant, host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.target(host)
	q.inFlight--
	if now < q.ejectedUntil {
		return q.ejectedUntil.Sub(now)
	}
	pause := min(maxEjection, minEjection<<min(q.failures, 8))
	q.failures++
	q.ejectedUntil = now.Add(pause)
	return pause
}

// EjectedFor returns how long the host is left out, 0 if it is not.
func (p *Balancer) EjectedFor(now clock.Instant, host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.targets[host]; q != nil && now < q.ejectedUntil {
		return q.ejectedUntil.Sub(now)
	}
	return 0
}
