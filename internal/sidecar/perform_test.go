package sidecar

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
)

// newIdleNode returns a node whose goroutines are not started.
func newIdleNode(t *testing.T) *node {
	out := newAsyncWriter(io.Discard)
	bounds, err := platform.ReadBounds(nil)
	require.NoError(t, err)
	n, err := newNode(&settings.Sidecar{Host: "h", Service: "s", HeartbeatIntervalMs: 200, RelayPorts: []int{1, 2}, Store: settings.SidecarStore{Address: "127.0.0.1:1"}}, bounds, newLogger(out, "n"), out)
	require.NoError(t, err)
	t.Cleanup(n.relay.Close)
	return n
}

// newUnresponsiveHost returns a host whose port accepts connections but never responds.
func newUnresponsiveHost(t *testing.T) *fleet.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return &fleet.Target{Host: "other", Relay: listener.Addr().String()}
}

func newTestExchange(e *entrance) *exchange {
	now := e.clock.Now()
	return &exchange{route: &ingress.Route{Name: "r", Objective: time.Second}, key: -1, arrived: now, deadline: now.Add(time.Second)}
}

// Guards against ejecting a healthy host because a caller disconnected before its request was sent there.
func TestCancelledRequestDoesNotEjectHost(t *testing.T) {
	e := newIdleNode(t).entrance
	target := newUnresponsiveHost(t)
	for cause, reason := range map[error]string{errDeadline: "deadline", context.Canceled: "caller_left"} {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(cause)
		res := e.send(ctx, newTestExchange(e), target)
		require.NotNil(t, res.refusal)
		require.Equal(t, answer.Deadline, res.refusal.kind)
		require.Equal(t, reason, res.refusal.reason)
		require.Zero(t, e.pool.EjectedFor(e.clock.Now(), target.Host))
	}
}

// Guards against a lost host that keeps receiving requests because all callers give up before the connection attempt fails.
func TestUnresponsiveHostIsEjected(t *testing.T) {
	e := newIdleNode(t).entrance
	target := newUnresponsiveHost(t)
	ctx, cancel := context.WithTimeout(context.Background(), unreachableAfter+20*time.Millisecond)
	defer cancel()
	res := e.send(ctx, newTestExchange(e), target)
	require.NotNil(t, res.refusal)
	require.Equal(t, answer.TargetDown, res.refusal.kind)
	require.NotZero(t, e.pool.EjectedFor(e.clock.Now(), target.Host))
}

// Guards against callers who get a closed connection from a node that has a configuration but no table yet: it panicked.
func TestKeyedRequestBeforeTheTableIsRefused(t *testing.T) {
	n := newIdleNode(t)
	n.state.localTarget.Store(&localTarget{serving: true, instance: "i"})
	x := newTestExchange(n.entrance)
	x.service, x.key = "s", 7
	x.route.Objective = 20 * time.Millisecond
	res := n.entrance.forward(t.Context(), x)
	require.NotNil(t, res.refusal)
	require.Equal(t, answer.NoOwner, res.refusal.kind)
	require.Positive(t, res.refusal.retryAfter)

	j, refused, err := n.gate.newJob(&wire.RequestHead{Service: "s", Key: "7", ObjectiveMs: 20, TimeoutMs: 1000}, nil)
	require.NoError(t, err)
	require.Nil(t, refused)
	require.Equal(t, answer.NotOwner, n.gate.checkServable(t.Context(), j).kind)
	require.False(t, n.entrance.waitForNewOwner(t.Context(), x, &fleet.Target{Host: "other"}))
}
