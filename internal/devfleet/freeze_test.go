package devfleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/devfleet"
	"github.com/citronvane/citronvane/internal/load"
)

// freeze is far longer than a lease, so that the keys have another owner when the old one returns.
const freeze = 3 * time.Second

// Guards against an owner that returns from a pause as if nothing had happened: it must neither serve
// under its old lease nor run anything again, and it must register and serve again by itself.
func TestFrozenOwnerReturns(t *testing.T) {
	r := newRig(t)
	frozen := r.Hosts[1]
	for _, c := range []struct {
		name      string
		processes []*devfleet.Process
	}{
		{"target runs on", []*devfleet.Process{frozen.Node}},
		{"target is frozen too", []*devfleet.Process{frozen.Node, frozen.Target}},
	} {
		before, err := r.status(r.Hosts[0])
		require.NoError(t, err)
		owned := r.keysOf(frozen, r.Hosts[0])
		// Callers send to the frozen node as well, whose requests are served late or refused.
		report := r.load(r.callers(), nil)
		time.Sleep(time.Second)
		since := time.Now()
		for _, p := range c.processes {
			require.NoError(t, p.Freeze())
		}
		served := r.untilServed(since, owned, r.callers(frozen))
		t.Logf("%s: %d keys served again after %v", c.name, len(owned), served)
		require.Less(t, served, servedAgain)
		time.Sleep(time.Until(since.Add(freeze)))
		for _, p := range c.processes {
			require.NoError(t, p.Thaw())
		}
		back := r.waitBalanced()
		t.Logf("%s: the node has its share again %v after its return", c.name, back)
		r.requireSafe(report(), load.Passed)
		after, err := r.status(r.Hosts[0])
		require.NoError(t, err)
		require.NotEqual(t, before.Nodes[1].ID, after.Nodes[1].ID, "the node has a new incarnation")
		require.NotEmpty(t, r.keysOf(frozen, r.Hosts[0]))
	}
}
