package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// 100 requests per second of 0.1 s each; half of them are for one key, the rest are spread over 1,000
// keys.
func TestDemandFindsTheHotKey(t *testing.T) {
	m := &Meter{}
	now := clock.Instant(time.Hour)
	rows := []keyspace.Row{{Range: keyspace.Range{From: 0, To: 999}}, {Range: keyspace.Range{From: 2000, To: 2999}}}
	for i := range 400 {
		key := i * 7 % 1000
		if i%2 == 0 {
			key = 2500
		}
		m.Add(now, key, 0.1)
		now = now.Add(10 * time.Millisecond)
	}
	total, segments := m.Report(now, rows)
	require.InDelta(t, 10, total, 1)
	sum := 0.0
	for _, s := range segments {
		sum += s.Demand
		if s.Contains(2500) {
			require.Equal(t, keyspace.Range{From: 2500, To: 2500}, s.Range, "a hot key is a segment of its own")
			require.InDelta(t, 5, s.Demand, 0.5)
		}
	}
	require.InDelta(t, total, sum, 0.2)
	require.LessOrEqual(t, len(segments), maxSegments+4)
	now = now.Add(5 * time.Second)
	total, _ = m.Report(now, rows)
	require.Zero(t, total, "demand from before a long pause does not count")
}
