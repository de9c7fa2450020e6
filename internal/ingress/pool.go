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
// hosts that had the request already.
func (p *Pool) Choose(now clock.Instant, candidates []Candidate, bulk bool, tried map[string]bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := -1, time.Duration(0)
	for _, ejectedToo := range []bool{false, true} {
		for i, c := range candidates {
			q := p.peer(c.Host)
			if tried[c.Host] || !ejectedToo && now < q.ejected {
				continue
			}
			if cost := p.cost(now, q, c, bulk); best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best >= 0 {
			break
		}
	}
	return best
}

// cost is the expected time to the answer, with a little noise that keeps nodes from choosing alike.
func (p *Pool) cost(now clock.Instant, q *peer, c Candidate, bulk bool) time.Duration {
	mean, busy := q.load.Mean, q.sent
	if now.Sub(q.loadAt) < staleLoad {
		busy = max(busy, q.load.Busy)
	}
	if mean == 0 {
		mean = unknownService
	}
	slots := max(1, c.Slots)
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
