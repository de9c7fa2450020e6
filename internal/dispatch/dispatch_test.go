package dispatch

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

func at(ms float64) clock.Instant {
	return clock.Instant(100 * time.Second).Add(time.Duration(ms * float64(time.Millisecond)))
}

func request(route string, priority int, now clock.Instant, objective, deadline time.Duration) Request {
	return Request{Route: route, Priority: priority, Objective: objective, SoftDeadline: now.Add(objective), Deadline: now.Add(deadline)}
}

func TestAdmitRefusesRequestsThatWouldMissTheObjective(t *testing.T) {
	c := NewScheduler(2)
	admitted := 0
	var refusal *Refusal
	for refusal == nil {
		_, refusal = c.Admit(at(0), request("r", 1, at(0), 500*time.Millisecond, time.Second))
		c.Poll(at(0))
		if refusal == nil {
			admitted++
		}
	}
	// Each takes 0.15 s on one of two slots: requests that start within 0.35 s meet the objective.
	require.InDelta(t, 2+4, admitted, 1)
	require.Equal(t, Overload, refusal.Reason)
	require.GreaterOrEqual(t, refusal.RetryAfter, 250*time.Millisecond)
	require.LessOrEqual(t, refusal.RetryAfter, 500*time.Millisecond)
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	c := NewScheduler(1)
	first, _ := c.Admit(at(0), request("r", 2, at(0), time.Second, 2*time.Second))
	c.Poll(at(0))
	low, _ := c.Admit(at(1), request("r", 2, at(1), time.Second, 2*time.Second))
	high, _ := c.Admit(at(2), request("r", 0, at(2), time.Second, 2*time.Second))
	c.Done(at(100), first, true)
	require.Equal(t, []*Ticket{high}, c.Poll(at(100)))
	c.Done(at(200), high, true)
	require.Equal(t, []*Ticket{low}, c.Poll(at(200)))
}

// Guards against sending a cold target more requests per second than it sustains.
func TestColdTargetIsRateLimited(t *testing.T) {
	const perSecond = 28
	c := NewScheduler(18)
	c.SetColdRate(perSecond)
	c.SetColdUntil(at(0), at(3000))
	var starts []float64
	for ms := 0.0; ms < 3000; ms++ {
		ticket, _ := c.Admit(at(ms), request("r", 1, at(ms), 500*time.Millisecond, time.Second))
		_ = ticket
		for _, started := range c.Poll(at(ms)) {
			if started.refused == nil {
				starts = append(starts, ms)
				c.Done(at(ms), started, false)
			}
		}
	}
	for i := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s < starts[i]+1000 {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), perSecond*1.5+5)
	}
	require.Greater(t, len(starts), 3*perSecond)
}

// Guards against an unlimited rate at a cold target whose first heartbeat arrives before the configuration.
func TestColdTargetIsRateLimitedBeforeConfiguration(t *testing.T) {
	c := NewScheduler(18)
	c.SetColdUntil(at(0), at(3000))
	starts := 0
	for ms := 0.0; ms < 1000; ms++ {
		_, _ = c.Admit(at(ms), request("r", 1, at(ms), 500*time.Millisecond, time.Second))
		for _, started := range c.Poll(at(ms)) {
			if started.refused == nil {
				starts++
				c.Done(at(ms), started, false)
			}
		}
	}
	require.LessOrEqual(t, starts, 16)
}

func TestControllerCancelsAndReleases(t *testing.T) {
	c := NewController(clock.Boot{}, 1, nil)
	now := clock.Boot{}.Now()
	r := request("r", 1, now, 10*time.Second, 20*time.Second)
	first, refusal, err := c.Acquire(t.Context(), r)
	require.NoError(t, err)
	require.Nil(t, refusal)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, _, err = c.Acquire(ctx, r)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	done := make(chan struct{})
	go func() {
		defer close(done)
		second, refusal, err := c.Acquire(t.Context(), r)
		if err == nil && refusal == nil {
			c.Release(second, true, 0)
		}
	}()
	c.Release(first, true, 0)
	<-done
	stats, _ := c.Stats()
	require.Equal(t, Stats{Slots: 1, MeanServiceTime: stats.MeanServiceTime, Slowdown: 1}, stats)
}

// completions is a heap of running tickets ordered by the time at which they complete.
type completions []completion

type completion struct {
	at     float64
	ticket *Ticket
}

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Load: twice the capacity of 18 slots, a third of it high priority. Guards against queueing that makes all requests
// late: nearly all of the capacity has to go into responses that meet their objective, and high-priority requests run
// first.
func TestOverloadMeetsTheObjective(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := NewScheduler(18)
	var running completions
	inTime, late, urgent, urgentInTime := 0, 0, 0, 0
	step := 1000.0 / 225 // arrivals per second at 160 ms on 18 slots: twice the capacity
	finish := func(until float64) {
		for len(running) > 0 && running[0].at <= until {
			e := heap.Pop(&running).(completion)
			c.Done(at(e.at), e.ticket, true)
			if at(e.at) <= e.ticket.SoftDeadline {
				inTime++
				if e.ticket.Priority == 1 {
					urgentInTime++
				}
			} else {
				late++
			}
			for _, s := range c.Poll(at(e.at)) {
				if s.refused == nil {
					heap.Push(&running, completion{e.at + 160*(0.7+0.6*random.Float64()), s})
				}
			}
		}
	}
	for ms := 0.0; ms < 20000; ms += step {
		finish(ms)
		priority := 2
		if random.IntN(3) == 0 {
			priority = 1
			urgent++
		}
		_, _ = c.Admit(at(ms), request("r", priority, at(ms), 500*time.Millisecond, 1200*time.Millisecond))
		for _, s := range c.Poll(at(ms)) {
			if s.refused == nil {
				heap.Push(&running, completion{ms + 160*(0.7+0.6*random.Float64()), s})
			}
		}
	}
	capacity := 20 / 0.160 * 18
	require.Greater(t, float64(inTime), 0.9*capacity)
	require.Less(t, float64(late), 0.05*capacity)
	require.Greater(t, float64(urgentInTime), 0.97*float64(urgent))
}
