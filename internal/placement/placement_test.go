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

// testFleet is a fleet of targets of one service, all of which answer polls.
type testFleet struct{ input *Input }

func newTestFleet(n int) *testFleet {
	f := &testFleet{&Input{
		Now: at(10), View: fleet.NewView(), Nodes: map[string]*Node{}, Revoked: map[keyspace.Owner]clock.Instant{},
		Evacuated: map[string]bool{}, Keyed: map[string]bool{"booking": true}, LastRebalanced: map[string]clock.Instant{},
	}}
	for i := range n {
		host := fmt.Sprintf("h%d", i)
		f.input.View.Targets[host] = &fleet.Target{Host: host, Relay: host, Zone: fmt.Sprintf("z%d", i%2), Service: "booking",
			Term: 1, State: fleet.Serving, Slots: 18}
		f.input.Nodes[host] = &Node{Report: &fleet.Report{Host: host, LeaseMs: 5000}, LastSeen: at(10)}
	}
	return f
}

func (f *testFleet) applyPlan(t *testing.T) Plan {
	t.Helper()
	p := ComputePlan(f.input, options)
	if c := p.Tables["booking"]; c != nil {
		require.NoError(t, c.Table.Validate())
		f.input.View.Tables["booking"] = &fleet.Table{Table: *c.Table}
	}
	return p
}

func (f *testFleet) table() *keyspace.Table { return &f.input.View.Tables["booking"].Table }

func (f *testFleet) advanceClock(d time.Duration) {
	f.input.Now = f.input.Now.Add(d)
}

func (f *testFleet) answerPolls(hosts ...string) {
	for _, h := range hosts {
		f.input.Nodes[h].LastSeen = f.input.Now
	}
}

func TestFirstAssignmentIsEven(t *testing.T) {
	f := newTestFleet(4)
	f.applyPlan(t)
	require.Empty(t, f.table().Gaps())
	require.Len(t, f.table().Rows, 4*initialRangesPerOwner)
	width := map[string]int{}
	last := ""
	for _, r := range f.table().Rows {
		width[r.Owner.Host] += r.Size()
		require.NotEqual(t, last, r.Owner.Host, "adjacent ranges have different owners, since busy keys tend to be adjacent")
		last = r.Owner.Host
	}
	require.Len(t, width, 4)
	for _, keys := range width {
		require.InDelta(t, (keyspace.MaxKey+1)/4, keys, 4*initialRangesPerOwner)
	}
	require.Empty(t, f.applyPlan(t).Tables, "a complete and balanced table does not change")
}

// Guards against reassigning the ranges of a failed host before its grants have expired.
func TestFailedHostIsRevokedAndRangesWaitForExpiry(t *testing.T) {
	f := newTestFleet(3)
	f.applyPlan(t)
	f.advanceClock(1400 * time.Millisecond)
	f.answerPolls("h1", "h2")
	require.Empty(t, f.applyPlan(t).Revoke)
	f.advanceClock(100 * time.Millisecond)
	require.Equal(t, []string{"h0"}, f.applyPlan(t).Revoke)
	f.input.View.Targets["h0"].State = fleet.Revoked
	f.input.Revoked[keyspace.Owner{Host: "h0", Term: 1}] = f.input.Now
	f.advanceClock(options.LeaseDuration)
	f.answerPolls("h1", "h2")
	require.Empty(t, f.applyPlan(t).Tables, "the margin has not elapsed")
	f.advanceClock(revokeMargin)
	f.answerPolls("h1", "h2")
	p := f.applyPlan(t)
	require.Len(t, p.Tables["booking"].Moves, initialRangesPerOwner, "only the ranges of the revoked host move")
	for _, r := range f.table().Rows {
		require.NotEqual(t, "h0", r.Owner.Host)
	}
}

// Guards against giving away the ranges of a host whose record another program has deleted or overwritten, which may hold them.
func TestRangesOfAHostWithoutRecordWaitForExpiry(t *testing.T) {
	f := newTestFleet(3)
	f.applyPlan(t)
	delete(f.input.View.Targets, "h0")
	require.Empty(t, f.applyPlan(t).Tables, "the coordinator has not seen yet since when")
	f.input.Revoked[keyspace.Owner{Host: "h0", Term: 1}] = f.input.Now
	f.advanceClock(options.LeaseDuration)
	f.answerPolls("h1", "h2")
	require.Empty(t, f.applyPlan(t).Tables)
	f.advanceClock(revokeMargin)
	f.answerPolls("h1", "h2")
	require.Len(t, f.applyPlan(t).Tables["booking"].Moves, initialRangesPerOwner)
}

