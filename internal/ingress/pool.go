package ingress

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/dispatch"
)

const (
	// crossZonePenalty is added to the expected latency of a target in another zone for the round trip between zones.
	crossZonePenalty = 5 * time.Millisecond
	// crossZonePenaltyPerKiB is added for each KiB of the response, because traffic between zones costs operators
	// money.
	crossZonePenaltyPerKiB = 10 * time.Millisecond
	// maxCrossZoneShare bounds the sum of both as a share of the latency objective, so that callers don't wait longer
	// only to save traffic.
	maxCrossZoneShare = 1
	// minEjection and maxEjection bound how long an unreachable target is ejected.
	minEjection = 300 * time.Millisecond
	maxEjection = 3 * time.Second
	// maxLoadAge is how long a reported load is valid.
	maxLoadAge = 500 * time.Millisecond
	// rerouteRoundTrip is the cost of a refusal by a slow target.
	rerouteRoundTrip = 3 * time.Millisecond
	// maxSlowdownAge is how long a reported slowdown is valid: load from neighbours on the target's host changes
	// quickly.
	maxSlowdownAge = 200 * time.Millisecond
	// linkQueueFadeTime is the time over which a reported queueing delay of a host's link fades to zero. The delay can't
	// be assumed to drain at the rate of the link, because other nodes refill the queue.
	linkQueueFadeTime = 3 * time.Second
	// sampleSize is the number of targets that are compared. Two random ones are nearly as good as all with known load. A
	// comparison of all with known load made nodes follow the same reports: in the simulated load of TestPooledTargetsShareLoad
	// at 0.6 of the capacity the 99th percentile was 619 ms, against 523 ms with two.
	sampleSize = 2
	// comfortableShare is the share of the latency objective within which differences in service time don't count. The
	// sample is already weighted by speed; comparing service times as well gave the fastest targets 2.3 times the mean
	// load where they are 1.5 times as fast.
	comfortableShare = 0.5
	// sameZoneWeight is the factor by which a target in the same zone is sampled more often, because traffic between
	// zones costs money.
	sameZoneWeight = 2
	// sameZoneWeightPerKiB is added to it for each KiB of the response, up to maxSameZoneWeight.
	sameZoneWeightPerKiB = 0.2
	maxSameZoneWeight    = 16
	// sizeWeight is the weight of one response in the moving average of a route's response size.
	sizeWeight = 0.05
	// defaultResponseBytes and defaultLargeResponseBytes are the response sizes assumed for a route before its first
	// response.
	defaultResponseBytes      = 4 << 10
	defaultLargeResponseBytes = 64 << 10
	// defaultServiceTime is the service time assumed before any target has reported one.
	defaultServiceTime = 50 * time.Millisecond
)

// Load is the load that a target's node reports with its responses.
type Load struct {
	// Outstanding is the number of requests that run or wait.
	Outstanding int
	Slots       int
	// MeanServiceTime is the mean service time, 0 if unknown.
	MeanServiceTime time.Duration
	// LinkQueueDelay is the queueing delay at the host's link, and LinkBytesPerSecond the rate of the link, 0 if
	// unknown.
	LinkQueueDelay     time.Duration
	LinkBytesPerSecond float64
	// Slowdown is the ratio of the current to the usual service time, 0 if unknown.
	Slowdown float64
	// RemainingWork is the time that the running and waiting requests are expected to occupy slots, if WorkKnown is set.
	RemainingWork time.Duration
	WorkKnown     bool
}

// targetState is what this node knows of one target.
type targetState struct {
	load           Load
	loadReportedAt clock.Instant
	inFlight       int // requests from this node
	failures       int
	ejectedUntil   clock.Instant
}

// Balancer chooses among the targets of pooled services and ejects unreachable hosts. It is safe for concurrent use.
type Balancer struct {
	zone    string
	mu      sync.Mutex
	targets map[string]*targetState
	// responseSizes holds the mean response size of each route in bytes.
	responseSizes map[string]float64
}

// NewBalancer returns a balancer for a node in the given zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{zone: zone, targets: map[string]*targetState{}, responseSizes: map[string]float64{}}
}

