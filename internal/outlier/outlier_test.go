package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/clock"
)

// Guards against ejections that leave too few targets for the load.
func TestAtMostAThirdIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDetector()
		now := clock.Instant(0)
		size := rapid.IntRange(1, 9).Draw(t, "size")
		for range 400 {
			now = now.Add(5 * time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(1, size).Draw(t, "target"))
			d.Observe(name, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "latency")), now)
			ejected := 0
			for i := range size {
				if d.Ejected(fmt.Sprint(i+1), now) {
					ejected++
				}
			}
			require.LessOrEqual(t, ejected*3, size)
		}
	})
}

// Guards against a slow target that stays in use, one that is never tried again, and ejections that do
// not get longer.
func TestStragglerIsEjectedForLongerEachTime(t *testing.T) {
	d := NewDetector()
	now := clock.Instant(0)
	var lengths []time.Duration
	var since clock.Instant
	out := false
	for len(lengths) < 7 {
		now = now.Add(10 * time.Millisecond)
		d.Observe("a", 10*time.Millisecond, now)
		d.Observe("b", 12*time.Millisecond, now)
		if !d.Ejected("slow", now) {
			if out {
				lengths = append(lengths, now.Sub(since))
				out = false
			}
			d.Observe("slow", 60*time.Millisecond, now)
		} else if !out {
			out, since = true, now
		}
	}
	for i, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		require.InDelta(t, want*time.Second, lengths[i], float64(20*time.Millisecond))
	}
}

// Guards against hedges that double the load of a slow service.
func TestHedgesStayWithinTheirBudget(t *testing.T) {
	h := NewHedger(0)
	now := clock.Instant(0)
	_, known := h.Delay(now)
	require.False(t, known)
	hedges := 0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		h.RecordRequest()
		h.Observe(time.Duration(i%100)*time.Millisecond, now)
		if h.Allow() {
			hedges++
		}
	}
	require.InDelta(t, 500, hedges, 1)
	delay, known := h.Delay(now)
	require.True(t, known)
	require.InDelta(t, 95*time.Millisecond, delay, float64(2*time.Millisecond))
}
