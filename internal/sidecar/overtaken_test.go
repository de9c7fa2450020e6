package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/fleet"
)

// Guards against a report of a node that arrives late and replaces a later one: its process may have ended, and the next one has forgotten the departures
// that it kept.
func TestOvertakenReportIsNotRecorded(t *testing.T) {
	v := fleet.NewView()
	v.Targets["h"] = &fleet.Target{Host: "h", Relay: "127.0.0.1:1", Service: "s", Term: 1, State: fleet.Serving, Version: 3}
	leader := newTestLeader(t, v)
	now := leader.clock.Now()
	n := &polledNode{}
	leader.polledNodes["h"] = n
	report := func(process uint64, sentAt int64) *fleet.Report {
		return &fleet.Report{Host: "h", ProcessID: process, SentAt: sentAt, MemoryIncomplete: process == 2}
	}
	leader.handleReport(now, report(1, 10), false, false)
	require.EqualValues(t, 10, n.Report.SentAt, "the first one of this leadership")
	leader.handleReport(now.Add(time.Second), report(1, 9), false, false)
	require.EqualValues(t, 10, n.Report.SentAt, "it was overtaken by one of the same process")
	require.Equal(t, now, n.LastSeen)

	leader.handleReport(now.Add(time.Second), report(2, 11), false, false)
	require.EqualValues(t, 1, n.Report.ProcessID, "one of the two processes has ended")
	require.True(t, n.pollPending, "a poll asks which one runs")
	leader.handleReport(now.Add(time.Second), report(2, 12), true, false)
	require.True(t, n.Report.MemoryIncomplete)
	leader.handleReport(now.Add(2*time.Second), report(1, 13), false, false)
	require.True(t, n.Report.MemoryIncomplete, "the earlier process has ended")
}

// Guards against a poll that the leader sent to an earlier process of the node and that arrives late: a departure that this process acknowledged since
// is not in it.
func TestPollOfAnEarlierProcessTellsNoDepartures(t *testing.T) {
	n := newIdleNode(t)
	now := n.clock.Now()
	n.member.recordOutageAtStart(now)
	poll := &fleet.Poll{Coordinator: "leader", Relay: "127.0.0.1:1", Epoch: 3, DeparturesKnown: true, ProcessID: n.processIncarnation + 1}
	n.coordinator.handlePoll(now, poll)
	require.True(t, n.member.lacksDepartures(now))
	poll.ProcessID = n.processIncarnation
	n.coordinator.handlePoll(now, poll)
	require.False(t, n.member.lacksDepartures(now))
}
