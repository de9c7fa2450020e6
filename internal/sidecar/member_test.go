package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/tenure"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// Guards against a restarted node that has read its record but not the table yet, and makes its target release all ranges with an
// empty grant.
func TestNoGrantBeforeTableIsLoaded(t *testing.T) {
	n := newIdleNode(t)
	m, now := n.member, n.clock.Now()
	owner := keyspace.Owner{Host: "h", Term: 3}
	m.recordLoaded, m.leaseCheckedAt = true, now
	m.record = &fleet.Target{Host: "h", Relay: "h:1", Service: "s", Instance: "i", StartTimeMs: 7, Term: 3, State: fleet.Serving, Slots: 18, Version: 5}
	grantFor := func(sequence uint64) tenure.Grant {
		return m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: sequence, Service: "s", Slots: 18})
	}
	require.False(t, grantFor(1).Renew)
	require.Zero(t, m.buildReport(now).ViewVersion)
	view := fleet.NewView()
	view.Tables["s"] = &fleet.Table{Version: 4, Table: keyspace.Table{Fence: 1, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: 9}, Owner: owner, Fence: 1}}}}
	n.state.view.Store(view)
	n.state.viewLoaded.Store(true)
	grant := grantFor(2)
	require.True(t, grant.Renew)
	require.Len(t, grant.Rows, 1)
}

// Guards against a node that has just started and acknowledges its target's deregistration, but loses it because it has had no
// heartbeat of the target yet.
func TestDeregistrationBeforeFirstHeartbeatIsKept(t *testing.T) {
	n := newIdleNode(t)
	m, now := n.member, n.clock.Now()
	m.markRecordKnown(now)
	deregister := func() { // The call itself waits until the departure is kept, for which this node has no store.
		m.handleDeparture(now, fleet.Departure{Host: "h", Instance: "i"}, func(error) {})
	}
	deregister()
	require.True(t, m.isDeregistered())
	m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 9, Service: "s", Slots: 18})
	require.True(t, m.isDeregistered(), "a heartbeat that was in flight")
	require.False(t, n.state.localTarget.Load().serving)
	m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 8, Sequence: 1, Service: "s", Slots: 18})
	require.False(t, m.isDeregistered(), "the same identity, a new process")
	require.True(t, n.state.localTarget.Load().serving)
	deregister()
	m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "next", StartTimeMs: 9, Sequence: 1, Service: "s", Slots: 18})
	require.False(t, m.isDeregistered(), "another process of the target")
}

// Guards against an owner of keys with the identity of an earlier one: the host was lost, its record was deleted, and another machine has its address.
func TestTermAfterADeletedRecordIsNew(t *testing.T) {
	heartbeat := &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 1, Service: "s", Slots: 18}
	listed := fleet.NewView()
	listed.Revision = 40
	t.Run("the list lacks the record", func(t *testing.T) {
		m := newIdleNode(t).member
		now := m.clock.Now()
		m.handleHeartbeat(now, heartbeat)
		m.adoptListedRecord(listed, now)
		want := m.desiredRecord(now, heartbeat)
		require.NotNil(t, want)
		require.Greater(t, want.Term, listed.Revision, "each term takes a write of its record, so that no deleted one is above the revision")
	})
	t.Run("a read finds no record", func(t *testing.T) {
		r := standin.NewStore()
		door, err := r.OpenEndpoint()
		require.NoError(t, err)
		defer door.Close()
		r.Evacuate("z") // Raises the revision.
		n := newIdleNode(t)
		n.settings.Host = "127.0.0.1"
		n.store = platform.NewStore(door.Address(), n.observeStoreCall, n.observeRestore)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.controlLoop(ctx)
		_, err = n.member.Heartbeat(heartbeat)
		require.NoError(t, err)
		_, revision, err := n.store.List(ctx, fleet.Kind)
		require.NoError(t, err)
		n.state.viewLoaded.Store(true)
		require.Eventually(t, func() bool {
			o, err := n.store.Get(ctx, fleet.Kind, fleet.TargetName(n.settings.Host))
			if err != nil {
				return false
			}
			record, err := fleet.DecodeTarget(o)
			require.NoError(t, err)
			return record.Term > revision
		}, 5*time.Second, 20*time.Millisecond)
	})
}
