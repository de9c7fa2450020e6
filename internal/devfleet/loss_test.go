package devfleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/load"
)

// servedAgain is the longest time from a loss until a key is served again.
const servedAgain = time.Second

// Guards against keys that stay without an owner after a loss, and against a takeover that runs
// requests next to the old owner or a second time. A lost node whose target runs on shows the
// journals whole; a lost host is the usual case.
func TestLostHost(t *testing.T) {
	r := newRig(t)
	lost := r.Hosts[1]
	entrances := r.callers(lost)
	owned := r.keysOf(lost, r.Hosts[0])

	report := r.load(entrances, nil)
	time.Sleep(time.Second)
	killed := time.Now()
	require.NoError(t, lost.Node.Kill())
	served := r.untilServed(killed, owned, entrances)
	t.Logf("node lost: %d keys served again after %v", len(owned), served)
	require.Less(t, served, servedAgain)
	r.requireSafe(report(), load.Passed)

	require.NoError(t, lost.Node.Start())
	t.Logf("restarted node serves after %v", r.waitBalanced())

	// A host with its target, and the coordinator with it; callers use opaque keys.
	lost = r.Hosts[0]
	entrances = r.callers(lost)
	owned = r.keysOf(lost, r.Hosts[1])
	report = r.load(entrances, func(o *load.Options) { o.Tokens = false })
	time.Sleep(time.Second)
	killed = time.Now()
	require.NoError(t, lost.Node.Kill())
	require.NoError(t, lost.Target.Kill())
	served = r.untilServed(killed, owned, entrances)
	t.Logf("host lost: %d keys served again after %v", len(owned), served)
	require.Less(t, served, servedAgain)
	r.requireSafe(report(), load.Incomplete)
}
