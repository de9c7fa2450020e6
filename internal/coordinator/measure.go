package coordinator

import (
	"maps"
	"slices"

	"github.com/citronvane/citronvane/internal/cluster"
)

// ServiceCapacity describes whether a service has enough capacity without an availability zone.
type ServiceCapacity struct {
	Service string
	// Slots is the number of slots of all targets. Remaining is the number of those in other zones that
	// are in service.
	Slots, Remaining int
	// Needed is Slots without the largest zone: a service is sized to tolerate the loss of any one zone.
	Needed int
	// Carried is set if the remaining slots are sufficient.
	Carried bool
}

// ZoneCapacity returns the capacity of each service that has targets, if the given zone is taken out of service.
func ZoneCapacity(view *cluster.View, zone string) []ServiceCapacity {
	byService := map[string]map[string]int{}
	for _, n := range view.Nodes {
		if !n.Serves(n.Target.Service) || n.Target.Service == "" {
			continue
		}
		if byService[n.Target.Service] == nil {
			byService[n.Target.Service] = map[string]int{}
		}
		byService[n.Target.Service][n.Location.AvailabilityZone] += n.Target.Slots
	}
	var capacities []ServiceCapacity
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		c := ServiceCapacity{Service: service}
		largest := 0
		for name, slots := range byService[service] {
			c.Slots += slots
			largest = max(largest, slots)
			if name != zone && !zoneOut(view, name) {
				c.Remaining += slots
			}
		}
		c.Needed = c.Slots - largest
		c.Carried = c.Remaining > 0 && c.Remaining >= c.Needed
		capacities = append(capacities, c)
	}
	return capacities
}

// Imbalance returns the highest number of slices of a service that one node owns, divided by the mean over
// all nodes that may own slices. It returns 0 if the service has no such node or no slices.
func Imbalance(view *cluster.View, service string) float64 {
	owned := map[cluster.NodeID]int{}
	for _, n := range view.Nodes {
		if n.Serves(service) && !zoneOut(view, n.Location.AvailabilityZone) {
			owned[n.ID] = 0
		}
	}
	total, highest := 0, 0
	candidates := len(owned)
	for id, g := range view.Groups {
		if id.Service != service {
			continue
		}
		for _, s := range g.Slices {
			owned[s.Owner]++
			highest = max(highest, owned[s.Owner])
		}
		total += len(g.Slices)
	}
	if candidates == 0 || total == 0 {
		return 0
	}
	return float64(highest) * float64(candidates) / float64(total)
}

// MovedSlices returns the number of slices whose owner differs between the views. New slices do not count.
func MovedSlices(earlier, later *cluster.View) int {
	moved := 0
	for id, before := range earlier.Groups {
		after := later.Groups[id]
		if after == nil || after == before {
			continue
		}
		for i := range min(len(before.Slices), len(after.Slices)) {
			if before.Slices[i].Owner != after.Slices[i].Owner {
				moved++
			}
		}
	}
	return moved
}
