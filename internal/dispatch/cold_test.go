package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// Guards against a target that becomes cold while it serves and gets requests at the full rate until its next heartbeat.
func TestTargetThatBecomesColdIsRateLimitedAtOnce(t *testing.T) {
	const (
		coldRate  = 28
		allowed   = coldRate*1.5 + 5
		coldFrom  = 2500.0
		coldUntil = coldFrom + 3000
		roundTrip = 8.0 // of a probe, in milliseconds
	)
	for _, perSecond := range []float64{34, 52, 83, 110} {
		t.Run(fmt.Sprintf("%g requests a second", perSecond), func(t *testing.T) {
			c := NewScheduler(18)
			c.SetColdRate(coldRate)
			coldRemaining := func(ms float64) time.Duration {
				if ms < coldFrom || ms >= coldUntil {
					return 0
				}
				return time.Duration((coldUntil - ms) * float64(time.Millisecond))
			}
			var starts []float64
			var probeSent []float64
			probes, due := 0, 0.0
			for ms := 0.0; ms < coldUntil; ms++ {
				if int(ms)%870 == 0 && ms < coldFrom-100 { // The heartbeats after that are late.
					c.SetColdUntil(at(ms), at(ms).Add(coldRemaining(ms)))
				}
				if len(probeSent) > 0 && ms >= probeSent[0]+roundTrip {
					c.ObserveColdProbe(at(ms), at(probeSent[0]), coldRemaining(ms-roundTrip/2))
					probeSent = probeSent[1:]
				}
				if ms >= due {
					due += 1000 / perSecond
					_, _ = c.Admit(at(ms), request("r", 1, at(ms), 500*time.Millisecond, time.Second))
				}
				for _, started := range c.Poll(at(ms)) {
					if started.refused == nil {
						starts = append(starts, ms)
						c.Done(at(ms), started, false)
					}
				}
				if c.BeginColdProbe(at(ms)) {
					probes++
					probeSent = append(probeSent, ms)
				}
			}
			for i, first := range starts {
				n := 0
				for _, s := range starts[i:] {
					if first >= coldFrom && s < first+1000 {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), allowed, "from %g ms on", first)
			}
			inCold := 0
			for _, s := range starts {
				if s >= coldFrom {
					inCold++
				}
			}
			require.Greater(t, inCold, 3*coldRate*8/10, "a cold target gets what it bears")
			require.LessOrEqual(t, float64(probes), coldFrom/1000*perSecond/coldRate+1, "no more probes than needed")
		})
	}
}

// Guards against a late heartbeat, sent before the target became cold, that ends the limit that a probe has set.
func TestLateHeartbeatDoesNotEndAColdPeriod(t *testing.T) {
	c := NewScheduler(18)
	c.SetColdRate(28)
	c.ObserveColdProbe(at(0), at(-5), 3*time.Second)
	c.SetColdUntil(at(100), at(100))
	require.Equal(t, 2900*time.Millisecond, c.ColdRemaining(at(100)))
	c.ResetCold()
	require.Zero(t, c.ColdRemaining(at(100)), "another incarnation of the target")
}

// Guards against probes of a target that gets no more requests than it would bear cold.
func TestTargetWithLittleLoadIsNotProbed(t *testing.T) {
	c := NewScheduler(18)
	c.SetColdRate(28)
	for ms := 0.0; ms < 10000; ms += 40 { // 25 requests a second
		c.cold.recordStart(at(ms))
		require.False(t, c.BeginColdProbe(at(ms)))
	}
	require.Equal(t, clock.Instant(0), c.cold.probedAt)
}
