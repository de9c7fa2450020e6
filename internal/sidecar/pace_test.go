package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// pacedNode returns an idle node beside a target that states its pace, in percent, with each answer and on its health path.
func pacedNode(t *testing.T) (*node, *standin.LoadReportingTarget) {
	n, target := idleNode(t), &standin.LoadReportingTarget{}
	target.ServiceTimePercent.Store(100)
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	n.ctx = t.Context()
	n.settings.Target = server.Listener.Addr().String()
	n.upstream = upstream.NewClient(n.settings.Target)
	t.Cleanup(n.upstream.Reset)
	n.state.own.Store(&own{serving: true, instance: "i"})
	n.state.config.Store(&ingress.Config{Services: map[string]ingress.Service{"s": {HealthPath: standin.HealthPath}}})
	return n, target
}

// callerHeader returns the headers of request "1" as the entrance sends them on.
func callerHeader() http.Header {
	header := standin.CallerHeader("1", 1000)
	header.Set("Host", "x")
	return header
}

func (n *node) statePace(paces ...float64) {
	for _, pace := range paces {
		n.gate.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) { core.ObservePace(now, pace) })
	}
}

// Guards against requests that start at a target that is slow for a moment although another one may run them.
func TestSlowTargetPassesRequestsOn(t *testing.T) {
	n, _ := pacedNode(t)
	refusal := func(cost time.Duration) *refusal {
		j, refused, err := n.gate.accept(&wire.RequestHead{Service: "s", ObjectiveMs: 500, TimeoutMs: 1000, MoveCostUs: cost.Microseconds()}, nil)
		require.NoError(t, err)
		require.Nil(t, refused)
		return n.gate.check(context.Background(), j)
	}
	n.statePace(1)
	require.Nil(t, refusal(3*time.Millisecond), "it is as quick as usual")
	require.Eventually(t, func() bool { // A statement counts for paceBelieved, which a starved process may outlast.
		n.statePace(3)
		r := refusal(3 * time.Millisecond)
		return r != nil && r.reason == reasonSlow
	}, 5*time.Second, time.Millisecond)
	require.Nil(t, refusal(0), "there is no other target")
	require.Nil(t, refusal(400*time.Millisecond), "the way to the other target takes longer")
}

// Guards against a slow target that nobody uses again, since only its answers state its pace.
func TestSlowTargetIsAskedForItsPace(t *testing.T) {
	n, target := pacedNode(t)
	delayed := func() time.Duration {
		return n.gate.dispatch.ExpectedDelay(dispatch.Request{Route: "r", Objective: time.Second})
	}
	require.Eventually(t, func() bool {
		if delayed() == 0 {
			n.statePace(1, 3) // Again if the last statement is too old.
		}
		return target.HealthChecks.Load() > 0
	}, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return delayed() == 0 }, 5*time.Second, 5*time.Millisecond)
	a, refused, err := n.gate.serve(t.Context(), &wire.RequestHead{Service: "s", Method: "GET", Path: "/x", ObjectiveMs: 500, TimeoutMs: 1000, RequestId: "1", Headers: relay.FromHTTP(callerHeader())}, nil)
	require.NoError(t, err)
	require.Nil(t, refused)
	require.Equal(t, http.StatusOK, a.Status)
	require.EqualValues(t, 1, platform.ReadResponse(a.Status, a.Header).ServiceTimeRatio)
}

// Guards against a request that is refused because the only target that could take it is slow for a moment.
func TestSlowTargetServesWhatNobodyElseTakes(t *testing.T) {
	n, target := pacedNode(t)
	target.ServiceTimePercent.Store(300)
	n.statePace(1, 3)
	other := silentHost(t)
	view := fleet.NewView()
	for host, relay := range map[string]string{"h": "", "other": other.Relay} {
		view.Targets[host] = &fleet.Target{Host: host, Relay: relay, Service: "s", State: fleet.Serving, Slots: 18}
	}
	n.state.view.Store(view)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range 10 { // The first choice is random.
		x := exchangeOf(n.entrance)
		x.service, x.id, x.method, x.path, x.deadline = "s", "1", "GET", "/x", x.arrived.Add(5*time.Second)
		x.header = callerHeader()
		res := n.entrance.perform(ctx, x)
		require.Nil(t, res.refusal)
		require.NoError(t, res.err)
		require.Equal(t, http.StatusOK, res.status)
		n.statePace(1, 3)
	}
}
