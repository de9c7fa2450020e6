package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/cluster"
)

// Guards against taking a slice from a new owner whose record has not reached the view yet.
func TestGoneNeedsProof(t *testing.T) {
	view := cluster.EmptyView()
	owner := cluster.NodeID{Name: "n", Incarnation: 2}
	require.False(t, Gone(view, owner))
	view.Nodes["n"] = &cluster.Node{ID: cluster.NodeID{Name: "n", Incarnation: 1}, State: cluster.Revoked}
	require.False(t, Gone(view, owner))
	view.Nodes["n"] = &cluster.Node{ID: owner, State: cluster.Revoked}
	require.True(t, Gone(view, owner))
	view.Nodes["n"] = &cluster.Node{ID: cluster.NodeID{Name: "n", Incarnation: 3}, State: cluster.Live}
	require.True(t, Gone(view, owner))
}
