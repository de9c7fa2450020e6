package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/clock"
)

// Guards against retries that multiply the load of a failing fleet: whatever the order of requests and failures,
// retries stay within a tenth of the requests plus the floor.
func TestBudgetBoundsAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(0)
		b := NewBudget(now)
		b.SetFleetRatio(rapid.Float64Range(0, 1).Draw(t, "fleet"))
		requests, retries := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Millisecond)).Draw(t, "gap")))
			b.RecordRequest(now)
			requests++
			for range 3 {
				if b.Allow(now) {
					retries++
				}
			}
		}
		bound := BudgetRatio*float64(requests) + BudgetFloor*(time.Duration(now).Seconds()+1)
		require.LessOrEqual(t, float64(retries), bound+1)
	})
}

// Guards against a budget that does not shrink when the retry ratio of the fleet is high.
func TestFleetRatioLowersTheBudget(t *testing.T) {
	count := func(fleet float64) (retries int) {
		now := clock.Instant(0)
		b := NewBudget(now)
		b.SetFleetRatio(fleet)
		for range 100_000 {
			now = now.Add(50 * time.Microsecond)
			b.RecordRequest(now)
			if b.Allow(now) {
				retries++
			}
		}
		return retries
	}
	require.InDelta(t, 10_000, count(0), 600)
	require.InDelta(t, 2_500, count(0.4), 400)
}

// Guards against backoffs that exceed the caller's deadline or grow without a bound.
func TestBackoffStaysWithinTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(-1, int64(time.Second)).Draw(t, "left"))
		pause, ok := Backoff(rapid.IntRange(-3, 1<<40).Draw(t, "attempt"), left)
		require.LessOrEqual(t, pause, maxBackoff)
		require.Equal(t, pause < left, ok)
	})
}
