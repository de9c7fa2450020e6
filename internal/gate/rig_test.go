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

// runnerFunc is a fake target.
type runnerFunc func(ctx context.Context, req *target.Request) (*target.Response, error)

func (f runnerFunc) Run(ctx context.Context, req *target.Request) (*target.Response, error) {
	if err := req.Check(); err != nil {
		return nil, &target.RunError{Kind: answer.As(err).Kind, Err: err}
	}
	return f(ctx, req)
}

func reply(text string) (*target.Response, error) {
	head := &wire.ResponseHead{Status: 200, ContentLength: int64(len(text))}
	return &target.Response{Head: head, Body: io.NopCloser(strings.NewReader(text))}, nil
}

func lostRun() (*target.Response, error) {
	return nil, &target.RunError{Kind: answer.OutcomeUnknown, Err: io.ErrUnexpectedEOF}
}

// result is a relay.ResponseWriter that keeps the answer.
type result struct {
	head *wire.ResponseHead
	body strings.Builder
	err  error
}

func (r *result) WriteHead(head *wire.ResponseHead) error { r.head = head; return r.err }
func (r *result) Write(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return r.body.Write(p)
}

func (r *result) header(name string) string {
	for _, h := range r.head.GetHeaders() {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

func (r *result) kind() answer.Kind { return answer.Kind(r.header(answer.KindHeader)) }

// rig is a gate that owns slice 0, the only one of the keyed service booking.
type rig struct {
	*Gate
	t        testing.TB
	clock    *clock.Manual
	lease    *routing.Lease
	mu       sync.Mutex
	snapshot routing.Snapshot
	shared   []*wire.PoisonReport
}

var rigSlice = cluster.SliceID{Service: "booking", Index: 0}

func newRig(t testing.TB, runner target.Runner) *rig {
	r := &rig{t: t, clock: &clock.Manual{}, lease: &routing.Lease{}}
	r.clock.Advance(time.Hour)
	r.lease.Set(r.clock.Now().Add(time.Hour))
	view := cluster.EmptyView()
	view.Configuration = &config.Versioned{Document: config.Document{Services: map[string]config.Service{
		"booking":   {Kind: config.Keyed, Slices: 1, MaxRequest: config.Duration(5 * time.Second)},
		"catalogue": {Kind: config.Pooled},
	}}}
	r.snapshot = routing.Snapshot{View: view, Owned: map[cluster.SliceID]routing.OwnedSlice{rigSlice: {Epoch: 5, RecordEpoch: 4}}}
	table := routing.NewTable()
	gate, err := New(Config{
		Node: "n1", Table: table, Lease: r.lease, Clock: r.clock, Runner: runner, Wall: time.Now,
		Logger:      &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		SharePoison: func(p *wire.PoisonReport) { r.shared = append(r.shared, p) },
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, gate.Close()) })
	r.Gate = gate
	r.publish(func(*routing.Snapshot) {})
	r.announce("t1", 20)
	return r
}

func (r *rig) announce(incarnation string, slots int) {
	r.TargetAnnounced(cluster.TargetInfo{Service: "booking", Incarnation: incarnation, Slots: slots}, false)
}

// publish changes a copy of the snapshot and publishes it.
func (r *rig) publish(change func(*routing.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.snapshot)
	next := r.snapshot
	r.cfg.Table.Publish(&next)
}

func (r *rig) own(owned routing.OwnedSlice) {
	r.publish(func(s *routing.Snapshot) { s.Owned = map[cluster.SliceID]routing.OwnedSlice{rigSlice: owned} })
}

func post(identity string) *wire.RequestHead {
	return &wire.RequestHead{Service: "booking", Key: "room", Epoch: 5, Method: "POST", Path: "/book", IdempotencyKey: identity}
}

func (r *rig) newIdentity() string { return identity.Issue(rigSlice, 5, time.Now()).String() }

func get() *wire.RequestHead {
	return &wire.RequestHead{Service: "booking", Key: "room", Epoch: 5, Method: "GET", Path: "/book"}
}

func (r *rig) do(head *wire.RequestHead) *result {
	out := &result{}
	require.NoError(r.t, r.ServeRelay(r.t.Context(), &relay.Request{Head: head}, out))
	if kind := out.kind(); kind != "" {
		var problem answer.Problem
		require.NoError(r.t, json.Unmarshal([]byte(out.body.String()), &problem))
		require.Equal(r.t, kind, problem.Kind)
	}
	return out
}
