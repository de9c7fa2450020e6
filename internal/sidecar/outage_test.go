package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// Guards against a coordinator that gives up in an outage for all, after which nobody renews leases, and against one that
// keeps the lead while the store answers others.
func TestCoordinatorResignsOnlyIfOtherNodesReachTheStore(t *testing.T) {
	start := clock.Instant(time.Hour)
	at := func(s float64) clock.Instant { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name string
		// reports holds when reports came, and how long before the store had answered their nodes.
		reports map[float64]time.Duration
		now     float64
		resigns  bool
	}{
		{"the store answers nobody", map[float64]time.Duration{4: 4 * time.Second, 8: 8 * time.Second}, 9, false},
		{"a node never had an answer", map[float64]time.Duration{4: 0}, 9, false},
		{"another node has an answer", map[float64]time.Duration{2.5: 100 * time.Millisecond}, 3.1, true},
		{"too soon", map[float64]time.Duration{2: 100 * time.Millisecond}, 2.5, false},
		{"an answer from before the outage, reported late", map[float64]time.Duration{0.8: 100 * time.Millisecond}, 4, false},
	} {
		o := &storeOutage{}
		o.recordAnswer(at(0))
		for when, age := range c.reports {
			o.recordOtherAnswer(at(when), age)
		}
		require.Equal(t, c.resigns, o.shouldResign(at(c.now)), c.name)
		o.recordAnswer(at(c.now))
		require.False(t, o.shouldResign(at(c.now)), "%s: the store answers again", c.name)
	}
}
