// Package plan holds the types that the control goroutine and the coordinator
// share.
package plan

import (
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// Planner decides which objects have to change. It is pure: control calls it on every change of the
// view and at regular times, executes the writes, and calls it again with the view that includes them.
type Planner interface {
	Plan(view *cluster.View, self cluster.NodeID, now clock.Instant) []Write
}

// Write is a write that is conditional on the version of the object.
type Write struct {
	Kind, Name string
	// Value is the new value; a nil value deletes the object.
	Value []byte
	// Expect is the version that the object must have; 0 means that it must not exist.
	Expect uint64
}

// Gone reports whether the view proves that an incarnation never serves again. A missing record or one
// of a lower incarnation proves nothing: objects reach a view in any order, and a slice group may be
// there before the record of its new owner. Taking slices from such an owner makes two owners.
func Gone(view *cluster.View, id cluster.NodeID) bool {
	n := view.Nodes[id.Name]
	return n != nil && (n.ID.Incarnation > id.Incarnation || n.ID == id && n.Gone())
}
