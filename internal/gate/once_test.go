package gate

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/identity"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/wire"
)

// Guards against executing a deposit twice: by retries during and after the first execution, also when the first caller
// disconnected before the response, and by retries after a handover to the next owner.
func TestRunsAtMostOnce(t *testing.T) {
	var runs atomic.Int32
	release := make(chan struct{})
	runner := runnerFunc(func(ctx context.Context, _ *target.Request) (*target.Response, error) {
		runs.Add(1)
		<-release
		if ctx.Err() != nil {
			return outcomeUnknownError() // The request must not be cancelled when its caller disconnects.
		}
		return okResponse("charged")
	})
	r := newTestGate(t, runner)
	ctx, cancelCaller := context.WithCancel(t.Context())
	first := make(chan error)
	go func() {
		first <- r.ServeRelay(ctx, &relay.Request{Head: postHead("a")}, &responseRecorder{err: errors.New("caller disconnected")})
	}()
	require.Eventually(t, func() bool { return runs.Load() == 1 }, time.Second, time.Millisecond)
	cancelCaller()
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { require.Equal(t, answer.RepeatRunning, r.do(postHead("a")).kind()) })
	}
	group.Wait()
	close(release)
	require.Error(t, <-first)
	require.Equal(t, "charged", r.do(postHead("a")).body.String())

	next := newTestGate(t, runner)
	batch := &wire.IdentityBatch{Service: testSlice.Service, Epoch: 5, Identities: r.ExportIdentities(testSlice)}
	require.True(t, next.ImportIdentities(batch))
	repeat := next.do(postHead("a"))
	require.Equal(t, "charged", repeat.body.String())
	require.NotEmpty(t, repeat.header(TokenHeader))
	require.EqualValues(t, 1, runs.Load())
	require.False(t, next.ImportIdentities(&wire.IdentityBatch{}))
}

// Guards against executing a request twice after an unplanned takeover has lost the idempotency records, and against
// refusing a token that was issued after the takeover.
func TestUnplannedTakeoverLosesRecords(t *testing.T) {
	r := newTestGate(t, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) { return okResponse("ok") }))
	old := identity.IssueToken(testSlice, 4, time.Now()).String()
	r.setOwnedSlice(routing.OwnedSlice{Epoch: 5, RecordEpoch: 5, TakenOverAt: r.clock.Now()})
	require.Equal(t, answer.RepeatUnknown, r.do(postHead("opaque")).kind())
	require.Equal(t, answer.RepeatUnknown, r.do(postHead(old)).kind())
	fresh := r.do(getHead()).header(TokenHeader)
	require.Equal(t, answer.Kind(""), r.do(postHead(fresh)).kind())
	r.clock.Advance(defaultIdentityRetention + 1)
	require.Equal(t, answer.Kind(""), r.do(postHead("opaque")).kind())
}

// Guards against replaying the response of one deposit to a different deposit that reuses its idempotency key.
func TestIdempotencyKeyReuse(t *testing.T) {
	var runs atomic.Int32
	runner := runnerFunc(func(context.Context, *target.Request) (*target.Response, error) {
		runs.Add(1)
		return okResponse("charged")
	})
	deposit := func(r *testGate, body string) *responseRecorder {
		out := &responseRecorder{}
		head := postHead("a")
		head.ContentLength = int64(len(body))
		require.NoError(t, r.ServeRelay(t.Context(), &relay.Request{Head: head, Body: strings.NewReader(body)}, out))
		return out
	}
	r := newTestGate(t, runner)
	require.Equal(t, "charged", deposit(r, "deposit=10").body.String())
	require.Equal(t, answer.IdentityReused, deposit(r, "deposit=99").kind())
	require.Equal(t, answer.IdentityReused, r.do(postHead("a")).kind())
	require.Equal(t, "charged", deposit(r, "deposit=10").body.String(), "a retry of the same request must get the stored response")

	next := newTestGate(t, runner)
	batch := &wire.IdentityBatch{Service: testSlice.Service, Epoch: 5, Identities: r.ExportIdentities(testSlice)}
	require.True(t, next.ImportIdentities(batch))
	require.Equal(t, answer.IdentityReused, deposit(next, "deposit=99").kind())
	require.Equal(t, "charged", deposit(next, "deposit=10").body.String())
	require.EqualValues(t, 1, runs.Load())
}

