package sidecar

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// configApplyTime is the platform's bound for a configuration to be in force.
const configApplyTime = 2 * time.Second

// evacuationTime is the platform's bound for an evacuation to take effect.
const evacuationTime = 5 * time.Second

// changeFaults changes the faults that the store shows to all hosts.
func (r *testFleet) changeFaults(change func(*standin.Faults)) {
	for _, h := range r.hosts {
		h.storeProxy.ChangeFaults(change)
	}
}

// leader returns the host of the coordinator.
func (r *testFleet) leader() *testHost {
	r.t.Helper()
	for _, h := range r.hosts {
		if h.isLeader() {
			return h
		}
	}
	r.t.Fatal("no host is the coordinator")
	return nil
}

// follower returns a host other than that of the coordinator.
func (r *testFleet) follower() *testHost {
	if r.hosts[0].isLeader() {
		return r.hosts[1]
	}
	return r.hosts[0]
}

// requireConfig checks that all hosts but one serve a path that only the new configuration has, within the platform's bound.
func (r *testFleet) requireConfig(path string, except *testHost) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		for _, h := range r.hosts {
			if h == except {
				continue
			}
			if status, _ := h.get(path, "config", 1); status == 404 {
				return false
			}
		}
		return true
	}, configApplyTime, 10*time.Millisecond)
}

// Guards against nodes that learn of a configuration only from a coordinator that can't read it.
func TestConfigurationReachesNodesWithoutTheCoordinator(t *testing.T) {
	t.Run("the store refuses the coordinator", func(t *testing.T) {
		r := newTestFleet(t, 3)
		leader := r.leader()
		leader.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
		r.store.Configure(standin.Configuration(2, "q"))
		r.requireConfig("/q/x", leader)
	})
	t.Run("the store does not answer the coordinator", func(t *testing.T) {
		r := newTestFleet(t, 3)
		leader := r.leader()
		leader.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Delay = 10 * time.Second })
		r.store.Configure(standin.Configuration(2, "q"))
		r.requireConfig("/q/x", leader)
	})
	t.Run("the coordinator is lost", func(t *testing.T) {
		r := newTestFleet(t, 3)
		leader := r.leader()
		leader.node.settings.Store.Address = "127.0.0.1:1" // It must not come back as the coordinator.
		leader.cancel()
		r.store.Configure(standin.Configuration(2, "q"))
		r.requireConfig("/q/x", leader)
	})
	t.Run("the coordinator is lost and the store refuses a node", func(t *testing.T) {
		r := newTestFleet(t, 3)
		leader, refused := r.leader(), r.follower()
		leader.node.settings.Store.Address = "127.0.0.1:1" // It must not come back as the coordinator.
		leader.cancel()
		refused.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
		r.store.Configure(standin.Configuration(2, "q"))
		r.requireConfig("/q/x", leader)
	})
	t.Run("connections of a node to the coordinator and to the store go silent", func(t *testing.T) {
		r := newTestFleet(t, 3)
		leader, silent := r.leader(), r.follower()
		silent.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Silent = 1 })
		leader.node.post(func(clock.Instant) {
			leader.node.coordinator.polledNodes[silent.node.settings.Host].pollPending = true // The poll is never answered.
		})
		r.store.Configure(standin.Configuration(2, "q"))
		r.requireConfig("/q/x", nil)
	})
	t.Run("the store refuses a node and the polls can't carry the document", func(t *testing.T) {
		r := newTestFleet(t, 3)
		refused := r.follower()
		refused.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
		large := `{"note":"` + strings.Repeat("x", 4*maxPolledConfigBytes) + `",`
		r.store.Configure(strings.Replace(standin.Configuration(2, "q"), "{", large, 1))
		r.requireConfig("/q/x", nil)
	})
}

// Guards against nodes that ignore what the operator writes after the store came back from a copy, because its revisions are lower than before.
func TestOperatorObjectsTakeEffectAfterARestore(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 3)
	copied := r.store.Copy()
	r.store.Evacuate("y")
	for range 40 {
		r.store.Configure(standin.Configuration(2, "q"))
	}
	r.requireConfig("/q/x", nil)
	r.changeFaults(func(d *standin.Faults) { d.Down = true })
	time.Sleep(time.Second)
	r.store.Restore(copied)
	r.changeFaults(func(d *standin.Faults) { d.Down = false })
	r.store.Configure(standin.Configuration(2, "q"))
	time.Sleep(time.Second)
	r.store.Configure(standin.Configuration(3, "s"))
	r.store.Evacuate("x")
	r.requireConfig("/s/x", nil)
	require.Eventually(t, func() bool {
		for _, h := range r.hosts {
			if _, evacuated := h.node.state.evacuatedSince("x"); !evacuated {
				return false
			}
		}
		return true
	}, evacuationTime, 10*time.Millisecond)
}

