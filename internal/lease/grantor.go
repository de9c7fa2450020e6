package lease

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// Grantor tracks the holders whose leases this process renews. It lives as long as the process and
// answers for every incarnation that the process registered: its memory covers them all.
type Grantor struct {
	ownIDs  []cluster.NodeID
	holders map[cluster.NodeID]*holderState
	// goneIncarnations is the highest incarnation of each name that is gone. Promises to revoke it hold for good, also for a holder that
	// was paused all the while and does not know yet.
	goneIncarnations map[string]uint64
	// lastTick and resumed detect pauses of this process, during which every holder seems silent.
	lastTick  clock.Instant
	resumedAt clock.Instant
}

type holderState struct {
	// lastAnswer is the time of the last answer, valid if everAnswered.
	lastAnswer   clock.Instant
	everAnswered bool
	// lastHeard is the time of the last renewal, or of the first sight of a record that names this node.
	lastHeard     clock.Instant
	promised      bool
	namedInRecord bool
}

// Vote is the answer to a request for a vote.
type Vote struct {
	// Promised says that this grantor never again answers the holder.
	Promised bool
	// Remaining is how long the last grant may still hold.
	Remaining time.Duration
}

// NewGrantor returns a grantor that answers for no incarnation yet.
func NewGrantor() *Grantor {
	return &Grantor{holders: map[cluster.NodeID]*holderState{}, goneIncarnations: map[string]uint64{}}
}

// AddIncarnation adds an incarnation of this process. It must be called before the record that names the
// incarnation can be read by anyone.
func (g *Grantor) AddIncarnation(self cluster.NodeID) { g.ownIDs = append(g.ownIDs, self) }

// IsSelf reports whether the identity belongs to this process.
func (g *Grantor) IsSelf(id cluster.NodeID) bool { return slices.Contains(g.ownIDs, id) }

// HandleRenewal takes a renewal and reports whether it is answered.
func (g *Grantor) HandleRenewal(grantor, holder cluster.NodeID, now clock.Instant) bool {
	if !g.IsSelf(grantor) || g.isGone(holder) {
		return false
	}
	s := g.state(holder, now)
	if s.promised {
		return false
	}
	s.lastHeard = now
	s.lastAnswer = now
	s.everAnswered = true
	return true
}

// Vote takes a request of a candidate to revoke the holder. A holder that was heard just now is only
// given up to another incarnation of its own name.
func (g *Grantor) Vote(grantor, holder, candidate cluster.NodeID, now clock.Instant) Vote {
	if !g.IsSelf(grantor) {
		return Vote{}
	}
	if g.isGone(holder) {
		return Vote{Promised: true, Remaining: ExpiryWait}
	}
	s := g.state(holder, now)
	alive := s.everAnswered && now.Sub(s.lastHeard) < livenessWindow && candidate.Name != holder.Name
	if alive && !s.promised {
		return Vote{}
	}
	s.promised = true
	return Vote{Promised: true, Remaining: s.remaining(now)}
}

func (s *holderState) remaining(now clock.Instant) time.Duration {
	if !s.everAnswered {
		return 0
	}
	return max(0, s.lastAnswer.Add(ExpiryWait).Sub(now))
}

func (g *Grantor) state(holder cluster.NodeID, now clock.Instant) *holderState {
	s := g.holders[holder]
	if s == nil {
		s = &holderState{lastHeard: now}
		g.holders[holder] = s
	}
	return s
}

// Tick tells the time. A long gap since the last tick means that this process was paused; then all
// holders get a full period before they count as silent.
func (g *Grantor) Tick(now clock.Instant) {
	if now.Sub(g.lastTick) > maxTickGap {
		g.resumedAt = now
	}
	g.lastTick = now
}

// SetHolders replaces the set of holders whose records name this process. gone reports whether an
// incarnation is certain never to serve again.
func (g *Grantor) SetHolders(holders []cluster.NodeID, gone func(cluster.NodeID) bool, now clock.Instant) {
	for _, s := range g.holders {
		s.namedInRecord = false
	}
	for _, id := range holders {
		g.state(id, now).namedInRecord = true
	}
	for id, s := range g.holders {
		unused := !s.namedInRecord && !s.promised && now.Sub(s.lastHeard) > holderRetention
		isGone := gone(id)
		if isGone {
			g.goneIncarnations[id.Name] = max(g.goneIncarnations[id.Name], id.Incarnation)
		}
		if unused || isGone {
			delete(g.holders, id)
		}
	}
}

// isGone reports whether the incarnation, or a later one of its name, was gone in a view that this process had.
func (g *Grantor) isGone(holder cluster.NodeID) bool {
	last, known := g.goneIncarnations[holder.Name]
	return known && holder.Incarnation <= last
}

// Silent reports whether the record of the holder names this process and nothing was heard of the
// holder for so long that every grant of this grantor has run out, plus a delay.
func (g *Grantor) Silent(holder cluster.NodeID, delay time.Duration, now clock.Instant) bool {
	s := g.holders[holder]
	return s != nil && s.namedInRecord && now.Sub(max(s.lastHeard, g.resumedAt)) >= ExpiryWait+delay
}

// Promised reports whether this grantor has promised not to answer the holder again.
func (g *Grantor) Promised(holder cluster.NodeID) bool {
	s := g.holders[holder]
	return g.isGone(holder) || s != nil && s.promised
}
