package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/lease"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/store"
)

const (
	networkDelay = time.Millisecond
	watchDelay   = 10 * time.Millisecond
	sliceCount   = 8
)

// world runs the decision functions of several nodes against a fake platform in virtual time, and
// checks after every event that no slice is served twice.
type world struct {
	t       testing.TB
	now     clock.Instant
	queue   calendar
	count   int
	members map[string]*member
	objects map[Key]store.Object
	// revision is the platform's.
	revision uint64
	down     bool
	latency  time.Duration
	// loseAnswer decides whether the answer to a write that took effect is lost.
	loseAnswer func(Write) bool
	writes     []Write
	cut        func(from, to string) bool
	// lapses counts the times at which a registered node was found without a lease.
	lapses map[string]int
}

type member struct {
	name     string
	state    *state
	alive    bool
	frozen   bool
	backlog  []func()
	snapshot *routing.Snapshot
	leaseEnd clock.Instant
	finished bool
}

type entry struct {
	at    clock.Instant
	order int
	run   func()
}

type calendar []entry

func (c calendar) Len() int { return len(c) }
func (c calendar) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].order < c[j].order
}
func (c calendar) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)   { *c = append(*c, x.(entry)) }
func (c *calendar) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

func newWorld(t testing.TB, nodes int) *world {
	w := &world{
		t: t, now: clock.Instant(time.Hour), members: map[string]*member{}, objects: map[Key]store.Object{},
		latency: 2 * time.Millisecond, lapses: map[string]int{},
		loseAnswer: func(Write) bool { return false }, cut: func(string, string) bool { return false },
	}
	for i := range nodes {
		w.start(fmt.Sprintf("n%d", i))
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.count++
	heap.Push(&w.queue, entry{at: w.now.Add(d), order: w.count, run: run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(entry)
		w.now = e.at
		e.run()
		w.checkSingleOwners()
	}
	w.now = end
}

// start starts a process with its target under the name; an older one of the name must be dead.
func (w *world) start(name string) *member {
	zone := fmt.Sprintf("z%d", int(name[1]-'0')%4)
	me := Identity{
		Name: name, Tag: uint16(rand.Uint32()), Location: cluster.Location{AvailabilityZone: zone, Rack: name},
		Addresses: cluster.Addresses{Heartbeat: name, Control: name},
	}
	m := &member{name: name, alive: true, snapshot: &routing.Snapshot{View: cluster.EmptyView()}}
	m.state = newState(me, testPlanner{}, newSharedGrantor())
	w.members[name] = m
	w.after(rand.N(TickInterval), func() { w.handle(m, ViewChanged{View: w.platformView()}) })
	w.after(rand.N(TickInterval), func() { w.tick(m) })
	w.after(0, func() { w.announce(m) })
	return m
}

func (w *world) tick(m *member) {
	if m.alive {
		w.deliver(m, func() { w.handle(m, Tick{}) })
		w.after(TickInterval, func() { w.tick(m) })
	}
	if m.alive && !m.frozen && !m.state.departing && !m.state.self.IsZero() && m.leaseEnd <= w.now {
		w.lapses[m.name]++
	}
}

func (w *world) announce(m *member) {
	w.deliver(m, func() {
		w.handle(m, TargetChanged{Target: cluster.TargetInfo{Service: "svc", Address: m.name, Incarnation: "1"}})
	})
}

// deliver runs something in a process, or when the process is no longer frozen.
func (w *world) deliver(m *member, run func()) {
	switch {
	case m == nil || !m.alive:
	case m.frozen:
		m.backlog = append(m.backlog, run)
	default:
		run()
	}
}

func (w *world) freeze(name string, d time.Duration) {
	m := w.members[name]
	m.frozen = true
	w.after(d, func() {
		m.frozen = false
		for _, run := range m.backlog {
			run()
		}
		m.backlog = nil
	})
}

func (w *world) send(from, to string, run func(m *member)) {
	if !w.cut(from, to) {
		w.after(networkDelay, func() { w.deliver(w.members[to], func() { run(w.members[to]) }) })
	}
}

func (w *world) handle(m *member, e Event) {
	if !m.alive {
		return
	}
	for _, a := range m.state.handle(e, w.now) {
		w.execute(m, a)
	}
}

func (w *world) execute(m *member, a Action) {
	switch a := a.(type) {
	case Publish:
		m.snapshot = a.Snapshot
	case SetLease:
		m.leaseEnd = a.End
	case Renew:
		w.send(m.name, a.Address, func(g *member) {
			grantor, holder := fromWire(a.Renewal.Grantor), fromWire(a.Renewal.Holder)
			if g.state.grantor.answer(grantor, holder, w.now) {
				w.send(g.name, m.name, func(m *member) {
					w.handle(m, GrantReceived{Holder: holder, Grantor: grantor, Sequence: a.Renewal.Sequence})
				})
			}
		})
	case Read:
		w.after(w.latency, func() { w.answerRead(m, a) })
	case Write:
		w.after(w.latency, func() { w.answerWrite(m, a) })
	case RequestVote:
		w.send(m.name, a.Address, func(g *member) {
			v := g.state.grantor.vote(a.Grantor, a.Holder, a.Candidate, w.now)
			w.send(g.name, m.name, func(m *member) {
				w.handle(m, VoteReceived{Holder: a.Holder, Grantor: a.Grantor, Vote: v})
			})
		})
	case StartHandover:
		var err error
		if to := w.members[a.Address]; to == nil || !to.alive {
			err = errs.New(errs.Unavailable, "", "no answer")
		}
		w.after(4*networkDelay, func() { w.deliver(m, func() { w.handle(m, HandoverSent{Move: a.Move, Err: err}) }) })
	case Feed:
		w.after(0, func() { w.feed(m, a.Change) })
	case Notify:
		for _, address := range a.Addresses {
			w.send(m.name, address, func(to *member) { w.feed(to, a.Change) })
		}
	case Finished:
		m.finished = true
		m.alive = false
	}
}

func (w *world) feed(m *member, c store.Change) {
	w.deliver(m, func() {
		if m.state.view == nil {
			return
		}
		next, err := m.state.view.Apply([]store.Change{c}, c.Version)
		require.NoError(w.t, err)
		w.handle(m, ViewChanged{View: next})
	})
}

func (w *world) answerRead(m *member, a Read) {
	object, ok := w.objects[a.Key]
	done := ReadDone{Key: a.Key, Object: object}
	switch {
	case w.down:
		done.Err = errs.New(errs.Unavailable, "", "down")
	case !ok:
		done.Err = errs.New(errs.NotFound, "", "missing")
	}
	w.after(w.latency, func() { w.deliver(m, func() { w.handle(m, done) }) })
}

func (w *world) answerWrite(m *member, a Write) {
	done := WriteDone{Write: a}
	switch {
	case w.down:
		done.Err = errs.New(errs.Unavailable, "", "down")
	case w.objects[a.key()].Version != a.Expect:
		done.Err = errs.New(errs.Conflict, "", "version")
	default:
		w.store(a)
		done.Version = w.revision
		if w.loseAnswer(a) {
			done.Err = errs.New(errs.OutcomeUnknown, "", "lost")
		}
	}
	w.after(w.latency, func() { w.deliver(m, func() { w.handle(m, done) }) })
}

func (w *world) store(a Write) {
	w.revision++
	w.writes = append(w.writes, a)
	object := store.Object{Kind: a.Kind, Name: a.Name, Version: w.revision, Value: a.Value}
	w.objects[a.key()] = object
	for _, m := range w.members {
		w.watch(m, store.Change{Object: object})
	}
}

// watch delivers a change once the platform is up.
func (w *world) watch(m *member, c store.Change) {
	w.after(watchDelay, func() {
		if w.down {
			w.watch(m, c)
			return
		}
		w.feed(m, c)
	})
}

func (w *world) platformView() *cluster.View {
	var changes []store.Change
	for _, o := range w.objects {
		changes = append(changes, store.Change{Object: o})
	}
	v, err := cluster.EmptyView().Apply(changes, w.revision)
	require.NoError(w.t, err)
	return v
}

func (w *world) record(name string) *cluster.Node { return w.platformView().Nodes[name] }

// serves reports whether the gate of the member would pass a request of the slice now. A frozen one
// counts as if it returned at this moment.
func (w *world) serves(m *member, id cluster.SliceID) bool {
	o, ok := m.snapshot.Owned[id]
	return ok && m.alive && w.now < m.leaseEnd && !o.Moving && w.now >= o.ReadyAt
}

func (w *world) servers(id cluster.SliceID) []string {
	var names []string
	for _, m := range w.members {
		if w.serves(m, id) {
			names = append(names, m.name)
		}
	}
	return names
}

func (w *world) checkSingleOwners() {
	var served [sliceCount]string
	for _, m := range w.members {
		for id := range m.snapshot.Owned {
			if !w.serves(m, id) {
				continue
			}
			if served[id.Index] != "" {
				w.t.Fatalf("%s and %s both serve %v at %v", served[id.Index], m.name, id, w.now)
			}
			served[id.Index] = m.name
		}
	}
}

func (w *world) allServed() bool {
	for i := range sliceCount {
		if len(w.servers(cluster.SliceID{Service: "svc", Index: i})) != 1 {
			return false
		}
	}
	return true
}

// untilServed returns how long it takes until every slice is served.
func (w *world) untilServed(limit time.Duration) time.Duration {
	started := w.now
	for !w.allServed() {
		require.Less(w.t, w.now.Sub(started), limit, "slices are not served")
		w.run(time.Millisecond)
	}
	return w.now.Sub(started)
}

// requireHealthy checks that all living nodes are registered, hold a lease and have all the grantors they can have.
func (w *world) requireHealthy() {
	living := 0
	for _, m := range w.members {
		if m.alive {
			living++
		}
	}
	for _, m := range w.members {
		if m.alive {
			require.Greater(w.t, m.leaseEnd, w.now, m.name)
			require.Len(w.t, w.record(m.name).Grantors, min(lease.MaxGrantors, living-1), m.name)
		}
	}
	require.True(w.t, w.allServed())
}
