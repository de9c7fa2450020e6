package sidecar

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/tenure"
)

// Guards against a node that starts again beside a target that has deregistered, and uses it again: the target still sends heartbeats,
// which say that it is ready.
func TestDepartedTargetIsNotUsedAfterARestart(t *testing.T) {
	departed := fleet.Target{Host: "10.0.0.1", Relay: "10.0.0.1:1", Service: "s", Instance: "i", StartTimeMs: 7, Term: 3, State: fleet.Leaving, Slots: 18}
	heartbeat := func(sequence uint64, born int64) *tenure.Heartbeat {
		return &tenure.Heartbeat{Instance: "i", StartTimeMs: born, Sequence: sequence, Service: "s", Slots: 18}
	}
	restart := func(t *testing.T) (*member, clock.Instant) {
		n := newIdleNode(t)
		n.settings.Host = departed.Host
		n.state.viewLoaded.Store(true)
		return n.member, n.clock.Now()
	}
	read := func(m *member, now clock.Instant) {
		m.handleRead(now, now, store.Object{Name: fleet.TargetName(departed.Host), Version: 5, Value: departed.Encode()}, nil)
	}
	t.Run("a heartbeat arrives before the record is read", func(t *testing.T) {
		m, now := restart(t)
		m.handleHeartbeat(now, heartbeat(20, 7))
		read(m, now)
		require.True(t, m.isDeregistered())
		require.False(t, m.state.localTarget.Load().serving)
		_, lastAt := m.holder.LastHeartbeat()
		after := lastAt.Add(2 * leaseTerm) // All grants of the earlier process have expired.
		m.handleHeartbeat(after, heartbeat(21, 7))
		if want := m.desiredRecord(after, heartbeat(21, 7)); want != nil {
			require.NotEqual(t, fleet.Serving, want.State)
		}
	})
	t.Run("the record is read first", func(t *testing.T) {
		m, now := restart(t)
		read(m, now)
		m.handleHeartbeat(now, heartbeat(20, 7))
		require.False(t, m.state.localTarget.Load().serving)
	})
	t.Run("the target has started again under its identity", func(t *testing.T) {
		m, now := restart(t)
		read(m, now)
		m.handleHeartbeat(now, heartbeat(1, 8))
		require.False(t, m.isDeregistered())
		require.True(t, m.state.localTarget.Load().serving)
	})
}

// Guards against an odd record of the own host, which hides the last term: a new term must be above all earlier ones.
func TestTermRisesAfterAnOddRecord(t *testing.T) {
	n := newIdleNode(t)
	m, now := n.member, n.clock.Now()
	m.handleHeartbeat(now, &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: 1, Service: "s", Slots: 18})
	m.handleRead(now, now, store.Object{Name: fleet.TargetName("h"), Version: 40, Value: []byte(strings.Repeat("[", 20000))}, nil)
	last, lastAt := m.holder.LastHeartbeat()
	want := m.desiredRecord(lastAt.Add(2*leaseTerm), last)
	require.NotNil(t, want)
	require.Greater(t, want.Term, uint64(40), "each earlier term took a write of the record, so none is above its version")
	require.Equal(t, uint64(40), want.Version)
}

// Guards against a panic that ends the process, or leaves the control state with a call that never ends.
func TestPanicsCostOnlyTheirInput(t *testing.T) {
	n := newIdleNode(t)
	n.coordinator.campaigning, n.member.recordBusy, n.member.recordLoaded = true, true, true
	n.runControlEvent(func(clock.Instant) { panic("odd input") })
	require.False(t, n.coordinator.campaigning)
	require.False(t, n.member.recordBusy)
	require.False(t, n.member.recordLoaded, "the record is read again")
	require.True(t, n.coordinator.needsFullView)

	for name, handler := range map[string]http.HandlerFunc{
		"panic": func(http.ResponseWriter, *http.Request) { panic(errors.New("odd input")) },
		"abort": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		server := httptest.NewServer(n.protectHandler("test", handler))
		_, err := http.Get(server.URL)
		require.Error(t, err, "%s: the connection ends without an answer", name)
		server.Close()
	}
	recorder := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, recorder.Body.String(), `citronvane_panics_total{task="control"} 1`)
	require.Contains(t, recorder.Body.String(), `citronvane_panics_total{task="test"} 1`, "an abort is no panic")
}

