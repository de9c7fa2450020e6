package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

var options = Options{LeaseDuration: 8 * time.Second, NodeTimeout: 1500 * time.Millisecond, InitialAssignmentDelay: time.Second}

func at(seconds float64) clock.Instant {
	return clock.Instant(100 * time.Second).Add(time.Duration(seconds * float64(time.Second)))
}

// world is a fleet of n targets of one service that answer polls.
type world struct{ in *Input }

func newWorld(n int) *world {
	w := &world{&Input{
		Now: at(10), View: fleet.NewView(), Nodes: map[string]*Node{}, Revoked: map[keyspace.Owner]clock.Instant{},
		Evacuated: map[string]bool{}, Keyed: map[string]bool{"booking": true}, LastRebalanced: map[string]clock.Instant{},
	}}
	for i := range n {
		host := fmt.Sprintf("h%d", i)
		w.in.View.Targets[host] = &fleet.Target{Host: host, Relay: host, Zone: fmt.Sprintf("z%d", i%2), Service: "booking",
			Term: 1, State: fleet.Serving, Slots: 18}
		w.in.Nodes[host] = &Node{Report: &fleet.Report{Host: host, LeaseMs: 5000}, LastSeen: at(10)}
	}
	return w
}

func (w *world) step(t *testing.T) Plan {
	t.Helper()
	p := ComputePlan(w.in, options)
	if c := p.Tables["booking"]; c != nil {
		require.NoError(t, c.Table.Validate())
		w.in.View.Tables["booking"] = &fleet.Table{Table: *c.Table}
	}
	return p
}

func (w *world) table() *keyspace.Table { return &w.in.View.Tables["booking"].Table }

func (w *world) pass(d time.Duration) {
	w.in.Now = w.in.Now.Add(d)
}

func (w *world) answer(hosts ...string) {
	for _, h := range hosts {
		w.in.Nodes[h].LastSeen = w.in.Now
	}
}

func TestFirstAssignmentIsEven(t *testing.T) {
	w := newWorld(4)
	w.step(t)
	require.Empty(t, w.table().Gaps())
	require.Len(t, w.table().Rows, 4*initialRangesPerOwner)
	width := map[string]int{}
	last := ""
	for _, r := range w.table().Rows {
		width[r.Owner.Host] += r.Size()
		require.NotEqual(t, last, r.Owner.Host, "neighbours have different owners, since busy keys are neighbours")
		last = r.Owner.Host
	}
	require.Len(t, width, 4)
	for _, keys := range width {
		require.InDelta(t, (keyspace.MaxKey+1)/4, keys, 4*initialRangesPerOwner)
	}
	require.Empty(t, w.step(t).Tables, "a table in order stays as it is")
}

// Guards against a takeover before the grants of a lost host have run out.
func TestLostHostIsRevokedAndItsRangesWait(t *testing.T) {
	w := newWorld(3)
	w.step(t)
	w.pass(1400 * time.Millisecond)
	w.answer("h1", "h2")
	require.Empty(t, w.step(t).Revoke)
	w.pass(100 * time.Millisecond)
	require.Equal(t, []string{"h0"}, w.step(t).Revoke)
	w.in.View.Targets["h0"].State = fleet.Revoked
	w.in.Revoked[keyspace.Owner{Host: "h0", Term: 1}] = w.in.Now
	w.pass(options.LeaseDuration)
	w.answer("h1", "h2")
	require.Empty(t, w.step(t).Tables, "the margin is not over")
	w.pass(revokeMargin)
	w.answer("h1", "h2")
	p := w.step(t)
	require.Len(t, p.Tables["booking"].Moves, initialRangesPerOwner, "its ranges and no others")
	for _, r := range w.table().Rows {
		require.NotEqual(t, "h0", r.Owner.Host)
	}
}

func TestProvenEndIsActedOnAtOnce(t *testing.T) {
	for name, end := range map[string]func(*fleet.Target){
		"down":     func(t *fleet.Target) { t.State = fleet.Down },
		"new term": func(t *fleet.Target) { t.Term++ },
	} {
		w := newWorld(3)
		w.step(t)
		fence := w.table().Fence
		end(w.in.View.Targets["h0"])
		p := w.step(t)
		require.Len(t, p.Tables["booking"].Moves, initialRangesPerOwner, name)
		row, _ := w.table().Find(p.Tables["booking"].Moves[0].From)
		require.Equal(t, p.Tables["booking"].Moves[0].NewOwner, row.Owner, name)
		require.Greater(t, w.table().Fence, fence, name)
	}
}

