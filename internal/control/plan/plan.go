// Package plan defines what a planner proposes to the control goroutine.
package plan

import (
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// Planner proposes writes from a view of the stored objects. It performs no I/O.
type Planner interface {
	Plan(view *cluster.View, self cluster.NodeID, now clock.Instant) []Write
}

// Write is a conditional write of one object. Expect is the version that the object must have; 0 means that it must
// not exist.
type Write struct {
	Kind, Name string
	Value      []byte
	Expect     uint64
}
