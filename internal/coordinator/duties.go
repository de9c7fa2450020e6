package coordinator

import (
	"cmp"
	"slices"

	"github.com/citronvane/citronvane/internal/cluster"
)

const (
	// imbalanceBound is the ratio of the highest load to the mean load above which slices move. With 27
	// slices per node, losing a tenth of the nodes and reassigning their slices stays within it.
	imbalanceBound = 1.1
	// maxBalanceMovesPerPlan limits the balance moves that one plan adds, so that the resulting writes by
	// the owners use only part of the several hundred writes per second that the platform sustains.
	maxBalanceMovesPerPlan = 64
)

// ownerCondition is the condition of a slice's owner according to the view.
type ownerCondition int

const (
	// ownerUnknown means that the view has no record of the owner, perhaps not yet. Its slices stay.
	ownerUnknown ownerCondition = iota
	// noOwner means that the slice has no owner.
	noOwner
	// ownerGone means that the owner will never serve again.
	ownerGone
	// ownerZoneOut, ownerTargetLost and ownerDraining mean that the owner must hand its slices over.
	ownerZoneOut
	ownerTargetLost
	ownerDraining
	// ownerHealthy means that the owner keeps its slices.
	ownerHealthy
)

func (d *draft) condition(owner cluster.NodeID) ownerCondition {
	cached, ok := d.conditions[owner]
	if !ok {
		cached = d.assess(owner)
		d.conditions[owner] = cached
	}
	return cached
}

func (d *draft) assess(owner cluster.NodeID) ownerCondition {
	if owner.IsZero() {
		return noOwner
	}
	n := d.view.Nodes[owner.Name]
	switch {
	case n == nil || n.ID.Incarnation < owner.Incarnation:
		return ownerUnknown
	case n.ID.Incarnation > owner.Incarnation || n.Gone():
		return ownerGone
	case n.Target.Service != d.service || n.Target.Down:
		return ownerTargetLost
	case zoneOut(d.view, n.Location.AvailabilityZone):
		return ownerZoneOut
	case n.State == cluster.Draining:
		return ownerDraining
	}
	return ownerHealthy
}

// createGroups creates the missing groups of a service, with slices that have no owner.
func (d *draft) createGroups() {
	for _, g := range d.groups {
		if g.stored != nil {
			continue
		}
		first := g.id.Index * cluster.GroupSize
		g.slices = make([]cluster.Slice, min(cluster.GroupSize, d.spec.Slices-first))
		g.changed = true
	}
}

// takeOver assigns a new owner to slices without an owner or with an owner that is gone.
func (d *draft) takeOver() {
	d.eachSlice(func(e sliceRef) {
		s := e.get()
		if c := d.condition(s.Owner); c != noOwner && c != ownerGone {
			return
		}
		to := d.byID[s.Next]
		if to == nil {
			to = d.pickAnyDestination(e.id)
			to.load += d.weight(e.id)
		} else {
			to.inbound--
		}
		epoch := s.Epoch + 1
		e.set(cluster.Slice{Epoch: epoch, Owner: to.id, RecordEpoch: epoch, WaitMS: d.waitMS(s)})
		e.group.urgent = true
	})
}

// waitMS returns for how many milliseconds requests of the previous owner may still run at its target.
func (d *draft) waitMS(s cluster.Slice) int64 {
	if s.Epoch == 0 {
		return 0
	}
	// The previous owner may itself still have been waiting for an earlier target that is not fenced.
	n := d.view.Node(s.Owner)
	if n != nil && n.Target.Service == d.service && n.Target.Fenced {
		return s.WaitMS
	}
	return max(s.WaitMS, d.spec.MaxRequest.Std().Milliseconds())
}

// repairNextOwners clears next owners that can't receive the slice or whose move is no longer needed.
func (d *draft) repairNextOwners() {
	d.eachSlice(func(e sliceRef) {
		s := e.get()
		if s.Next.IsZero() || d.condition(s.Owner) == ownerUnknown {
			return
		}
		if s.Next == s.Owner || d.byID[s.Next] == nil {
			d.cancel(e)
			return
		}
		if d.condition(s.Owner) == ownerHealthy && d.cancelImproves(e) {
			d.cancel(e)
		}
	})
}

// cancelImproves reports whether the balance is equal or better if the owner keeps the slice. This is never
// true for a planned balance move, which goes from a node above the mean load to one below.
func (d *draft) cancelImproves(e sliceRef) bool {
	s := e.get()
	w := d.weight(e.id)
	return d.byID[s.Next].load-w >= d.byID[s.Owner].load+w
}

// evacuate sets the next owner of slices whose owner can't keep them. Slices whose target is lost are not
// served, so they all move at once; the others move within the inbound limit of the destinations.
func (d *draft) evacuate() {
	leaving := map[ownerCondition][]sliceRef{}
	d.eachSlice(func(e sliceRef) {
		s := e.get()
		c := d.condition(s.Owner)
		if s.Next.IsZero() && (c == ownerZoneOut || c == ownerTargetLost || c == ownerDraining) {
			leaving[c] = append(leaving[c], e)
		}
	})
	for _, c := range []ownerCondition{ownerZoneOut, ownerTargetLost, ownerDraining} {
		slices.SortStableFunc(leaving[c], func(a, b sliceRef) int { return cmp.Compare(d.weight(b.id), d.weight(a.id)) })
		for _, e := range leaving[c] {
			to := d.evacuationDestination(e, c)
			if to == nil {
				break
			}
			d.move(e, to)
		}
	}
}

// evacuationDestination returns the destination for a slice whose owner has the condition c, or nil.
func (d *draft) evacuationDestination(e sliceRef, c ownerCondition) *destination {
	if c == ownerTargetLost {
		return d.pickAnyDestination(e.id)
	}
	return d.pickBelowInboundLimit(e.id)
}

// balance moves slices from nodes above the mean load to destinations below it. Any assignment with the
// resulting loads requires these moves, so a complete rendezvous assignment would not need fewer.
func (d *draft) balance() {
	moves := 0
	d.eachSlice(func(e sliceRef) {
		s := e.get()
		if moves == maxBalanceMovesPerPlan || !s.Next.IsZero() || d.condition(s.Owner) != ownerHealthy || !d.overloaded(d.byID[s.Owner]) {
			return
		}
		to := d.pickBelowInboundLimit(e.id)
		if to == nil {
			moves = maxBalanceMovesPerPlan
			return
		}
		d.move(e, to)
		moves++
	})
}

// overloaded reports whether the load of a node stays at or above the mean after it gives up any one slice.
func (d *draft) overloaded(n *destination) bool { return n.load >= d.meanLoad+d.heaviestSlice }

// canImprove reports whether a move can improve the balance.
func (d *draft) canImprove() bool { return slices.ContainsFunc(d.destinations, d.overloaded) }

// exceedsImbalanceBound reports whether the imbalance is large enough to start moves.
func (d *draft) exceedsImbalanceBound() bool {
	return slices.ContainsFunc(d.destinations, func(n *destination) bool {
		return n.load > d.meanLoad*imbalanceBound && d.overloaded(n)
	})
}
