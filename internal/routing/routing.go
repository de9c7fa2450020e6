// Package routing holds the immutable snapshot that the control goroutine
// publishes and that traffic reads without locks.
package routing

import (
	"sync"
	"sync/atomic"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// Snapshot is what traffic needs to know. It is never changed after it was published.
type Snapshot struct {
	View *cluster.View
	// Self is the registered incarnation of this node, zero before it registered.
	Self cluster.NodeID
	// Owned holds the slices that this node owns by its view, with what the gate needs to know.
	Owned map[cluster.SliceID]OwnedSlice
	// Draining says that this node takes no new requests for its own target.
	Draining bool
	// ZoneOutAt is when the gate starts to refuse work because the availability zone is out, 0 if it is in.
	ZoneOutAt clock.Instant
	// Target is the announced target of this host; its Address is empty before one announced itself.
	Target cluster.TargetInfo
}

// OwnedSlice is a slice that this node owns.
type OwnedSlice struct {
	Epoch uint64
	// RecordEpoch is the first epoch whose identity records this node holds without loss.
	RecordEpoch uint64
	// ReadyAt is when the node may serve the slice; it lies later than the takeover for targets that are not fenced.
	ReadyAt clock.Instant
	// TakenOverAt is when the last unplanned takeover lost the records of the slice, 0 if there was none.
	TakenOverAt clock.Instant
	// Moving says that the slice is being handed over and takes no new requests.
	Moving bool
}

// Table publishes snapshots.
type Table struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
}

// NewTable returns a table with an empty snapshot.
func NewTable() *Table {
	t := &Table{changed: make(chan struct{})}
	t.Publish(&Snapshot{View: cluster.EmptyView()})
	return t
}

// Publish replaces the snapshot.
func (t *Table) Publish(s *Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.Store(s)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next snapshot is published. Get the channel
// before loading the snapshot, so that no change is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Load returns the current snapshot. It is never nil.
func (t *Table) Load() *Snapshot { return t.current.Load() }

// Lease is the end of the node's lease, written by the control goroutine and read before each request.
type Lease struct {
	end atomic.Int64
}

// Set records the instant at which the lease runs out.
func (l *Lease) Set(end clock.Instant) { l.end.Store(int64(end)) }

// Valid reports whether the lease holds at the instant.
func (l *Lease) Valid(now clock.Instant) bool { return int64(now) < l.end.Load() }

// End returns the instant at which the lease runs out.
func (l *Lease) End() clock.Instant { return clock.Instant(l.end.Load()) }