func TestRangesOfEndedTermAreReassignedAtOnce(t *testing.T) {
	for name, end := range map[string]func(*fleet.Target){
		"down":     func(t *fleet.Target) { t.State = fleet.Down },
		"new term": func(t *fleet.Target) { t.Term++ },
	} {
		f := newTestFleet(3)
		f.applyPlan(t)
		fence := f.table().Fence
		end(f.input.View.Targets["h0"])
		p := f.applyPlan(t)
		require.Len(t, p.Tables["booking"].Moves, initialRangesPerOwner, name)
		row, _ := f.table().Find(p.Tables["booking"].Moves[0].From)
		require.Equal(t, p.Tables["booking"].Moves[0].NewOwner, row.Owner, name)
		require.Greater(t, f.table().Fence, fence, name)
	}
}

func TestViewOlderThanTableEndsNoTerm(t *testing.T) {
	f := newTestFleet(3)
	f.applyPlan(t)
	for i := range f.table().Rows {
		f.table().Rows[i].Owner.Term = 2
	}
	require.Empty(t, f.applyPlan(t).Tables)
}

func TestReleasedRangePassesHandoverToken(t *testing.T) {
	f := newTestFleet(3)
	f.applyPlan(t)
	f.input.View.Targets["h0"].State = fleet.Leaving
	require.Empty(t, f.applyPlan(t).Tables, "nothing is released yet")
	var row keyspace.Row
	for _, r := range f.table().Rows {
		if r.Owner.Host == "h0" {
			row = r
		}
	}
	f.input.Nodes["h0"].Report.Released = []fleet.Release{{Range: row.Range, Fence: row.Fence, Handover: "token"}}
	p := f.applyPlan(t)
	require.True(t, p.Tables["booking"].Moves[0].HasHandover)
	moved, _ := f.table().Find(row.Range.From)
	require.Equal(t, "token", moved.Handover)
	require.Greater(t, moved.Fence, row.Fence)
	require.Empty(t, f.applyPlan(t).Tables, "an old report does not release the range under the new fencing token")
}

func TestEvacuatedZoneIsEmptied(t *testing.T) {
	f := newTestFleet(4)
	f.applyPlan(t)
	f.input.Evacuated["z0"] = true
	p := f.applyPlan(t)
	require.Len(t, p.Tables["booking"].Moves, 2*initialRangesPerOwner)
	for _, r := range f.table().Rows {
		if f.input.View.Targets[r.Owner.Host].Zone == "z0" {
			require.Equal(t, "z1", f.input.View.Targets[r.NextOwner.Host].Zone)
		}
	}
}

// Guards against taking ranges from their owners when no other zone can take them.
func TestWithoutCandidatesNothingMoves(t *testing.T) {
	f := newTestFleet(2)
	f.applyPlan(t)
	f.input.Evacuated["z0"], f.input.Evacuated["z1"] = true, true
	require.Empty(t, f.applyPlan(t).Tables)
}

// A move whose destination fails gets another destination instead of being cancelled, because the
// owner may already have released the range.
func TestLostDestinationIsReplaced(t *testing.T) {
	f := newTestFleet(3)
	f.applyPlan(t)
	f.table().Rows[0].NextOwner = keyspace.Owner{Host: "h9", Term: 1}
	f.applyPlan(t)
	require.False(t, f.table().Rows[0].NextOwner.IsZero())
	require.NotEqual(t, "h9", f.table().Rows[0].NextOwner.Host)
}

// setDemand sets the demand of all owners to others, spread over their ranges, except for host, which
// gets the given demand within keys.
func (f *testFleet) setDemand(host string, keys keyspace.Range, demand, others float64) {
	for h, n := range f.input.Nodes {
		n.Report.Demand, n.Report.RangeDemands = others, nil
		for _, r := range f.table().Rows {
			if r.Owner.Host == h {
				n.Report.RangeDemands = append(n.Report.RangeDemands, fleet.RangeDemand{Range: r.Range, Demand: others / float64(f.rowsOf(h))})
			}
		}
		if h == host {
			step := keys.Size() / 8
			n.Report.RangeDemands = nil
			n.Report.Demand = 0
			for from := keys.From; from <= keys.To; from += step {
				n.Report.RangeDemands = append(n.Report.RangeDemands, fleet.RangeDemand{Range: keyspace.Range{From: from, To: min(keys.To, from+step-1)}, Demand: demand / 8})
				n.Report.Demand += demand / 8
			}
		}
	}
}

func (f *testFleet) rowsOf(host string) int {
	n := 0
	for _, r := range f.table().Rows {
		if r.Owner.Host == host {
			n++
		}
	}
	return n
}

