package lease

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// Grantor tracks the holders whose leases this process grants. It exists for the lifetime of the process
// and covers every incarnation that the process has registered.
type Grantor struct {
	ownIDs  []cluster.NodeID
	holders map[cluster.NodeID]*holderState
	// goneIncarnations maps a node name to its highest incarnation that is gone. Renewals from it and
	// from earlier ones are never answered again, because a holder that was paused in the meantime
	// doesn't know that its lease was revoked.
	goneIncarnations map[string]uint64
	// lastTick and resumedAt detect pauses of this process, during which every holder appears silent.
	lastTick  clock.Instant
	resumedAt clock.Instant
}

// holderState is the state of one holder's lease at this grantor.
type holderState struct {
	// lastAnswer is the time of the last answer, valid if everAnswered.
	lastAnswer   clock.Instant
	everAnswered bool
	// lastHeard is the time of the last renewal. Before the first renewal it is the time at which
	// this state was created.
	lastHeard clock.Instant
	// promised is set once this grantor has voted to revoke the holder.
	promised bool
	// namedInRecord is set while the holder's node record names this process as a grantor.
	namedInRecord bool
}

// Vote is the response to a vote request.
type Vote struct {
	// Promised is set if this grantor votes for the revocation and will never again answer renewals of the holder.
	Promised bool
	// Remaining is the time for which the last grant to the holder may still be valid.
	Remaining time.Duration
}

// NewGrantor returns a grantor without any incarnation of this process.
func NewGrantor() *Grantor {
	return &Grantor{holders: map[cluster.NodeID]*holderState{}, goneIncarnations: map[string]uint64{}}
}

// AddIncarnation adds an incarnation of this process. It must be called before other nodes can read the
// node record that contains the incarnation.
func (g *Grantor) AddIncarnation(self cluster.NodeID) { g.ownIDs = append(g.ownIDs, self) }

// IsSelf reports whether the identity belongs to this process.
func (g *Grantor) IsSelf(id cluster.NodeID) bool { return slices.Contains(g.ownIDs, id) }

// HandleRenewal handles a renewal and reports whether the lease is granted.
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

// Vote handles a vote request by a candidate that wants to revoke the holder. If the holder sent a renewal
// within livenessWindow, the vote is granted only to another incarnation of the same node.
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

// remaining returns how long the last grant may still be valid.
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

// Tick must be called periodically. A long gap since the last tick means that this process was paused;
// the silence of all holders is then measured from now.
func (g *Grantor) Tick(now clock.Instant) {
	if now.Sub(g.lastTick) > maxTickGap {
		g.resumedAt = now
	}
	g.lastTick = now
}

// SetHolders replaces the set of holders whose node records name this process. gone reports whether it is
// certain that an incarnation never serves again.
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

// isGone reports whether SetHolders has found this incarnation, or a later one of the same node, to be gone.
func (g *Grantor) isGone(holder cluster.NodeID) bool {
	last, known := g.goneIncarnations[holder.Name]
	return known && holder.Incarnation <= last
}

// Silent reports whether the holder's node record names this process and no renewal has arrived since every
// grant of this grantor expired, plus a delay.
func (g *Grantor) Silent(holder cluster.NodeID, delay time.Duration, now clock.Instant) bool {
	s := g.holders[holder]
	return s != nil && s.namedInRecord && now.Sub(max(s.lastHeard, g.resumedAt)) >= ExpiryWait+delay
}

// Promised reports whether this grantor will never again answer renewals of the holder.
func (g *Grantor) Promised(holder cluster.NodeID) bool {
	s := g.holders[holder]
	return g.isGone(holder) || s != nil && s.promised
}
