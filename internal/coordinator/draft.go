package coordinator

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/control/plan"
)

// defaultInboundLimit is the maximum number of concurrent moves towards one destination if the service
// does not configure a cold start concurrency.
const defaultInboundLimit = 4

// draft is the planned assignment of one service.
type draft struct {
	view    *cluster.View
	service string
	spec    config.Service
	weight  func(cluster.SliceID) float64

	// destinations are the nodes that may receive slices, sorted by name.
	destinations []*destination
	byID         map[cluster.NodeID]*destination
	conditions   map[cluster.NodeID]ownerCondition
	groups       []*group
	// meanLoad is the total load divided by the number of destinations; heaviestSlice is the largest weight of a slice.
	meanLoad, heaviestSlice float64
}

// destination is a node that may receive slices.
type destination struct {
	id   cluster.NodeID
	hash uint64
	// load is the weight of the slices that the node owns after all planned moves.
	load float64
	// inbound is the number of unfinished moves towards the node.
	inbound int
}

// group is the planned state of one slice group, the unit in which slices are stored.
type group struct {
	id      cluster.GroupID
	version uint64
	slices  []cluster.Slice
	// stored is the stored assignment. It is read-only, and nil for a new group.
	stored  *cluster.Group
	changed bool
	// urgent marks a group with takeovers, which is written first.
	urgent bool
}

// sliceRef refers to one slice of a draft.
type sliceRef struct {
	group  *group
	offset int
	id     cluster.SliceID
}

func (e sliceRef) get() cluster.Slice { return e.group.slices[e.offset] }

// set replaces the slice. The first change copies the stored slices of the group.
func (e sliceRef) set(s cluster.Slice) {
	g := e.group
	if !g.changed && g.stored != nil {
		g.slices = slices.Clone(g.slices)
	}
	g.changed = true
	g.slices[e.offset] = s
}

func newDraft(view *cluster.View, service string, weight func(cluster.SliceID) float64) *draft {
	d := &draft{
		view:       view,
		service:    service,
		spec:       view.Configuration.Document.Services[service],
		weight:     weight,
		byID:       map[cluster.NodeID]*destination{},
		conditions: map[cluster.NodeID]ownerCondition{},
	}
	if d.weight == nil {
		d.weight = func(cluster.SliceID) float64 { return 1 }
	}
	d.addDestinations()
	d.addGroups()
	d.addLoads()
	return d
}

func (d *draft) addDestinations() {
	for _, n := range d.view.Nodes {
		if !n.Serves(d.service) || zoneOut(d.view, n.Location.AvailabilityZone) {
			continue
		}
		to := &destination{id: n.ID, hash: xxhash.Sum64String(n.ID.Name)}
		d.destinations = append(d.destinations, to)
		d.byID[n.ID] = to
	}
	slices.SortFunc(d.destinations, func(a, b *destination) int { return cmp.Compare(a.id.Name, b.id.Name) })
}

func (d *draft) addGroups() {
	for i := 0; i*cluster.GroupSize < d.spec.Slices; i++ {
		id := cluster.GroupID{Service: d.service, Index: i}
		g := &group{id: id, stored: d.view.Groups[id]}
		if g.stored != nil {
			g.version = g.stored.Version
			g.slices = g.stored.Slices
		}
		d.groups = append(d.groups, g)
	}
}

func (d *draft) addLoads() {
	total := 0.0
	for i := range d.spec.Slices {
		w := d.weight(cluster.SliceID{Service: d.service, Index: i})
		total += w
		d.heaviestSlice = max(d.heaviestSlice, w)
	}
	d.meanLoad = total / float64(max(1, len(d.destinations)))
	d.eachSlice(func(e sliceRef) {
		s := e.get()
		if next := d.byID[s.Next]; next != nil {
			next.load += d.weight(e.id)
			next.inbound++
			return
		}
		if owner := d.byID[s.Owner]; owner != nil {
			owner.load += d.weight(e.id)
		}
	})
}

// eachSlice calls f for each slice in order.
func (d *draft) eachSlice(f func(sliceRef)) {
	for _, g := range d.groups {
		for i := range g.slices {
			f(sliceRef{group: g, offset: i, id: g.id.Slice(i)})
		}
	}
}

// pickDestination returns the usable destination with the highest rendezvous hashing weight for the slice
// among those below the mean load, or nil. While a slice is unassigned, some destination is below the mean,
// and the limit keeps each load less than one slice above the mean.
func (d *draft) pickDestination(id cluster.SliceID, usable func(*destination) bool) *destination {
	var best *destination
	var bestScore uint64
	sliceHash := xxhash.Sum64String(id.String())
	for _, to := range d.destinations {
		if to.load >= d.meanLoad || !usable(to) {
			continue
		}
		if score := rendezvousWeight(to.hash, sliceHash); best == nil || score > bestScore {
			best, bestScore = to, score
		}
	}
	return best
}

// rendezvousWeight returns the rendezvous hashing weight of a node for a slice.
func rendezvousWeight(node, slice uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], node)
	binary.LittleEndian.PutUint64(b[8:], slice)
	return xxhash.Sum64(b[:])
}

// pickAnyDestination is pickDestination without a limit on inbound moves. It returns the least loaded
// node if rounding errors leave no destination below the mean.
func (d *draft) pickAnyDestination(id cluster.SliceID) *destination {
	if to := d.pickDestination(id, func(*destination) bool { return true }); to != nil {
		return to
	}
	return slices.MinFunc(d.destinations, func(a, b *destination) int { return cmp.Compare(a.load, b.load) })
}

// pickBelowInboundLimit is pickDestination among the destinations that may receive another slice, whose
// keys are cold at first. It may return nil.
func (d *draft) pickBelowInboundLimit(id cluster.SliceID) *destination {
	return d.pickDestination(id, func(to *destination) bool { return to.inbound < d.inboundLimit() })
}

// inboundLimit returns the maximum number of concurrent moves towards one destination.
func (d *draft) inboundLimit() int {
	if d.spec.ColdStart.Concurrency > 0 {
		return d.spec.ColdStart.Concurrency
	}
	return defaultInboundLimit
}

// move sets the next owner of a slice.
func (d *draft) move(e sliceRef, to *destination) {
	s := e.get()
	w := d.weight(e.id)
	if from := d.byID[s.Owner]; from != nil {
		from.load -= w
	}
	to.load += w
	to.inbound++
	s.Next = to.id
	e.set(s)
}

// cancel clears the next owner of a slice.
func (d *draft) cancel(e sliceRef) {
	s := e.get()
	w := d.weight(e.id)
	if next := d.byID[s.Next]; next != nil {
		next.load -= w
		next.inbound--
		if owner := d.byID[s.Owner]; owner != nil {
			owner.load += w
		}
	}
	s.Next = cluster.NodeID{}
	e.set(s)
}

// writes returns one write for each changed group, groups with takeovers first.
func (d *draft) writes() []plan.Write {
	var urgent, rest []plan.Write
	for _, g := range d.groups {
		if !g.changed {
			continue
		}
		value, err := json.Marshal(cluster.Group{Slices: g.slices})
		if err != nil {
			panic("coordinator: encoding a slice group: " + err.Error())
		}
		w := plan.Write{Kind: cluster.KindSlices, Name: g.id.ObjectName(), Value: value, Expect: g.version}
		if g.urgent {
			urgent = append(urgent, w)
			continue
		}
		rest = append(rest, w)
	}
	return append(urgent, rest...)
}
