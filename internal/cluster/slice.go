package cluster

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// GroupSize is the number of slices in one group object. It keeps the object of a full group
// near 10 KB, and 16,384 slices in 64 objects.
const GroupSize = 256

// SliceID names a slice of a keyed service.
type SliceID struct {
	Service string
	Index   int
}

// String returns service/index.
func (s SliceID) String() string { return s.Service + "/" + strconv.Itoa(s.Index) }

// Group returns the group that the slice belongs to.
func (s SliceID) Group() GroupID { return GroupID{Service: s.Service, Index: s.Index / GroupSize} }

// SliceOf returns the slice that owns the key in a service with the given number of slices.
func SliceOf(service, key string, slices int) SliceID {
	return SliceID{Service: service, Index: int(xxhash.Sum64String(key) % uint64(slices))}
}

// GroupID names a group of slices.
type GroupID struct {
	Service string
	Index   int
}

// ObjectName returns the name of the group's object.
func (g GroupID) ObjectName() string { return fmt.Sprintf("%s/%d", g.Service, g.Index) }

// Slice returns the slice at an offset in the group.
func (g GroupID) Slice(offset int) SliceID {
	return SliceID{Service: g.Service, Index: g.Index*GroupSize + offset}
}

// ParseGroupID is the inverse of ObjectName.
func ParseGroupID(name string) (GroupID, bool) {
	service, index, ok := strings.Cut(name, "/")
	if !ok || service == "" {
		return GroupID{}, false
	}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 {
		return GroupID{}, false
	}
	return GroupID{Service: service, Index: i}, true
}

// Slice is the assignment of one slice.
type Slice struct {
	// Epoch grows by one with each change of owner.
	Epoch uint64 `json:"e"`
	// Owner is zero while the slice has no owner.
	Owner NodeID `json:"o"`
	// Next is the node to which the owner has to hand the slice over, or zero.
	Next NodeID `json:"n,omitzero"`
	// RecordEpoch is the first epoch since which identity records have been handed on without loss.
	RecordEpoch uint64 `json:"r"`
	// WaitMS is how long the owner waits, after it learns of a takeover, before it serves the slice.
	WaitMS int64 `json:"w,omitempty"`
}

// Group is the assignment of a group of slices: the value of an object of KindSlices.
type Group struct {
	Slices []Slice `json:"slices"`

	// ID and Version are taken from the object that held the group. They are not part of the value.
	ID      GroupID `json:"-"`
	Version uint64  `json:"-"`
}

// Clone returns a copy that shares no memory with g.
func (g *Group) Clone() *Group {
	c := *g
	c.Slices = append([]Slice(nil), g.Slices...)
	return &c
}
