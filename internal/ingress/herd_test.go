package ingress

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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

// playedTarget runs up to slots requests at once, the others wait.
type playedTarget struct {
	speed   float64
	running int
	queue   []func(now clock.Instant)
}

// The load: 60 nodes send 10 requests a second each to 14 targets of 18 slots whose speeds differ by a factor of 3, two thirds of
// what these bear. A node hears from a target about once a second, so that what it knows is old. Work takes 110 ms at speed 1;
// the latency objective is 400 ms.
func TestManyNodesDoNotHerd(t *testing.T) {
	const nodes, targets, slots, objective, share = 60, 14, 18, 400 * time.Millisecond, 0.65
	work := 110 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var events agenda
	after := func(now clock.Instant, d time.Duration, run func(clock.Instant)) {
		heap.Push(&events, happening{now.Add(d), run})
	}
	played := map[string]*playedTarget{}
	var candidates []Candidate
	capacity := 0.0
	for i := range targets {
		speed := []float64{0.5, 1, 1, 1.6}[i%4]
		host := fmt.Sprintf("h%d", i)
		played[host] = &playedTarget{speed: speed}
		candidates = append(candidates, Candidate{host, fmt.Sprint("z", i%4), slots})
		capacity += slots * speed / work.Seconds()
	}
	var pools []*Pool
	for i := range nodes {
		pools = append(pools, NewPool(fmt.Sprint("z", i%4)))
	}
	total, inTime, most := 0, 0, map[string]int{}
	var arrive func(now clock.Instant)
	arrive = func(now clock.Instant) {
		after(now, time.Duration(random.ExpFloat64()/(share*capacity)*float64(time.Second)), arrive)
		pool := pools[random.IntN(nodes)]
		host := candidates[pool.Choose(now, candidates, false, nil)].Host
		target := played[host]
		pool.Sent(host)
		run := func(started clock.Instant) {
			target.running++
			took := time.Duration(float64(work) / target.speed * (0.5 + random.Float64()))
			after(started, took, func(done clock.Instant) {
				target.running--
				if len(target.queue) > 0 {
					next := target.queue[0]
					target.queue = target.queue[1:]
					next(done)
				}
				pool.Answered(done, host, &Load{Busy: target.running + len(target.queue), Slots: slots, Mean: time.Duration(float64(work) / target.speed)})
				if now > at(5_000) {
					total++
					most[host]++
					if done.Sub(now) <= objective {
						inTime++
					}
				}
			})
		}
		if target.running < slots {
			run(now)
		} else {
			target.queue = append(target.queue, run)
		}
	}
	arrive(at(0))
	for len(events) > 0 && events[0].at < at(30_000) {
		e := heap.Pop(&events).(happening)
		e.run(e.at)
	}
	require.Greater(t, total, 10_000)
	t.Logf("%d of %d requests in time", inTime, total)
	require.Greater(t, float64(inTime)/float64(total), 0.95)
}
