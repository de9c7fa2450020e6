package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// remotePenalty is added to the expected wait of a target in another zone: it costs a round trip between zones.
	remotePenalty = 5 * time.Millisecond
	// remoteBulkPenalty is the same for large answers, whose bytes between zones are what operators pay for.
	remoteBulkPenalty = 250 * time.Millisecond
	// firstEject and maxEject bound how long a target that could not be reached is left out.
	firstEject = 300 * time.Millisecond
	maxEject   = 3 * time.Second
	// staleLoad is how long the load that an answer stated is believed.
	staleLoad = 500 * time.Millisecond
	// drawn is the number of targets of unknown load that are compared: two random ones are nearly as good as all with
	// known loads.
	drawn = 2
	// ownZoneWeight is how much more often a target in the own zone is drawn, since bytes between zones cost.
	ownZoneWeight = 2
	// ownZoneBulkWeight is the same for large answers.
	ownZoneBulkWeight = 16
	// unknownService is the service time that is assumed for a target before its first answer.
	unknownService = 50 * time.Millisecond
)

// Load is what a target's node states in its answers.
type Load struct {
	// Busy is the number of requests that run or wait.
	Busy  int
	Slots int
	// Mean is the mean service time.
	Mean time.Duration
}

// peer is what this node knows of one target.
type peer struct {
	load    Load
	loadAt  clock.Instant
	sent    int // in flight from this node
	failed  int
	ejected clock.Instant
}

// Pool chooses among the targets of pooled services, and remembers hosts that could not be reached. It is safe for
// concurrent use.
type Pool struct {
	zone  string
	mu    sync.Mutex
	peers map[string]*peer
}

// NewPool returns a pool for a node in the zone.
func NewPool(zone string) *Pool { return &Pool{zone: zone, peers: map[string]*peer{}} }

// Candidate is a target that may get the request.
type Candidate struct {
	Host  string
	Zone  string
	Slots int
}

func (p *Pool) peer(host string) *peer {
	q := p.peers[host]
	if q == nil {
		q = &peer{}
		p.peers[host] = q
	}
	return q
}

// Choose returns the index of the candidate with the least expected wait, or -1 if there is none. tried holds the
// hosts that had the request already. All nodes know the same targets as quick, so that a node compares only those whose load
// it knows and a few that it draws: nodes that know nothing new would all choose the same one.
func (p *Pool) Choose(now clock.Instant, candidates []Candidate, bulk bool, tried map[string]bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []int
	for _, ejectedToo := range []bool{false, true} {
		for i, c := range candidates {
			if !tried[c.Host] && (ejectedToo || now >= p.peer(c.Host).ejected) {
				open = append(open, i)
			}
		}
		if len(open) > 0 {
			break
		}
	}
	usual := p.usual(candidates)
	best, bestCost := -1, time.Duration(0)
	for _, i := range p.known(now, candidates, open, bulk, usual) {
		c := candidates[i]
		if cost := p.cost(now, p.peer(c.Host), c, bulk, usual); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// usualLoad is what is assumed of targets that have stated nothing lately.
type usualLoad struct {
	mean  time.Duration
	ratio float64 // busy requests by slots, 1 at most: that one target is overloaded says little about the others
}

// usual returns the mean of what the candidates stated last.
func (p *Pool) usual(candidates []Candidate) usualLoad {
	u, stated := usualLoad{}, 0
	for _, c := range candidates {
		if l := p.peer(c.Host).load; l.Mean > 0 {
			stated++
			u.mean += l.Mean
			u.ratio += float64(l.Busy) / float64(max(1, l.Slots))
		}
	}
	if stated == 0 {
		return usualLoad{mean: unknownService}
	}
	return usualLoad{u.mean / time.Duration(stated), min(1, u.ratio/float64(stated))}
}

// known returns the open candidates whose load is fresh, and drawn ones of the others. Those that are quicker are drawn more
// often, in the ratio of the requests that they can bear.
func (p *Pool) known(now clock.Instant, candidates []Candidate, open []int, bulk bool, usual usualLoad) []int {
	var compared, stale []int
	for _, i := range open {
		if now.Sub(p.peer(candidates[i].Host).loadAt) < staleLoad {
			compared = append(compared, i)
		} else {
			stale = append(stale, i)
		}
	}
	for range min(drawn, len(stale)) {
		total := 0.0
		for _, i := range stale {
			total += p.capacity(candidates[i], bulk, usual)
		}
		at := rand.Float64() * total
		pick := 0
		for pick < len(stale)-1 {
			if at -= p.capacity(candidates[stale[pick]], bulk, usual); at < 0 {
				break
			}
			pick++
		}
		compared = append(compared, stale[pick])
		stale = append(stale[:pick], stale[pick+1:]...)
	}
	return compared
}

// capacity returns how many requests a second the target can bear, and more for one in the own zone.
func (p *Pool) capacity(c Candidate, bulk bool, usual usualLoad) float64 {
	mean := p.peer(c.Host).load.Mean
	if mean == 0 {
		mean = usual.mean
	}
	capacity := float64(max(1, c.Slots)) / mean.Seconds()
	switch {
	case c.Zone == p.zone && bulk:
		capacity *= ownZoneBulkWeight
	case c.Zone == p.zone:
		capacity *= ownZoneWeight
	}
	return capacity
}

// cost is the expected time to the answer, with a little noise that keeps nodes from choosing alike.
func (p *Pool) cost(now clock.Instant, q *peer, c Candidate, bulk bool, usual usualLoad) time.Duration {
	mean, slots := q.load.Mean, max(1, c.Slots)
	if mean == 0 {
		mean = usual.mean
	}
	busy := max(q.sent, q.load.Busy)
	if now.Sub(q.loadAt) >= staleLoad {
		busy = max(q.sent, int(usual.ratio*float64(slots)))
	}
	cost := mean + time.Duration(float64(mean)*float64(busy)/float64(slots))
	if busy >= slots {
		cost += time.Duration(float64(mean) * float64(busy-slots+1) / float64(slots))
	}
	if c.Zone != p.zone {
		if bulk {
			cost += remoteBulkPenalty
		} else {
			cost += remotePenalty
		}
	}
	return cost + time.Duration(rand.Int64N(int64(mean)/16+1))
}

// Sent counts a request on its way to the host.
func (p *Pool) Sent(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer(host).sent++
}

// Answered ends a request. A nil load says that the answer stated none.
func (p *Pool) Answered(now clock.Instant, host string, load *Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.peer(host)
	q.sent--
	if load != nil {
		q.load, q.loadAt, q.failed, q.ejected = *load, now, 0, 0
	}
}

// Unreachable ends a request that did not reach the host, and leaves the host out for a while.
func (p *Pool) Unreachable(now clock.Instant, host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.peer(host)
	q.sent--
	if now < q.ejected {
		return q.ejected.Sub(now)
	}
	pause := min(maxEject, firstEject<<min(q.failed, 8))
	q.failed++
	q.ejected = now.Add(pause)
	return pause
}

// Ejected returns how long the host is left out, 0 if it is not.
func (p *Pool) Ejected(now clock.Instant, host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.peers[host]; q != nil && now < q.ejected {
		return q.ejected.Sub(now)
	}
	return 0
}

// Keep forgets hosts that are not in the set and have no requests in flight.
func (p *Pool) Keep(hosts map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, q := range p.peers {
		if !hosts[host] && q.sent == 0 {
			delete(p.peers, host)
		}
	}
}
