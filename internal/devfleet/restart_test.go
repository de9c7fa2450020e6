package devfleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/cluster"
)

// Guards against a fleet that needs an operator after all its nodes were killed and started again: no
// grantor of an old incarnation is left to vote for its revocation. A configuration that went back or
// a slice that lost its epoch would show too.
func TestAllNodesRestartAtOnce(t *testing.T) {
	r := newRig(t)
	before := r.epochs()
	for _, h := range r.Hosts {
		require.NoError(t, h.Node.Kill())
	}
	for _, h := range r.Hosts {
		require.NoError(t, h.Node.Start())
	}
	took := r.eventually(settleTimeout, "every key is served again", func() bool {
		for i := range probedKeys {
			if r.get(r.Hosts[i%len(r.Hosts)].Ports.Callers, fmt.Sprintf("/booking/k%d", i)) != "ok" {
				return false
			}
		}
		return true
	})
	t.Logf("every key served again %v after the last start", took)
	r.waitBalanced()
	for id, epoch := range r.epochs() {
		require.Greater(t, epoch, before[id], "slice %d has a new owner under a higher epoch", id)
	}
	status, err := r.status(r.Hosts[0])
	require.NoError(t, err)
	require.EqualValues(t, 1, status.Configuration)
}

// epochs returns the epochs of all slices of booking by the platform's own copy.
func (r *rig) epochs() map[int]uint64 {
	r.t.Helper()
	var group cluster.Group
	require.NoError(r.t, r.call("GET", r.PlatformAddress, "/v1/objects/slices/booking/0", nil, &group))
	epochs := map[int]uint64{}
	for i, slice := range group.Slices {
		epochs[i] = slice.Epoch
	}
	require.Len(r.t, epochs, cluster.GroupSize)
	return epochs
}
