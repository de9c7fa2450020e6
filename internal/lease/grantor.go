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
	selves  []cluster.NodeID
	holders map[cluster.NodeID]*holderState
	// over is the highest incarnation of each name that is gone. Promises to revoke it hold for good, also for a holder that
	// was paused all the while and does not know yet.
	over map[string]uint64
	// ticked and resumed detect pauses of this process, during which every holder seems silent.
	ticked  clock.Instant
	resumed clock.Instant
}

type holderState struct {
	// answered is the time of the last answer, valid if everAnswered.
	answered     clock.Instant
	everAnswered bool
	// heard is the time of the last renewal, or of the first sight of a record that names this node.
	heard    clock.Instant
	promised bool
	watched  bool
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
	return &Grantor{holders: map[cluster.NodeID]*holderState{}, over: map[string]uint64{}}
}

// AddIncarnation adds an incarnation of this process. It must be called before the record that names the
// incarnation can be read by anyone.
func (g *Grantor) AddIncarnation(self cluster.NodeID) { g.selves = append(g.selves, self) }

// IsSelf reports whether the identity belongs to this process.
func (g *Grantor) IsSelf(id cluster.NodeID) bool { return slices.Contains(g.selves, id) }

// HandleRenewal takes a renewal and reports whether it is answered.
func (g *Grantor) HandleRenewal(grantor, holder cluster.NodeID, now clock.Instant) bool {
	if !g.IsSelf(grantor) || g.isOver(holder) {
		return false
	}
	s := g.state(holder, now)
	if s.promised {
		return false
	}
	s.heard = now
	s.answered = now
	s.everAnswered = true
	return true
}

// Vote takes a request of a candidate to revoke the holder. A holder that was heard just now is only
// given up to another incarnation of its own name.
func (g *Grantor) Vote(grantor, holder, candidate cluster.NodeID, now clock.Instant) Vote {
	if !g.IsSelf(grantor) {
		return Vote{}
	}
	if g.isOver(holder) {
		return Vote{Promised: true, Remaining: ExpiryWait}
	}
	s := g.state(holder, now)
	alive := s.everAnswered && now.Sub(s.heard) < recentlyHeard && candidate.Name != holder.Name
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
	return max(0, s.answered.Add(ExpiryWait).Sub(now))
}

func (g *Grantor) state(holder cluster.NodeID, now clock.Instant) *holderState {
	s := g.holders[holder]
	if s == nil {
		s = &holderState{heard: now}
		g.holders[holder] = s
	}
	return s
}

// Tick tells the time. A long gap since the last tick means that this process was paused; then all
// holders get a full period before they count as silent.
func (g *Grantor) Tick(now clock.Instant) {
	if now.Sub(g.ticked) > pauseLimit {
		g.resumed = now
	}
	g.ticked = now
}

// SetHolders replaces the set of holders whose records name this process. gone reports whether an
// incarnation is certain never to serve again.
func (g *Grantor) SetHolders(holders []cluster.NodeID, gone func(cluster.NodeID) bool, now clock.Instant) {
	for _, s := range g.holders {
		s.watched = false
	}
	for _, id := range holders {
		g.state(id, now).watched = true
	}
	for id, s := range g.holders {
		unused := !s.watched && !s.promised && now.Sub(s.heard) > forgetAfter
		isGone := gone(id)
		if isGone {
			g.over[id.Name] = max(g.over[id.Name], id.Incarnation)
		}
		if unused || isGone {
			delete(g.holders, id)
		}
	}
}

// isOver reports whether the incarnation, or a later one of its name, was gone in a view that this process had.
func (g *Grantor) isOver(holder cluster.NodeID) bool {
	last, known := g.over[holder.Name]
	return known && holder.Incarnation <= last
}

// Silent reports whether the record of the holder names this process and nothing was heard of the
// holder for so long that every grant of this grantor has run out, plus a delay.
func (g *Grantor) Silent(holder cluster.NodeID, delay time.Duration, now clock.Instant) bool {
	s := g.holders[holder]
	return s != nil && s.watched && now.Sub(max(s.heard, g.resumed)) >= ExpiryWait+delay
}

// Promised reports whether this grantor has promised not to answer the holder again.
func (g *Grantor) Promised(holder cluster.NodeID) bool {
	s := g.holders[holder]
	return g.isOver(holder) || s != nil && s.promised
}
