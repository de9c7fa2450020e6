package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
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

// pacedNode returns an idle node with a target that reports its pace, in percent, in each response and on its health path.
func pacedNode(t *testing.T) (*node, *standin.LoadReportingTarget) {
	n, target := newIdleNode(t), &standin.LoadReportingTarget{}
	target.ServiceTimePercent.Store(100)
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	n.ctx = t.Context()
	n.settings.Target = server.Listener.Addr().String()
	n.upstream = upstream.NewClient(n.settings.Target)
	t.Cleanup(n.upstream.Reset)
	n.state.localTarget.Store(&localTarget{serving: true, instance: "i"})
	n.state.config.Store(&ingress.Config{Services: map[string]ingress.Service{"s": {HealthPath: standin.HealthPath}}})
	return n, target
}

// forwardedHeader returns the headers of request "1" as the entrance forwards them.
func forwardedHeader() http.Header {
	header := standin.CallerHeader("1", 1000)
	header.Set("Host", "x")
	return header
}

func (n *node) reportPace(paces ...float64) {
	for _, pace := range paces {
		n.gate.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) { core.ObservePace(now, pace) })
	}
}

// Guards against requests that start at a temporarily slow target although another one could run them.
func TestSlowTargetMovesRequests(t *testing.T) {
	n, _ := pacedNode(t)
	checkMove := func(moveCost time.Duration) *refusal {
		j, refused, err := n.gate.newJob(&wire.RequestHead{Service: "s", ObjectiveMs: 500, TimeoutMs: 1000, MoveCostUs: moveCost.Microseconds()}, nil)
		require.NoError(t, err)
		require.Nil(t, refused)
		return n.gate.checkServable(context.Background(), j)
	}
	n.reportPace(1)
	require.Nil(t, checkMove(3*time.Millisecond), "the target is as fast as usual")
	require.Eventually(t, func() bool { // A report may expire before the check if the process gets too little CPU time.
		n.reportPace(3)
		r := checkMove(3 * time.Millisecond)
		return r != nil && r.reason == reasonTargetSlow
	}, 5*time.Second, time.Millisecond)
	require.Nil(t, checkMove(0), "there is no other target")
	require.Nil(t, checkMove(400*time.Millisecond), "moving the request costs more than it saves")
}

// Guards against a slow target that gets no more requests, because only its responses report that it is fast again.
func TestSlowTargetIsProbedForPace(t *testing.T) {
	n, target := pacedNode(t)
	delayed := func() time.Duration {
		return n.gate.dispatch.ExpectedDelay(dispatch.Request{Route: "r", Objective: time.Second})
	}
	require.Eventually(t, func() bool {
		if delayed() == 0 {
			n.reportPace(1, 3) // Repeats the reports if the last one has expired.
		}
		return target.HealthChecks.Load() > 0
	}, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return delayed() == 0 }, 5*time.Second, 5*time.Millisecond)
	a, refused, err := n.gate.serve(t.Context(), &wire.RequestHead{Service: "s", Method: "GET", Path: "/x", ObjectiveMs: 500, TimeoutMs: 1000, RequestId: "1", Headers: relay.FromHTTP(forwardedHeader())}, nil)
	require.NoError(t, err)
	require.Nil(t, refused)
	require.Equal(t, http.StatusOK, a.Status)
	require.EqualValues(t, 1, platform.ReadResponse(a.Status, a.Header).ServiceTimeRatio)
}

// Guards against a request that is refused because the only target that could run it is temporarily slow.
func TestSlowTargetServesWhenNoOtherAccepts(t *testing.T) {
	n, target := pacedNode(t)
	target.ServiceTimePercent.Store(300)
	n.reportPace(1, 3)
	other := newUnresponsiveHost(t)
	view := fleet.NewView()
	for host, relay := range map[string]string{"h": "", "other": other.Relay} {
		view.Targets[host] = &fleet.Target{Host: host, Relay: relay, Service: "s", State: fleet.Serving, Slots: 18}
	}
	n.state.view.Store(view)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range 10 { // The first target is selected at random.
		x := newTestExchange(n.entrance)
		x.service, x.id, x.method, x.path, x.deadline = "s", "1", "GET", "/x", x.arrived.Add(5*time.Second)
		x.header = forwardedHeader()
		res := n.entrance.forward(ctx, x)
		require.Nil(t, res.refusal)
		require.NoError(t, res.err)
		require.Equal(t, http.StatusOK, res.status)
		n.reportPace(1, 3)
	}
}

// Guards against a target that becomes cold between two heartbeats and gets requests at the full rate: the node asks its health path.
func TestTargetThatBecomesColdIsNoticedBeforeItsHeartbeat(t *testing.T) {
	const coldPerSecond = 28
	n, target := pacedNode(t)
	n.gate.applyConfig(&ingress.Config{Services: map[string]ingress.Service{"s": {HealthPath: standin.HealthPath, ColdPerSecond: coldPerSecond}}})
	n.gate.dispatch.Update(func(_ clock.Instant, core *dispatch.Scheduler) { core.SetSlots(18) })
	send := func(i int) (refused bool) {
		_, r, err := n.gate.serve(t.Context(), &wire.RequestHead{Service: "s", Method: "GET", Path: "/x", ObjectiveMs: 500, TimeoutMs: 1000, RequestId: "1", Headers: relay.FromHTTP(forwardedHeader())}, nil)
		require.NoError(t, err)
		return r != nil && r.kind == answer.Cold
	}
	for i := range coldPerSecond + 4 {
		require.False(t, send(i), "the target is warm")
	}
	require.Eventually(t, func() bool { return target.HealthChecks.Load() > 0 }, time.Second, time.Millisecond)

	target.ColdMs.Store(3000)
	before := target.Requests.Load()
	refused := false
	for end := time.Now().Add(900 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		refused = send(0) || refused
	}
	require.True(t, refused)
	require.LessOrEqual(t, target.Requests.Load()-before, int64(coldPerSecond*1.5+5))
	require.Positive(t, n.member.buildReport(n.clock.Now()).ColdRemainingMs, "the leader assigns it no further ranges")
}