// 200 adjacent keys take as many slots as their owner has, while the others are at a third of their
// capacity.
func TestHotRangeIsSplit(t *testing.T) {
	f := newTestFleet(4)
	f.applyPlan(t)
	f.setDemand(f.table().Rows[0].Owner.Host, keyspace.Range{From: 100, To: 299}, 20, 5)
	p := f.applyPlan(t)
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

// Guards against moving ranges again and again because the new owner has not measured their demand
// yet.
func TestMovedDemandCountsForNewOwner(t *testing.T) {
	f := newTestFleet(4)
	f.applyPlan(t)
	f.setDemand(f.table().Rows[0].Owner.Host, keyspace.Range{From: 100, To: 299}, 20, 9)
	moves := f.applyPlan(t).Tables["booking"].Moves
	f.advanceClock(rebalanceInterval)
	f.answerPolls("h0", "h1", "h2", "h3")
	require.Empty(t, f.applyPlan(t).Tables, "moving demand counts for the new owner")
	for _, m := range moves {
		row, _ := f.table().Find(m.From)
		f.input.Nodes[m.OldOwner.Host].Report.Released = append(f.input.Nodes[m.OldOwner.Host].Report.Released, fleet.Release{Range: m.Range, Fence: row.Fence})
	}
	p := f.applyPlan(t)
	f.input.DemandEstimates = UpdateEstimates(nil, f.input.Now, p.Tables["booking"].Moves)
	require.Len(t, f.input.DemandEstimates, len(moves))
	f.advanceClock(rebalanceInterval)
	f.answerPolls("h0", "h1", "h2", "h3")
	for _, n := range f.input.Nodes {
		n.Report.Released = nil
	}
	f.input.Nodes["h0"].Report.Demand, f.input.Nodes["h0"].Report.RangeDemands = 11, []fleet.RangeDemand{{Range: keyspace.Range{From: 0, To: 99}, Demand: 11}}
	require.Empty(t, f.applyPlan(t).Tables, "the estimate counts while the new owner has not reported the demand")
}

// Moving keys are served again with the receiver's next heartbeat, so among receivers of equal load
// the one whose heartbeat follows the release first is preferred.
func TestReceiverWithNextHeartbeatIsPreferred(t *testing.T) {
	for name, beats := range map[string]map[string]int64{
		"h2": {"h0": 100, "h1": 200, "h2": 300, "h3": 900},
		"h3": {"h0": 100, "h1": 50, "h2": 200, "h3": 450},
		"h1": {"h0": 900, "h1": 100, "h2": 500, "h3": 850},
	} {
		f := newTestFleet(4)
		f.applyPlan(t)
		f.setDemand(f.table().Rows[0].Owner.Host, keyspace.Range{From: 100, To: 299}, 20, 5)
		for host, ms := range beats {
			f.input.Nodes[host].Report.NextHeartbeatMs = ms
		}
		o := options
		o.HeartbeatInterval = time.Second
		require.Equal(t, name, ComputePlan(f.input, o).Tables["booking"].Moves[0].NewOwner.Host)
	}
}

func TestBalancedOrOverloadedFleetIsNotRebalanced(t *testing.T) {
	f := newTestFleet(4)
	f.applyPlan(t)
	f.setDemand("none", keyspace.Range{}, 0, 12)
	require.Empty(t, f.applyPlan(t).Tables)
	f.setDemand("none", keyspace.Range{}, 0, 1)
	require.Empty(t, f.applyPlan(t).Tables)
	f.setDemand(f.table().Rows[0].Owner.Host, keyspace.Range{From: 100, To: 299}, 40, 20)
	require.Empty(t, f.applyPlan(t).Tables, "no range moves if all owners are overloaded")
}

// Guards against revoking all targets after an outage of the store, when leases expired because the
// coordinator could not confirm them.
func TestExpiredLeaseCountsOnlyWhileCoordinatorConfirms(t *testing.T) {
	f := newTestFleet(3)
	for _, p := range f.applyPlan(t).Tables {
		f.input.View.Tables["booking"] = &fleet.Table{Table: *p.Table, Version: 1}
	}
	f.input.Nodes["h1"].Report.LeaseMs = 0
	f.input.ConfirmingSince = f.input.Now.Add(-options.NodeTimeout / 2)
	require.Empty(t, ComputePlan(f.input, options).Revoke, "the coordinator has not confirmed leases for long enough")
	f.input.ConfirmingSince = f.input.Now.Add(-options.NodeTimeout)
	require.Equal(t, []string{"h1"}, ComputePlan(f.input, options).Revoke)
}
