package gate

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/identity"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/wire"
)

// Guards against requests that are dispatched despite the state of the slice, lease, zone or target, and against
// refusals of the wrong kind.
func TestRefusalsBeforeDispatch(t *testing.T) {
	var runs atomic.Int32
	r := newTestGate(t, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) {
		runs.Add(1)
		return okResponse("ok")
	}))
	owned := routing.OwnedSlice{Epoch: 5, RecordEpoch: 4}
	getAtEpoch := func(epoch uint64) *wire.RequestHead { h := getHead(); h.Epoch = epoch; return h }
	pooled := &wire.RequestHead{Service: "catalogue", Slice: -1, Method: "GET", Path: "/"}
	steps := []struct {
		change func()
		head   *wire.RequestHead
		kind   answer.Kind
	}{
		{func() {}, getHead(), ""},
		{func() {}, getAtEpoch(4), answer.NotOwner},
		{func() {}, getAtEpoch(6), answer.NotOwner},
		{func() {}, &wire.RequestHead{Service: "unknown", Slice: -1}, answer.NoOwner},
		{func() {}, postHead(""), answer.IdentityRequired},
		{func() {}, pooled, answer.NotOwner},
		{func() { r.setOwnedSlice(routing.OwnedSlice{Epoch: 5, Moving: true}) }, getHead(), answer.Moving},
		{func() { r.setOwnedSlice(routing.OwnedSlice{Epoch: 5, ReadyAt: r.clock.Now() + 1}) }, getHead(), answer.NotOwner},
		{func() { r.setOwnedSlice(owned); r.lease.Set(r.clock.Now()) }, getHead(), answer.LeaseLapsed},
		{func() { r.lease.Set(r.clock.Now() + 1) }, getHead(), ""},
		{func() { r.publish(func(s *routing.Snapshot) { s.ZoneOutAt = r.clock.Now() + 1 }) }, getHead(), ""},
		{func() { r.publish(func(s *routing.Snapshot) { s.ZoneOutAt = r.clock.Now() }) }, getHead(), answer.ZoneOut},
		{func() { r.publish(func(s *routing.Snapshot) { s.ZoneOutAt, s.Draining = 0, true }) }, getHead(), ""},
		{func() { r.TargetLost() }, getHead(), answer.TargetDown},
		{func() { r.TargetAnnounced(cluster.TargetInfo{Service: "catalogue", Slots: 1}, false) }, pooled, answer.Draining},
		{func() { r.publish(func(s *routing.Snapshot) { s.Draining = false }) }, pooled, ""},
		{func() { r.TargetAnnounced(cluster.TargetInfo{Service: "catalogue", Slots: 1}, true) }, pooled, answer.Draining},
	}
	served := 0
	for i, step := range steps {
		step.change()
		out := r.do(step.head)
		require.Equal(t, step.kind, out.kind(), "step %d", i)
		if step.kind == "" {
			served++
		}
		require.EqualValues(t, served, runs.Load(), "step %d", i)
		if step.kind == "" && step.head.Slice >= 0 {
			_, err := identity.ParseToken(out.header(TokenHeader))
			require.NoError(t, err)
		}
	}
	require.True(t, r.Idle())
}

// newTCPTargetGate returns a gate whose target is reached over TCP.
func newTCPTargetGate(t *testing.T, address string) *testGate {
	runner := &target.HTTPRunner{}
	runner.Use(cluster.TargetInfo{Address: address, Connections: 4})
	return newTestGate(t, runner)
}

// Guards against reporting a request as not run when the target closes the connection after reading it, and against
// executing a retry of that request.
func TestConnectionLossIsOutcomeUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var reads atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		reads.Add(1)
		panic(http.ErrAbortHandler)
	})}
	go server.Serve(listener)
	r := newTCPTargetGate(t, listener.Addr().String())
	out := r.do(postHead("a"))
	require.Equal(t, answer.OutcomeUnknown, out.kind())
	require.Contains(t, out.body.String(), `"not_run":false`)
	require.Equal(t, answer.RepeatUnknown, r.do(postHead("a")).kind())
	require.EqualValues(t, 1, reads.Load())

	require.NoError(t, server.Close())
	require.Equal(t, answer.TargetDown, r.do(postHead("b")).kind())
	require.Equal(t, answer.TargetDown, r.do(postHead("b")).kind(), "a request that was not executed must leave no idempotency record")
}