// RequestInfo describes a request before it is sent.
type RequestInfo struct {
	Route string
	// LargeResponse says that a large response is expected.
	LargeResponse bool
	// Objective is the latency objective of the route, 0 if it has none.
	Objective time.Duration
}

// RecordResponseSize records the size of a response.
func (p *Balancer) RecordResponseSize(info RequestInfo, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.responseSize(info)
	p.responseSizes[info.Route] = old + sizeWeight*(float64(bytes)-old)
}

func (p *Balancer) responseSize(info RequestInfo) float64 {
	if size, ok := p.responseSizes[info.Route]; ok {
		return size
	}
	if info.LargeResponse {
		return defaultLargeResponseBytes
	}
	return defaultResponseBytes
}

// RetainRoutes drops the statistics of all routes not in the set.
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

// Choose returns the index of the candidate with the least expected cost, or -1 if there is none, and the cost of
// rerouting the request from there to another candidate, 0 if there is no other. tried holds the hosts that already got
// the request. A node compares only a random sample of the candidates: all nodes rank the same targets as fast or idle,
// so they would all choose the same one.
func (p *Balancer) Choose(now clock.Instant, candidates []Candidate, info RequestInfo, tried map[string]bool) (chosen int, rerouteCost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	open, defaults := p.options(now, candidates, info, tried)
	best, bestCost := -1, time.Duration(0)
	for _, o := range sample(open, defaults) {
		if cost := o.cost(now, defaults); best < 0 || cost < bestCost {
			best, bestCost = o.index, cost
		}
	}
	return best, rerouteCostOf(open, best)
}

