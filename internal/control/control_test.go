package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/lease"
	"github.com/citronvane/citronvane/internal/store"
)

const settle = 10 * time.Second

func settled(t *testing.T, nodes int) *world {
	w := newWorld(t, nodes)
	w.run(settle)
	w.requireHealthy()
	clear(w.lapses)
	w.writes = nil
	return w
}

// Guards against fleets that never get their leases, lapse while they grow, or write without end.
func TestFleetsStart(t *testing.T) {
	for nodes := 1; nodes <= 4; nodes++ {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := settled(t, nodes)
			w.run(settle)
			w.requireHealthy()
			require.Empty(t, w.lapses)
			require.Empty(t, w.writes, "a fleet at rest does not write")
		})
	}
}

// Guards against keys that wait too long after the loss of a node, and against the loss of one node
// stopping the others.
func TestNodeKilled(t *testing.T) {
	for _, victim := range []string{"n0", "n3"} {
		w := settled(t, 5)
		w.members[victim].alive = false
		w.run(time.Millisecond)
		require.Less(t, w.untilServed(2*time.Second), time.Second, "the limit of the requirements")
		w.run(settle)
		w.requireHealthy()
		require.Empty(t, w.lapses)
	}
}

// Guards against small fleets that don't recover from the loss of a node. Their survivors need the
// lost node's grant, so they register again.
func TestNodeKilledInSmallFleet(t *testing.T) {
	for nodes := 2; nodes <= 4; nodes++ {
		for victim := range nodes {
			w := settled(t, nodes)
			w.members[fmt.Sprintf("n%d", victim)].alive = false
			w.run(time.Millisecond)
			require.Less(t, w.untilServed(settle), 4*time.Second)
			w.run(settle)
			w.requireHealthy()
		}
	}
}

// Guards against a frozen node that serves after its return, or never takes part again.
func TestNodeFrozenAndBack(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 505 * time.Millisecond, 600 * time.Millisecond, 5 * time.Second} {
		w := settled(t, 4)
		before := w.members["n1"].state.self
		w.freeze("n1", pause)
		w.run(pause + settle)
		w.requireHealthy()
		if pause < lease.GrantDuration {
			require.Equal(t, before, w.members["n1"].state.self, "a short pause costs nothing")
		}
		if pause > time.Second {
			require.Greater(t, w.members["n1"].state.self.Incarnation, before.Incarnation)
		}
	}
}

// Guards against a holder that goes on after it lost its majority, or can't find new grantors.
func TestTwoGrantorsLost(t *testing.T) {
	w := settled(t, 6)
	before := w.members["n0"].state.self
	for _, id := range w.record("n0").Grantors[:2] {
		w.members[id.Name].alive = false
	}
	for limit := w.now.Add(lease.GrantDuration); w.members["n0"].state.self == before; w.run(time.Millisecond) {
		require.LessOrEqual(t, w.members["n0"].leaseEnd, limit, "grants of one grantor are no majority")
		require.Less(t, w.now, limit.Add(time.Second), "the node gives its incarnation up")
	}
	require.Less(t, w.untilServed(settle), 4*time.Second)
	w.run(settle)
	w.requireHealthy()
	require.Greater(t, w.members["n0"].state.self.Incarnation, before.Incarnation)
}

// Guards against an outage of the platform that stops healthy nodes or leaves a step half done for good.
func TestPlatformDownDuringEachStep(t *testing.T) {
	for offset := time.Duration(0); offset <= time.Second; offset += 50 * time.Millisecond {
		w := settled(t, 5)
		w.members["n2"].alive = false
		w.run(offset)
		w.down = true
		w.run(time.Minute)
		w.down = false
		w.untilServed(30 * time.Second)
		w.run(15 * time.Second)
		w.requireHealthy()
		require.Empty(t, w.lapses, "platform down %v after the loss", offset)
	}
}

// Guards against a promise given during an outage, which would stop an owner that nobody can replace.
func TestNoPromiseDuringOutage(t *testing.T) {
	w := settled(t, 4)
	before := w.members["n1"].state.self
	w.down = true
	w.cut = func(from, to string) bool { return from == "n1" || to == "n1" }
	w.run(5 * time.Second)
	w.cut = func(string, string) bool { return false }
	w.run(time.Second)
	require.True(t, w.allServed(), "the owner goes on when the network is back")
	w.down = false
	w.run(settle)
	require.Equal(t, before, w.members["n1"].state.self)
}

// Guards against a second registration, or none, when the answer to a write is lost.
func TestLostAnswers(t *testing.T) {
	for _, purpose := range []Purpose{Register, Update, Revoke, Resign, Handover, Planned} {
		w := newWorld(t, 5)
		lost := 0
		w.loseAnswer = func(a Write) bool {
			if a.Purpose == purpose {
				lost++
			}
			return a.Purpose == purpose
		}
		w.run(2 * time.Second)
		incarnations := map[string]cluster.NodeID{}
		for name := range w.members {
			incarnations[name] = w.members[name].state.self
		}
		w.run(settle)
		w.requireHealthy()
		for name, id := range incarnations {
			require.Equal(t, id, w.members[name].state.self)
		}
		w.members["n4"].alive = false
		w.handle(w.members["n3"], DrainRequested{})
		w.run(settle)
		require.True(t, w.allServed())
		if purpose != Resign {
			require.NotZero(t, lost, purpose)
		}
	}
}

