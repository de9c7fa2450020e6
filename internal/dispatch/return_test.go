package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// simulateRetries simulates callers who retry twice after the retry-after time, and returns the shares of requests that
// are answered within the objective, counted from the first attempt, and at all. If ageKnown is set, the scheduler
// knows when the first attempt began.
func simulateRetries(load float64, ageKnown bool) (inTime, answered float64) {
	const work, length = 160.0, 40_000.0
	random := rand.New(rand.NewPCG(7, 8))
	type caller struct {
		began    float64
		attempts int
	}
	c := NewScheduler(18)
	var running completions
	callers := map[*Ticket]*caller{}
	retries := map[int][]*caller{} // by millisecond
	total, onTime, late := 0, 0, 0
	refused := func(ms float64, who *caller, r *Refusal) {
		if who.attempts++; who.attempts < 3 {
			when := int(ms + r.RetryAfter.Seconds()*1000*(1+0.25*random.Float64()))
			retries[when] = append(retries[when], who)
		}
	}
	arrive := func(ms float64, who *caller) {
		r := request("r", 2, at(ms), 500*time.Millisecond, 3*time.Second)
		if ageKnown {
			r.SoftDeadline = at(who.began).Add(500 * time.Millisecond)
		}
		t, refusal := c.Admit(at(ms), r)
		if refusal != nil {
			refused(ms, who, refusal)
			return
		}
		callers[t] = who
	}
	next := 0.0
	for ms := 0.0; ms < length; ms++ {
		for len(running) > 0 && running[0].at <= ms {
			e := heap.Pop(&running).(completion)
			c.Done(at(e.at), e.ticket, true)
			if e.at-callers[e.ticket].began <= 500 {
				onTime++
			} else {
				late++
			}
		}
		for _, who := range retries[int(ms)] {
			arrive(ms, who)
		}
		for ; next <= ms; next += random.ExpFloat64() * work / (load * 18) {
			total++
			arrive(ms, &caller{began: ms})
		}
		for _, t := range c.Poll(at(ms)) {
			if t.refused != nil {
				refused(ms, callers[t], t.refused)
				continue
			}
			heap.Push(&running, completion{ms + work*(0.7+0.6*random.Float64()), t})
		}
	}
	return float64(onTime) / float64(total), float64(onTime+late) / float64(total)
}

// Load: nine tenths, one and a half times and twice the capacity of 18 slots, from callers who retry after the
// retry-after time. Guards against serving retries, which are late already, instead of requests that could be answered
// in time.
func TestRetriesDoNotDelayFirstAttempts(t *testing.T) {
	for _, load := range []float64{0.9, 1.5, 2} {
		inTime, answered := simulateRetries(load, true)
		ageUnknown, ageUnknownAnswered := simulateRetries(load, false)
		t.Logf("load %.1f: in time %.3f, answered %.3f; without ages %.3f, %.3f", load, inTime, answered, ageUnknown, ageUnknownAnswered)
		require.Greater(t, inTime, 0.85*min(1, 1/load), "nearly all of the capacity goes into responses in time")
		require.Greater(t, answered, 0.95*ageUnknownAnswered)
	}
}

// Guards against refusing late requests although there is spare capacity, and against queueing them although there is
// none.
func TestLateRequestsUseSpareCapacity(t *testing.T) {
	c := NewScheduler(1)
	old := func(now clock.Instant) Request {
		r := request("r", 2, now, 500*time.Millisecond, 3*time.Second)
		r.SoftDeadline = now.Add(-time.Second)
		return r
	}
	first, refused := c.Admit(at(0), old(at(0)))
	require.Nil(t, refused, "an idle target")
	require.Equal(t, []*Ticket{first}, c.Poll(at(0)))
	c.Done(at(100), first, true)
	fresh, refused := c.Admit(at(100), request("r", 2, at(100), 500*time.Millisecond, 3*time.Second))
	require.Nil(t, refused)
	require.Equal(t, []*Ticket{fresh}, c.Poll(at(100)))
	waits, refused := c.Admit(at(101), old(at(101)))
	require.Nil(t, refused, "it waits for 100 ms")
	next, refused := c.Admit(at(102), request("r", 2, at(102), 500*time.Millisecond, 3*time.Second))
	require.Nil(t, refused)
	_, refused = c.Admit(at(103), old(at(103)))
	require.NotNil(t, refused)
	c.Done(at(200), fresh, true)
	require.Equal(t, []*Ticket{next}, c.Poll(at(200)), "requests that can be in time go first")
	require.Empty(t, c.Poll(at(340)))
	require.Equal(t, []*Ticket{waits}, c.Poll(at(360)))
	require.NotNil(t, waits.Refusal())
}
