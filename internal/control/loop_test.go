package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/wire"
)

// host connects the loops of several nodes directly: it is their platform, replicas, peers and heartbeats.
type host struct {
	mu       sync.Mutex
	view     *cluster.View
	revision uint64
	controls map[string]*Control
	busy     int
	imported []*wire.IdentityBatch
}

func (h *host) Get(_ context.Context, kind, name string) (store.Object, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.view.Nodes[name]; kind == cluster.KindNode && n != nil {
		return store.Object{Kind: kind, Name: name, Version: n.Version, Value: encode(n)}, nil
	}
	return store.Object{}, errs.New(errs.NotFound, "", "missing")
}

func (h *host) Put(_ context.Context, kind, name string, value []byte, expect uint64) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	object := store.Object{Kind: kind, Name: name, Value: value}
	id, _ := cluster.ParseGroupID(name)
	var held uint64
	if n := h.view.Nodes[name]; n != nil {
		held = n.Version
	} else if g := h.view.Groups[id]; g != nil {
		held = g.Version
	}
	if held != expect {
		return 0, errs.New(errs.Conflict, "", "version")
	}
	h.revision++
	object.Version = h.revision
	view, err := h.view.Apply([]store.Change{{Object: object}}, h.revision)
	h.view = view
	for _, c := range h.controls {
		c.ViewChanged(view)
	}
	return h.revision, err
}

func (h *host) List(context.Context) ([]store.Object, uint64, error)  { return nil, 0, nil }
func (h *host) Delete(context.Context, string, string, uint64) error  { return nil }
func (h *host) Feed(...store.Change)                                  {}
func (h *host) Notify(context.Context, string, ...store.Change) error { return nil }
func (h *host) ExportIdentities(cluster.SliceID) []*wire.Identity {
	return []*wire.Identity{{Key: "k"}}
}
func (h *host) Watch(context.Context, uint64, time.Duration) ([]store.Change, uint64, error) {
	return nil, 0, nil
}

func (h *host) InFlight(cluster.SliceID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy = max(0, h.busy-1)
	return h.busy
}

func (h *host) ImportIdentities(batch *wire.IdentityBatch) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.imported = append(h.imported, batch)
	return true
}

// client is what nodes call each other through.
type client struct{ *host }

func (c client) Vote(_ context.Context, address string, r *wire.VoteRequest) (*wire.VoteResponse, error) {
	return c.controls[address].Vote(r), nil
}

func (c client) ImportIdentities(_ context.Context, address string, b *wire.IdentityBatch) error {
	if !c.controls[address].ImportIdentities(b) {
		return errors.New("not accepted")
	}
	return nil
}

// Send delivers a renewal and its grant at once.
func (c client) Send(address string, r *wire.Renewal) error {
	if g := c.controls[address].Renewal(r); g != nil {
		c.controls[r.Holder.Name].Grant(g)
	}
	return nil
}

