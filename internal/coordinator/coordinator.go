// Package coordinator plans the assignment of slices.
package coordinator

import (
	"encoding/json"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/control/plan"
)

// Coordinator assigns slices of gone owners. This first version neither moves nor balances.
type Coordinator struct{}

// New returns a coordinator.
func New() *Coordinator { return &Coordinator{} }

// Plan returns the writes for slices without a live owner if self has the lowest live name.
func (c *Coordinator) Plan(view *cluster.View, self cluster.NodeID, _ clock.Instant) []plan.Write {
	names := view.LiveNames()
	if len(names) == 0 || names[0] != self.Name {
		return nil
	}
	var writes []plan.Write
	for name, service := range view.Configuration.Document.Services {
		if service.Kind == config.Keyed {
			writes = append(writes, planService(view, name, service)...)
		}
	}
	return writes
}

func planService(view *cluster.View, name string, service config.Service) []plan.Write {
	var owners []*cluster.Node
	for _, n := range view.SortedNodes() {
		if n.Serves(name) {
			owners = append(owners, n)
		}
	}
	if len(owners) == 0 {
		return nil
	}
	var writes []plan.Write
	for index := 0; index*cluster.GroupSize < service.Slices; index++ {
		id := cluster.GroupID{Service: name, Index: index}
		held := view.Groups[id]
		group := &cluster.Group{Slices: make([]cluster.Slice, min(cluster.GroupSize, service.Slices-index*cluster.GroupSize))}
		var version uint64
		if held != nil {
			group, version = held.Clone(), held.Version
		}
		changed := false
		for i := range group.Slices {
			slice := &group.Slices[i]
			if !slice.Owner.IsZero() && !plan.Gone(view, slice.Owner) {
				continue
			}
			*slice = cluster.Slice{Epoch: slice.Epoch + 1, Owner: owners[i%len(owners)].ID, RecordEpoch: slice.Epoch + 1, WaitMS: wait(view, slice.Owner, service)}
			changed = true
		}
		if value, err := json.Marshal(group); changed && err == nil {
			writes = append(writes, plan.Write{Kind: cluster.KindSlices, Name: id.ObjectName(), Value: value, Expect: version})
		}
	}
	return writes
}

func wait(view *cluster.View, old cluster.NodeID, service config.Service) int64 {
	n := view.Node(old)
	if old.IsZero() || n != nil && n.Target.Fenced {
		return 0
	}
	return int64(service.MaxRequest.Std() / time.Millisecond)
}

// Capacity compares the slots of a service with and without an availability zone.
type Capacity struct {
	Service   string
	Needed    int
	Remaining int
	Enough    bool
}

// ZoneCapacity reports nothing in this first version.
func ZoneCapacity(*cluster.View, string) []Capacity { return nil }
