package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// Guards against a leader that resigns during a store outage that affects all nodes, after which nobody renews leases, and against
// a leader that stays although the store responds to other nodes.
func TestCoordinatorResignsOnlyIfOtherNodesReachTheStore(t *testing.T) {
	start := clock.Instant(time.Hour)
	at := func(s float64) clock.Instant { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name string
		// reports maps the time of each report in seconds to the age of the store's last response to the reporting node.
		reports map[float64]time.Duration
		now     float64
		resigns bool
	}{
		{"the store responds to no node", map[float64]time.Duration{4: 4 * time.Second, 8: 8 * time.Second}, 9, false},
		{"a node never had a response", map[float64]time.Duration{4: 0}, 9, false},
		{"the store responds to another node", map[float64]time.Duration{2.5: 100 * time.Millisecond}, 3.1, true},
		{"the outage is too short", map[float64]time.Duration{2: 100 * time.Millisecond}, 2.5, false},
		{"a response from before the outage is reported late", map[float64]time.Duration{0.8: 100 * time.Millisecond}, 4, false},
	} {
		o := &storeOutage{}
		o.recordAnswer(at(0))
		for when, age := range c.reports {
			o.recordOtherAnswer(at(when), age)
		}
		require.Equal(t, c.resigns, o.shouldResign(at(c.now)), c.name)
		o.recordAnswer(at(c.now))
		require.False(t, o.shouldResign(at(c.now)), "%s: the store responds again", c.name)
	}
}
