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

// Guards against a second run of a deposit: by repeats during and after the first run, also when the first caller
// left before the answer, and after a handover to the next owner.
func TestRunsAtMostOnce(t *testing.T) {
	var runs atomic.Int32
	release := make(chan struct{})
	runner := runnerFunc(func(ctx context.Context, _ *target.Request) (*target.Response, error) {
		runs.Add(1)
		<-release
		if ctx.Err() != nil {
			return lostRun() // The run must go on without its caller.
		}
		return reply("charged")
	})
	r := newRig(t, runner)
	ctx, leave := context.WithCancel(t.Context())
	first := make(chan error)
	go func() {
		first <- r.ServeRelay(ctx, &relay.Request{Head: post("a")}, &responseRecorder{err: errors.New("caller left")})
	}()
	require.Eventually(t, func() bool { return runs.Load() == 1 }, time.Second, time.Millisecond)
	leave()
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { require.Equal(t, answer.RepeatRunning, r.do(post("a")).kind()) })
	}
	group.Wait()
	close(release)
	require.Error(t, <-first)
	require.Equal(t, "charged", r.do(post("a")).body.String())

	next := newRig(t, runner)
	batch := &wire.IdentityBatch{Service: rigSlice.Service, Epoch: 5, Identities: r.ExportIdentities(rigSlice)}
	require.True(t, next.ImportIdentities(batch))
	repeat := next.do(post("a"))
	require.Equal(t, "charged", repeat.body.String())
	require.NotEmpty(t, repeat.header(TokenHeader))
	require.EqualValues(t, 1, runs.Load())
	require.False(t, next.ImportIdentities(&wire.IdentityBatch{}))
}

// Guards against a second run after the records were lost, and against refusing a fresh token then.
func TestAfterUnplannedTakeover(t *testing.T) {
	r := newRig(t, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) { return reply("ok") }))
	old := identity.Issue(rigSlice, 4, time.Now()).String()
	r.own(routing.OwnedSlice{Epoch: 5, RecordEpoch: 5, TakenOverAt: r.clock.Now()})
	require.Equal(t, answer.RepeatUnknown, r.do(post("opaque")).kind())
	require.Equal(t, answer.RepeatUnknown, r.do(post(old)).kind())
	fresh := r.do(get()).header(TokenHeader)
	require.Equal(t, answer.Kind(""), r.do(post(fresh)).kind())
	r.clock.Advance(defaultIdentityRetention + 1)
	require.Equal(t, answer.Kind(""), r.do(post("opaque")).kind())
}

