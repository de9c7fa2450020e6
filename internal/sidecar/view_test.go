package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// newTestLeader returns an idle node that leads, with the view.
func newTestLeader(t *testing.T, v *fleet.View) *coordinator {
	n := newIdleNode(t)
	n.settings = &settings.Sidecar{Host: "leader", HeartbeatIntervalMs: 200, RelayPorts: []int{1, 2}}
	c := n.coordinator
	c.isLeader, c.round, c.history, c.polledNodes = true, 3, fleet.NewHistory(), map[string]*polledNode{}
	c.installView(n.clock.Now(), v)
	return c
}

// nextPoll returns the leader's next poll for host h as it arrives there.
func nextPoll(t *testing.T, leader *coordinator, node *polledNode) *fleet.Poll {
	v := leader.state.view.Load()
	p, err := fleet.DecodePoll(leader.newPoll(leader.clock.Now(), node, v.Targets["h"], v).Encode())
	require.NoError(t, err)
	return p
}

// answerPoll applies the poll at the node and its report at the leader.
func answerPoll(t *testing.T, n *node, p *fleet.Poll, leader *coordinator, node *polledNode) {
	r := n.coordinator.handlePoll(n.clock.Now(), p)
	require.False(t, r.Refused)
	data := r.Encode()
	r, err := fleet.DecodeReport(data)
	require.NoError(t, err)
	node.recordAnswer(leader.round, r)
}

// Guards against callers who are never served at a node: a write of its own record raises the latest version that it knows above that of
// a table which it lacks, so that the leader takes it for up to date.
func TestNodeGetsTheTableAfterAWriteOfItsOwn(t *testing.T) {
	record := &fleet.Target{Host: "h", Relay: "10.0.0.1:1", Service: "s", Term: 1, State: fleet.Serving, Version: 3}
	v := fleet.NewView()
	v.Targets["h"] = record
	leader, n, node := newTestLeader(t, v), newIdleNode(t), &polledNode{}
	n.state.viewLoaded.Store(true)
	answerPoll(t, n, nextPoll(t, leader, node), leader, node)

	p := nextPoll(t, leader, node) // On its way when the leader writes the table, and the node its record.
	table := &fleet.Table{Version: 8, Table: keyspace.Table{Fence: 1, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: keyspace.MaxKey}, Owner: record.Owner(), Fence: 1}}}}
	withTable := leader.state.view.Load().Clone()
	withTable.Tables["s"] = table
	own := *record
	own.Version = 9
	n.state.view.Store(n.state.view.Load().WithTarget(&own))
	leader.installView(leader.clock.Now(), withTable)
	answerPoll(t, n, p, leader, node)
	answerPoll(t, n, nextPoll(t, leader, node), leader, node)
	require.NotNil(t, n.state.view.Load().Tables["s"])
	_, found := n.state.view.Load().FindRow("s", 7)
	require.True(t, found)
}

// Guards against the same at the leader: it learns of a record by its watch after it has written a table with a higher version.
func TestNodesGetARecordThatTheLeaderLearnsOfLate(t *testing.T) {
	v := fleet.NewView()
	v.Targets["h"] = &fleet.Target{Host: "h", Relay: "10.0.0.1:1", Service: "s", Term: 1, State: fleet.Serving, Version: 3}
	v.Targets["other"] = &fleet.Target{Host: "other", Relay: "10.0.0.2:1", Service: "s", Term: 1, State: fleet.Serving, Version: 4}
	leader, n, node := newTestLeader(t, v), newIdleNode(t), &polledNode{}
	n.state.viewLoaded.Store(true)
	v = leader.state.view.Load().Clone()
	v.Tables["s"] = &fleet.Table{Version: 12}
	leader.installView(leader.clock.Now(), v)
	answerPoll(t, n, nextPoll(t, leader, node), leader, node)

	late := *v.Targets["other"]
	late.Term, late.Version = 2, 11
	leader.installView(leader.clock.Now(), leader.state.view.Load().WithTarget(&late))
	answerPoll(t, n, nextPoll(t, leader, node), leader, node)
	require.Equal(t, uint64(2), n.state.view.Load().Targets["other"].Term)
}