// Guards against revokers that disturb each other: the record is revoked once, and nobody else is.
func TestRacingRevokers(t *testing.T) {
	w := settled(t, 5)
	w.latency = 80 * time.Millisecond
	w.members["n4"].alive = false
	w.run(settle)
	revoked := 0
	for _, a := range w.writes {
		if a.Purpose == Revoke {
			revoked++
			require.Equal(t, "n4", a.Name)
		}
	}
	require.Equal(t, 1, revoked)
	w.requireHealthy()
}

// Guards against a restarted process that serves beside its predecessor or waits for an operator.
func TestRestartUnderTheSameName(t *testing.T) {
	for nodes := 1; nodes <= 4; nodes++ {
		w := settled(t, nodes)
		before := w.members["n0"].state.self
		w.members["n0"].alive = false
		w.start("n0")
		w.run(settle)
		w.requireHealthy()
		require.Greater(t, w.members["n0"].state.self.Incarnation, before.Incarnation)
		require.NotEmpty(t, w.record("n0").Target.Address)
	}
}

// Guards against a node that is cut off from its grantors but not from the platform and keeps serving,
// and against votes of a candidate that can't reach a healthy holder.
func TestNodeCutOff(t *testing.T) {
	w := settled(t, 5)
	before := w.members["n2"].state.self
	w.cut = func(from, to string) bool { return from == "n2" && to == "n3" || from == "n3" && to == "n2" }
	w.run(settle)
	require.Equal(t, before, w.members["n2"].state.self, "one broken path stops nobody")
	w.cut = func(from, to string) bool { return from == "n2" || to == "n2" }
	w.run(settle)
	require.True(t, w.allServed())
	require.True(t, w.record("n2").Gone(), "a node without grantors does not register")
	w.cut = func(string, string) bool { return false }
	w.run(2 * settle)
	w.requireHealthy()
}

// Guards against a planned stop that leaves slices behind, loses another node's lease or its own record.
func TestDrainAndLeave(t *testing.T) {
	for nodes := 2; nodes <= 4; nodes++ {
		w := settled(t, nodes)
		m := w.members["n1"]
		w.handle(m, DrainRequested{})
		w.run(2 * time.Second)
		require.Empty(t, m.snapshot.Owned)
		require.True(t, m.snapshot.Draining)
		require.True(t, w.allServed())
		for i := range sliceCount {
			slice, _ := w.platformView().Slice(cluster.SliceID{Service: "svc", Index: i})
			require.Equal(t, uint64(1), slice.RecordEpoch, "a handover keeps the identity records")
		}
		w.handle(m, LeaveRequested{})
		w.run(settle)
		require.True(t, m.finished)
		require.Equal(t, cluster.Left, w.record("n1").State)
		w.requireHealthy()
		require.Empty(t, w.lapses)
	}
}

// Guards against a planned stop that takes the lease of a node which has few other grantors.
func TestLeaveAtOnce(t *testing.T) {
	for nodes := 2; nodes <= 4; nodes++ {
		w := settled(t, nodes)
		w.latency = 300 * time.Millisecond
		w.handle(w.members["n1"], LeaveRequested{})
		w.run(settle)
		require.True(t, w.members["n1"].finished)
		w.requireHealthy()
		require.Empty(t, w.lapses)
	}
}

// Guards against slices that stay with a node whose target is gone.
func TestTargetLost(t *testing.T) {
	w := settled(t, 4)
	m := w.members["n1"]
	lost := m.state.target
	lost.Down = true
	w.handle(m, TargetChanged{Target: lost})
	w.run(3 * time.Second)
	require.True(t, w.record("n1").Target.Down)
	require.Empty(t, m.snapshot.Owned)
	require.True(t, w.allServed())
	require.Empty(t, w.lapses)
}

// Guards against a fleet that waits for an operator after all its nodes were restarted at once, when no
// grantor of an old incarnation is left to vote.
func TestFleetRestart(t *testing.T) {
	for nodes := 2; nodes <= 4; nodes++ {
		w := settled(t, nodes)
		for i := range nodes {
			w.members[fmt.Sprintf("n%d", i)].alive = false
		}
		w.run(time.Second)
		for i := range nodes {
			w.start(fmt.Sprintf("n%d", i))
		}
		w.run(2 * settle)
		w.requireHealthy()
	}
}

// Guards against a host that takes a name over, and revokes without votes a process that still runs elsewhere.
func TestNameOnAnotherHostNeedsVotes(t *testing.T) {
	w := settled(t, 4)
	old := w.record("n0")
	s := newState(Identity{Name: "n0", Addresses: cluster.Addresses{Heartbeat: "elsewhere", Relay: "elsewhere"}}, testPlanner{}, newSharedGrantor())
	s.handle(ViewChanged{View: w.platformView()}, 1)
	object := store.Object{Kind: cluster.KindNode, Name: "n0", Version: old.Version, Value: encode(old)}
	s.handle(ReadDone{Key: s.ownKey(), Object: object}, 1)
	for now := clock.Instant(1); now < clock.Instant(2*time.Second); now = now.Add(TickInterval) {
		for _, a := range s.handle(Tick{}, now) {
			write, ok := a.(Write)
			require.False(t, ok && write.Purpose == Revoke, "revoked without votes")
		}
	}
}
