package coordinator

import (
	"cmp"
	"slices"

	"github.com/citronvane/citronvane/internal/cluster"
)

const (
	// imbalanceBound is the ratio of the highest load to the mean that starts moves. At 27 slices a
	// node it tolerates the loss of a tenth of the nodes and the placement of their slices.
	imbalanceBound = 1.1
	// maxBalanceMovesPerPlan bounds the moves for balance that one plan adds, so that the owners' writes stay a
	// part of the platform's several hundred writes a second.
	maxBalanceMovesPerPlan = 64
)

// ownerCondition is what the view says about the owner of a slice.
type ownerCondition int

const (
	// ownerUnknown owners are not in the view, which may lack their record; their slices stay.
	ownerUnknown ownerCondition = iota
	// noOwner is the condition of a slice without an owner.
	noOwner
	// ownerGone owners will never serve again.
	ownerGone
	// ownerZoneOut, targetLost and draining owners hand their slices over.
	ownerZoneOut
	ownerTargetLost
	ownerDraining
	// ownerHealthy owners keep their slices.
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

// createGroups adds the groups that a new service lacks, without owners.
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

// takeOver gives slices without an owner, or with one that is gone, a new owner.
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

// waitMS returns how long requests of the previous owner may still run at its target.
func (d *draft) waitMS(s cluster.Slice) int64 {
	if s.Epoch == 0 {
		return 0
	}
	// The previous owner may itself have been waiting for a target that is not fenced.
	n := d.view.Node(s.Owner)
	if n != nil && n.Target.Service == d.service && n.Target.Fenced {
		return s.WaitMS
	}
	return max(s.WaitMS, d.spec.MaxRequest.Std().Milliseconds())
}

// repairNextOwners clears or replaces next owners that are no longer wanted.
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

// cancelImproves reports whether the balance is better or equal if the owner keeps the slice. A move
// for balance never meets it, because it goes from above the mean to below.
func (d *draft) cancelImproves(e sliceRef) bool {
	s := e.get()
	w := d.weight(e.id)
	return d.byID[s.Next].load-w >= d.byID[s.Owner].load+w
}

// evacuate sets the next owner of slices whose owner can't keep them. Slices whose target is lost
// are served by nobody, so they move at once; the others at the pace of the destinations.
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

func (d *draft) evacuationDestination(e sliceRef, c ownerCondition) *destination {
	if c == ownerTargetLost {
		return d.pickAnyDestination(e.id)
	}
	return d.pickBelowInboundLimit(e.id)
}

// balance moves slices from destinations above the mean to those below. Each move is one that any
// assignment with these loads needs, so a full rendezvous assignment never moves fewer.
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

// overloaded reports whether a node stays at or above the mean without its heaviest slice.
func (d *draft) overloaded(n *destination) bool { return n.load >= d.meanLoad+d.heaviestSlice }

// canImprove reports whether a move for balance exists.
func (d *draft) canImprove() bool { return slices.ContainsFunc(d.destinations, d.overloaded) }

// exceedsImbalanceBound reports whether the imbalance starts moves.
func (d *draft) exceedsImbalanceBound() bool {
	return slices.ContainsFunc(d.destinations, func(n *destination) bool {
		return n.load > d.meanLoad*imbalanceBound && d.overloaded(n)
	})
}
