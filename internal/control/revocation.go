package control

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/control/plan"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/lease"
)

const (
	// voteRetry is how long an answer to a vote may take before the grantor is asked again.
	voteRetry = 250 * time.Millisecond

	// electionPatience is how long votes are collected before the record is read again.
	electionPatience = 2 * time.Second
)

// revocation is the attempt of this node to revoke one silent holder.
type revocation struct {
	holder cluster.NodeID
	// election is nil until the record was read from the platform.
	election  *lease.VoteTally
	record    *cluster.Node
	startedAt clock.Instant
	askedAt   clock.Instant
	writing   bool
}

func (s *state) stepRevocations() {
	for _, id := range s.holders {
		if s.revocations[id] == nil && s.silent(s.view.Node(id)) {
			s.revocations[id] = &revocation{holder: id}
			s.object(nodeKey(id)).mustRead = true
			s.do(Log{Event: event.HolderSilent, Subject: id.String()})
		}
	}
	for id, r := range s.revocations {
		if s.gone(id) {
			delete(s.revocations, id)
			continue
		}
		if r.election != nil {
			s.stepElection(r)
		}
	}
	s.retryReads()
}

func nodeKey(id cluster.NodeID) Key { return Key{Kind: cluster.KindNode, Name: id.Name} }

func (s *state) silent(n *cluster.Node) bool {
	return s.grantor.silent(n.ID, lease.RevocationDelay(n, s.grantor.is), s.now)
}

// recordRead goes on with a revocation after its record was read from the platform. Votes are asked
// for only now: a promise during an outage of the platform would stop an owner that nobody can replace.
func (s *state) recordRead(name string, record *cluster.Node) {
	for id, r := range s.revocations {
		if id.Name != name || r.election != nil {
			continue
		}
		stale := record == nil || record.ID != id || record.Gone() || !slices.ContainsFunc(record.Grantors, s.grantor.is)
		if stale || !s.grantor.silent(id, 0, s.now) {
			delete(s.revocations, id)
			continue
		}
		s.startElection(r, record)
	}
}

// startRevocation revokes an older incarnation of this node, whose record was just read.
func (s *state) startRevocation(id cluster.NodeID, record *cluster.Node) {
	if s.revocations[id] != nil {
		return
	}
	r := &revocation{holder: id}
	s.revocations[id] = r
	s.do(Log{Event: event.OldIncarnation, Subject: id.String()})
	s.startElection(r, record)
}

func (s *state) startElection(r *revocation, record *cluster.Node) {
	r.record = record
	r.election = lease.NewVoteTally(record)
	r.startedAt = s.now
	s.requestVotes(r)
}

func (s *state) requestVotes(r *revocation) {
	r.askedAt = s.now
	candidate := s.self
	if candidate.IsZero() {
		candidate.Name = s.me.Name
	}
	for _, id := range r.election.Grantors() {
		if s.grantor.is(id) {
			r.election.Add(id, s.grantor.vote(id, r.holder, candidate, s.now), s.now)
			continue
		}
		if n := s.view.Nodes[id.Name]; n != nil {
			s.do(RequestVote{Address: n.Addresses.Control, Holder: r.holder, Grantor: id, Candidate: candidate})
		}
	}
}

func (s *state) voteReceived(e VoteReceived) {
	if r := s.revocations[e.Holder]; r != nil && r.election != nil {
		r.election.Add(e.Grantor, e.Vote, s.now)
	}
}

func (s *state) stepElection(r *revocation) {
	key := nodeKey(r.holder)
	if !s.idle(key) {
		return
	}
	at, won := r.election.QuorumAt()
	switch {
	case r.writing || s.now.Sub(r.startedAt) >= electionPatience:
		s.restart(r)
	case won && at <= s.now:
		r.writing = true
		s.writeRevocation(r)
	case s.now.Sub(r.askedAt) >= voteRetry:
		s.requestVotes(r)
	}
}

// restart gives up an attempt whose write failed or whose votes don't arrive. The next attempt reads
// the record again.
func (s *state) restart(r *revocation) {
	delete(s.revocations, r.holder)
	s.object(nodeKey(r.holder)).mustRead = true
}

func (s *state) writeRevocation(r *revocation) {
	record := r.record.Clone()
	record.State = cluster.Revoked
	record.RevokedBy = s.me.Name
	s.write(Write{Purpose: Revoke, Write: plan.Write{
		Kind: cluster.KindNode, Name: r.holder.Name, Value: encode(record), Expect: r.election.Version,
	}})
}