// Guards against a late heartbeat of an earlier incarnation that is the first one of a new process of the node: it would end the term of the
// incarnation that is running, and its keys would be given to others while it holds them.
func TestLateHeartbeatOfAnEarlierIncarnationAfterARestart(t *testing.T) {
	current := fleet.Target{Host: "10.0.0.1", Relay: "10.0.0.1:1", Service: "s", Instance: "i-2", StartTimeMs: 20, Term: 3, State: fleet.Serving, Slots: 18}
	late := &tenure.Heartbeat{Instance: "i-1", StartTimeMs: 10, Sequence: 90, Service: "s", Slots: 18}
	next := &tenure.Heartbeat{Instance: "i-2", StartTimeMs: 20, Sequence: 7, Service: "s", Slots: 18}
	restart := func(t *testing.T) (*member, clock.Instant) {
		n := newIdleNode(t)
		n.settings.Host = current.Host
		n.state.viewLoaded.Store(true)
		return n.member, n.clock.Now()
	}
	read := func(m *member, now clock.Instant) {
		m.handleRead(now, now, store.Object{Name: fleet.TargetName(current.Host), Version: 5, Value: current.Encode()}, nil)
	}
	requireTermStays := func(t *testing.T, m *member, now clock.Instant) {
		t.Helper()
		last, _ := m.holder.LastHeartbeat()
		if want := m.desiredRecord(now, last); want != nil {
			require.Equal(t, current.Term, want.Term)
			require.Equal(t, current.Instance, want.Instance)
		}
		require.Equal(t, current.Term, m.record.Term)
	}
	t.Run("the record is read first", func(t *testing.T) {
		m, now := restart(t)
		read(m, now)
		require.False(t, m.handleHeartbeat(now, late).Renew)
		requireTermStays(t, m, now)
		m.handleHeartbeat(now, next)
		requireTermStays(t, m, now)
		require.Equal(t, "i-2", m.state.localTarget.Load().instance)
	})
	t.Run("the late heartbeat comes first", func(t *testing.T) {
		m, now := restart(t)
		require.False(t, m.handleHeartbeat(now, late).Renew)
		read(m, now)
		requireTermStays(t, m, now)
		require.False(t, m.state.localTarget.Load().serving, "it names another instance than the one that runs")
		m.handleHeartbeat(now, next)
		requireTermStays(t, m, now)
		require.True(t, m.state.localTarget.Load().serving)
	})
	t.Run("the record comes with a poll", func(t *testing.T) {
		m, now := restart(t)
		v := fleet.NewView()
		polled := current
		polled.Version = 5
		v.Targets[current.Host] = &polled
		m.coordinator.installView(now, v)
		require.False(t, m.handleHeartbeat(now, late).Renew)
		require.Empty(t, m.state.localTarget.Load().instance)
	})
	t.Run("the clock was set back and the target started again", func(t *testing.T) {
		m, now := restart(t)
		read(m, now)
		m.handleHeartbeat(now, next)
		m.holder.RecordExit(now)
		m.handleHeartbeat(now, late)
		last, _ := m.holder.LastHeartbeat()
		require.Equal(t, "i-1", last.Instance, "the later incarnation is known to have exited")
	})
}

// Guards against ranges that are reported as released because a term has ended in memory only: the write of its end is lost, and the next process
// of the node grants them again under the same fencing tokens while another owner gets them.
func TestTermThatEndsInMemoryReleasesNothing(t *testing.T) {
	serving := fleet.Target{Host: "10.0.0.1", Relay: "10.0.0.1:1", Service: "s", Instance: "i", StartTimeMs: 7, Term: 3, State: fleet.Serving, Slots: 18}
	view := fleet.NewView()
	view.Tables["s"] = &fleet.Table{Version: 4, Table: keyspace.Table{Fence: 5, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: 9}, Owner: serving.Owner(), Fence: 5}}}}
	start := func() (*member, clock.Instant) {
		n := newIdleNode(t)
		n.settings.Host = serving.Host
		n.state.view.Store(view)
		n.state.viewLoaded.Store(true)
		now := n.clock.Now()
		n.member.handleRead(now, now, store.Object{Name: fleet.TargetName(serving.Host), Version: 5, Value: serving.Encode()}, nil)
		return n.member, now
	}
	heartbeat := func(sequence uint64) *tenure.Heartbeat {
		return &tenure.Heartbeat{Instance: "i", StartTimeMs: 7, Sequence: sequence, Service: "s", Slots: 18}
	}
	for name, end := range map[string]func(m *member, now clock.Instant) fleet.State{
		"the target exits": func(m *member, now clock.Instant) fleet.State {
			m.targetExited = true
			m.holder.RecordExit(now)
			m.holder.Revoke()
			return fleet.Down
		},
		"the target leaves": func(m *member, now clock.Instant) fleet.State {
			m.depart(now, fleet.Departure{Host: serving.Host, Instance: "i", StartTimeMs: 7})
			return fleet.Leaving
		},
	} {
		m, now := start()
		m.handleHeartbeat(now, heartbeat(20))
		state := end(m, now)
		after := m.holder.GrantsEnd() // All holds have expired.
		require.Empty(t, m.buildReport(after).Released, name)

		next, later := start()
		require.Len(t, next.handleHeartbeat(later, heartbeat(21)).Rows, 1, "%s: the next process continues the term", name)

		ended := serving
		ended.State = state
		m.handleWritten(after, after, &ended, 9, nil)
		require.Len(t, m.buildReport(after).Released, 1, "%s: the end is recorded", name)
	}
}
