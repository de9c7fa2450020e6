package replica

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

// Guards against every node calling the platform, and against followers that stay without a source.
func TestSelectSource(t *testing.T) {
	view, err := cluster.EmptyView().Apply([]store.Change{
		node("a1", "a", 1), node("a2", "a", 2), node("a3", "a", 3), node("b1", "b", 4),
	}, 4)
	require.NoError(t, err)
	for _, c := range []struct {
		what, self, want string
		health           Health
	}{
		{"lowest of its zone", "a1", "platform", Health{}},
		{"second of its zone", "a2", "platform", Health{}},
		{"not registered", "a4", "platform", Health{}},
		{"third of its zone", "a3", "a1@a1:1", Health{Failed: map[string]bool{"a2:1": true}}},
		{"third, other source", "a3", "a2@a2:1", Health{Failed: map[string]bool{"a1:1": true}}},
		{"both sources failed", "a3", "platform", Health{Failed: map[string]bool{"a1:1": true, "a2:1": true}}},
		{"platform failed, nobody newer", "a1", "platform", Health{PlatformFailed: true, Revisions: map[string]uint64{"b1": 4}}},
		{"platform failed, peer newer", "a1", "b1@b1:1", Health{PlatformFailed: true, Revisions: map[string]uint64{"b1": 5, "a2": 4}}},
		{"caught up with a peer", "a1", "a2@a2:1", Health{PlatformFailed: true, Current: "a2"}},
		{"behind a peer", "a1", "b1@b1:1", Health{Ahead: "b1"}},
		{"start during an outage", "a4", "@s:1", Health{PlatformFailed: true, Seeds: []string{"s:1"}}},
	} {
		require.Equal(t, c.want, SelectSource(view, c.self, c.health).String(), c.what)
	}
}

// fakeStore is a platform with a list and pending watches.
type fakeStore struct {
	store.Store
	mu      sync.Mutex
	changes []store.Change
	down    bool
	oldest  uint64
	calls   int
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) call() error {
	s.calls++
	if s.down {
		return errs.New(errs.Unavailable, "", "down")
	}
	return nil
}

func (s *fakeStore) List(context.Context) ([]store.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]store.Change{}
	for _, c := range s.changes {
		newest[c.Name] = c
	}
	var objects []store.Object
	for _, c := range newest {
		if !c.Deleted {
			objects = append(objects, c.Object)
		}
	}
	return objects, s.changes[len(s.changes)-1].Version, s.call()
}

func (s *fakeStore) Watch(ctx context.Context, since uint64, wait time.Duration) ([]store.Change, uint64, error) {
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		err, compacted, last := s.call(), since < s.oldest, s.changes[len(s.changes)-1].Version
		var newer []store.Change
		for _, c := range s.changes {
			if c.Version > since {
				newer = append(newer, c)
			}
		}
		s.mu.Unlock()
		if compacted {
			return nil, 0, errs.New(errs.Compacted, "", "too old")
		}
		if err != nil || len(newer) > 0 || !time.Now().Before(end) {
			return newer, last, err
		}
		if !clock.Sleep(ctx, 5*time.Millisecond) {
			return nil, 0, ctx.Err()
		}
	}
}

// fakePeers serves follow streams from other replicas, by control address.
type fakePeers map[string]*Replica

func (p fakePeers) Follow(ctx context.Context, address, _ string, since uint64, apply func(Batch)) error {
	feed, err := p[address].Subscribe(since)
	if err != nil {
		return err
	}
	defer feed.Close()
	for _, b := range feed.Backlog() {
		apply(b)
	}
	for {
		select {
		case b := <-feed.Batches():
			feed.Taken(b)
			apply(b)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Guards against a node that stays behind: during an outage of the platform, when it is behind a
// peer, and when its position was compacted.
func TestFollowerKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{changes: []store.Change{node("a1", "a", 1), node("b1", "b", 2)}}
		peer := New(quiet())
		r := New(quiet())
		f := NewFollower(FollowerOptions{Replica: r, Store: fake, Peers: fakePeers{"b1:1": peer}, Self: "a1", Log: quiet()})
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go f.Run(ctx)
		time.Sleep(time.Second)
		require.Equal(t, uint64(2), r.Revision())

		fake.set(func() { fake.down = true })
		peer.Replace([]store.Object{node("a1", "a", 1).Object, node("b1", "b", 3).Object}, 3)
		f.HeardRevision("b1", 3)
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(3), r.Revision(), "follows a peer while the platform is down")
		time.Sleep(time.Minute)
		peer.Apply(Batch{Changes: []store.Change{node("b1", "b", 4)}, Revision: 4})
		time.Sleep(time.Second)
		require.Equal(t, uint64(4), r.Revision(), "stays at the peer after it has caught up")

		fake.set(func() {
			fake.down = false
			fake.oldest = 5
			fake.changes = append(fake.changes, node("b1", "b", 4), removal("b1", 5), node("a2", "a", 6))
		})
		time.Sleep(time.Minute)
		require.Equal(t, uint64(6), r.Revision(), "returns to the platform and lists again")
		require.NotContains(t, r.View().Nodes, "b1")
	})
}

// Guards against a node that trusts a source that is stuck, though it hears of newer revisions.
func TestFollowerLeavesStuckSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{changes: []store.Change{node("a1", "a", 1), node("b1", "b", 2)}}
		peer := New(quiet())
		peer.Replace([]store.Object{node("a1", "a", 1).Object, node("b1", "b", 2).Object, node("b2", "b", 7).Object}, 7)
		r := New(quiet())
		f := NewFollower(FollowerOptions{Replica: r, Store: fake, Peers: fakePeers{"b1:1": peer}, Self: "a1", Log: quiet()})
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go f.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		f.HeardRevision("b1", 7)
		time.Sleep(behindLimit - 200*time.Millisecond)
		require.Equal(t, uint64(2), r.Revision())
		time.Sleep(time.Second)
		require.Equal(t, uint64(7), r.Revision())
	})
}

// Guards against a herd: a node without platform and peers must back off.
func TestFollowerBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{changes: []store.Change{node("a1", "a", 1)}, down: true}
		f := NewFollower(FollowerOptions{Replica: New(quiet()), Store: fake, Self: "a1", Log: quiet()})
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go f.Run(ctx)
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		fake.mu.Lock()
		defer fake.mu.Unlock()
		require.Less(t, fake.calls, 150, "mean delay is 5 s once the back-off has grown")
	})
}
