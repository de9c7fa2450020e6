package control

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/control/plan"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/lease"
	"github.com/citronvane/citronvane/internal/wire"
)

// incarnationTagBits is the part of an incarnation that holds the tag of the process.
const incarnationTagBits = 16

// joining is a registration under way. The node collects grants under the new incarnation before it
// writes the record, so that it is never registered without a lease.
type joining struct {
	id     cluster.NodeID
	expect uint64
	holder *lease.Holder
	set    []cluster.NodeID
	since  clock.Instant
}

func (s *state) ownKey() Key { return Key{Kind: cluster.KindNode, Name: s.me.Name} }

// setOwn takes the node's record as it is in the platform; nil if there is none.
func (s *state) setOwn(record *cluster.Node, version uint64) {
	if record != nil && version < s.own.version {
		return
	}
	s.own.known = true
	s.own.record = record
	s.own.version = version
	switch {
	case s.self.IsZero():
		s.adopt()
	case record == nil || record.ID != s.self || record.Gone():
		s.depose()
	default:
		s.holder.Confirm(version, lease.GrantorSets{Current: record.Grantors, Next: record.NextGrantors})
	}
}

// adopt takes over the incarnation of a registration that took effect.
func (s *state) adopt() {
	j, record := s.joining, s.own.record
	if j == nil || record == nil || record.ID != j.id || record.Gone() {
		return
	}
	s.self, s.holder, s.joining = j.id, j.holder, nil
	s.holder.Confirm(record.Version, lease.GrantorSets{Current: record.Grantors, Next: record.NextGrantors})
	s.holder.SetCandidates(nil)
	s.lapsedAt = 0
	s.changeAt = 0
	s.republish = true
	s.do(Log{Event: event.Registered, Subject: s.self.String()})
}

// depose drops an incarnation that the platform says is gone. Traffic stops before anything else.
func (s *state) depose() {
	if !s.holder.Stopped() {
		s.do(Log{Event: event.Deposed, Subject: s.self.String()})
	}
	s.suspectSilent(s.holder, joinPatience)
	s.self, s.holder = cluster.NodeID{}, nil
	s.republish = true
	s.publishLease()
}

// stepOwn moves the node's registration on by one call at a time.
func (s *state) stepOwn() {
	key := s.ownKey()
	if !s.idle(key) || s.object(key).mustRead {
		return
	}
	switch {
	case !s.own.known:
		s.read(key)
	case s.self.IsZero() && s.departing:
		s.depart()
	case s.self.IsZero():
		s.stepRegistration()
	case s.holder.Stopped() || s.departing && !s.neededAsGrantor():
		s.resign()
	case s.holder.End() <= s.now:
		s.stepLapse()
	default:
		s.leaseBack()
		s.updateRecord()
	}
}

// neededAsGrantor reports whether another node still needs this one, which is about to leave, for its
// lease. A node that does not replace it in time is not waited for.
func (s *state) neededAsGrantor() bool {
	return s.now < s.departBy && len(s.holders) > 0
}

func (s *state) leaseBack() {
	if s.lapsedAt != 0 {
		s.lapsedAt = 0
		s.do(Log{Event: event.LeaseHeld, Subject: s.self.String()})
	}
}

func (s *state) depart() {
	s.departed = true
	s.republish = true
	s.publishSnapshot()
	s.do(Log{Event: event.NodeLeft, Subject: s.me.Name})
	s.do(Finished{})
}

// stepLapse gives up an incarnation whose lease ran out, unless the platform can't be read: then the
// grantors may come back before anyone could take the slices over.
func (s *state) stepLapse() {
	switch {
	case s.lapsedAt == 0:
		s.lapsedAt = s.now
		s.do(Log{Event: event.LeaseLost, Subject: s.self.String()})
	case s.now.Sub(s.lapsedAt) < lapseGrace:
	case s.own.readAt < s.lapsedAt:
		s.read(s.ownKey())
	default:
		s.do(Log{Event: event.Resigned, Subject: s.self.String()})
		s.resign()
	}
}

// resign writes that this incarnation is over. The lease ends before the write is sent and never
// comes back: the write may take effect at any later time, even after a read that does not show it.
func (s *state) resign() {
	s.holder.Stop()
	s.publishLease()
	record := s.own.record.Clone()
	record.State = cluster.Revoked
	record.RevokedBy = s.me.Name
	if s.departing {
		record.State = cluster.Left
		record.RevokedBy = ""
	}
	s.writeOwn(record, Resign)
}

func (s *state) writeOwn(record *cluster.Node, purpose Purpose) {
	s.write(Write{Purpose: purpose, Write: plan.Write{
		Kind: cluster.KindNode, Name: s.me.Name, Value: encode(record), Expect: s.own.version,
	}})
}

// stepRegistration registers a new incarnation once the old one is gone.
func (s *state) stepRegistration() {
	old := s.own.record
	if old != nil && !old.Gone() {
		s.revokeOld(old)
		return
	}
	if s.joining == nil || s.joining.expect != s.own.version {
		s.startJoining()
	}
	j := s.joining
	s.chooseForJoining(j)
	if j.holder.QuorumEnd(j.set) <= s.now {
		return
	}
	record := s.newRecord(j)
	j.holder.Propose(j.expect, lease.GrantorSets{Current: j.set})
	s.writeOwn(record, Register)
}

