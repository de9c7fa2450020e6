package sidecar

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/placement"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/tenure"
	"github.com/citronvane/citronvane/platform/standin"
)

// onControl runs f on the control goroutine and returns its result.
func onControl[T any](n *node, f func(now clock.Instant) T) T {
	reply := make(chan T, 1)
	n.post(func(now clock.Instant) { reply <- f(now) })
	return <-reply
}

// Guards against a departure that is acknowledged although only this process knows it: the store is down, and there is no other node.
func TestDepartureIsNotAcknowledgedUntilItIsKept(t *testing.T) {
	n := newIdleNode(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.controlLoop(ctx)
	heartbeat := &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 1, Service: "s", Slots: 18}
	_, err := n.member.Heartbeat(heartbeat)
	require.NoError(t, err)
	require.Error(t, n.member.Deregister("i", 7), "a deregistration")
	draining := *heartbeat
	draining.Sequence, draining.Draining = 2, true
	_, err = n.member.Heartbeat(&draining)
	require.Error(t, err, "a heartbeat that says draining")
	require.False(t, n.state.localTarget.Load().serving, "the target may not say it again, so it is not used")

	n.post(func(now clock.Instant) {
		n.member.recordLoaded = true
		n.member.record = &fleet.Target{Host: "h", Service: "s", Instance: "i", StartTimeMs: 7, State: fleet.Leaving, Departing: true}
	})
	require.NoError(t, n.member.Deregister("i", 7), "the store has recorded it")
}

// Guards against a departure that was acknowledged while the store is down and is forgotten with the process that acknowledged it. The
// target goes on sending heartbeats that say that it is ready, as one that deregisters does.
func TestDepartureDuringAnOutageOutlastsTheProcess(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("the process leads: %t", leads), func(t *testing.T) {
			t.Parallel()
			r := newTestFleet(t, 3)
			left := r.hosts[0] // Stays if the leader is the node of the pooled target.
			for _, h := range r.hosts[:3] {
				if h.isLeader() == leads {
					left = h
				}
			}
			other := r.hosts[3]
			for _, h := range r.hosts {
				h.storeProxy.ChangeFaults(func(f *standin.Faults) { f.Down = true })
			}
			require.Eventually(t, func() bool { // A refused call is repeated.
				return left.node.member.Deregister("i-"+left.node.settings.Host, 1000) == nil
			}, contactTime, 20*time.Millisecond, "other nodes remember it")
			r.restart(left)
			require.Eventually(t, func() bool { return left.node.state.localTarget.Load().instance != "" }, contactTime, 20*time.Millisecond)
			if !leads {
				departed := func() bool {
					return onControl(left.node, func(clock.Instant) bool { return left.node.member.isDeregistered() })
				}
				require.Eventually(t, departed, 4*pollInterval, 20*time.Millisecond, "other nodes told the new process")
			}
			for _, h := range r.hosts {
				h.storeProxy.ChangeFaults(func(f *standin.Faults) { f.Down = false })
			}
			time.Sleep(contactTime)
			require.Eventually(t, func() bool {
				record := other.node.state.view.Load().Targets[left.node.settings.Host]
				return record != nil && record.Leaves()
			}, 10*time.Second, 50*time.Millisecond, "the record states the departure")
			ran := len(r.history.ExecutedRequestIDs())
			for i := range 200 {
				_, _ = other.get("/k/x", fmt.Sprintf("after-%d", i), i*300)
			}
			require.False(t, left.node.state.localTarget.Load().serving)
			require.Zero(t, left.target.Holds(), "it is given no keys")
			require.Greater(t, len(r.history.ExecutedRequestIDs()), ran, "others serve")
		})
	}
}

// contactTime is the users' bound contact_ms: a machine is in touch this long after the end of a disturbance.
const contactTime = 3 * time.Second

// Guards against a node that starts during an outage of the store and uses a target that may have left under the process before it.
func TestTargetIsNotUsedBeforeItsRecordIsKnown(t *testing.T) {
	n := newIdleNode(t)
	m, now := n.member, n.clock.Now()
	m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 20, Service: "s", Slots: 18})
	require.False(t, n.state.localTarget.Load().serving)
	v := fleet.NewView()
	v.Targets["h"] = &fleet.Target{Host: "h", Service: "s", Instance: "i", StartTimeMs: 7, Term: 1, State: fleet.Down, Departing: true, Version: 5}
	n.coordinator.installView(now, v) // From a poll.
	require.True(t, m.isDeregistered())
	require.False(t, n.state.localTarget.Load().serving)
}

