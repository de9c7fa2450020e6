package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/placement"
)

// Guards against two owners of a range: a leader that has been replaced without knowing it revokes a host that it can't reach and
// reassigns the ranges, while its successor, whose view does not show the revocation yet, still renews the old owner's lease.
func TestReplacedCoordinatorReassignsNoRanges(t *testing.T) {
	n := newIdleNode(t)
	c, now := n.coordinator, n.clock.Now()
	lost := keyspace.Owner{Host: "lost", Term: 1}
	view := fleet.NewView()
	view.Targets["lost"] = &fleet.Target{Host: "lost", Service: "s", Term: 1, State: fleet.Revoked, Slots: 18}
	view.Targets["well"] = &fleet.Target{Host: "well", Service: "s", Term: 1, State: fleet.Serving, Slots: 18}
	table := keyspace.Table{Fence: 1, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: keyspace.MaxKey}, Owner: lost, Fence: 1}}}
	view.Tables["s"] = &fleet.Table{Table: table, Version: 3}
	n.state.view.Store(view)
	n.state.config.Store(ingress.NewConfig(1, nil, map[string]ingress.Service{"s": {Keyed: true}}, ingress.Limits{}))
	c.isLeader, c.pendingWrites = true, map[string]bool{}
	c.revokedSince = map[keyspace.Owner]clock.Instant{lost: now.Add(-2 * leaseTerm)}
	name := fleet.TableName("s")

	c.leadershipConfirmed = now.Add(-2*leaseTerm - time.Millisecond)
	c.plan(now)
	require.False(t, c.pendingWrites[name], "the last confirmation of leadership is older than the revocation")

	c.leadershipConfirmed = now.Add(-2 * leaseTerm)
	c.plan(now)
	require.True(t, c.pendingWrites[name])
}

// Guards against a leader that starts after another program has overwritten the record of a host: it takes the host's ranges for free while
// its target holds them.
func TestOwnerWithoutARecordCountsAsRevokedFromWhenThatWasSeen(t *testing.T) {
	v := fleet.NewView()
	owner := keyspace.Owner{Host: "gone", Term: 4}
	v.Tables["s"] = &fleet.Table{Version: 3, Table: keyspace.Table{Fence: 1, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: 9}, Owner: owner, Fence: 1}}}}
	c := newTestLeader(t, v)
	c.revokedSince, c.revokeAttempted = map[keyspace.Owner]clock.Instant{}, map[keyspace.Owner]bool{}
	now := c.clock.Now()
	c.previousLeaseEnd = now.Add(leadershipLease)
	c.recordRevocations(now, v)
	require.Equal(t, c.previousLeaseEnd.Add(-leaseTerm), c.revokedSince[owner], "the previous leader may have renewed its lease until then")
	c.recordRevocations(now.Add(time.Second), v)
	require.Equal(t, c.previousLeaseEnd.Add(-leaseTerm), c.revokedSince[owner])
	v.Targets["gone"] = &fleet.Target{Host: "gone", Term: 4, State: fleet.Serving}
	c.recordRevocations(now.Add(time.Second), v)
	require.NotContains(t, c.revokedSince, owner, "its record is back")
}

// Guards against keys that are reassigned in the instant of a revocation because an earlier revocation of the owner counts: since then it was seen
// serving, and its target may hold the keys.
func TestRevocationCountsFromItsLatestBegin(t *testing.T) {
	n := newIdleNode(t)
	c, now := n.coordinator, n.clock.Now()
	c.leadershipConfirmed = now.Add(time.Hour)
	record := func(state fleet.State, version uint64) *fleet.View {
		v := fleet.NewView()
		v.Targets["a"] = &fleet.Target{Host: "a", Service: "s", Term: 1, State: state, Version: version}
		return v
	}
	owner := keyspace.Owner{Host: "a", Term: 1}
	c.revokeAttempted[owner] = true
	c.recordRevocations(now, record(fleet.Revoked, 3))
	require.Equal(t, now, c.confirmedRevocations()[owner])
	later := now.Add(2 * leaseTerm)
	c.recordRevocations(later, record(fleet.Serving, 4))
	require.NotContains(t, c.confirmedRevocations(), owner)
	c.recordRevocations(later.Add(time.Second), record(fleet.Revoked, 5))
	require.Equal(t, later.Add(time.Second), c.confirmedRevocations()[owner])
}

// Guards against a leader that was suspended, has therefore heard from nobody, and revokes all owners when it goes on.
func TestSuspendedLeaderRevokesNobody(t *testing.T) {
	const suspended = unresponsiveTimeout + 100*time.Millisecond
	for _, noticed := range []bool{true, false} {
		n := newIdleNode(t)
		c, now := n.coordinator, n.clock.Now()
		v := fleet.NewView()
		table := keyspace.Table{Fence: 2}
		c.polledNodes = map[string]*polledNode{}
		for i, host := range []string{"a", "b"} {
			v.Targets[host] = &fleet.Target{Host: host, Service: "s", Term: 1, State: fleet.Serving, Slots: 18, Version: 2}
			table.Rows = append(table.Rows, keyspace.Row{Range: keyspace.Range{From: i * 32768, To: i*32768 + 32767}, Owner: v.Targets[host].Owner(), Fence: uint64(i + 1)})
			c.polledNodes[host] = &polledNode{answered: true, Node: placement.Node{LastSeen: now.Add(-suspended), Report: &fleet.Report{LeaseMs: 1000}}}
		}
		v.Tables["s"] = &fleet.Table{Table: table, Version: 3}
		n.state.view.Store(v)
		n.state.config.Store(ingress.NewConfig(1, nil, map[string]ingress.Service{"s": {Keyed: true}}, ingress.Limits{}))
		c.isLeader, c.pendingWrites = true, map[string]bool{}
		c.outage.lastAnswer = now
		if noticed {
			n.recordSuspension(now.Add(-suspended))
		}
		c.plan(now)
		require.Equal(t, noticed, len(c.revokeAttempted) == 0, "the suspension is noticed: %t", noticed)
	}
}
