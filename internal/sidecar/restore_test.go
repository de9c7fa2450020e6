package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/platform/standin"
)

// Guards against keys that stay without an owner when a target crashes after the store came back from a copy.
func TestKeysAreTakenOverAfterARestore(t *testing.T) {
	t.Parallel()
	const ordinaryLoss = 3 * time.Second // as for the keys of a crashed target in TestFleet
	r := newTestFleet(t, 3)
	copied := r.store.Copy()
	r.hosts[1].target.Crash()
	r.runLoad(4*time.Second, r.hosts[3])
	r.changeFaults(func(d *standin.Faults) { d.Down = true })
	time.Sleep(time.Second)
	r.store.Restore(copied)
	r.changeFaults(func(d *standin.Faults) { d.Down = false })
	r.runLoad(2*time.Second, r.hosts[3])
	r.hosts[2].target.Crash()
	longest := r.runLoad(8*time.Second, r.hosts[3])
	r.requireNoFaults()
	require.Less(t, longest, ordinaryLoss)
}