// revokeOld revokes the incarnation that an earlier process registered under this name. A process that
// has bound the addresses of the old record has proved that the old process has ended, because an IP
// address belongs to one host. After a restart of the whole fleet that is the only proof, since no
// grantor of the old incarnation can vote any more. Otherwise the grantors have to vote.
func (s *state) revokeOld(old *cluster.Node) {
	if old.Addresses.Heartbeat != s.me.Addresses.Heartbeat || old.Addresses.Relay != s.me.Addresses.Relay {
		s.startRevocation(old.ID, old)
		return
	}
	// The target of this host may still hold the last grant of the old process.
	if s.now < s.startedAt.Add(lease.ExpiryWait) {
		return
	}
	record := old.Clone()
	record.State = cluster.Revoked
	record.RevokedBy = s.me.Name
	s.writeOwn(record, Revoke)
}

// startJoining picks an incarnation that is higher than any that the name ever had: the revision
// grows with each write, also when an old record is deleted.
func (s *state) startJoining() {
	base := max(s.view.Revision, s.lastBase)
	if s.own.record != nil {
		base = max(base, s.own.record.ID.Incarnation>>incarnationTagBits)
	}
	s.lastBase = base + 1
	id := cluster.NodeID{Name: s.me.Name, Incarnation: s.lastBase<<incarnationTagBits | uint64(s.me.Tag)}
	s.grantor.adopt(id)
	s.joining = &joining{
		id: id, expect: s.own.version, since: s.now,
		holder: lease.NewHolder(0, lease.GrantorSets{}),
	}
}

func (s *state) chooseForJoining(j *joining) {
	if s.now.Sub(j.since) >= joinPatience {
		j.since = s.now
		s.suspectSilent(j.holder, joinPatience)
		s.do(Log{Event: event.NoGrantorAnswers, Subject: j.id.String()})
	}
	self := &cluster.Node{ID: j.id, Location: s.me.Location, Grantors: j.set}
	j.set = s.choose(self)
	j.holder.SetCandidates(j.set)
}

func (s *state) newRecord(j *joining) *cluster.Node {
	record := &cluster.Node{
		ID: j.id, State: cluster.Live,
		Location: s.me.Location, Addresses: s.me.Addresses,
		Target: s.announcedTarget(), Grantors: j.set,
	}
	if s.draining {
		record.State = cluster.Draining
	}
	return record
}

// currentHolder returns the holder that needs renewals: the registered one or the one that joins.
func (s *state) currentHolder() *lease.Holder {
	switch {
	case s.holder != nil:
		return s.holder
	case s.joining != nil:
		return s.joining.holder
	}
	return nil
}

func (s *state) holderID() cluster.NodeID {
	if s.joining != nil {
		return s.joining.id
	}
	return s.self
}

func (s *state) sendRenewals() {
	h := s.currentHolder()
	if h == nil || h.Stopped() {
		return
	}
	for _, due := range h.Due(s.now) {
		n := s.view.Nodes[due.Grantor.Name]
		if n == nil {
			continue
		}
		s.do(Renew{Address: n.Addresses.Heartbeat, Renewal: &wire.Renewal{
			Holder: toWire(s.holderID()), Grantor: toWire(due.Grantor),
			Sequence: due.Sequence, Revision: s.view.Revision,
		}})
	}
}

func (s *state) grantReceived(e GrantReceived) {
	if h := s.currentHolder(); h != nil && e.Holder == s.holderID() {
		h.HandleGrant(e.Grantor, e.Sequence, s.now)
		if s.suspect(e.Grantor) {
			delete(s.suspects, e.Grantor)
			s.chosen.stale = true
		}
	}
}

// publishLease tells traffic how long the lease holds.
func (s *state) publishLease() {
	var end clock.Instant
	if s.holder != nil && !s.departed {
		end = s.holder.End()
	}
	if end != s.leaseEnd {
		s.leaseEnd = end
		s.do(SetLease{End: end})
	}
}

func (s *state) suspect(id cluster.NodeID) bool { return s.now < s.suspects[id] }

// suspectSilent marks the grantors that have not answered for the given time.
func (s *state) suspectSilent(h *lease.Holder, limit time.Duration) {
	for id, until := range s.suspects {
		if s.now >= until {
			delete(s.suspects, id)
			s.chosen.stale = true
		}
	}
	for _, id := range h.SilentGrantors(limit, s.now) {
		if !s.suspect(id) {
			s.suspects[id] = s.now.Add(suspectFor)
			s.chosen.stale = true
		}
	}
}

func sameSet(a, b []cluster.NodeID) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(id cluster.NodeID) bool { return !slices.Contains(b, id) })
}

func toWire(id cluster.NodeID) *wire.NodeID {
	return &wire.NodeID{Name: id.Name, Incarnation: id.Incarnation}
}

func fromWire(id *wire.NodeID) cluster.NodeID {
	return cluster.NodeID{Name: id.GetName(), Incarnation: id.GetIncarnation()}
}
