package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/tenure"
)

// Guards against small links that carry large configurations twice (CONFIG on scale-1 of the grown Ombrios site).
func TestLargeConfigurationsGetTimeOnSmallLinks(t *testing.T) {
	require.Equal(t, watchPatience, patienceFor(0, 11))
	require.Equal(t, watchPatience, patienceFor(400_000, 0), "a link that is not known")
	require.InDelta(t, 0.98, patienceFor(400_000, 11).Seconds(), 0.01)
	require.Equal(t, maxWatchPatience, patienceFor(4_000_000, 11))
}

// Guards against a restarted node that has read its record but not the table yet, and makes its target release everything.
func TestNothingIsGrantedBeforeTheTableIsKnown(t *testing.T) {
	n := idleNode(t)
	m, now := n.member, n.clock.Now()
	owner := keyspace.Owner{Host: "h", Term: 3}
	m.loaded, m.checked = true, now
	m.record = &fleet.Target{Host: "h", Relay: "h:1", Service: "s", Instance: "i", StartTimeMs: 7, Term: 3, State: fleet.Serving, Slots: 18, Version: 5}
	beat := func(sequence uint64) tenure.Grant {
		return m.heartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: sequence, Service: "s", Slots: 18})
	}
	require.False(t, beat(1).Renew)
	require.Zero(t, m.report(now).ViewVersion)
	view := fleet.NewView()
	view.Tables["s"] = &fleet.Table{Version: 4, Table: keyspace.Table{Fence: 1, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: 9}, Owner: owner, Fence: 1}}}}
	n.state.view.Store(view)
	n.state.listed.Store(true)
	grant := beat(2)
	require.True(t, grant.Renew)
	require.Len(t, grant.Rows, 1)
}

// Guards against a node that has just started, acknowledges its target's farewell and forgets it, because it has had no heartbeat
// of the target yet (ombrios trouble-3, seed 512518103447).
func TestFarewellBeforeTheFirstHeartbeatIsKept(t *testing.T) {
	n := idleNode(t)
	m, now := n.member, n.clock.Now()
	handle := func() { // Calls to the store that end meanwhile post their outcomes too.
		for len(n.control) > 0 {
			(<-n.control)(now)
		}
	}
	require.NoError(t, m.Deregister("i"))
	handle()
	require.True(t, m.left())
	m.heartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 9, Service: "s", Slots: 18})
	require.True(t, m.left(), "a heartbeat that was under way")
	require.False(t, n.state.own.Load().serving)
	m.heartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 8, Sequence: 1, Service: "s", Slots: 18})
	require.False(t, m.left(), "the same identity, a new life")
	require.True(t, n.state.own.Load().serving)
	require.NoError(t, m.Deregister("i"))
	handle()
	m.heartbeat(now, &tenure.Heartbeat{Instance: "next", StartTimeMs: 9, Sequence: 1, Service: "s", Slots: 18})
	require.False(t, m.left(), "another life of the target")
}
