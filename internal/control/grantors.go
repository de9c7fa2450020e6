package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/lease"
)

// The loss of a zone makes most nodes wish for other grantors at once. The spread keeps their writes
// below the platform's limit, and behind the revocations and takeovers.
const (
	changeDelay  = 500 * time.Millisecond
	changeSpread = 2 * time.Second
)

// chooseInterval bounds the work of choosing among 600 nodes while the view changes all the time.
const chooseInterval = 100 * time.Millisecond

// choice is the last result of lease.Choose.
type choice struct {
	stale bool
	at    clock.Instant
	self  cluster.NodeID
	from  []cluster.NodeID
	set   []cluster.NodeID
}

// choose returns the grantors that a record should have.
func (s *state) choose(record *cluster.Node) []cluster.NodeID {
	c := &s.chosen
	same := c.self == record.ID && slices.Equal(c.from, record.Grantors)
	if same && (!c.stale || s.now.Sub(c.at) < chooseInterval) {
		return c.set
	}
	set := lease.ChooseGrantors(record, s.view.SortedNodes(), s.suspect)
	s.chosen = choice{at: s.now, self: record.ID, from: slices.Clone(record.Grantors), set: set}
	return set
}

// updateRecord writes the node's record when it differs from what it should be.
func (s *state) updateRecord() {
	record := s.own.record.Clone()
	record.Target = s.announcedTarget()
	record.Location = s.me.Location
	record.Addresses = s.me.Addresses
	if s.draining {
		record.State = cluster.Draining
	}
	s.stepGrantors(record)
	if sameRecord(record, s.own.record) {
		return
	}
	s.holder.Propose(s.own.version, lease.GrantorSets{Current: record.Grantors, Next: record.NextGrantors})
	s.writeOwn(record, Update)
}

// stepGrantors puts the next step of a change of grantors into the record, if there is one.
func (s *state) stepGrantors(record *cluster.Node) {
	s.suspectSilent(s.holder, grantorPatience)
	wanted := s.choose(record)
	switch {
	case len(record.NextGrantors) > 0:
		s.finishChange(record, wanted)
	case sameSet(wanted, record.Grantors):
		s.changeAt = 0
		s.holder.SetCandidates(nil)
	default:
		s.prepareChange(record, wanted)
	}
}

// finishChange makes the next grantors current once a majority of them answers, or replaces them if
// one of them is not wanted any more.
func (s *state) finishChange(record *cluster.Node, wanted []cluster.NodeID) {
	if s.holder.QuorumEnd(record.NextGrantors) > s.now {
		record.Grantors, record.NextGrantors = record.NextGrantors, nil
		return
	}
	if !slices.ContainsFunc(record.NextGrantors, s.suspect) {
		return
	}
	record.NextGrantors = wanted
	if sameSet(wanted, record.Grantors) {
		record.NextGrantors = nil
	}
}

// prepareChange renews with the wanted grantors first and names them in the record when a majority
// answers, so that the lease does not lapse at the change.
func (s *state) prepareChange(record *cluster.Node, wanted []cluster.NodeID) {
	if s.changeAt == 0 {
		s.changeAt = s.now.Add(changeDelay + rand.N(changeSpread))
	}
	s.holder.SetCandidates(wanted)
	// A set of one or two does not survive the loss of a grantor, so its change does not wait.
	waits := len(record.Grantors) == lease.MaxGrantors && s.now < s.changeAt
	if waits || s.holder.QuorumEnd(wanted) <= s.now {
		return
	}
	if len(wanted) == 0 {
		// An empty set can't be next. It needs no grants, and the current set still guards the change.
		record.Grantors = nil
	} else {
		record.NextGrantors = wanted
	}
	s.changeAt = 0
	s.do(Log{Event: event.GrantorsChanging, Subject: s.self.String()})
}

func sameRecord(a, b *cluster.Node) bool {
	return a.State == b.State && a.Target == b.Target && a.Location == b.Location && a.Addresses == b.Addresses &&
		slices.Equal(a.Grantors, b.Grantors) && slices.Equal(a.NextGrantors, b.NextGrantors)
}
