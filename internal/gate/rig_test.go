package gate

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/identity"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/wire"
)

// runnerFunc is a fake target.Runner. It calls Request.Check as the real one does.
type runnerFunc func(ctx context.Context, req *target.Request) (*target.Response, error)

func (f runnerFunc) Run(ctx context.Context, req *target.Request) (*target.Response, error) {
	if err := req.Check(); err != nil {
		return nil, &target.RunError{Kind: answer.As(err).Kind, Err: err}
	}
	return f(ctx, req)
}

func okResponse(text string) (*target.Response, error) {
	head := &wire.ResponseHead{Status: 200, ContentLength: int64(len(text))}
	return &target.Response{Head: head, Body: io.NopCloser(strings.NewReader(text))}, nil
}

func outcomeUnknownError() (*target.Response, error) {
	return nil, &target.RunError{Kind: answer.OutcomeUnknown, Err: io.ErrUnexpectedEOF}
}

// responseRecorder is a relay.ResponseWriter that records the response. Its methods return err if it is set.
type responseRecorder struct {
	head *wire.ResponseHead
	body strings.Builder
	err  error
}

func (r *responseRecorder) WriteHead(head *wire.ResponseHead) error { r.head = head; return r.err }
func (r *responseRecorder) Write(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return r.body.Write(p)
}

func (r *responseRecorder) header(name string) string {
	for _, h := range r.head.GetHeaders() {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

func (r *responseRecorder) kind() answer.Kind { return answer.Kind(r.header(answer.KindHeader)) }

// testGate is a Gate with fake dependencies. It owns slice 0, the only slice of the keyed service booking.
type testGate struct {
	*Gate
	t             testing.TB
	clock         *clock.Manual
	lease         *routing.Lease
	mu            sync.Mutex
	snapshot      routing.Snapshot
	sharedReports []*wire.PoisonReport
}

var testSlice = cluster.SliceID{Service: "booking", Index: 0}

func newTestGate(t testing.TB, runner target.Runner) *testGate {
	r := &testGate{t: t, clock: &clock.Manual{}, lease: &routing.Lease{}}
	r.clock.Advance(time.Hour)
	r.lease.Set(r.clock.Now().Add(time.Hour))
	view := cluster.EmptyView()
	view.Configuration = &config.Versioned{Document: config.Document{Services: map[string]config.Service{
		"booking":   {Kind: config.Keyed, Slices: 1, MaxRequest: config.Duration(5 * time.Second)},
		"catalogue": {Kind: config.Pooled},
	}}}
	r.snapshot = routing.Snapshot{View: view, Owned: map[cluster.SliceID]routing.OwnedSlice{testSlice: {Epoch: 5, RecordEpoch: 4}}}
	table := routing.NewTable()
	gate, err := New(Config{
		Node: "n1", Table: table, Lease: r.lease, Clock: r.clock, Runner: runner, WallClock: time.Now,
		Logger:                &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		BroadcastPoisonReport: func(p *wire.PoisonReport) { r.sharedReports = append(r.sharedReports, p) },
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, gate.Close()) })
	r.Gate = gate
	r.publish(func(*routing.Snapshot) {})
	r.announce("t1", 20)
	return r
}

func (r *testGate) announce(incarnation string, slots int) {
	r.TargetAnnounced(cluster.TargetInfo{Service: "booking", Incarnation: incarnation, Slots: slots}, false)
}

// publish applies a change to the snapshot and publishes a copy of it.
func (r *testGate) publish(change func(*routing.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.snapshot)
	next := r.snapshot
	r.cfg.Table.Publish(&next)
}

func (r *testGate) setOwnedSlice(owned routing.OwnedSlice) {
	r.publish(func(s *routing.Snapshot) { s.Owned = map[cluster.SliceID]routing.OwnedSlice{testSlice: owned} })
}

func postHead(idempotencyKey string) *wire.RequestHead {
	return &wire.RequestHead{Service: "booking", Key: "room", Epoch: 5, Method: "POST", Path: "/book", IdempotencyKey: idempotencyKey}
}

func (r *testGate) newIdentity() string {
	return identity.IssueToken(testSlice, 5, time.Now()).String()
}

func getHead() *wire.RequestHead {
	return &wire.RequestHead{Service: "booking", Key: "room", Epoch: 5, Method: "GET", Path: "/book"}
}

func (r *testGate) do(head *wire.RequestHead) *responseRecorder {
	out := &responseRecorder{}
	require.NoError(r.t, r.ServeRelay(r.t.Context(), &relay.Request{Head: head}, out))
	if kind := out.kind(); kind != "" {
		var problem answer.Problem
		require.NoError(r.t, json.Unmarshal([]byte(out.body.String()), &problem))
		require.Equal(r.t, kind, problem.Kind)
	}
	return out
}
