package lease

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

// VoteTally collects the votes to revoke a holder. It belongs to one version of the holder's record:
// the write that revokes the holder is conditional on it.
type VoteTally struct {
	Holder   cluster.NodeID
	Version  uint64
	grantors []cluster.NodeID
	votes    map[cluster.NodeID]clock.Instant
}

// NewVoteTally starts the collection for a record that was read from the platform.
func NewVoteTally(record *cluster.Node) *VoteTally {
	return &VoteTally{
		Holder:   record.ID,
		Version:  record.Version,
		grantors: slices.Clone(record.Grantors),
		votes:    map[cluster.NodeID]clock.Instant{},
	}
}

// Grantors returns the grantors whose votes count.
func (e *VoteTally) Grantors() []cluster.NodeID { return e.grantors }

// Add takes the vote of a grantor that arrived at the instant, with the remaining time that the
// grantor measured.
func (e *VoteTally) Add(grantor cluster.NodeID, v Vote, now clock.Instant) {
	if !v.Promised || !slices.Contains(e.grantors, grantor) {
		return
	}
	effectiveAt := now.Add(RemainingOnLocalClock(v.Remaining))
	if earlier, ok := e.votes[grantor]; !ok || effectiveAt < earlier {
		e.votes[grantor] = effectiveAt
	}
}

// QuorumAt returns when a majority of the votes counts, and false while too few have arrived. The empty
// set can't vote: a holder without grantors has an unlimited lease.
func (e *VoteTally) QuorumAt() (clock.Instant, bool) {
	quorum := RevocationQuorum(len(e.grantors))
	if len(e.grantors) == 0 || len(e.votes) < quorum {
		return 0, false
	}
	times := make([]clock.Instant, 0, MaxGrantors)
	for _, at := range e.votes {
		times = append(times, at)
	}
	slices.Sort(times)
	return times[quorum-1], true
}

// RevocationDelay returns how long the grantor waits before it revokes the holder, by its rank in the record.
func RevocationDelay(record *cluster.Node, is func(cluster.NodeID) bool) time.Duration {
	rank := max(0, slices.IndexFunc(record.Grantors, is))
	return time.Duration(rank) * RankDelay
}
