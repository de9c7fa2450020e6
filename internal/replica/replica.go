// Package replica keeps a node's copy of all stored objects. It follows the
// platform or a peer, and never goes back to an older version of an object.
package replica

import (
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/store"
)

// Batch is a set of changes. Revision is the revision up to which the receiver knows everything once it has applied
// the batch, or 0 if the batch alone does not extend that.
type Batch struct {
	Changes  []store.Change
	Revision uint64
}

type objectKey struct{ kind, name string }

// Replica is the copy. Its methods may be called from any goroutine.
type Replica struct {
	log  *log.Logger
	view atomic.Pointer[cluster.View]

	mu      sync.Mutex
	objects map[objectKey]store.Change
	// floor is the version up to which deletions may have been forgotten.
	floor      uint64
	tombstones int
	feeds      map[*Feed]struct{}

	// changedMu is apart from mu, so that subscribers do not wait while a batch is decoded, which takes
	// 10 ms for the loss of one host at the design scale.
	changedMu sync.Mutex
	changed   chan struct{}
}

// New returns an empty replica.
func New(logger *log.Logger) *Replica {
	r := &Replica{
		log:     logger,
		objects: map[objectKey]store.Change{},
		changed: make(chan struct{}),
		feeds:   map[*Feed]struct{}{},
	}
	r.view.Store(cluster.EmptyView())
	return r
}

// View returns the newest view. It is never nil and never changes.
func (r *Replica) View() *cluster.View { return r.view.Load() }

// Revision returns the revision up to which the replica knows all changes.
func (r *Replica) Revision() uint64 { return r.View().Revision }

// Changed returns a channel that is closed when the next view is published. Get the channel before
// the view, so that no view is missed.
func (r *Replica) Changed() <-chan struct{} {
	r.changedMu.Lock()
	defer r.changedMu.Unlock()
	return r.changed
}

// Apply adds a batch that continues what the replica knows.
func (r *Replica) Apply(b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(r.absorb(b.Changes), b.Revision)
}

// Feed adds changes that arrive out of sequence: the node's own successful writes and notifications.
// They do not raise the revision, because changes before them may still be missing.
func (r *Replica) Feed(changes ...store.Change) { r.Apply(Batch{Changes: changes}) }

// Replace adds a complete list of the objects as of the revision. Objects that the list lacks were
// deleted, unless the replica holds a version newer than the list: such a deletion is not absorbed.
func (r *Replica) Replace(objects []store.Object, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[objectKey]bool, len(objects))
	changes := make([]store.Change, 0, len(objects))
	for _, o := range objects {
		listed[objectKey{o.Kind, o.Name}] = true
		changes = append(changes, store.Change{Object: o})
	}
	for key, held := range r.objects {
		if listed[key] || held.Deleted {
			continue
		}
		changes = append(changes, deletion(key, revision))
	}
	r.publish(r.absorb(changes), revision)
}

func deletion(key objectKey, version uint64) store.Change {
	return store.Change{
		Object:  store.Object{Kind: key.kind, Name: key.name, Version: version},
		Deleted: true,
	}
}

// absorb stores the changes that are newer than what is held, and returns them.
func (r *Replica) absorb(changes []store.Change) []store.Change {
	var fresh []store.Change
	for _, c := range changes {
		key := objectKey{c.Kind, c.Name}
		held, known := r.objects[key]
		if known && c.Version <= held.Version {
			continue
		}
		// All objects up to the floor are known, so an unknown one was deleted and forgotten.
		if !known && c.Version <= r.floor {
			continue
		}
		if c.Deleted {
			c.Value = nil
		}
		r.objects[key] = c
		r.tombstones += count(c.Deleted) - count(known && held.Deleted)
		fresh = append(fresh, c)
	}
	return fresh
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// publish makes the changes visible to the subscribers and the followers.
func (r *Replica) publish(fresh []store.Change, revision uint64) {
	held := r.view.Load()
	if len(fresh) == 0 && revision <= held.Revision {
		return
	}
	next, err := held.Apply(fresh, revision)
	if err != nil {
		event.ReplicaObjectInvalid.On(r.log).Err(err).Send()
	}
	r.view.Store(next)
	r.forgetDeletions(next.Revision)
	r.broadcast(Batch{Changes: fresh, Revision: next.Revision})
	r.signal()
}

func (r *Replica) signal() {
	r.changedMu.Lock()
	defer r.changedMu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}