// Guards against losing a refusal of the target, and against refusals that block a later attempt with the same
// idempotency key.
func TestTargetRefusalsCanBeRetried(t *testing.T) {
	refusals := []string{"fenced", "shed", "cold", "draining"}
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := int(calls.Add(1)) - 1
		if n < len(refusals) {
			w.Header().Set(answer.NotRunHeader, refusals[n])
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	r := newTCPTargetGate(t, s.Listener.Addr().String())
	for _, want := range []answer.Kind{answer.TargetRefused, answer.Shed, answer.Cold, answer.Draining, ""} {
		require.Equal(t, want, r.do(postHead("a")).kind())
	}
}

// Guards against running and queued requests that are not cancelled when the lease expires.
func TestLeaseExpiryCancelsRequests(t *testing.T) {
	running := make(chan struct{}, 1)
	cancelled := make(chan struct{}, 1)
	r := newTestGate(t, runnerFunc(func(ctx context.Context, _ *target.Request) (*target.Response, error) {
		running <- struct{}{}
		<-ctx.Done()
		cancelled <- struct{}{}
		return outcomeUnknownError()
	}))
	r.announce("t2", 1)
	results := make(chan *responseRecorder, 2)
	go func() { results <- r.do(postHead("a")) }()
	<-running
	go func() { results <- r.do(postHead("b")) }()
	require.Eventually(t, func() bool { return r.admission.Stats().Waiting == 1 }, time.Second, time.Millisecond)
	r.lease.Set(r.clock.Now())
	kinds := map[answer.Kind]bool{(<-results).kind(): true, (<-results).kind(): true}
	<-cancelled
	require.Equal(t, map[answer.Kind]bool{answer.OutcomeUnknown: true, answer.LeaseLapsed: true}, kinds)
	r.lease.Set(r.clock.Now() + 1)
	require.Equal(t, answer.RepeatUnknown, r.do(postHead("a")).kind())
	require.Empty(t, r.sharedReports, "a request that this node cancelled must not be reported as a poison suspect")
}

// Guards against requests that exceed max_request or their own deadline, and against reporting a running request as not
// run.
func TestDeadlines(t *testing.T) {
	r := newTestGate(t, runnerFunc(func(ctx context.Context, _ *target.Request) (*target.Response, error) {
		deadline, ok := ctx.Deadline()
		require.True(t, ok)
		require.LessOrEqual(t, time.Until(deadline), 5*time.Second)
		<-ctx.Done()
		return outcomeUnknownError()
	}))
	r.announce("t2", 1)
	head := getHead()
	head.TimeoutMs = 100
	done := make(chan answer.Kind)
	go func() { done <- r.do(head).kind() }()
	require.Eventually(t, func() bool { return r.admission.Stats().Running == 1 }, time.Second, time.Millisecond)
	short := getHead()
	short.TimeoutMs = 10
	require.Equal(t, answer.Deadline, r.do(short).kind())
	require.Equal(t, answer.DeadlineRunning, <-done)
}

// Guards against requests that run after a handover has read an in-flight count of zero and exported the idempotency
// records.
func TestHandoverRacesWithAdmission(t *testing.T) {
	var exported atomic.Bool
	var lateRuns atomic.Int32
	r := newTestGate(t, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) {
		if exported.Load() {
			lateRuns.Add(1)
		}
		time.Sleep(20 * time.Microsecond)
		if exported.Load() {
			lateRuns.Add(1)
		}
		return okResponse("ok")
	}))
	for range 300 {
		exported.Store(false)
		r.setOwnedSlice(routing.OwnedSlice{Epoch: 5})
		stop := make(chan struct{})
		var group sync.WaitGroup
		for range 6 {
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						r.do(getHead())
					}
				}
			})
		}
		time.Sleep(100 * time.Microsecond)
		r.setOwnedSlice(routing.OwnedSlice{Epoch: 5, Moving: true})
		for r.InFlight(testSlice) > 0 {
			time.Sleep(time.Microsecond)
		}
		exported.Store(true)
		time.Sleep(50 * time.Microsecond)
		close(stop)
		group.Wait()
	}
	require.Zero(t, lateRuns.Load())
}

// Guards against a handover that waits for queued requests to run, and against one that cancels a running request.
func TestHandoverRefusesQueuedRequests(t *testing.T) {
	release := make(chan struct{})
	r := newTestGate(t, runnerFunc(func(ctx context.Context, _ *target.Request) (*target.Response, error) {
		<-release
		if ctx.Err() != nil {
			return outcomeUnknownError()
		}
		return okResponse("ok")
	}))
	r.announce("t2", 1)
	results := make(chan answer.Kind, 2)
	go func() { results <- r.do(getHead()).kind() }()
	require.Eventually(t, func() bool { return r.admission.Stats().Running == 1 }, time.Second, time.Millisecond)
	go func() { results <- r.do(getHead()).kind() }()
	require.Eventually(t, func() bool { return r.admission.Stats().Waiting == 1 }, time.Second, time.Millisecond)
	r.setOwnedSlice(routing.OwnedSlice{Epoch: 5, Moving: true})
	require.Equal(t, answer.Moving, <-results)
	require.Equal(t, 1, r.InFlight(testSlice))
	time.Sleep(2 * recheckInterval)
	close(release)
	require.Equal(t, answer.Kind(""), <-results)
}

// Guards against token requests that need the target, and against tokens for another slice.
func TestTokenMethod(t *testing.T) {
	r := newTestGate(t, nil)
	r.TargetLost()
	head := getHead()
	head.Method = TokenMethod
	out := r.do(head)
	var body struct{ Token string }
	require.NoError(t, json.NewDecoder(strings.NewReader(out.body.String())).Decode(&body))
	token, err := identity.ParseToken(body.Token)
	require.NoError(t, err)
	require.Equal(t, testSlice, token.Slice)
	require.EqualValues(t, 5, token.Epoch)
	out = &responseRecorder{}
	require.NoError(t, r.ServeRelay(t.Context(), &relay.Request{Head: &wire.RequestHead{Service: "catalogue", Slice: -1, Method: TokenMethod}}, out))
	require.Equal(t, answer.BadRequest, out.kind())
}