// Guards against a departure that a revocation or a silent target hides: a restarted node would take the target into service again.
func TestDepartureIsRecordedInEveryState(t *testing.T) {
	for _, state := range []fleet.State{fleet.Revoked, fleet.Down, fleet.Serving} {
		n := newIdleNode(t)
		m, now := n.member, n.clock.Now()
		m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 1, Service: "s", Slots: 18})
		m.recordLoaded = true
		m.record = &fleet.Target{Host: "h", Relay: n.settings.Relay(), Service: "s", Instance: "i", StartTimeMs: 7, Term: 3, State: state, Slots: 18, Version: 5}
		m.recordBusy = true // The test makes the writes.
		m.handleDeparture(now, fleet.Departure{Host: "h", Instance: "i", StartTimeMs: 7}, func(error) {})
		last, _ := m.holder.LastHeartbeat()
		want := m.desiredRecord(now, last)
		require.NotNil(t, want, state)
		require.True(t, want.Departing, state)
		require.Equal(t, uint64(3), want.Term, "the departure ends no term")
		if state == fleet.Revoked {
			require.Equal(t, fleet.Revoked, want.State, "a revoked term stays revoked")
		}

		restarted := newIdleNode(t)
		restarted.state.viewLoaded.Store(true)
		want.Host, want.Relay, want.Version = "h", "10.0.0.1:1", 6
		restarted.member.handleRead(now, now, store.Object{Name: fleet.TargetName("h"), Version: 6, Value: want.Encode()}, nil)
		restarted.member.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 2, Service: "s", Slots: 18})
		require.True(t, restarted.member.isDeregistered(), state)
		require.False(t, restarted.state.localTarget.Load().serving, state)
	}
}

// Guards against a late deregistration of an earlier incarnation, which must not end the one that is running, and against one of a later
// incarnation whose heartbeats are late, which must not be lost.
func TestDepartureNamesOneIncarnation(t *testing.T) {
	n := newIdleNode(t)
	m, now := n.member, n.clock.Now()
	m.markRecordKnown(now)
	answered := func(d fleet.Departure) (errs []error) {
		m.handleDeparture(now, d, func(err error) { errs = append(errs, err) })
		return errs
	}
	m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i2", StartTimeMs: 20, Sequence: 1, Service: "s", Slots: 18})
	require.Equal(t, []error{nil}, answered(fleet.Departure{Host: "h", Instance: "i1", StartTimeMs: 10}), "it has ended")
	require.True(t, n.state.localTarget.Load().serving)
	unknown := answered(fleet.Departure{Host: "h", Instance: "other"})
	require.Len(t, unknown, 1)
	require.Error(t, unknown[0])
	require.True(t, n.state.localTarget.Load().serving)

	require.Empty(t, answered(fleet.Departure{Host: "h", Instance: "i3", StartTimeMs: 30}), "it waits until it is kept")
	require.False(t, n.state.localTarget.Load().serving, "the incarnation before it has exited")
	m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i3", StartTimeMs: 30, Sequence: 1, Service: "s", Slots: 18})
	require.False(t, n.state.localTarget.Load().serving)
	m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i4", StartTimeMs: 40, Sequence: 1, Service: "s", Slots: 18})
	require.True(t, n.state.localTarget.Load().serving)
}

// Guards against a target that has left and gets requests for as long as its last grant lasts, because its next heartbeats, which would empty
// the grant, are late.
func TestLeavingTargetGetsNoRequestsAfterTheDrainPeriod(t *testing.T) {
	n := newIdleNode(t)
	m, now := n.member, n.clock.Now()
	m.markRecordKnown(now)
	m.bounds.MaxHoldDuration = 10 * time.Second
	owner := keyspace.Owner{Host: "h", Term: 3}
	n.state.viewLoaded.Store(true)
	v := fleet.NewView()
	v.Tables["s"] = &fleet.Table{Version: 4, Table: keyspace.Table{Fence: 1, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: 9}, Owner: owner, Fence: 1}}}}
	n.state.view.Store(v)
	m.recordLoaded, m.leaseCheckedAt = true, now
	m.record = &fleet.Target{Host: "h", Relay: n.settings.Relay(), Service: "s", Instance: "i", StartTimeMs: 7, Term: 3, State: fleet.Serving, Slots: 18, Version: 5}
	require.Len(t, m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 1, Service: "s", Slots: 18}).Rows, 1)
	m.handleDeparture(now, fleet.Departure{Host: "h", Instance: "i", StartTimeMs: 7}, func(error) {})
	o := n.state.localTarget.Load()
	require.False(t, o.serving)
	require.Greater(t, o.grantedUntil, now.Add(n.bounds.DrainPeriod), "the grant lasts longer than the drain period")
	require.True(t, o.holdsKey(now.Add(time.Second), 5), "its keys have no other owner yet")
	require.False(t, o.holdsKey(now.Add(n.bounds.DrainPeriod-drainMargin), 5))

	m.publishTarget(now.Add(time.Second)) // Whatever else changes meanwhile.
	require.False(t, n.state.localTarget.Load().holdsKey(now.Add(n.bounds.DrainPeriod), 5))
	m.handleDeparture(now.Add(time.Second), fleet.Departure{Host: "h", Instance: "i", StartTimeMs: 7}, func(error) {})
	require.False(t, n.state.localTarget.Load().holdsKey(now.Add(n.bounds.DrainPeriod), 5), "a repeated call does not extend it")
}

