// Package routing holds the immutable snapshot of routing state that the
// control goroutine publishes and that request handling reads without locks.
package routing

import (
	"sync"
	"sync/atomic"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// Snapshot is the state that request handling needs. It is immutable once published.
type Snapshot struct {
	View *cluster.View
	// Self is the registered incarnation of this node, zero before the registration.
	Self cluster.NodeID
	// Owned holds the slices that this node owns according to its view.
	Owned map[cluster.SliceID]OwnedSlice
	// Draining is set if this node accepts no new requests for its own target.
	Draining bool
	// ZoneOutAt is the time from which the gate refuses requests because the availability zone is out of service.
	// It is 0 if the zone is in service.
	ZoneOutAt clock.Instant
	// Target is the target announced on this host. Its Address is empty before the first announcement.
	Target cluster.TargetInfo
}

// OwnedSlice is a slice that this node owns.
type OwnedSlice struct {
	Epoch uint64
	// RecordEpoch is the first epoch from which this node holds all identity records of the slice.
	RecordEpoch uint64
	// ReadyAt is the time from which the node may serve the slice. It is later than the takeover if the previous
	// target is not fenced and may still run requests.
	ReadyAt clock.Instant
	// TakenOverAt is the time of the last unplanned takeover, which lost the identity records of the slice. It is 0
	// if there was none.
	TakenOverAt clock.Instant
	// Moving is set while the slice is being handed over and accepts no new requests.
	Moving bool
}

// Table holds the current snapshot and notifies readers of changes.
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

// Publish replaces the current snapshot.
func (t *Table) Publish(s *Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.Store(s)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next snapshot is published. Call Changed before Load,
// so that no change is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Load returns the current snapshot. It is never nil.
func (t *Table) Load() *Snapshot { return t.current.Load() }

// Lease holds the end of the node's lease. The control goroutine writes it, and request handling reads it before
// each request.
type Lease struct {
	end atomic.Int64
}

// Set sets the time at which the lease expires.
func (l *Lease) Set(end clock.Instant) { l.end.Store(int64(end)) }

// Valid reports whether the lease is valid at the given time.
func (l *Lease) Valid(now clock.Instant) bool { return int64(now) < l.end.Load() }

// End returns the time at which the lease expires.
func (l *Lease) End() clock.Instant { return clock.Instant(l.end.Load()) }
