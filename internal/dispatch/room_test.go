package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulateBursts simulates callers who wait for the timeout in milliseconds and retry once if they are told to within a third of their remaining time. The load is
// 0.7 of the capacity, and 2.3 times as much in bursts of 0.5 to 2.5 s. It returns the numbers of requests that are answered within the
// objective, later, refused after a retry, and refused without one.
func simulateBursts(byRoom bool, timeout float64, seed uint64) (inTime, late, inVain, gaveUp int) {
	const slots, work, length = 18, 160.0, 120_000.0
	arrivals, random := rand.New(rand.NewPCG(1, seed)), rand.New(rand.NewPCG(2, seed))
	type caller struct {
		began   float64
		retried bool
	}
	c := NewScheduler(slots)
	c.fixedRetryAfter = !byRoom
	var running completions
	callers, retries := map[*Ticket]*caller{}, map[int][]*caller{}
	refused := func(ms float64, who *caller, r *Refusal) {
		wait := r.RetryAfter.Seconds() * 1000 * (1 + 0.25*random.Float64())
		switch {
		case who.retried:
			inVain++
		case wait > (who.began+timeout-ms)/3:
			gaveUp++
		default:
			who.retried = true
			retries[int(ms+wait)] = append(retries[int(ms+wait)], who)
		}
	}
	arrive := func(ms float64, who *caller) {
		r := request("r", 2, at(ms), 500*time.Millisecond, time.Duration((who.began+timeout-ms)*1e6))
		r.SoftDeadline = at(who.began + 500)
		t, refusal := c.Admit(at(ms), r)
		if refusal != nil {
			refused(ms, who, refusal)
			return
		}
		callers[t] = who
	}
	next, burstEnd, burstStart := 0.0, 0.0, 2000.0
	for ms := 0.0; ms < length; ms++ {
		for len(running) > 0 && running[0].at <= ms {
			e := heap.Pop(&running).(completion)
			c.Done(at(e.at), e.ticket, true)
			if e.at-callers[e.ticket].began <= 500 {
				inTime++
			} else {
				late++
			}
		}
		for _, who := range retries[int(ms)] {
			arrive(ms, who)
		}
		delete(retries, int(ms))
		if ms >= burstStart {
			burstEnd = ms + 500 + 2000*arrivals.Float64()
			burstStart = burstEnd + 2000 + 4000*arrivals.Float64()
		}
		load := 0.7
		if ms < burstEnd {
			load *= 2.3
		}
		for ; next <= ms; next += arrivals.ExpFloat64() * work / (load * slots) {
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
	return inTime, late, inVain, gaveUp
}

// Guards against telling refused callers to return while the burst that refused them goes on, or all at the same time.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	for _, timeout := range []float64{3000, 8000} {
		var totals [2][4]int
		for i, byRoom := range []bool{false, true} {
			for seed := range uint64(4) {
				inTime, late, inVain, gaveUp := simulateBursts(byRoom, timeout, seed)
				for k, n := range []int{inTime, late, inVain, gaveUp} {
					totals[i][k] += n
				}
			}
			t.Logf("timeout %.0f ms, by room %5t: in time, late, refused again, not retried %v", timeout, byRoom, totals[i])
		}
		before, after := totals[0], totals[1]
		require.Greater(t, after[0]+after[1], before[0]+before[1], "more callers are answered")
		require.GreaterOrEqual(t, float64(after[0]), 0.995*float64(before[0]), "retries don't delay first attempts")
		require.Less(t, after[2], before[2], "fewer are refused again")
	}
}