// Guards against work for an evacuated zone whose entry is missing in the copy until the operator writes it again.
func TestZonesStayEvacuatedAfterARestore(t *testing.T) {
	version := func(era, revision uint64) uint64 {
		v, ok := store.VersionIn(era, revision)
		require.True(t, ok)
		return v
	}
	entry := func(zone string, deleted bool) []store.Change {
		return []store.Change{{Object: store.Object{Name: zone}, Deleted: deleted}}
	}
	n := newIdleNode(t)
	evacuated := func(zone string) bool {
		_, evacuated := n.state.evacuatedSince(zone)
		return evacuated
	}
	n.applyEvacuations(entry("lost", false), version(1, 40), true)
	n.applyEvacuations(entry("ended", false), version(1, 41), false)
	n.applyEvacuations(entry("new", false), version(2, 9), true)
	require.True(t, evacuated("lost"))
	require.True(t, evacuated("new"))
	poll := n.coordinator.newPoll(n.clock.Now(), &polledNode{}, &fleet.Target{}, n.state.view.Load())
	require.Equal(t, []string{"new"}, poll.EvacuatedZones, "each node keeps zones by its own knowledge")
	n.applyEvacuations(entry("ended", true), version(2, 10), false)
	require.False(t, evacuated("ended"), "the operator has taken the zone back since")
	n.releaseKeptZones(n.clock.Now())
	require.True(t, evacuated("lost"))
	n.releaseKeptZones(n.clock.Now().Add(restoredZoneRetention))
	require.False(t, evacuated("lost"))
	require.True(t, evacuated("new"))
}

// Guards against a node that starts after the store came back from an older copy, and takes the older configuration for the later one.
func TestOlderConfigurationOfACopyIsReplaced(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 3)
	copied := r.store.Copy()
	r.store.Configure(standin.Configuration(2, "q"))
	r.requireConfig("/q/x", nil)
	r.store.Restore(copied)
	started := r.follower()
	r.restart(started)
	require.Eventually(t, func() bool {
		status, _ := started.get("/q/x", "config", 1)
		return status == 200
	}, configApplyTime, 10*time.Millisecond)
}

// Guards against nodes that get no configurations while the leader still runs a release whose polls name them by the store's revision.
func TestPollsOfEarlierReleasesCarryConfigurations(t *testing.T) {
	n := newIdleNode(t)
	n.coordinator.handlePoll(n.clock.Now(), &fleet.Poll{ConfigRevision: 9, Config: []byte(standin.Configuration(2, "q"))})
	require.Equal(t, uint64(2), n.state.configVersion.Load())
	require.False(t, n.isAnnounced(&fleet.Poll{ConfigRevision: 9}))
	require.True(t, n.isAnnounced(&fleet.Poll{ConfigRevision: 10}), "the node reads it from the store")
	version, ok := store.VersionIn(3, 9)
	require.True(t, ok)
	n.applyEvacuations(nil, version, true)
	n.coordinator.handlePoll(n.clock.Now(), &fleet.Poll{EvacuatedZones: []string{"z"}, EvacuatedRevision: 10})
	_, evacuated := n.state.evacuatedSince("z")
	require.True(t, evacuated, "the poll names no era")
}

// Guards against calls to the store that grow with nodes times changes: a start costs few calls, configurations cost none.
func TestOperatorObjectsCostFewCalls(t *testing.T) {
	r := newTestFleet(t, 3)
	leader := r.leader()
	// The fleet's records, at most two writes of the host's record, and the leader's record. The configuration comes with the first poll.
	const callsOfStart = 4
	for _, h := range r.hosts {
		if h != leader {
			require.LessOrEqual(t, h.storeProxy.Calls(), callsOfStart, h.node.settings.Node)
		}
	}
	const changes, gap = 12, 100 * time.Millisecond
	before := map[*testHost]int{}
	for _, h := range r.hosts {
		before[h] = h.storeProxy.Calls()
	}
	for version := range changes {
		r.store.Configure(standin.Configuration(2+version, "q"))
		time.Sleep(gap)
	}
	r.requireConfig("/q/x", nil)
	time.Sleep(time.Second)
	for _, h := range r.hosts {
		require.Equal(t, uint64(1+changes), h.node.state.config.Load().Version)
		if h != leader {
			require.Equal(t, before[h], h.storeProxy.Calls(), "%s: the polls carry the configurations", h.node.settings.Node)
		}
	}
}

