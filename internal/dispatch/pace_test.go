package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// slowWindows says in which windows of slowWindowMs the target's neighbours are busy.
type slowWindows []bool

const slowWindowMs = 400 // ms

func newSlowWindows(random *rand.Rand, ms float64) slowWindows {
	s := make(slowWindows, int(ms)/slowWindowMs+10)
	for i := range s {
		s[i] = random.Float64() < 0.2
	}
	return s
}

// slowdown returns the factor by which work takes longer that starts now.
func (s slowWindows) slowdown(ms float64) float64 {
	if s[int(ms)/slowWindowMs] {
		return 3
	}
	return 1
}

// simulateSlowPeriods returns the shares of requests that are answered within the objective and at all. If observed is
// set, the target reports its pace with each response and when it is probed.
func simulateSlowPeriods(perSecond float64, work, objective, deadline time.Duration, observed bool) (inTime, answered float64) {
	random := rand.New(rand.NewPCG(3, 4))
	const length = 40000.0
	slow := newSlowWindows(random, length)
	c := NewScheduler(18)
	var running completions
	probeAnsweredAt := -1.0 // when the response to the pace probe arrives
	total, onTime, late := 0, 0, 0
	poll := func(ms float64) {
		for _, s := range c.Poll(at(ms)) {
			if s.refused == nil {
				took := float64(work.Milliseconds()) * (0.7 + 0.6*random.Float64()) * slow.slowdown(ms)
				heap.Push(&running, completion{ms + took, s})
			}
		}
		if observed && c.Deferring(at(ms)) && c.BeginPaceProbe(at(ms)) {
			probeAnsweredAt = ms + 1
		}
	}
	next := random.ExpFloat64() * 1000 / perSecond
	for ms := 0.0; ms < length; ms++ {
		if probeAnsweredAt >= 0 && ms >= probeAnsweredAt {
			c.ObservePace(at(ms), slow.slowdown(ms))
			probeAnsweredAt = -1
		}
		for len(running) > 0 && running[0].at <= ms {
			e := heap.Pop(&running).(completion)
			if observed {
				c.ObservePace(at(ms), slow.slowdown(ms))
			}
			c.Done(at(e.at), e.ticket, true)
			if at(e.at) <= e.ticket.SoftDeadline {
				onTime++
			} else if at(e.at) <= e.ticket.Deadline {
				late++
			}
		}
		for ; next <= ms; next += random.ExpFloat64() * 1000 / perSecond {
			total++
			_, _ = c.Admit(at(ms), request("r", 1, at(ms), objective, deadline))
		}
		poll(ms)
	}
	return float64(onTime) / float64(total), float64(onTime+late) / float64(total)
}

// Load of a keyed target: work of 210 ms against an objective of 600 ms, at a half, four fifths and six fifths of the
// capacity without neighbours. For a fifth of the time neighbours make work that starts then three times as long.
// Guards against requests that start in a slow period although they would complete sooner after it.
func TestRequestsAreDeferredInSlowPeriods(t *testing.T) {
	work, objective, deadline := 210*time.Millisecond, 600*time.Millisecond, 1500*time.Millisecond
	for _, share := range []float64{0.5, 0.8, 1.2} {
		perSecond := share * 18 / work.Seconds()
		unobserved, unobservedAnswered := simulateSlowPeriods(perSecond, work, objective, deadline, false)
		inTime, answered := simulateSlowPeriods(perSecond, work, objective, deadline, true)
		t.Logf("share %.1f: in time %.3f, answered %.3f; without reports %.3f, %.3f", share, inTime, answered, unobserved, unobservedAnswered)
		if share < 1 {
			// Starting is unfavourable for a fifth of the time; requests that arrive then may still be in time.
			require.Greater(t, inTime, 0.85)
		}
		require.Greater(t, inTime, unobserved+0.05)
		require.GreaterOrEqual(t, answered, unobservedAnswered)
	}
}

// Guards against treating a target that is slow for good as one in a slow period.
func TestLastingSlownessBecomesTheBaseline(t *testing.T) {
	c := NewScheduler(1)
	c.ObservePace(at(0), 100)
	for ms := 10.0; ms <= 2000; ms += 50 {
		c.ObservePace(at(ms), 400)
	}
	slowed := func(now clock.Instant) time.Duration {
		return c.ExpectedDelay(now, request("r", 1, now, time.Second, 2*time.Second))
	}
	require.Zero(t, slowed(at(2000)))
	c.ObservePace(at(2010), 100)
	require.Zero(t, slowed(at(2010)))
	c.ObservePace(at(2020), 300)
	require.Equal(t, 600*time.Millisecond, slowed(at(2020)), "defaultServiceShare of the objective, at a slowdown of three")
	require.Zero(t, slowed(at(2020).Add(2*maxPaceAge)), "an old report is ignored")
}

// Guards against deferring short requests that complete sooner if they start at once, and against starting long ones.
func TestShortRequestsAreNotDeferred(t *testing.T) {
	c := NewScheduler(2)
	c.ObservePace(at(0), 1)
	c.ObservePace(at(1), 3)
	short := request("short", 1, at(2), 150*time.Millisecond, 500*time.Millisecond)
	long := request("long", 1, at(2), time.Second, 2*time.Second)
	_, refused := c.Admit(at(2), long)
	require.Nil(t, refused)
	ticket, refused := c.Admit(at(2), short)
	require.Nil(t, refused)
	require.Equal(t, []*Ticket{ticket}, c.Poll(at(2)))
	require.True(t, c.Deferring(at(2)))
	require.Equal(t, paceProbeInterval, c.NextPoll(at(2)))
	c.ObservePace(at(60), 1)
	require.Len(t, c.Poll(at(60)), 1)
}