// Guards against a departure that is forgotten because all processes that remember it end in the same outage: the target goes on sending heartbeats
// that say that it is ready, and the record of before says so too.
func TestDepartureOutlastsAllProcesses(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 3)
	left, other := r.hosts[0], r.hosts[1]
	setDown := func(down bool) {
		for _, h := range r.hosts {
			h.storeProxy.ChangeFaults(func(f *standin.Faults) { f.Down = down })
		}
	}
	setDown(true)
	require.Eventually(t, func() bool {
		return left.node.member.Deregister("i-"+left.node.settings.Host, 1000) == nil
	}, contactTime, 20*time.Millisecond, "other nodes remember it")
	for _, h := range r.hosts {
		h.cancel()
	}
	for _, h := range r.hosts {
		require.NoError(t, <-h.done)
	}
	started := time.Now()
	for _, h := range r.hosts {
		r.runNode(h, r.newNode(h.node.settings, h.node.bounds))
	}
	time.Sleep(time.Second)
	setDown(false)
	period := left.node.bounds.RecoveryPeriod
	for time.Since(started) < period-recoveryMargin-time.Second {
		require.False(t, left.node.state.localTarget.Load().serving)
		require.False(t, left.node.state.localTarget.Load().holdsKey(left.node.clock.Now(), 0))
		time.Sleep(50 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return other.node.state.localTarget.Load().serving }, period-time.Since(started), 20*time.Millisecond, "targets that have not left are used again")
	r.requireNoFaults()
}

// Guards against targets that stay unused after an outage in which few nodes started, and against a departure that is taken for known although the
// nodes that keep it have not told it.
func TestDepartureIsKnownFromNodesThatWentOn(t *testing.T) {
	n := newIdleNode(t)
	c, now := n.coordinator, n.clock.Now()
	v := fleet.NewView()
	c.polledNodes = map[string]*polledNode{}
	for _, host := range []string{"h", "a", "b", "c"} {
		v.Targets[host] = &fleet.Target{Host: host, Term: 1, State: fleet.Serving}
		c.polledNodes[host] = &polledNode{answered: true, Node: placement.Node{Report: &fleet.Report{}}}
	}
	n.state.view.Store(v)
	require.True(t, c.knowsDeparturesOf(now, "a"))
	c.polledNodes["a"].Report.MemoryIncomplete = true
	require.True(t, c.tellsDepartures(now, c.polledNodes["a"], v.Targets["a"]), "its own memory does not count")
	c.polledNodes["b"].answered = false
	require.True(t, c.knowsDeparturesOf(now, "a"), "two nodes keep a departure, so that another one has told it")
	n.member.recordOutageAtStart(now)
	require.False(t, c.knowsDeparturesOf(now, "a"), "both may have kept it")
	require.False(t, c.tellsDepartures(now, c.polledNodes["a"], v.Targets["a"]))

	heartbeat := &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 1, Service: "s", Slots: 18}
	n.member.markRecordKnown(now)
	n.member.handleHeartbeat(now, heartbeat)
	require.False(t, n.state.localTarget.Load().serving)
	n.member.recordToldDepartures(now)
	require.True(t, n.state.localTarget.Load().serving)
	later := *heartbeat
	later.Instance, later.StartTimeMs = "i2", time.Now().Add(time.Second).UnixMilli()
	n.member.pastDepartures.told = false
	n.member.handleHeartbeat(now, &later)
	require.True(t, n.state.localTarget.Load().serving, "an incarnation that started later can't have left before")
}
