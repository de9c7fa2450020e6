package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/tenure"
)

// Guards against leases that end before the leadership lease behind them: a poll confirms a term from the node's last report on, which
// the coordinator has received up to a poll interval before.
func TestLeaseLastsAsLongAsTheLeadershipLease(t *testing.T) {
	const reportAge = 900 * time.Millisecond // how long before the poll the coordinator received the report
	confirmed := clock.Instant(time.Hour)
	record := &fleet.Target{Host: "h", State: fleet.Serving, Term: 3}
	c := &coordinator{history: fleet.NewHistory(), node: &node{settings: &settings.Sidecar{Host: "coordinator", RelayPorts: []int{1, 1}}, state: newState()}, leadershipConfirmed: confirmed}
	leadershipEnd := confirmed.Add(leadershipLease - leadershipMargin)
	now := leadershipEnd.Add(-2 * time.Second) // The store has not answered for some seconds.
	n := &polledNode{}
	n.LastSeen, n.Report = now.Add(-reportAge), &fleet.Report{ProcessID: 1, SentAt: int64(now.Add(-reportAge))}

	p := c.newPoll(now, n, record, c.state.view.Load())
	lease := tenure.NewTargetLease(now, tenure.Options{LeaseDuration: leaseTerm, HoldDuration: defaultHold})
	owner := keyspace.Owner{Host: "h", Term: 3}
	lease.Begin(now, owner, 1, confirmed.Add(-leaseTerm))
	lease.ConfirmByCoordinator(owner, clock.Instant(p.LastReportSentAt), time.Duration(p.CoordinatorLeaseMs)*time.Millisecond)
	require.Equal(t, leadershipEnd, now.Add(lease.Remaining(now)), "the lease ends with the leadership lease, neither before nor after it")
}
