package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// Load: responses of 100 KB on a link of 8 Mbit/s, which takes 100 ms for each.
func TestLinkEstimatesQueueDelay(t *testing.T) {
	const size = 100_000
	now := clock.Instant(time.Hour)
	l := NewLink(8)
	for range 200 {
		l.RecordSent(now, "bulk", size)
		now = now.Add(150 * time.Millisecond)
	}
	require.Zero(t, l.QueueDelay(now), "an idle link")
	require.InDelta(t, 0.1, l.TransferDelay(now, "bulk", 0).Seconds(), 0.01)
	for range 3 {
		l.RecordSent(now, "bulk", size)
	}
	require.InDelta(t, 0.3, l.QueueDelay(now).Seconds(), 0.001)
	require.InDelta(t, 0.3, l.TransferDelay(now, "bulk", 100*time.Millisecond).Seconds(), 0.01, "it drains while the request runs")
	running := l.Begin("bulk")
	require.InDelta(t, 0.4, l.QueueDelay(now).Seconds(), 0.01, "the response of the running request is included")
	l.End(running)
	now = now.Add(200 * time.Millisecond)
	require.InDelta(t, 0.1, l.QueueDelay(now).Seconds(), 0.001)
	l.RetainRoutes(map[string]bool{"other": true})
	require.Less(t, l.TransferDelay(now.Add(time.Second), "bulk", 0), 10*time.Millisecond, "the statistics of the route are dropped")
}

func TestUnknownLinkHasNoDelay(t *testing.T) {
	l := NewLink(0)
	now := clock.Instant(time.Hour)
	l.RecordSent(now, "bulk", 1<<30)
	require.Zero(t, l.QueueDelay(now))
	require.Zero(t, l.TransferDelay(now, "bulk", 0))
}