// Guards against another deposit that gets the answer of the first one because its caller used the same identity.
func TestIdentityOfAnotherRequest(t *testing.T) {
	var runs atomic.Int32
	runner := runnerFunc(func(context.Context, *target.Request) (*target.Response, error) {
		runs.Add(1)
		return reply("charged")
	})
	deposit := func(r *rig, body string) *responseRecorder {
		out := &responseRecorder{}
		head := post("a")
		head.ContentLength = int64(len(body))
		require.NoError(t, r.ServeRelay(t.Context(), &relay.Request{Head: head, Body: strings.NewReader(body)}, out))
		return out
	}
	r := newRig(t, runner)
	require.Equal(t, "charged", deposit(r, "deposit=10").body.String())
	require.Equal(t, answer.IdentityReused, deposit(r, "deposit=99").kind())
	require.Equal(t, answer.IdentityReused, r.do(post("a")).kind())
	require.Equal(t, "charged", deposit(r, "deposit=10").body.String(), "a true repeat gets the first answer")

	next := newRig(t, runner)
	batch := &wire.IdentityBatch{Service: rigSlice.Service, Epoch: 5, Identities: r.ExportIdentities(rigSlice)}
	require.True(t, next.ImportIdentities(batch))
	require.Equal(t, answer.IdentityReused, deposit(next, "deposit=99").kind())
	require.Equal(t, "charged", deposit(next, "deposit=10").body.String())
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a half answer that is repeated as if it were whole, and one that is too large to keep.
func TestIncompleteAnswersAreNotRepeated(t *testing.T) {
	r := newRig(t, runnerFunc(func(_ context.Context, req *target.Request) (*target.Response, error) {
		body := io.Reader(strings.NewReader(strings.Repeat("x", identity.MaxAnswerBytes+1)))
		if req.IdempotencyKey == "broken" {
			body = io.MultiReader(strings.NewReader("half"), brokenReader{})
		}
		return &target.Response{Head: &wire.ResponseHead{Status: 200, ContentLength: -1}, Body: io.NopCloser(body)}, nil
	}))
	out := &responseRecorder{}
	require.Error(t, r.ServeRelay(t.Context(), &relay.Request{Head: post("broken")}, out), "the relay must mark the answer as truncated")
	require.Equal(t, "half", out.body.String())
	require.Equal(t, answer.RepeatUnknown, r.do(post("broken")).kind())
	require.Len(t, r.do(post("large")).body.String(), identity.MaxAnswerBytes+1)
	require.Equal(t, answer.RepeatUnknown, r.do(post("large")).kind())
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against bodies that change on the way, whether they are buffered or streamed, and against a body that is
// passed on although it ended early.
func TestBodies(t *testing.T) {
	r := newRig(t, runnerFunc(func(_ context.Context, req *target.Request) (*target.Response, error) {
		data, err := io.ReadAll(req.Body)
		require.NoError(t, err)
		return reply(string(data))
	}))
	send := func(text string, declared int64) *responseRecorder {
		head, out := get(), &responseRecorder{}
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
	require.True(t, r.bodyBudget.Reserve(maxWaitingBodyBytes), "all memory is given back")
	require.Equal(t, answer.Shed, send("no room", 7).kind())
}

// Guards against a cold target that gets the full load, also when its configuration becomes known after it announced
// itself, and after each restart.
func TestColdTarget(t *testing.T) {
	var running, most atomic.Int32
	release := make(chan struct{})
	r := newRig(t, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) {
		most.Store(max(most.Load(), running.Add(1)))
		defer running.Add(-1)
		<-release
		return reply("ok")
	}))
	r.publish(func(s *routing.Snapshot) {
		services := s.View.Configuration.Document.Services
		spec := services["booking"]
		spec.ColdStart = config.ColdStart{Concurrency: 2, Ramp: config.Duration(time.Hour)}
		services["booking"] = spec
	})
	for _, incarnation := range []string{"t1", "t2"} {
		r.announce(incarnation, 20)
		most.Store(0)
		var group sync.WaitGroup
		for range 12 {
			group.Go(func() { r.do(get()) })
		}
		require.Eventually(t, func() bool { return r.admission.Stats().Waiting == 10 }, time.Second, time.Millisecond)
		require.EqualValues(t, 2, most.Load())
		close(release)
		group.Wait()
		release = make(chan struct{})
	}
}

// Guards against a request that crashes one target after the other, and against refusing others for the same key.
func TestPoisonRequest(t *testing.T) {
	var runs atomic.Int32
	r := newRig(t, runnerFunc(func(_ context.Context, req *target.Request) (*target.Response, error) {
		if req.Path != "/poison" {
			return reply("ok")
		}
		runs.Add(1)
		return lostRun()
	}))
	bad := get()
	bad.Path = "/poison"
	require.Equal(t, answer.OutcomeUnknown, r.do(bad).kind())
	require.Empty(t, r.shared, "a lost connection alone is no crash")
	r.announce("t2", 20)
	require.Len(t, r.shared, 1)
	r.ReportPoison(r.shared[0])
	require.Equal(t, answer.OutcomeUnknown, r.do(bad).kind())
	r.TargetLost()
	require.Len(t, r.shared, 2)
	r.announce("t3", 20)
	require.Equal(t, answer.Quarantined, r.do(bad).kind())
	require.Equal(t, answer.Kind(""), r.do(get()).kind())
	require.EqualValues(t, 2, runs.Load())

	other := newRig(t, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) { return lostRun() }))
	other.ReportPoison(r.shared[0])
	other.ReportPoison(r.shared[1])
	require.Equal(t, answer.Quarantined, other.do(bad).kind())
}

// Guards against a trace that ends at the gate.
func TestTraceContinuesAtTheTarget(t *testing.T) {
	var got string
	r := newRig(t, runnerFunc(func(_ context.Context, req *target.Request) (*target.Response, error) {
		got = req.Traceparent
		return reply("ok")
	}))
	head := get()
	head.Traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	r.do(head)
	require.Contains(t, got, "0af7651916cd43dd8448eb211c80319c")
}

func BenchmarkRecordedRequest(b *testing.B) {
	r := newRig(b, runnerFunc(func(context.Context, *target.Request) (*target.Response, error) { return reply("ok") }))
	b.ReportAllocs()
	for b.Loop() {
		r.do(post(r.newIdentity()))
	}
}