// Guards against replaying a response that was truncated or is too large to store as if it were complete.
func TestIncompleteResponsesAreNotReplayed(t *testing.T) {
	r := newTestGate(t, runnerFunc(func(_ context.Context, req *target.Request) (*target.Response, error) {
		body := io.Reader(strings.NewReader(strings.Repeat("x", identity.MaxResponseBytes+1)))
		if req.IdempotencyKey == "broken" {
			body = io.MultiReader(strings.NewReader("half"), failingReader{})
		}
		return &target.Response{Head: &wire.ResponseHead{Status: 200, ContentLength: -1}, Body: io.NopCloser(body)}, nil
	}))
	out := &responseRecorder{}
	require.Error(t, r.ServeRelay(t.Context(), &relay.Request{Head: postHead("broken")}, out), "the error makes the relay mark the response as truncated")
	require.Equal(t, "half", out.body.String())
	require.Equal(t, answer.RepeatUnknown, r.do(postHead("broken")).kind())
	require.Len(t, r.do(postHead("large")).body.String(), identity.MaxResponseBytes+1)
	require.Equal(t, answer.RepeatUnknown, r.do(postHead("large")).kind())
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against corrupting a buffered or streamed request body, and against forwarding a body that is shorter than its
// declared length.
func TestRequestBodies(t *testing.T) {
	r := newTestGate(t, runnerFunc(func(_ context.Context, req *target.Request) (*target.Response, error) {
		data, err := io.ReadAll(req.Body)
		require.NoError(t, err)
		return okResponse(string(data))
	}))
	send := func(text string, declared int64) *responseRecorder {
		head, out := getHead(), &responseRecorder{}
		head.Method, head.ContentLength = "PUT", declared
		require.NoError(t, r.ServeRelay(t.Context(), &relay.Request{Head: head, Body: strings.NewReader(text)}, out))
		return out
	}
	for _, size := range []int{1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 1 << 20} {
		text := strings.Repeat("b", size)
		require.Equal(t, text, send(text, int64(size)).body.String())
		require.Equal(t, text, send(text, -1).body.String())
	}
	require.Equal(t, answer.BadRequest, send("short", 6).kind())
	require.True(t, r.bodyBudget.Reserve(maxWaitingBodyBytes), "the whole body budget must be released")
	require.Equal(t, answer.Shed, send("no room", 7).kind())
}

// Guards against sending a cold target the full load, also when its configuration arrives after its announcement, and
// after each restart.
func TestColdStartLimit(t *testing.T) {
	var mu sync.Mutex
	running, maxRunning := 0, 0
	admitted := func(change int) (highest int) {
		mu.Lock()
		defer mu.Unlock()
		running += change
		maxRunning = max(maxRunning, running)
		return maxRunning
	}
	release := make(chan struct{})
	r := newTestGate(t, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) {
		admitted(1)
		defer admitted(-1)
		<-release
		return okResponse("ok")
	}))
	r.publish(func(s *routing.Snapshot) {
		services := s.View.Configuration.Document.Services
		spec := services["booking"]
		spec.ColdStart = config.ColdStart{Concurrency: 2, Ramp: config.Duration(time.Hour)}
		services["booking"] = spec
	})
	for _, incarnation := range []string{"t1", "t2"} {
		r.announce(incarnation, 20)
		maxRunning = 0 // Nothing runs between the incarnations.
		var group sync.WaitGroup
		for range 12 {
			group.Go(func() { r.do(getHead()) })
		}
		// The ten others wait only while both places are taken, but an admitted request may not have reached the target yet.
		require.Eventually(t, func() bool { return r.admission.Stats().Waiting == 10 && admitted(0) >= 2 }, time.Second, time.Millisecond)
		require.Equal(t, 2, admitted(0))
		close(release)
		group.Wait()
		release = make(chan struct{})
	}
}

// Guards against a request that crashes one target after another, and against refusing other requests for the same key.
func TestPoisonRequest(t *testing.T) {
	var runs atomic.Int32
	r := newTestGate(t, runnerFunc(func(_ context.Context, req *target.Request) (*target.Response, error) {
		if req.Path != "/poison" {
			return okResponse("ok")
		}
		runs.Add(1)
		return outcomeUnknownError()
	}))
	bad := getHead()
	bad.Path = "/poison"
	require.Equal(t, answer.OutcomeUnknown, r.do(bad).kind())
	require.Empty(t, r.sharedReports, "a lost connection alone must not be reported as a crash")
	r.announce("t2", 20)
	require.Len(t, r.sharedReports, 1)
	r.ReportPoison(r.sharedReports[0])
	require.Equal(t, answer.OutcomeUnknown, r.do(bad).kind())
	r.TargetLost()
	require.Len(t, r.sharedReports, 2)
	r.announce("t3", 20)
	require.Equal(t, answer.Quarantined, r.do(bad).kind())
	require.Equal(t, answer.Kind(""), r.do(getHead()).kind())
	require.EqualValues(t, 2, runs.Load())

	other := newTestGate(t, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) { return outcomeUnknownError() }))
	other.ReportPoison(r.sharedReports[0])
	other.ReportPoison(r.sharedReports[1])
	require.Equal(t, answer.Quarantined, other.do(bad).kind())
}

// Guards against not propagating the trace context to the target.
func TestTracePropagatesToTarget(t *testing.T) {
	var got string
	r := newTestGate(t, runnerFunc(func(_ context.Context, req *target.Request) (*target.Response, error) {
		got = req.Traceparent
		return okResponse("ok")
	}))
	head := getHead()
	head.Traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	r.do(head)
	require.Contains(t, got, "0af7651916cd43dd8448eb211c80319c")
}

func BenchmarkRecordedRequest(b *testing.B) {
	r := newTestGate(b, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) { return okResponse("ok") }))
	b.ReportAllocs()
	for b.Loop() {
		r.do(postHead(r.newIdentity()))
	}
}
