package lease

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// maxSentRenewals is the number of renewals remembered per grantor. Grants for older renewals have
// expired and can't extend the lease.
const maxSentRenewals = 8

// Renewal is a renewal request to send to a grantor.
type Renewal struct {
	Grantor  cluster.NodeID
	Sequence uint64
}

// GrantorSets are the grantors named by one version of the node record. During a change from one set to
// the next, the lease requires a quorum of both.
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

// proposal is a write of the node record whose outcome is unknown.
type proposal struct {
	expectedVersion uint64
	grantors        GrantorSets
}

// grantState tracks the renewals sent to one grantor and the grant received from it.
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

// NewHolder returns the holder for a node record that was written at the given version.
func NewHolder(version uint64, g GrantorSets) *Holder {
	return &Holder{confirmed: g, version: version, grants: map[cluster.NodeID]*grantState{}}
}

// Propose must be called before the caller sends a write of the node record that is conditional on
// expectedVersion. Until the outcome is known, the lease also requires quorums of the proposed sets.
func (h *Holder) Propose(expectedVersion uint64, g GrantorSets) {
	h.proposals = append(h.proposals, proposal{expectedVersion: expectedVersion, grantors: g})
}

// Confirm records the grantor sets of a version of the node record that was read or successfully written.
// Proposals that are conditional on an older version can no longer take effect. A proposal that is
// conditional on this version may still be in flight, so its sets stay required.
func (h *Holder) Confirm(version uint64, g GrantorSets) {
	if version < h.version {
		return
	}
	h.version = version
	h.confirmed = g
	h.proposals = slices.DeleteFunc(h.proposals, func(p proposal) bool { return p.expectedVersion < version })
}

// Reject drops the proposals that are conditional on expectedVersion, because their writes can no longer
// take effect.
func (h *Holder) Reject(expectedVersion uint64) {
	h.proposals = slices.DeleteFunc(h.proposals, func(p proposal) bool { return p.expectedVersion == expectedVersion })
}

// SetCandidates replaces the candidate grantors. They receive renewals before the node record names them,
// so that the lease does not lapse when their grants become required.
func (h *Holder) SetCandidates(candidates []cluster.NodeID) { h.candidates = candidates }

// Stop ends the lease permanently.
func (h *Holder) Stop() { h.stopped = true }

// Stopped reports whether Stop was called.
func (h *Holder) Stopped() bool { return h.stopped }

// Due returns the renewals to send now. The caller must send them after this call, because grants are
// valid from now on.
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

// HandleGrant handles the answer to a renewal and reports whether it extends the grant.
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

// End returns the time at which the lease expires.
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

// QuorumEnd returns the time until which a quorum of the set has granted the lease, or Unlimited for an
// empty set.
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

// SilentGrantors returns the nodes that have not answered any renewal for at least limit.
func (h *Holder) SilentGrantors(limit time.Duration, now clock.Instant) []cluster.NodeID {
	var silent []cluster.NodeID
	for id, g := range h.grants {
		if now.Sub(max(g.silentSince, g.lastHeard)) >= limit {
			silent = append(silent, id)
		}
	}
	return silent
}

// ResetSilence restarts the silence period of all grantors. It is called after a pause of this node,
// which explains missing answers.
func (h *Holder) ResetSilence(now clock.Instant) {
	for _, g := range h.grants {
		g.silentSince = now
	}
}

// renewedGrantors returns all nodes that receive renewals, without duplicates.
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
