package control

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/control/plan"
)

// testPlanner assigns all slices of one group on the node with the lowest name.
type testPlanner struct{}

func (testPlanner) Plan(v *cluster.View, self cluster.NodeID, _ clock.Instant) []plan.Write {
	if names := v.LiveNames(); len(names) == 0 || names[0] != self.Name {
		return nil
	}
	var takers []cluster.NodeID
	for _, n := range v.SortedNodes() {
		if n.Serves("svc") {
			takers = append(takers, n.ID)
		}
	}
	id := cluster.GroupID{Service: "svc"}
	old := v.Groups[id]
	if old == nil {
		old = &cluster.Group{ID: id, Slices: make([]cluster.Slice, sliceCount)}
	}
	next := old.Clone()
	for i := range next.Slices {
		planSlice(v, &next.Slices[i], takers, i)
	}
	if len(takers) == 0 || slices.Equal(next.Slices, old.Slices) {
		return nil
	}
	value, _ := json.Marshal(next)
	return []plan.Write{{Kind: cluster.KindSlices, Name: id.ObjectName(), Value: value, Expect: old.Version}}
}

func planSlice(v *cluster.View, s *cluster.Slice, takers []cluster.NodeID, i int) {
	if len(takers) == 0 {
		return
	}
	taker := takers[i%len(takers)]
	preferred := slices.IndexFunc(takers, func(id cluster.NodeID) bool { return id.Name == fmt.Sprintf("n%d", i%5) })
	if preferred >= 0 {
		taker = takers[preferred]
	}
	owner := v.Node(s.Owner)
	switch {
	case s.Owner.IsZero() || plan.Gone(v, s.Owner):
		*s = cluster.Slice{Epoch: s.Epoch + 1, Owner: taker, RecordEpoch: s.Epoch + 1}
	case s.Owner == taker && owner != nil && owner.Serves("svc"):
		s.Next = cluster.NodeID{}
	case owner != nil && !slices.Contains(takers, s.Next):
		s.Next = taker
	}
}