// options returns the candidates that may be chosen, and the load that is assumed for those without a fresh report. Ejected
// hosts may be chosen only if there is no other.
func (p *Balancer) options(now clock.Instant, candidates []Candidate, info RequestInfo, tried map[string]bool) ([]option, defaultLoad) {
	bytes := p.responseSize(info)
	var all, open, ejected []option
	for i, c := range candidates {
		o := option{index: i, Candidate: c, target: p.target(c.Host), sameZone: c.Zone == p.zone, bytes: bytes, objective: info.Objective}
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
	return open, meanLoad(all)
}

// rerouteCostOf returns the cost of rerouting a request from the chosen option to another one: a round trip between
// nodes, plus the extra cross-zone cost if all other options are in other zones.
func rerouteCostOf(open []option, chosen int) time.Duration {
	var chosenCost, leastOther time.Duration
	others := false
	for _, o := range open {
		crossCost := time.Duration(0)
		if !o.sameZone {
			crossCost = o.crossZoneCost()
		}
		switch {
		case o.index == chosen:
			chosenCost = crossCost
		case !others || crossCost < leastOther:
			others, leastOther = true, crossCost
		}
	}
	if !others {
		return 0
	}
	return rerouteRoundTrip + max(0, leastOther-chosenCost)
}

// option is a candidate together with what is known of its target.
type option struct {
	index int
	Candidate
	target   *targetState
	sameZone bool // in the zone of this node
	// bytes is the expected size of the response.
	bytes     float64
	objective time.Duration
	// sampleKey is the random key of the weighted sample: the options with the lowest keys are taken.
	sampleKey float64
}

// defaultLoad is the load assumed for targets without a fresh report.
type defaultLoad struct {
	mean        time.Duration
	utilisation float64 // outstanding requests per slot, at most 1: the overload of one target says little about the others
}

// meanLoad returns the mean of the last reports of the options.
func meanLoad(options []option) defaultLoad {
	u, reports := defaultLoad{}, 0
	for _, o := range options {
		if l := o.target.load; l.MeanServiceTime > 0 {
			reports++
			u.mean += l.MeanServiceTime
			u.utilisation += float64(l.Outstanding) / float64(max(1, l.Slots))
		}
	}
	if reports == 0 {
		return defaultLoad{mean: defaultServiceTime}
	}
	return defaultLoad{u.mean / time.Duration(reports), min(1, u.utilisation/float64(reports))}
}

// sample returns a random sample of the options, weighted by capacity. It reorders them.
func sample(options []option, defaults defaultLoad) []option {
	for i := range options {
		options[i].sampleKey = rand.ExpFloat64() / options[i].capacity(defaults)
	}
	n := min(sampleSize, len(options))
	for i := range n {
		least := i
		for k := i + 1; k < len(options); k++ {
			if options[k].sampleKey < options[least].sampleKey {
				least = k
			}
		}
		options[i], options[least] = options[least], options[i]
	}
	return options[:n]
}

func (o *option) fresh(now clock.Instant) bool { return now.Sub(o.target.loadReportedAt) < maxLoadAge }

// serviceTime returns the mean service time that the target reported last, or the default if it reported none.
func (o *option) serviceTime(defaults defaultLoad) time.Duration {
	if o.target.load.MeanServiceTime == 0 {
		return defaults.mean
	}
	return o.target.load.MeanServiceTime
}

// capacity returns the number of requests per second that the target sustains, times a weight if it is in the same
// zone.
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

// cost returns the expected cost and a small random amount that keeps nodes from all choosing the same target.
func (o *option) cost(now clock.Instant, defaults defaultLoad) time.Duration {
	return o.expectedCost(now, defaults) + time.Duration(rand.Int64N(int64(o.currentServiceTime(now, defaults))/16+1))
}

// currentServiceTime returns the service time of the target with its slowdown, as far as that is known.
func (o *option) currentServiceTime(now clock.Instant, defaults defaultLoad) time.Duration {
	service := o.serviceTime(defaults)
	if o.target.load.Slowdown > 1 && now.Sub(o.target.loadReportedAt) < maxSlowdownAge {
		return time.Duration(float64(service) * o.target.load.Slowdown)
	}
	return service
}

// expectedCost returns the expected latency beyond the service time, the part of the service time that makes the latency
// exceed the comfortable share of the objective, and the cross-zone cost.
func (o *option) expectedCost(now clock.Instant, defaults defaultLoad) time.Duration {
	service := o.serviceTime(defaults)
	mean := o.currentServiceTime(now, defaults)
	extra := mean - service + o.expectedWait(now, mean, defaults)
	if rate := o.target.load.LinkBytesPerSecond; rate > 0 {
		if o.bytes >= dispatch.LargeResponseSize { // Small responses overtake large ones.
			extra += max(0, o.linkQueueDelay(now)-mean)
		}
		extra += time.Duration(o.bytes / rate * float64(time.Second))
	}
	comfortable := time.Duration(comfortableShare * float64(o.objective))
	cost := extra + service - min(service, max(0, comfortable-extra))
	if !o.sameZone {
		cost += o.crossZoneCost()
	}
	return cost
}

// crossZoneCost returns the cost of a response from another zone, as latency.
func (o *option) crossZoneCost() time.Duration {
	cost := crossZonePenalty + time.Duration(o.bytes/1024*float64(crossZonePenaltyPerKiB))
	if o.objective > 0 {
		cost = min(cost, time.Duration(maxCrossZoneShare*float64(o.objective)))
	}
	return cost
}

// linkQueueDelay returns the expected queueing delay at the host's link. The reported delay fades, so that the host
// gets requests again after a while.
func (o *option) linkQueueDelay(now clock.Instant) time.Duration {
	left := 1 - now.Sub(o.target.loadReportedAt).Seconds()/linkQueueFadeTime.Seconds()
	return time.Duration(max(0, left) * float64(o.target.load.LinkQueueDelay))
}

// RecordSent records a request sent to the host.
func (p *Balancer) RecordSent(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.target(host)
	q.inFlight++
}

// RecordResponse records the end of a request. A nil load means that the response reported none.
func (p *Balancer) RecordResponse(now clock.Instant, host string, load *Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.target(host)
	q.inFlight--
	if load != nil {
		q.load, q.loadReportedAt, q.failures, q.ejectedUntil = *load, now, 0, 0
	}
}

// RecordUnreachable records that a request did not reach the host, ejects the host and returns for how long.
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

// EjectedFor returns for how much longer the host is ejected, 0 if it is not.
func (p *Balancer) EjectedFor(now clock.Instant, host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.targets[host]; q != nil && now < q.ejectedUntil {
		return q.ejectedUntil.Sub(now)
	}
	return 0
}
