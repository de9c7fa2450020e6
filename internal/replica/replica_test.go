package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

func quiet() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

func node(name, zone string, version uint64) store.Change {
	value, err := json.Marshal(cluster.Node{
		ID:        cluster.NodeID{Name: name, Incarnation: version},
		State:     cluster.Live,
		Location:  cluster.Location{AvailabilityZone: zone},
		Addresses: cluster.Addresses{Control: name + ":1"},
	})
	if err != nil {
		panic(err)
	}
	return store.Change{Object: store.Object{Kind: cluster.KindNode, Name: name, Version: version, Value: value}}
}

func removal(name string, version uint64) store.Change {
	return deletion(objectKey{cluster.KindNode, name}, version)
}

// Guards against a late, older change that brings a deleted node back.
func TestDeletedObjectStaysDeleted(t *testing.T) {
	r := New(quiet())
	r.Apply(Batch{Changes: []store.Change{node("a", "z", 1), removal("a", 3)}, Revision: 3})
	r.Feed(node("a", "z", 2))
	require.Empty(t, r.View().Nodes)
	r.Feed(node("a", "z", 4))
	require.Equal(t, uint64(4), r.View().Nodes["a"].Version)
}

// Guards against a gap: a notification must not make the replica skip the changes before it.
func TestFeedDoesNotRaiseTheRevision(t *testing.T) {
	r := New(quiet())
	r.Apply(Batch{Changes: []store.Change{node("a", "z", 1)}, Revision: 1})
	r.Feed(node("c", "z", 5))
	require.Equal(t, uint64(1), r.Revision())
	require.Contains(t, r.View().Nodes, "c")
}

// Guards against a relist that drops what the node wrote after the list was taken, or keeps what was deleted.
func TestReplaceKeepsNewerObjects(t *testing.T) {
	r := New(quiet())
	r.Apply(Batch{Changes: []store.Change{node("old", "z", 1)}, Revision: 1})
	r.Feed(node("own", "z", 9))
	r.Replace([]store.Object{node("b", "z", 4).Object}, 5)
	require.NotContains(t, r.View().Nodes, "old")
	require.Contains(t, r.View().Nodes, "own")
	require.Contains(t, r.View().Nodes, "b")
	r.Feed(node("old", "z", 2))
	require.NotContains(t, r.View().Nodes, "old")
}

// Guards against one slow follower that fills the memory of the node or holds up the others.
func TestSlowFollowerIsCutOff(t *testing.T) {
	r := New(quiet())
	slow, err := r.Subscribe(0)
	require.NoError(t, err)
	for i := range feedBatches + 1 {
		r.Apply(Batch{Changes: []store.Change{node("a", "z", uint64(i+1))}, Revision: uint64(i + 1)})
	}
	require.Len(t, slow.Batches(), feedBatches)
	<-slow.Cut()
	require.Empty(t, r.feeds)
}

// Guards against tombstones that grow without bound, and against a follower that resumes from
// before a forgotten deletion and keeps the object for ever.
func TestForgottenDeletionsForceAList(t *testing.T) {
	r := New(quiet())
	version := uint64(0)
	for i := range maxTombstones + 1 {
		name := fmt.Sprint("n", i)
		r.Apply(Batch{Changes: []store.Change{node(name, "z", version+1), removal(name, version+2)}, Revision: version + 2})
		version += 2
	}
	require.LessOrEqual(t, len(r.objects), maxTombstones)
	_, err := r.Subscribe(1)
	require.True(t, errs.Is(err, errs.Compacted))
	r.Feed(node("n0", "z", 1))
	require.NotContains(t, r.View().Nodes, "n0")
}

// Guards against replicas that go back or diverge: whatever order, repetition and mix of sources the
// changes come in, a version never falls, and after a full list the replica equals the store.
func TestReplicaConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []store.Change
		newest := map[string]store.Change{}
		for v := range uint64(rapid.IntRange(1, 30).Draw(t, "writes")) {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			c := node(name, "z", v+1)
			if held, ok := newest[name]; ok && !held.Deleted && rapid.Bool().Draw(t, "delete") {
				c = removal(name, v+1)
			}
			newest[name] = c
			history = append(history, c)
		}
		r, follower := New(quiet()), New(quiet())
		feed, err := r.Subscribe(0)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 60).Draw(t, "deliveries") {
			before := r.View()
			r.Feed(rapid.SampledFrom(history).Draw(t, "delivered"))
			for name, n := range before.Nodes {
				if after := r.View().Nodes[name]; after != nil && after.Version < n.Version {
					t.Fatalf("%s went back from %d to %d", name, n.Version, after.Version)
				}
			}
		}
		var objects []store.Object
		for _, c := range newest {
			if !c.Deleted {
				objects = append(objects, c.Object)
			}
		}
		r.Replace(objects, uint64(len(history)))
		feed.Close()
		close(feed.batches)
		for _, b := range feed.Backlog() {
			follower.Apply(b)
		}
		for b := range feed.Batches() {
			follower.Apply(b)
		}
		for _, replica := range []*Replica{r, follower} {
			if len(replica.View().Nodes) != len(objects) || replica.Revision() != uint64(len(history)) {
				t.Fatalf("%d nodes at %d, want %d at %d", len(replica.View().Nodes), replica.Revision(), len(objects), len(history))
			}
			for _, o := range objects {
				if n := replica.View().Nodes[o.Name]; n == nil || n.Version != o.Version {
					t.Fatalf("%s is %v, want version %d", o.Name, n, o.Version)
				}
			}
		}
	})
}
