package sidecar

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/tenure"
	"github.com/citronvane/citronvane/internal/upstream"
)

// runningTarget is a target that a node has sent a request to.
type runningTarget struct {
	node   *node
	server *http.Server
	// release ends the request.
	release chan struct{}
}

// newRunningTarget returns a node whose target runs a request and has just sent a heartbeat.
func newRunningTarget(t *testing.T, began clock.Instant) *runningTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &runningTarget{node: newIdleNode(t), release: make(chan struct{})}
	running := make(chan struct{}, 1)
	r.server = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-r.release
	})}
	go func() { _ = r.server.Serve(listener) }() // It returns when the listener is closed.
	t.Cleanup(func() { _ = r.server.Close() })
	n := r.node
	n.upstream = upstream.NewClient(listener.Addr().String())
	n.member.earlierRunsEnd = began
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_, _ = n.upstream.Do(ctx, &upstream.Request{Method: "GET", Path: "/", Host: "h", ID: "1", Belongs: func(http.Header, bool) bool { return true }}) // The tests look at the target.
	}()
	<-running
	go n.controlLoop(ctx)
	onControl(n, func(now clock.Instant) bool {
		n.member.markRecordKnown(now)
		n.member.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 1, Service: "s", Slots: 18})
		n.member.connectionBroken = true // Makes the node probe the target.
		return true
	})
	return r
}

func (r *runningTarget) exited() bool {
	return onControl(r.node, func(clock.Instant) bool { return r.node.member.targetExited })
}

// Guards against keys that are given away while their last owner still works on them: a target that stops gracefully closes its listening socket first.
func TestTargetThatStopsListeningKeepsItsKeys(t *testing.T) {
	r := newRunningTarget(t, 0)
	go func() { _ = r.server.Shutdown(context.Background()) }() // It returns when the request has ended.
	require.Never(t, r.exited, 10*probeInterval, 50*time.Millisecond, "a request runs")
	close(r.release)
	require.Eventually(t, r.exited, 10*probeInterval, 10*time.Millisecond)
}

// Guards against keys of a crashed target that wait for its holds to expire.
func TestCrashOfARunningTargetIsNoticedAtOnce(t *testing.T) {
	r := newRunningTarget(t, 0)
	defer close(r.release)
	require.False(t, r.exited())
	require.NoError(t, r.server.Close())
	require.Eventually(t, r.exited, 3*probeInterval, 5*time.Millisecond)
}

// Guards against taking a target for exited by the connections of a process that did not send all of its requests, and against taking one that
// leaves for exited: it closes its listening socket while it may hold keys.
func TestExitIsNotConcludedWithoutProof(t *testing.T) {
	t.Run("the process has just started", func(t *testing.T) {
		r := newRunningTarget(t, clock.Boot{}.Now().Add(time.Hour))
		defer close(r.release)
		require.NoError(t, r.server.Close())
		require.Never(t, r.exited, 5*probeInterval, 50*time.Millisecond)
	})
	t.Run("the target leaves", func(t *testing.T) {
		r := newRunningTarget(t, 0)
		defer close(r.release)
		onControl(r.node, func(now clock.Instant) bool {
			r.node.member.handleDeparture(now, fleet.Departure{Host: "h", Instance: "i", StartTimeMs: 7}, func(error) {})
			return true
		})
		require.NoError(t, r.server.Close())
		require.Never(t, r.exited, 5*probeInterval, 50*time.Millisecond)
	})
}

// Guards against a target that is started again in place while the former process still works: its keys are given away in the instant of the first
// heartbeat of the new one.
func TestTargetStartedInPlaceWaitsForTheHoldsOfTheFormer(t *testing.T) {
	n := newIdleNode(t)
	m, now := n.member, n.clock.Now()
	m.recordLoaded, m.leaseCheckedAt, m.recordBusy = true, now, true // The test makes the writes.
	m.record = &fleet.Target{Host: "h", Relay: n.settings.Relay(), Service: "s", Instance: "i", StartTimeMs: 7, Term: 3, State: fleet.Serving, Slots: 18, Version: 5}
	v := fleet.NewView()
	v.Tables["s"] = &fleet.Table{Version: 4, Table: keyspace.Table{Fence: 1, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: 9}, Owner: m.record.Owner(), Fence: 1}}}}
	n.state.view.Store(v)
	n.state.viewLoaded.Store(true)
	m.beginTerm(now, now)
	heartbeat := func(born int64) *tenure.Heartbeat {
		return &tenure.Heartbeat{Instance: "i", StartTimeMs: born, Sequence: 1, Service: "s", Slots: 18}
	}
	require.Len(t, m.handleHeartbeat(now, heartbeat(7)).Rows, 1)
	soon := now.Add(n.settings.HeartbeatInterval() / 2)
	require.False(t, m.handleHeartbeat(soon, heartbeat(8)).Renew)
	require.Nil(t, m.desiredRecord(soon, heartbeat(8)), "the former process may hold the range")
	late := now.Add(m.probeAfter() - time.Millisecond)
	require.False(t, m.handleHeartbeat(late, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 2, Service: "s", Slots: 18}).Renew, "it is not renewed")
	require.Nil(t, m.desiredRecord(now.Add(m.probeAfter()), heartbeat(8)), "it still sends heartbeats")
	want := m.desiredRecord(late.Add(m.probeAfter()), heartbeat(8))
	require.NotNil(t, want, "it is silent")
	require.Equal(t, m.record.Term+1, want.Term)
	m.holder.ListenFrom(late.Add(m.probeAfter()))
	require.Nil(t, m.desiredRecord(late.Add(m.probeAfter()), heartbeat(8)), "the node stood still")
	require.NotNil(t, m.desiredRecord(m.holder.GrantsEnd(), heartbeat(8)), "its holds have expired")
	m.holder.RecordExit(soon)
	require.NotNil(t, m.desiredRecord(soon, heartbeat(8)), "its exit is proven")
}
