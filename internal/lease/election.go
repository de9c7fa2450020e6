package lease

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// VoteTally counts the votes to revoke a holder. It is bound to one version of the holder's node record;
// the write that revokes the holder is conditional on this version.
type VoteTally struct {
	Holder   cluster.NodeID
	Version  uint64
	grantors []cluster.NodeID
	votes    map[cluster.NodeID]clock.Instant // when the vote of each grantor takes effect
}

// NewVoteTally returns an empty tally for a node record that was read from the platform.
func NewVoteTally(record *cluster.Node) *VoteTally {
	return &VoteTally{
		Holder:   record.ID,
		Version:  record.Version,
		grantors: slices.Clone(record.Grantors),
		votes:    map[cluster.NodeID]clock.Instant{},
	}
}

// Grantors returns the grantors that may vote.
func (t *VoteTally) Grantors() []cluster.NodeID { return t.grantors }

// Add counts a vote that was received at the given time. The vote takes effect when the remaining time of
// the last grant, as measured by the grantor, has passed.
func (t *VoteTally) Add(grantor cluster.NodeID, v Vote, now clock.Instant) {
	if !v.Promised || !slices.Contains(t.grantors, grantor) {
		return
	}
	effectiveAt := now.Add(RemainingOnLocalClock(v.Remaining))
	if earlier, ok := t.votes[grantor]; !ok || effectiveAt < earlier {
		t.votes[grantor] = effectiveAt
	}
}

// QuorumAt returns when a quorum of votes is in effect. It returns false while too few votes have arrived.
// An empty set of grantors never reaches a quorum: a holder without grantors has an unlimited lease.
func (t *VoteTally) QuorumAt() (clock.Instant, bool) {
	quorum := RevocationQuorum(len(t.grantors))
	if len(t.grantors) == 0 || len(t.votes) < quorum {
		return 0, false
	}
	times := make([]clock.Instant, 0, MaxGrantors)
	for _, at := range t.votes {
		times = append(times, at)
	}
	slices.Sort(times)
	return times[quorum-1], true
}

// RevocationDelay returns how long a grantor waits before it starts a revocation, by its rank in the
// holder's node record. is identifies the grantor.
func RevocationDelay(record *cluster.Node, is func(cluster.NodeID) bool) time.Duration {
	rank := max(0, slices.IndexFunc(record.Grantors, is))
	return time.Duration(rank) * RankDelay
}