func TestViewOlderThanTheTableProvesNothing(t *testing.T) {
	w := newWorld(3)
	w.step(t)
	for i := range w.table().Rows {
		w.table().Rows[i].Owner.Term = 2
	}
	require.Empty(t, w.step(t).Tables)
}

func TestReleasedRangePassesTheToken(t *testing.T) {
	w := newWorld(3)
	w.step(t)
	w.in.View.Targets["h0"].State = fleet.Leaving
	require.Empty(t, w.step(t).Tables, "nothing is released yet")
	var row keyspace.Row
	for _, r := range w.table().Rows {
		if r.Owner.Host == "h0" {
			row = r
		}
	}
	w.in.Nodes["h0"].Report.Released = []fleet.Release{{Range: row.Range, Fence: row.Fence, Handover: "token"}}
	p := w.step(t)
	require.True(t, p.Tables["booking"].Moves[0].HasHandover)
	moved, _ := w.table().Find(row.Range.From)
	require.Equal(t, "token", moved.Handover)
	require.Greater(t, moved.Fence, row.Fence)
	require.Empty(t, w.step(t).Tables, "an old report does not release the new fence")
}

func TestEvacuatedZoneIsEmptied(t *testing.T) {
	w := newWorld(4)
	w.step(t)
	w.in.Evacuated["z0"] = true
	p := w.step(t)
	require.Len(t, p.Tables["booking"].Moves, 2*initialRangesPerOwner)
	for _, r := range w.table().Rows {
		if w.in.View.Targets[r.Owner.Host].Zone == "z0" {
			require.Equal(t, "z1", w.in.View.Targets[r.NextOwner.Host].Zone)
		}
	}
}

// Guards against the last zone giving its keys to nobody.
func TestWithoutCandidatesNothingMoves(t *testing.T) {
	w := newWorld(2)
	w.step(t)
	w.in.Evacuated["z0"], w.in.Evacuated["z1"] = true, true
	require.Empty(t, w.step(t).Tables)
}

// A move is not taken back, because the owner may have reported the release already.
func TestLostDestinationIsReplaced(t *testing.T) {
	w := newWorld(3)
	w.step(t)
	w.table().Rows[0].NextOwner = keyspace.Owner{Host: "h9", Term: 1}
	w.step(t)
	require.False(t, w.table().Rows[0].NextOwner.IsZero())
	require.NotEqual(t, "h9", w.table().Rows[0].NextOwner.Host)
}

// hot gives each owner a demand, and that of one host in a narrow run of keys.
func (w *world) hot(host string, keys keyspace.Range, demand, others float64) {
	for h, n := range w.in.Nodes {
		n.Report.Demand, n.Report.Segments = others, nil
		for _, r := range w.table().Rows {
			if r.Owner.Host == h {
				n.Report.Segments = append(n.Report.Segments, fleet.Segment{Range: r.Range, Demand: others / float64(w.rowsOf(h))})
			}
		}
		if h == host {
			step := keys.Size() / 8
			n.Report.Segments = nil
			n.Report.Demand = 0
			for from := keys.From; from <= keys.To; from += step {
				n.Report.Segments = append(n.Report.Segments, fleet.Segment{Range: keyspace.Range{From: from, To: min(keys.To, from+step-1)}, Demand: demand / 8})
				n.Report.Demand += demand / 8
			}
		}
	}
}

func (w *world) rowsOf(host string) int {
	n := 0
	for _, r := range w.table().Rows {
		if r.Owner.Host == host {
			n++
		}
	}
	return n
}

// The load: 200 neighbouring keys take as many slots as their owner has, the others are a third busy.
func TestHotRunIsSplit(t *testing.T) {
	w := newWorld(4)
	w.step(t)
	w.hot(w.table().Rows[0].Owner.Host, keyspace.Range{From: 100, To: 299}, 20, 5)
	p := w.step(t)
	require.NotNil(t, p.Tables["booking"])
	require.True(t, p.Tables["booking"].Rebalanced)
	moved := 0
	for _, m := range p.Tables["booking"].Moves {
		require.Equal(t, Balance, m.Reason)
		moved += m.Size()
	}
	require.Less(t, moved, 200, "only hot keys move")
	require.Greater(t, moved, 25)
}

