package lease

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// maxSentRenewals is the number of renewals remembered per grantor. Older ones can't extend the lease,
// because their grants have run out.
const maxSentRenewals = 8

// Renewal is a renewal that has to be sent now.
type Renewal struct {
	Grantor  cluster.NodeID
	Sequence uint64
}

// GrantorSets are the sets that a version of the node record names.
type GrantorSets struct {
	Current []cluster.NodeID
	Next    []cluster.NodeID
}

// Holder tracks the lease of one incarnation of this node.
type Holder struct {
	confirmed  GrantorSets
	version    uint64
	proposals  []proposal
	candidates []cluster.NodeID
	sequence   uint64
	grants     map[cluster.NodeID]*grantState
	stopped    bool
}

// proposal is a write of the record whose outcome is not known yet.
type proposal struct {
	expectedVersion uint64
	grantors        GrantorSets
}

type grantState struct {
	sent        [maxSentRenewals]sentRenewal
	count       int
	silentSince clock.Instant
	lastSent    clock.Instant
	lastHeard   clock.Instant
	expiry      clock.Instant
}

type sentRenewal struct {
	sequence uint64
	at       clock.Instant
}

// NewHolder returns the holder for a record that was written at the given version.
func NewHolder(version uint64, g GrantorSets) *Holder {
	return &Holder{confirmed: g, version: version, grants: map[cluster.NodeID]*grantState{}}
}

// Propose says that a write of the record conditional on version expect is about to be sent. From
// now on the lease needs the proposed sets too, until the outcome is known.
func (h *Holder) Propose(expectedVersion uint64, g GrantorSets) {
	h.proposals = append(h.proposals, proposal{expectedVersion: expectedVersion, grantors: g})
}

// Confirm takes the record as read at, or successfully written with, a version. A proposal that is
// conditional on an older version can no longer take effect. One that is conditional on this very
// version may still be on its way, so its sets stay required.
func (h *Holder) Confirm(version uint64, g GrantorSets) {
	if version < h.version {
		return
	}
	h.version = version
	h.confirmed = g
	h.proposals = slices.DeleteFunc(h.proposals, func(p proposal) bool { return p.expectedVersion < version })
}

// Reject says that no write that is conditional on the version takes effect any more.
func (h *Holder) Reject(expectedVersion uint64) {
	h.proposals = slices.DeleteFunc(h.proposals, func(p proposal) bool { return p.expectedVersion == expectedVersion })
}

// SetCandidates adds nodes that get renewals before any record names them, so that the lease does not
// lapse at the moment when they become required.
func (h *Holder) SetCandidates(candidates []cluster.NodeID) { h.candidates = candidates }

// Stop ends the lease for good.
func (h *Holder) Stop() { h.stopped = true }

// Stopped reports whether Stop was called.
func (h *Holder) Stopped() bool { return h.stopped }

// Due returns the renewals to send now. The caller must send them after this call, not before:
// the grants count from now.
func (h *Holder) Due(now clock.Instant) []Renewal {
	var due []Renewal
	grantors := h.renewedGrantors()
	for _, id := range grantors {
		g := h.grants[id]
		if g == nil {
			g = &grantState{silentSince: now}
			h.grants[id] = g
		} else if now.Sub(g.lastSent) < RenewalInterval {
			continue
		}
		h.sequence++
		g.lastSent = now
		g.sent[g.count%maxSentRenewals] = sentRenewal{sequence: h.sequence, at: now}
		g.count++
		due = append(due, Renewal{Grantor: id, Sequence: h.sequence})
	}
	for id := range h.grants {
		if !slices.Contains(grantors, id) {
			delete(h.grants, id)
		}
	}
	return due
}

// HandleGrant takes the answer to a renewal. It returns false for an answer that extends nothing.
func (h *Holder) HandleGrant(grantor cluster.NodeID, sequence uint64, now clock.Instant) bool {
	g := h.grants[grantor]
	if g == nil || sequence == 0 {
		return false
	}
	i := slices.IndexFunc(g.sent[:], func(r sentRenewal) bool { return r.sequence == sequence })
	if i < 0 {
		return false
	}
	g.lastHeard = now
	expiry := g.sent[i].at.Add(GrantDuration)
	if expiry <= g.expiry {
		return false
	}
	g.expiry = expiry
	return true
}

// End returns the instant at which the lease runs out.
func (h *Holder) End() clock.Instant {
	if h.stopped {
		return 0
	}
	end := min(h.QuorumEnd(h.confirmed.Current), h.QuorumEnd(h.confirmed.Next))
	for _, p := range h.proposals {
		end = min(end, h.QuorumEnd(p.grantors.Current), h.QuorumEnd(p.grantors.Next))
	}
	return end
}

// QuorumEnd returns until when a majority of the set has granted the lease. An empty set is unlimited.
func (h *Holder) QuorumEnd(set []cluster.NodeID) clock.Instant {
	if len(set) == 0 {
		return Unlimited
	}
	ends := make([]clock.Instant, 0, MaxGrantors)
	for _, id := range set {
		var expiry clock.Instant
		if g := h.grants[id]; g != nil {
			expiry = g.expiry
		}
		ends = append(ends, expiry)
	}
	slices.Sort(ends)
	return ends[len(ends)-HolderQuorum(len(ends))]
}

// SilentGrantors returns the nodes that got renewals for at least the given time and answered none.
func (h *Holder) SilentGrantors(limit time.Duration, now clock.Instant) []cluster.NodeID {
	var silent []cluster.NodeID
	for id, g := range h.grants {
		if now.Sub(max(g.silentSince, g.lastHeard)) >= limit {
			silent = append(silent, id)
		}
	}
	return silent
}

// ResetSilence forgives silent grantors for the time that this node was paused.
func (h *Holder) ResetSilence(now clock.Instant) {
	for _, g := range h.grants {
		g.silentSince = now
	}
}

// renewedGrantors returns everybody who gets renewals, each once.
func (h *Holder) renewedGrantors() []cluster.NodeID {
	grantors := make([]cluster.NodeID, 0, 2*MaxGrantors)
	add := func(ids []cluster.NodeID) {
		for _, id := range ids {
			if !slices.Contains(grantors, id) {
				grantors = append(grantors, id)
			}
		}
	}
	add(h.confirmed.Current)
	add(h.confirmed.Next)
	for _, p := range h.proposals {
		add(p.grantors.Current)
		add(p.grantors.Next)
	}
	add(h.candidates)
	return grantors
}