// Guards against a loop that blocks, races or leaks, a handover that does not wait for running
// requests, and a planned stop that does not end.
func TestLoop(t *testing.T) {
	defer goleak.VerifyNone(t)
	h := &host{view: cluster.EmptyView(), controls: map[string]*Control{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 3 {
		name := fmt.Sprintf("n%d", i)
		h.controls[name] = New(Options{
			Identity: Identity{Name: name, Addresses: cluster.Addresses{Heartbeat: name, Control: name}},
			Clock:    clock.Boot{}, Store: h, Planner: testPlanner{}, Gate: h, Peers: client{h}, Replica: h,
			Table: routing.NewTable(), Lease: &routing.Lease{}, Log: &log.Logger{Level: log.PanicLevel},
		})
	}
	for _, c := range h.controls {
		running.Go(func() { c.Run(ctx, client{h}) })
		h.mu.Lock() // Nodes that run already write; the view must not go back.
		c.ViewChanged(h.view)
		h.mu.Unlock()
		c.TargetAnnounced(cluster.TargetInfo{Service: "svc", Address: "t", Incarnation: "1"}, false)
	}
	ready := func() bool {
		for _, c := range h.controls {
			if status := c.Status(); !status.LeaseValid || status.Slices == 0 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, ready, 20*time.Second, 10*time.Millisecond)
	h.mu.Lock()
	h.busy = 20
	h.mu.Unlock()
	limited, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	require.NoError(t, h.controls["n1"].Drain(limited))
	h.mu.Lock() // Other nodes still hand over to each other.
	busy, imported := h.busy, h.imported
	h.mu.Unlock()
	require.Empty(t, busy)
	require.NotEmpty(t, imported)
	require.NoError(t, h.controls["n1"].Leave(limited))
	require.False(t, h.controls["n1"].Status().LeaseValid)
	cancel()
	running.Wait()
}

// viewOf returns a view of records and slices at a revision.
func viewOf(t *testing.T, revision uint64, nodes []*cluster.Node, list ...cluster.Slice) *cluster.View {
	changes := []store.Change{{Object: store.Object{
		Kind: cluster.KindSlices, Name: "svc/0", Version: revision, Value: encode(&cluster.Group{Slices: list}),
	}}}
	for _, n := range nodes {
		changes = append(changes, store.Change{Object: store.Object{
			Kind: cluster.KindNode, Name: n.ID.Name, Version: revision, Value: encode(n),
		}})
	}
	v, err := cluster.EmptyView().Apply(changes, revision)
	require.NoError(t, err)
	return v
}

// registered returns a state of a fleet of one that is registered, and its incarnation.
func registered(t *testing.T, now clock.Instant) (*state, *cluster.Node) {
	s := newState(Identity{Name: "n0", Location: cluster.Location{AvailabilityZone: "z"}}, nil, newSharedGrantor())
	s.handle(ViewChanged{View: cluster.EmptyView()}, now)
	for _, a := range s.handle(ReadDone{Key: s.ownKey(), Err: errs.New(errs.NotFound, "", "missing")}, now) {
		if w, ok := a.(Write); ok {
			s.handle(WriteDone{Write: w, Version: 1}, now)
		}
	}
	require.False(t, s.self.IsZero())
	return s, s.own.record.Clone()
}

func lastSnapshot(actions []Action) *routing.Snapshot {
	var found *routing.Snapshot
	for _, a := range actions {
		if p, ok := a.(Publish); ok {
			found = p.Snapshot
		}
	}
	return found
}

// Guards against a second run of a request whose record was lost: the refusal after a takeover lasts
// through planned handovers, and a slice waits for the requests of its old, unfenced owner.
func TestTakeoverTimes(t *testing.T) {
	start := clock.Instant(time.Hour)
	s, self := registered(t, start)
	other := cluster.NodeID{Name: "n1", Incarnation: 1}
	taken := cluster.Slice{Epoch: 4, Owner: self.ID, RecordEpoch: 4, WaitMS: 700}
	foreign := cluster.Slice{Epoch: 7, Owner: other, RecordEpoch: 6, Next: self.ID}
	first := cluster.Slice{Epoch: 1, Owner: self.ID, RecordEpoch: 1}
	list := []cluster.Slice{taken, foreign, first, {Epoch: 9, Owner: cluster.NodeID{Name: "n0", Incarnation: 1}}}
	owned := lastSnapshot(s.handle(ViewChanged{View: viewOf(t, 2, []*cluster.Node{self}, list...)}, start)).Owned
	require.Len(t, owned, 2, "a slice of another incarnation is not served")
	id := func(i int) cluster.SliceID { return cluster.SliceID{Service: "svc", Index: i} }
	require.Equal(t, start.Add(700*time.Millisecond), owned[id(0)].ReadyAt)
	require.Equal(t, start, owned[id(0)].TakenOverAt)
	require.Zero(t, owned[id(2)].TakenOverAt)

	s.handle(IdentitiesImported{Slice: id(1), Epoch: 7, TakeoverAge: time.Minute}, start)
	list[1] = cluster.Slice{Epoch: 8, Owner: self.ID, RecordEpoch: 6}
	list[2].Next = other
	later := start.Add(100 * time.Millisecond)
	owned = lastSnapshot(s.handle(ViewChanged{View: viewOf(t, 3, []*cluster.Node{self}, list...)}, later)).Owned
	require.Equal(t, start.Add(-time.Minute), owned[id(1)].TakenOverAt, "the old owner knows when it took over")
	require.Equal(t, start.Add(700*time.Millisecond), owned[id(0)].ReadyAt, "the wait does not start anew")
	require.True(t, owned[id(2)].Moving, "even while the next owner is unknown")
}

// Guards against a resigned incarnation that serves again: its write may take effect late.
func TestResignationIsFinal(t *testing.T) {
	s, self := registered(t, clock.Instant(time.Hour))
	self.Grantors = []cluster.NodeID{{Name: "n1", Incarnation: 1}}
	now := clock.Instant(time.Hour)
	s.handle(ViewChanged{View: viewOf(t, 2, []*cluster.Node{self})}, now)
	var resign Write
	for resign.Purpose != Resign {
		now = now.Add(TickInterval)
		for _, a := range s.handle(Tick{}, now) {
			switch a := a.(type) {
			case Write:
				resign = a
			case Read:
				self.Version = 2
				s.handle(ReadDone{Key: a.Key, Object: store.Object{Version: 2, Value: encode(self)}}, now)
			}
		}
	}
	unknown := s.handle(WriteDone{Write: resign, Err: errs.New(errs.OutcomeUnknown, "", "lost")}, now)
	require.Contains(t, unknown, Action(Read{Key: s.ownKey()}), "an unknown outcome is read back first")
	for _, a := range unknown {
		_, writes := a.(Write)
		require.False(t, writes)
	}
	s.handle(ReadDone{Key: s.ownKey(), Object: store.Object{Version: 2, Value: encode(self)}}, now)
	s.handle(ViewChanged{View: viewOf(t, 3, []*cluster.Node{{ID: self.ID, State: cluster.Live}})}, now)
	require.Zero(t, s.leaseEnd)
}

// Guards against a zone that keeps taking work after operators took it out.
func TestZoneOut(t *testing.T) {
	now := clock.Instant(time.Hour)
	s, self := registered(t, now)
	v := viewOf(t, 2, []*cluster.Node{self})
	v.Configuration = &config.Versioned{Document: config.Document{
		AvailabilityZones: map[string]config.AvailabilityZone{"z": {State: config.ZoneOut}},
	}}
	require.Equal(t, now.Add(newWorkGrace), lastSnapshot(s.handle(ViewChanged{View: v}, now)).ZoneOutAt)
	require.Zero(t, lastSnapshot(s.handle(ViewChanged{View: viewOf(t, 3, []*cluster.Node{self})}, now)).ZoneOutAt)
}

// BenchmarkTick measures the decision function at the design scale: 600 nodes and 64 slice groups.
func BenchmarkTick(b *testing.B) {
	w := newWorld(b, 1)
	w.run(time.Second)
	m := w.members["n0"]
	v := m.state.view
	changes := []store.Change{}
	for i := range 600 {
		n := &cluster.Node{ID: cluster.NodeID{Name: fmt.Sprintf("p%d", i), Incarnation: 1}, State: cluster.Live,
			Location: cluster.Location{AvailabilityZone: fmt.Sprint(i % 4)}}
		changes = append(changes, store.Change{Object: store.Object{Kind: cluster.KindNode, Name: n.ID.Name, Version: 99, Value: encode(n)}})
	}
	for i := range 64 {
		value, _ := json.Marshal(&cluster.Group{Slices: make([]cluster.Slice, cluster.GroupSize)})
		changes = append(changes, store.Change{Object: store.Object{Kind: cluster.KindSlices, Name: fmt.Sprintf("svc/%d", i), Version: 99, Value: value}})
	}
	v, _ = v.Apply(changes, 99)
	m.state.planner = nil
	m.state.handle(ViewChanged{View: v}, w.now)
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			w.now = w.now.Add(TickInterval)
			m.state.handle(Tick{}, w.now)
		}
	})
	b.Run("view", func(b *testing.B) {
		for b.Loop() {
			w.now = w.now.Add(TickInterval)
			m.state.handle(ViewChanged{View: v}, w.now)
		}
	})
}

// Guards against a planned stop of a whole service that waits for a successor until its time is over,
// and against one that leaves slices behind although a successor is there.
func TestHasSuccessor(t *testing.T) {
	self := &cluster.Node{ID: cluster.NodeID{Name: "n0", Incarnation: 1}, State: cluster.Draining, Target: cluster.TargetInfo{Service: "svc"}}
	other := &cluster.Node{ID: cluster.NodeID{Name: "n1", Incarnation: 1}, State: cluster.Live, Target: cluster.TargetInfo{Service: "svc"}}
	snapshot := &routing.Snapshot{
		View:  viewOf(t, 1, []*cluster.Node{self, other}, cluster.Slice{Epoch: 1, Owner: self.ID}),
		Self:  self.ID,
		Owned: map[cluster.SliceID]routing.OwnedSlice{{Service: "svc"}: {Epoch: 1}},
	}
	require.True(t, hasSuccessor(snapshot))
	other.State = cluster.Draining
	snapshot.View = viewOf(t, 2, []*cluster.Node{self, other}, cluster.Slice{Epoch: 1, Owner: self.ID})
	require.False(t, hasSuccessor(snapshot))
}