// Guards against polls that carry a large configuration to all nodes at once, or a small one to nodes that have it.
func TestPollsCarrySmallConfigurations(t *testing.T) {
	n := newIdleNode(t)
	poll := func(reported uint64, size int) *fleet.Poll {
		n.state.configDocument.Store(&configDocument{7, make([]byte, size)})
		n.state.configVersion.Store(7)
		p := &fleet.Poll{}
		node := &polledNode{}
		node.Report = &fleet.Report{ConfigVersion: reported}
		n.coordinator.announceConfig(p, node)
		require.Equal(t, uint64(7), p.ConfigVersion)
		return p
	}
	require.Len(t, poll(6, maxPolledConfigBytes).Config, maxPolledConfigBytes)
	require.Empty(t, poll(6, maxPolledConfigBytes+1).Config, "the node reads it from the store")
	require.Empty(t, poll(7, 100).Config, "the node has it")
	require.Empty(t, poll(8, 100).Config, "the node has a later one")
}

// Guards against a leader that can't read the operator's objects and keeps back what other nodes have read, and against one that can
// and believes an odd report.
func TestLeaderTakesOverReportedOperatorState(t *testing.T) {
	for _, unread := range []bool{false, true} {
		n := newIdleNode(t)
		c := n.coordinator
		c.isLeader, c.operatorUnread, c.history = true, unread, fleet.NewHistory()
		node := &polledNode{}
		c.polledNodes = map[string]*polledNode{"other": node}
		c.handleReport(n.clock.Now(), &fleet.Report{Host: "other", ConfigVersion: 9, EvacuatedZones: []string{"z"}, EvacuatedRevision: 20}, true, false)
		_, evacuated := n.state.evacuatedSince("z")
		require.Equal(t, unread, evacuated)
		p := &fleet.Poll{}
		c.announceConfig(p, node)
		require.Equal(t, unread, p.ConfigVersion == 9)
	}
}

// Guards against a configuration that reaches none of the hosts that the store refuses: the leader, refused as well, knew only the version
// that others had read, so that its polls could not carry the document.
func TestRefusedLeaderPassesOnAReportedConfiguration(t *testing.T) {
	for _, size := range []int{0, maxPolledConfigBytes} {
		leader, reader := newTestLeader(t, fleet.NewView()), newIdleNode(t)
		leader.operatorUnread = true
		node, refused := &polledNode{}, &polledNode{}
		leader.polledNodes["h"] = node
		value := []byte(standin.Configuration(7, "q") + strings.Repeat(" ", size))
		reader.applyStoredConfig(store.Object{Kind: platform.ConfigKind, Name: platform.ConfigName, Version: 9, Value: value}, sourceStore)
		poll := leader.newPoll(leader.clock.Now(), node, &fleet.Target{}, leader.state.view.Load())
		poll.OperatorUnread, poll.ConfigHeld = true, leader.state.configVersion.Load()
		reader.coordinator.nextOperatorFetch = reader.clock.Now().Add(time.Hour) // It has just read the objects.
		r, err := fleet.DecodeReport(reader.coordinator.handlePoll(reader.clock.Now(), poll).Encode())
		require.NoError(t, err)
		leader.handleReport(leader.clock.Now(), r, true, false)
		refused.Report = &fleet.Report{Host: "refused", ConfigVersion: 1}
		p := &fleet.Poll{}
		leader.announceConfig(p, refused)
		require.Equal(t, uint64(7), p.ConfigVersion, "the operator's version, not the store's")
		require.Equal(t, size == 0, len(p.Config) > 0, "polls carry small configurations")

		poll = leader.newPoll(leader.clock.Now(), node, &fleet.Target{}, leader.state.view.Load())
		poll.OperatorUnread, poll.ConfigHeld = true, leader.state.configVersion.Load()
		require.Empty(t, reader.coordinator.handlePoll(reader.clock.Now(), poll).Config, "the leader has it, or it is too large")
	}
}
