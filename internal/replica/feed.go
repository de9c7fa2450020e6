package replica

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

const (
	// MaxBatchBytes bounds the values in one batch, so that a message stays below the bound of 4 MiB
	// even if its last object has the largest size.
	MaxBatchBytes = 1 << 20
	// feedBatches and feedBytes bound what waits for one follower. The largest burst, the loss of an
	// availability zone, rewrites all 64 slice groups of the design scale: 64 batches and about 2 MB.
	feedBatches = 256
	feedBytes   = 8 << 20
	// maxTombstones bounds the deletions that are remembered. At 72 replaced hosts a day it covers 56
	// days; a follower that was away for longer reads the whole list.
	maxTombstones = 4096
)

// Feed is what a follower receives: first what it lacks, then each batch as it is applied.
type Feed struct {
	replica *Replica
	batches chan Batch
	pending atomic.Int64
	// backlog is what the follower lacked when it subscribed.
	backlog []Batch
	cut     chan struct{}
}

// Subscribe starts a feed of all changes after the revision. Since 0 gives the complete list: all
// batches up to the first one with a revision. It returns an error of kind Compacted if deletions
// after the revision have been forgotten. The feed has to be closed.
func (r *Replica) Subscribe(since uint64) (*Feed, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since != 0 && since < r.floor {
		return nil, errs.New(errs.Compacted, "Follow from revision 0.", "revision %d is older than %d", since, r.floor)
	}
	f := &Feed{
		replica: r,
		batches: make(chan Batch, feedBatches),
		cut:     make(chan struct{}),
		backlog: r.newerThan(since),
	}
	r.feeds[f] = struct{}{}
	return f, nil
}

// newerThan returns all objects after the revision, split by size. Only the last batch has a revision.
func (r *Replica) newerThan(since uint64) []Batch {
	var newer []store.Change
	for _, c := range r.objects {
		if c.Version > since {
			newer = append(newer, c)
		}
	}
	slices.SortFunc(newer, func(a, b store.Change) int { return cmp.Compare(a.Version, b.Version) })
	batches := Split(newer)
	if len(batches) == 0 {
		batches = []Batch{{}}
	}
	batches[len(batches)-1].Revision = r.Revision()
	return batches
}

// Split divides changes into batches of about MaxBatchBytes.
func Split(changes []store.Change) []Batch {
	var batches []Batch
	size := 0
	for i, c := range changes {
		if i == 0 || size+changeBytes(c) > MaxBatchBytes {
			batches = append(batches, Batch{})
			size = 0
		}
		last := &batches[len(batches)-1]
		last.Changes = append(last.Changes, c)
		size += changeBytes(c)
	}
	return batches
}

// changeBytes is the size of a change in memory and, nearly, in a message.
func changeBytes(c store.Change) int { return len(c.Value) + len(c.Kind) + len(c.Name) + 32 }

func batchBytes(b Batch) int64 {
	total := 0
	for _, c := range b.Changes {
		total += changeBytes(c)
	}
	return int64(total)
}

// Backlog returns what the follower lacked when it subscribed, and releases it.
func (f *Feed) Backlog() []Batch {
	backlog := f.backlog
	f.backlog = nil
	return backlog
}

// Batches returns the channel of later batches.
func (f *Feed) Batches() <-chan Batch { return f.batches }

// Taken tells the feed that the follower has received the batch.
func (f *Feed) Taken(b Batch) { f.pending.Add(-batchBytes(b)) }

// Cut returns a channel that is closed when the follower is too slow. The feed gets nothing more
// then, and the follower has to resume by its revision.
func (f *Feed) Cut() <-chan struct{} { return f.cut }

// Close ends the feed.
func (f *Feed) Close() {
	f.replica.mu.Lock()
	defer f.replica.mu.Unlock()
	delete(f.replica.feeds, f)
}

func (r *Replica) broadcast(b Batch) {
	parts := Split(b.Changes)
	if len(parts) == 0 {
		parts = []Batch{{}}
	}
	parts[len(parts)-1].Revision = b.Revision
	for f := range r.feeds {
		r.offer(f, parts)
	}
}

// offer hands the batches to a follower, or cuts it off if too much waits for it already.
func (r *Replica) offer(f *Feed, parts []Batch) {
	for _, part := range parts {
		size := batchBytes(part)
		if len(f.batches) == cap(f.batches) || f.pending.Load()+size > feedBytes {
			close(f.cut)
			delete(r.feeds, f)
			return
		}
		f.pending.Add(size)
		f.batches <- part
	}
}

// forgetDeletions drops the oldest quarter of the remembered deletions when there are too many.
// Only deletions up to the revision may go, because all objects up to it are known.
func (r *Replica) forgetDeletions(revision uint64) {
	if r.tombstones <= maxTombstones {
		return
	}
	var versions []uint64
	for _, c := range r.objects {
		if c.Deleted && c.Version <= revision {
			versions = append(versions, c.Version)
		}
	}
	if len(versions) <= maxTombstones/4 {
		return
	}
	slices.Sort(versions)
	r.floor = max(r.floor, versions[maxTombstones/4])
	for key, c := range r.objects {
		if c.Deleted && c.Version <= r.floor {
			delete(r.objects, key)
			r.tombstones--
		}
	}
}