// Guards against a new leader that sends its complete view to every node: for 60 nodes that fills a link of 10 Mbit/s for more than two
// seconds, in which nodes lose contact with the leader and replace it by the next one, which does the same.
func TestNewLeaderSendsNodesOnlyWhatTheyLack(t *testing.T) {
	v := fleet.NewView()
	v.Targets["h"] = &fleet.Target{Host: "h", Relay: "10.0.0.1:1", Service: "s", Term: 1, State: fleet.Serving, Version: 3}
	table := &fleet.Table{Version: 8, Table: keyspace.Table{Fence: keyspace.MaxKey + 1}}
	for from := 0; from <= keyspace.MaxKey; from += 128 {
		table.Rows = append(table.Rows, keyspace.Row{Range: keyspace.Range{From: from, To: from + 127}, Owner: keyspace.Owner{Host: "h", Term: 1}, Fence: uint64(from + 1)})
	}
	v.Tables["s"] = table
	n := newIdleNode(t)
	n.state.viewLoaded.Store(true)
	n.state.view.Store(v.Clone())
	changed := v.Clone()
	changed.Targets["new"] = &fleet.Target{Host: "new", Relay: "10.0.0.2:1", Service: "s", Term: 1, State: fleet.Serving, Version: 9}
	leader, node := newTestLeader(t, changed), &polledNode{}
	sent := 0
	for range 3 {
		p := leader.newPoll(leader.clock.Now(), node, changed.Targets["h"], changed)
		sent += len(p.Encode())
		answerPoll(t, n, nextPoll(t, leader, node), leader, node)
	}
	require.Equal(t, changed.Targets, n.state.view.Load().Targets)
	require.Equal(t, leader.history.Sequence(), node.viewSequence)
	require.Less(t, sent, len(table.Encode())/10)

	lacking := newIdleNode(t)
	lacking.state.viewLoaded.Store(true)
	node = &polledNode{}
	for range 2 {
		answerPoll(t, lacking, nextPoll(t, leader, node), leader, node)
	}
	require.Equal(t, changed.Tables, lacking.state.view.Load().Tables)
	require.Equal(t, changed.Targets, lacking.state.view.Load().Targets)
}

// Guards against a new leader whose first poll can't carry the configuration, and which sends it only with the next regular one.
func TestNewLeaderSendsTheConfigurationAfterTheFirstAnswer(t *testing.T) {
	for reported, polledAgain := range map[uint64]bool{1: true, 2: false} {
		view := fleet.NewView()
		view.Targets["h"] = newUnresponsiveHost(t)
		leader := newTestLeader(t, view)
		leader.applyStoredConfig(store.Object{Kind: platform.ConfigKind, Name: platform.ConfigName, Version: 9, Value: []byte(standin.Configuration(2, "p"))}, sourceStore)
		node := &polledNode{viewSequence: leader.history.Sequence()}
		node.Report = &fleet.Report{ConfigVersion: reported}
		leader.polledNodes["h"] = node
		leader.pollAgain(leader.clock.Now(), "h")
		require.Equal(t, polledAgain, node.pollPending, "the node reports version %d", reported)
	}
}

// Guards against a node that waits for its first campaign as in a fleet that starts for the first time, long after that has started: its keys wait with
// it when the leader is lost.
func TestElectionDelayShrinksOnceTheFleetRuns(t *testing.T) {
	for range 20 {
		c := newIdleNode(t).coordinator
		c.jitter = firstElectionSpread * electionJitter
		v := fleet.NewView()
		v.Tables["s"] = &fleet.Table{Version: 4}
		c.handlePoll(c.clock.Now(), &fleet.Poll{Coordinator: "leader", Epoch: 1, View: v})
		require.LessOrEqual(t, c.jitter, electionJitter)
	}
}