// Guards against ranges that wander from owner to owner because the new one has not measured their demand yet.
func TestMovedDemandIsExpectedAtTheNewOwner(t *testing.T) {
	w := newWorld(4)
	w.step(t)
	w.hot(w.table().Rows[0].Owner.Host, keyspace.Range{From: 100, To: 299}, 20, 9)
	moves := w.step(t).Tables["booking"].Moves
	w.pass(rebalanceInterval)
	w.answer("h0", "h1", "h2", "h3")
	require.Empty(t, w.step(t).Tables, "what is on the move counts at its destination")
	for _, m := range moves {
		row, _ := w.table().Find(m.From)
		w.in.Nodes[m.OldOwner.Host].Report.Released = append(w.in.Nodes[m.OldOwner.Host].Report.Released, fleet.Release{Range: m.Range, Fence: row.Fence})
	}
	p := w.step(t)
	w.in.DemandEstimates = UpdateEstimates(nil, w.in.Now, p.Tables["booking"].Moves)
	require.Len(t, w.in.DemandEstimates, len(moves))
	w.pass(rebalanceInterval)
	w.answer("h0", "h1", "h2", "h3")
	for _, n := range w.in.Nodes {
		n.Report.Released = nil
	}
	w.in.Nodes["h0"].Report.Demand, w.in.Nodes["h0"].Report.Segments = 11, []fleet.Segment{{Range: keyspace.Range{From: 0, To: 99}, Demand: 11}}
	require.Empty(t, w.step(t).Tables, "the new owner reports none of it yet")
}

// The keys on the move are served again with the receiver's heartbeat, so that the one whose heartbeat comes next is
// preferred among equals.
func TestReceiverWithTheNextHeartbeat(t *testing.T) {
	for name, beats := range map[string]map[string]int64{
		"h2": {"h0": 100, "h1": 200, "h2": 300, "h3": 900},
		"h3": {"h0": 100, "h1": 50, "h2": 200, "h3": 450},
		"h1": {"h0": 900, "h1": 100, "h2": 500, "h3": 850},
	} {
		w := newWorld(4)
		w.step(t)
		w.hot(w.table().Rows[0].Owner.Host, keyspace.Range{From: 100, To: 299}, 20, 5)
		for host, ms := range beats {
			w.in.Nodes[host].Report.BeatMs = ms
		}
		o := options
		o.HeartbeatInterval = time.Second
		require.Equal(t, name, ComputePlan(w.in, o).Tables["booking"].Moves[0].NewOwner.Host)
	}
}

func TestBalancedFleetIsLeftAlone(t *testing.T) {
	w := newWorld(4)
	w.step(t)
	w.hot("none", keyspace.Range{}, 0, 12)
	require.Empty(t, w.step(t).Tables)
	w.hot("none", keyspace.Range{}, 0, 1)
	require.Empty(t, w.step(t).Tables)
	w.hot(w.table().Rows[0].Owner.Host, keyspace.Range{From: 100, To: 299}, 40, 20)
	require.Empty(t, w.step(t).Tables, "moving serves nobody if all owners are overloaded")
}

// Guards against a coordinator that revokes all targets after an outage of the store, because their leases lapsed without its
// word.
func TestLapsedLeaseCountsOnlyAgainstTheWord(t *testing.T) {
	w := newWorld(3)
	for _, p := range w.step(t).Tables {
		w.in.View.Tables["booking"] = &fleet.Table{Table: *p.Table, Version: 1}
	}
	w.in.Nodes["h1"].Report.LeaseMs = 0
	w.in.ConfirmingSince = w.in.Now.Add(-options.NodeTimeout / 2)
	require.Empty(t, ComputePlan(w.in, options).Revoke, "the word has not had the time to come")
	w.in.ConfirmingSince = w.in.Now.Add(-options.NodeTimeout)
	require.Equal(t, []string{"h1"}, ComputePlan(w.in, options).Revoke)
}
