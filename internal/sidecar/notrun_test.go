package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/internal/wire"
)

// newServingHost returns a node that serves relayed requests on a target with one slot, and its relay server.
func newServingHost(t *testing.T, target string) (*fleet.Target, *relay.Server, *node) {
	n := newIdleNode(t)
	n.ctx = t.Context()
	n.settings.Node = "serving"
	n.settings.Target = target
	n.upstream = upstream.NewClient(target)
	t.Cleanup(n.upstream.Reset)
	n.state.localTarget.Store(&localTarget{serving: true, instance: "i"})
	server, err := relay.Listen(relay.ServerOptions{Address: "127.0.0.1:0", Secret: relaySecret, Handler: n.gate, Logger: &log.Logger{Level: log.PanicLevel}})
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Close(ctx) // Running requests may be cut.
	})
	address, err := server.Address()
	require.NoError(t, err)
	return &fleet.Target{Host: "other", Relay: address, Service: "s", State: fleet.Serving, Slots: 1}, server, n
}

// sendWithin sends a request of the service "s" to the host, with the deadline of its caller.
func sendWithin(e *entrance, host *fleet.Target, objective, timeout time.Duration) *result {
	x := newTestExchange(e)
	x.service, x.method, x.path, x.id, x.header = "s", http.MethodPost, "/y", "1", http.Header{"Request-Id": {"1"}}
	x.route.Objective, x.deadline = objective, x.arrived.Add(timeout)
	ctx, cancel := context.WithTimeoutCause(context.Background(), timeout, errDeadline)
	defer cancel()
	return e.send(ctx, x, host)
}

// Guards against an unknown outcome of a request that waited at another node until its deadline and never started.
func TestRequestQueuedAtAnotherNodeIsRefusedInTime(t *testing.T) {
	ran := make(chan struct{}, 10)
	end := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran <- struct{}{}; <-end }))
	t.Cleanup(target.Close)
	t.Cleanup(func() { close(end) })
	host, _, _ := newServingHost(t, target.Listener.Addr().String())
	e := newIdleNode(t).entrance
	go sendWithin(e, host, 200*time.Millisecond, 2*time.Second)
	<-ran
	res := sendWithin(e, host, 200*time.Millisecond, 400*time.Millisecond)
	require.NotNil(t, res.refusal, "%v", res.err)
	require.Equal(t, answer.Shed, res.refusal.kind)
	require.Positive(t, res.refusal.retryAfter)
	require.Empty(t, ran)
}

// Guards against an unknown outcome of a request whose target refuses connections.
func TestRequestForAnotherNodesLostTargetIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	host, _, _ := newServingHost(t, l.Addr().String())
	res := sendWithin(newIdleNode(t).entrance, host, 200*time.Millisecond, time.Second)
	require.NotNil(t, res.refusal, "%v", res.err)
	require.Equal(t, answer.TargetDown, res.refusal.kind)
	require.NoError(t, res.err)
}

// Guards against passing a node's own refusal on as the response of a target: the request would not be sent to another one.
func TestRefusalOfALeavingNodeIsNotAResponse(t *testing.T) {
	refuse := relayHandler(func(context.Context, *relay.Request, relay.ResponseWriter) error {
		return answer.Refuse(answer.Draining, "the node is leaving")
	})
	server, err := relay.Listen(relay.ServerOptions{Address: "127.0.0.1:0", Secret: relaySecret, Handler: refuse, Logger: &log.Logger{Level: log.PanicLevel}})
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close(context.Background()) })
	address, err := server.Address()
	require.NoError(t, err)
	e := newIdleNode(t).entrance
	res := sendWithin(e, &fleet.Target{Host: "other", Relay: address}, 200*time.Millisecond, time.Second)
	require.NotNil(t, res.refusal)
	require.Equal(t, answer.Draining, res.refusal.kind)
}

// Guards against a target whose response headers make a request that has run look like one that has not.
func TestTargetCannotSetHeadersOfTheNode(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Signature", "s")
		w.Header().Set(headerRefusal, string(answer.Shed))
		w.Header().Set(answer.KindHeader, string(answer.Shed))
	}))
	t.Cleanup(target.Close)
	host, _, _ := newServingHost(t, target.Listener.Addr().String())
	res := sendWithin(newIdleNode(t).entrance, host, 200*time.Millisecond, time.Second)
	require.NoError(t, res.err)
	require.Nil(t, res.refusal)
	require.Equal(t, http.StatusOK, res.status)
}

type relayHandler func(ctx context.Context, req *relay.Request, w relay.ResponseWriter) error

func (f relayHandler) ServeRelay(ctx context.Context, req *relay.Request, w relay.ResponseWriter) error {
	return f(ctx, req, w)
}

// brokenWriter fails as the writer of a request whose context has ended.
type brokenWriter struct{}

var errEnded = errors.New("the stream has ended")

func (brokenWriter) WriteHead(*wire.ResponseHead) error { return errEnded }
func (brokenWriter) Write([]byte) (int, error)          { return 0, errEnded }

// Guards against losing a refusal because its response can't be written any more after the deadline.
func TestRefusalIsReturnedAsAnError(t *testing.T) {
	n := newIdleNode(t)
	var notRun *relay.NotRun
	err := n.gate.ServeRelay(t.Context(), &relay.Request{Head: &wire.RequestHead{Service: "another", ObjectiveMs: 200, TimeoutMs: 400}}, brokenWriter{})
	require.ErrorAs(t, err, &notRun)
}

// Guards against a panic of net/http over the refusal of a node with another version.
func TestRefusalOfAnUnknownKindIsAnswered(t *testing.T) {
	e := newIdleNode(t).entrance
	w := httptest.NewRecorder()
	e.writeRefusal(w, newTestExchange(e), &refusal{kind: "of_a_later_version"})
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}
