package control

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/routing"
)

// takeover is when this node learned that the record epoch of a slice changed.
type takeover struct {
	recordEpoch uint64
	at          clock.Instant
}

// ownership is what this node remembers of a slice that it owns at an epoch.
type ownership struct {
	epoch   uint64
	readyAt clock.Instant
}

// trackTakeovers notes the time of each unplanned takeover in the groups that changed. A planned
// handover within the retention after a takeover must not shorten the refusal of opaque keys, so the
// times are kept for all slices and not only for those that this node owns.
func (s *state) trackTakeovers(previous *cluster.View) {
	for id, g := range s.view.Groups {
		if previous != nil && previous.Groups[id] == g {
			continue
		}
		for i, slice := range g.Slices {
			sliceID := id.Slice(i)
			if s.takeovers[sliceID].recordEpoch != slice.RecordEpoch {
				s.takeovers[sliceID] = takeover{recordEpoch: slice.RecordEpoch, at: s.now}
			}
		}
	}
}

// identitiesImported takes the age of the last takeover from the previous owner, which may know it
// better than a node that started later. A record epoch above the sender's epoch belongs to a
// takeover that the sender does not know of.
func (s *state) identitiesImported(e IdentitiesImported) {
	held, ok := s.takeovers[e.Slice]
	if !ok || held.recordEpoch > e.Epoch {
		return
	}
	// Instant 0 would mean that there was no takeover.
	at := max(1, s.now.Add(-e.TakeoverAge))
	if at < held.at {
		held.at = at
		s.takeovers[e.Slice] = held
		s.republish = true
	}
}

// takeoverAge is what the next owner learns with the identity records.
func (s *state) takeoverAge(id cluster.SliceID) time.Duration {
	return s.now.Sub(s.takeovers[id].at)
}

// takenOverAt returns 0 for a slice whose first assignment still counts: nobody lost records of it.
func (s *state) takenOverAt(id cluster.SliceID, slice cluster.Slice) clock.Instant {
	if slice.RecordEpoch <= 1 {
		return 0
	}
	return s.takeovers[id].at
}

// publishSnapshot publishes what traffic needs, if it changed.
func (s *state) publishSnapshot() {
	refusing := s.refusesNewWork()
	if !s.republish && refusing == s.refusing {
		return
	}
	s.republish = false
	s.refusing = refusing
	s.do(Publish{Snapshot: &routing.Snapshot{
		View: s.view, Self: s.self, Owned: s.ownedSlices(),
		Draining: refusing, ZoneOutAt: s.zoneOutAt, Target: s.target,
	}})
}

// ownedSlices returns the slices that the view gives to the registered incarnation, and notes those
// that have a next owner, so that a tick does not look at every slice.
func (s *state) ownedSlices() map[cluster.SliceID]routing.OwnedSlice {
	result := map[cluster.SliceID]routing.OwnedSlice{}
	held := map[cluster.SliceID]ownership{}
	s.wanted = map[cluster.SliceID]Move{}
	for groupID, g := range s.view.Groups {
		for i, slice := range g.Slices {
			if s.self.IsZero() || slice.Owner != s.self {
				continue
			}
			id := groupID.Slice(i)
			held[id] = s.ownership(id, slice)
			if !slice.Next.IsZero() {
				s.wanted[id] = Move{Slice: id, Epoch: slice.Epoch, To: slice.Next}
			}
			result[id] = routing.OwnedSlice{
				Epoch: slice.Epoch, RecordEpoch: slice.RecordEpoch,
				ReadyAt: held[id].readyAt, TakenOverAt: s.takenOverAt(id, slice),
				// A write of the new owner may be under way as long as there is a next one, so the
				// slice is not served even if the next owner is gone by now.
				Moving: !slice.Next.IsZero(),
			}
		}
	}
	s.owned = held
	return result
}

func (s *state) ownership(id cluster.SliceID, slice cluster.Slice) ownership {
	if o, ok := s.owned[id]; ok && o.epoch == slice.Epoch {
		return o
	}
	o := ownership{epoch: slice.Epoch}
	if slice.WaitMS > 0 {
		o.readyAt = s.now.Add(time.Duration(slice.WaitMS) * time.Millisecond)
	}
	return o
}

// refusesNewWork reports whether a draining node takes no new requests: its slices have moved, or they
// have had their time.
func (s *state) refusesNewWork() bool {
	if s.departed {
		return true
	}
	return s.draining && (s.now.Sub(s.drainAt) >= newWorkGrace || len(s.owned) == 0)
}

func (s *state) targetChanged(e TargetChanged) {
	s.leaving = e.Leaving
	if e.Target == s.target {
		return
	}
	s.target = e.Target
	s.republish = true
}

// announcedTarget is the target as the node's record shows it. A target that leaves counts as down
// there, so that its slices move, while traffic goes on until they have moved.
func (s *state) announcedTarget() cluster.TargetInfo {
	t := s.target
	t.Down = t.Down || s.leaving
	return t
}
