package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// Guards against a fleet-wide estimate that ignores retries on other nodes or keeps counting peers that have gone.
func TestFleetRatioSpreads(t *testing.T) {
	const nodes = 12
	ratios := make([]*FleetRatio, nodes)
	for i := range ratios {
		ratios[i] = NewFleetRatio()
	}
	var now clock.Instant
	estimates := make([]float64, nodes)
	for range 200 {
		now = now.Add(125 * time.Millisecond)
		for i, f := range ratios {
			own := 0.0
			if i == 0 {
				own = 1
			}
			estimates[i] = f.Estimate(own, now)
			ratios[(i+1)%nodes].RecordPeer(string(rune('a'+i)), estimates[i], now)
			ratios[(i+5)%nodes].RecordPeer(string(rune('a'+i)), estimates[i], now)
		}
	}
	for i, e := range estimates {
		require.Greater(t, e, 0.01, "node %d", i)
		require.Less(t, e, 0.8, "node %d", i)
	}
	require.Zero(t, ratios[3].Estimate(0, now.Add(time.Minute)))
}
