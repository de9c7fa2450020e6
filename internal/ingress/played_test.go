package ingress

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// happening is something that takes place at an instant of a played load.
type happening struct {
	at  clock.Instant
	run func(now clock.Instant)
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// playedClass is a kind of request of a played load.
type playedClass struct {
	name      string
	perSecond float64
	work      time.Duration // at speed 1
	bytes     int
	objective time.Duration
	bulk      bool
}

// playedHost is a target host that runs up to slots requests at once; the others wait. Answers leave one after the other.
type playedHost struct {
	speed    float64
	slots    int
	linkRate float64 // bytes a second, 0 if it never binds
	running  int
	queue    []func(now clock.Instant)
	free     clock.Instant // when the link is free
	pending  float64       // bytes of the answers of what runs
	// slow says in which windows of slowWindow work that starts takes three times as long; nil means never.
	slow []bool
}

const slowWindow = 400 * time.Millisecond

func (h *playedHost) factor(now clock.Instant) float64 {
	if h.slow != nil && h.slow[int(now.Sub(at(0))/slowWindow)] {
		return 3
	}
	return 1
}

// load returns what the host states in an answer.
func (h *playedHost) load(now clock.Instant, mean time.Duration) *Load {
	l := &Load{Outstanding: h.running + len(h.queue), Slots: h.slots, MeanServiceTime: time.Duration(float64(mean) / h.speed), LinkBytesPerSecond: h.linkRate, Slowdown: h.factor(now)}
	if h.linkRate > 0 {
		l.LinkQueueDelay = max(0, h.free.Sub(now)) + time.Duration(h.pending/h.linkRate*float64(time.Second))
	}
	return l
}

// played is a load on pooled targets without a network.
type played struct {
	random     *rand.Rand
	events     agenda
	hosts      map[string]*playedHost
	candidates []Candidate
	pools      []*Balancer
	// moves says that a slow host passes requests on, up to twice each.
	moves bool
	mean  time.Duration
	// total and inTime count the answers by class from warm on.
	warm          clock.Instant
	total, inTime map[string]int
	busiest       map[string]int
}

func newPlayed() *played {
	return &played{random: rand.New(rand.NewPCG(1, 2)), hosts: map[string]*playedHost{}, total: map[string]int{}, inTime: map[string]int{}, busiest: map[string]int{}}
}

func (p *played) after(now clock.Instant, d time.Duration, run func(clock.Instant)) {
	heap.Push(&p.events, happening{now.Add(d), run})
}

func (p *played) host(name, zone string, h *playedHost) {
	p.hosts[name] = h
	p.candidates = append(p.candidates, Candidate{name, zone, h.slots})
}

// play plays the load until the instant.
func (p *played) play(classes []playedClass, until clock.Instant) {
	work, rate := 0.0, 0.0
	for _, c := range classes {
		work += c.perSecond * c.work.Seconds()
		rate += c.perSecond
	}
	p.mean = time.Duration(work / rate * float64(time.Second))
	for _, c := range classes {
		p.arrivals(at(0), c)
	}
	for len(p.events) > 0 && p.events[0].at < until {
		e := heap.Pop(&p.events).(happening)
		e.run(e.at)
	}
}

func (p *played) arrivals(now clock.Instant, c playedClass) {
	p.after(now, time.Duration(p.random.ExpFloat64()/c.perSecond*float64(time.Second)), func(now clock.Instant) {
		p.arrivals(now, c)
		p.arrive(now, c)
	})
}

func (p *played) arrive(now clock.Instant, c playedClass) {
	pool := p.pools[p.random.IntN(len(p.pools))]
	ask := RequestInfo{Route: c.name, LargeResponse: c.bulk}
	name := p.choose(now, pool, ask, c)
	h := p.hosts[name]
	pool.RecordSent(name)
	answered := func(done clock.Instant) {
		pool.RecordResponse(done, name, h.load(done, p.mean))
		pool.RecordResponseSize(ask, int64(c.bytes))
		if now < p.warm {
			return
		}
		p.total[c.name]++
		p.busiest[name]++
		if done.Sub(now) <= c.objective {
			p.inTime[c.name]++
		}
	}
	run := func(started clock.Instant) {
		h.running++
		h.pending += float64(c.bytes)
		took := time.Duration(float64(c.work) / h.speed * h.factor(started) * (0.5 + p.random.Float64()))
		p.after(started, took, func(done clock.Instant) {
			h.running--
			h.pending -= float64(c.bytes)
			if len(h.queue) > 0 {
				next := h.queue[0]
				h.queue = h.queue[1:]
				next(done)
			}
			left := done
			if h.linkRate > 0 {
				h.free = max(h.free, done).Add(time.Duration(float64(c.bytes) / h.linkRate * float64(time.Second)))
				left = h.free
			}
			p.after(left, 0, answered)
		})
	}
	if h.running < h.slots {
		run(now)
	} else {
		h.queue = append(h.queue, run)
	}
}

// choose returns the host that runs the request.
func (p *played) choose(now clock.Instant, pool *Balancer, ask RequestInfo, c playedClass) string {
	tried := map[string]bool{}
	for {
		i, moveCost := pool.Choose(now, p.candidates, ask, tried)
		name := p.candidates[i].Host
		h := p.hosts[name]
		longer := time.Duration((h.factor(now) - 1) * float64(c.work) / h.speed)
		if h.running >= h.slots {
			longer += time.Duration(float64(len(h.queue)+1) * float64(c.work) / h.speed / float64(h.slots))
		}
		if !p.moves || len(tried) == 2 || longer <= moveCost {
			return name
		}
		tried[name] = true
		pool.RecordSent(name)
		pool.RecordResponse(now, name, h.load(now, p.mean))
	}
}

// share returns which part of the class was answered within its objective.
func (p *played) share(class string) float64 {
	return float64(p.inTime[class]) / float64(p.total[class])
}
