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
	// TickInterval bounds the delay of renewals, of the detection of silent holders and of votes.
	TickInterval = 25 * time.Millisecond

	// pauseLimit is the longest gap between two events that does not count as a pause of this process.
	pauseLimit = 200 * time.Millisecond

	// lapseGrace lets late grants arrive before a lapsed node gives up its incarnation, which would
	// move its slices.
	lapseGrace = 100 * time.Millisecond

	// joinPatience is how long a node that registers waits for a grantor before it tries another.
	joinPatience = 300 * time.Millisecond

	// grantorPatience is how long a holder with a majority bears a grantor that does not answer.
	grantorPatience = time.Second

	// suspectFor keeps a silent node out of the choice of grantors.
	suspectFor = 10 * time.Second

	// replanInterval lets the planner act on the passing of time.
	replanInterval = 100 * time.Millisecond

	// departGrace is how long a node that leaves waits for its holders to replace it as grantor. Two
	// changes of the record and the spread before them fit into it.
	departGrace = 5 * time.Second

	// newWorkGrace is how long a zone or node that goes out of service still takes new work, so that
	// entrances learn of it and used slices move first.
	newWorkGrace = 3 * time.Second
)

// Identity is what a node knows about itself at its start.
type Identity struct {
	Name      string
	Location  cluster.Location
	Addresses cluster.Addresses
	// Tag is random for each process. It tells records of this process from those of another one
	// that registers the same name at the same time.
	Tag uint16
}

// state is everything that control decides from. Its only entry point is handle.
type state struct {
	me      Identity
	planner plan.Planner
	grantor *sharedGrantor

	now clock.Instant
	// startedAt is the time of the first event. The addresses of this node were bound before.
	startedAt clock.Instant
	view      *cluster.View
	actions   []Action

	// own is the node's record as last read from or written to the platform.
	own ownRecord
	// self is the registered incarnation, zero if there is none.
	self cluster.NodeID
	// holder keeps the lease of self.
	holder *lease.Holder
	// lapsedAt is when the lapse of the lease was noticed, 0 while the lease holds.
	lapsedAt clock.Instant
	leaseEnd clock.Instant
	joining  *joining
	// lastBase makes each attempt to register use an incarnation of its own, because grants of an
	// abandoned attempt may still be under way.
	lastBase uint64
	suspects map[cluster.NodeID]clock.Instant
	chosen   choice
	// changeAt is when a wish for other grantors is acted on, 0 if there is none.
	changeAt clock.Instant

	// holders are the nodes whose records name this process as grantor.
	holders     []cluster.NodeID
	objects     map[Key]*object
	revocations map[cluster.NodeID]*revocation
	moves       map[cluster.SliceID]*move
	takeovers   map[cluster.SliceID]takeover
	owned       map[cluster.SliceID]ownership
	// wanted holds the owned slices that have a next owner.
	wanted map[cluster.SliceID]Move

	target  cluster.TargetInfo
	leaving bool

	draining  bool
	drainAt   clock.Instant
	departing bool
	departBy  clock.Instant
	departed  bool
	zoneOutAt clock.Instant
	plannedAt clock.Instant
	replan    bool
	republish bool
	// refusing is Draining as last published.
	refusing bool
}

type ownRecord struct {
	// known says that the platform was asked at least once.
	known   bool
	record  *cluster.Node
	version uint64
	readAt  clock.Instant
}

func newState(me Identity, planner plan.Planner, grantor *sharedGrantor) *state {
	return &state{
		me: me, planner: planner, grantor: grantor,
		suspects:    map[cluster.NodeID]clock.Instant{},
		objects:     map[Key]*object{},
		revocations: map[cluster.NodeID]*revocation{},
		moves:       map[cluster.SliceID]*move{},
		takeovers:   map[cluster.SliceID]takeover{},
		owned:       map[cluster.SliceID]ownership{},
	}
}

// handle is the decision function: it takes an event and the time, changes the state and returns the
// actions in the order in which they have to be executed.
func (s *state) handle(e Event, now clock.Instant) []Action {
	s.actions = nil
	s.advance(now)
	switch e := e.(type) {
	case Tick:
	case ViewChanged:
		s.viewChanged(e.View)
	case GrantReceived:
		s.grantReceived(e)
		s.publishLease()
		return s.actions
	case TargetChanged:
		s.targetChanged(e)
	case ReadDone:
		s.readDone(e)
	case WriteDone:
		s.writeDone(e)
	case VoteReceived:
		s.voteReceived(e)
	case HandoverSent:
		s.handoverSent(e)
	case IdentitiesImported:
		s.identitiesImported(e)
	case DrainRequested:
		s.drain()
	case LeaveRequested:
		s.leave()
	}
	s.step()
	return s.actions
}

func (s *state) do(a Action) { s.actions = append(s.actions, a) }

// advance moves the time on. After a pause of this process the silence of others means nothing.
func (s *state) advance(now clock.Instant) {
	if s.startedAt == 0 {
		s.startedAt = now
	}
	paused := now.Sub(s.now) > pauseLimit
	s.now = now
	s.grantor.tick(now)
	if !paused {
		return
	}
	s.lapsedAt = 0
	if h := s.currentHolder(); h != nil {
		h.ResetSilence(now)
	}
	if s.joining != nil {
		s.joining.since = now
	}
}

// step does whatever the state asks for now. Each part is idempotent.
func (s *state) step() {
	if s.view == nil || s.departed {
		return
	}
	s.checkZone()
	s.publishLease()
	s.retryReads()
	s.stepOwn()
	s.sendRenewals()
	s.publishSnapshot()
	s.publishLease()
	s.stepRevocations()
	s.stepMoves()
	s.stepPlan()
}

func (s *state) viewChanged(v *cluster.View) {
	previous := s.view
	s.view = v
	s.replan = true
	s.republish = true
	s.chosen.stale = true
	if n := v.Nodes[s.me.Name]; n != nil && s.own.known && n.Version > s.own.version {
		s.setOwn(n, n.Version)
	}
	s.trackTakeovers(previous)
	s.followHolders()
}

// followHolders tells the grantor which records name this process.
func (s *state) followHolders() {
	s.holders = s.holders[:0]
	for _, n := range s.view.Nodes {
		if !n.Gone() && n.ID.Name != s.me.Name && slices.ContainsFunc(n.Grantors, s.grantor.is) {
			s.holders = append(s.holders, n.ID)
		}
	}
	s.grantor.follow(s.holders, s.gone, s.now)
}

func (s *state) gone(id cluster.NodeID) bool { return plan.Gone(s.view, id) }

func (s *state) stepPlan() {
	due := s.replan || s.now.Sub(s.plannedAt) >= replanInterval
	if s.planner == nil || s.self.IsZero() || !due {
		return
	}
	s.replan = false
	s.plannedAt = s.now
	for _, w := range s.planner.Plan(s.view, s.self, s.now) {
		key := Key{Kind: w.Kind, Name: w.Name}
		if s.ready(key) {
			s.write(Write{Write: w, Purpose: Planned})
		}
	}
}

func (s *state) checkZone() {
	zone, known := s.view.Configuration.Document.AvailabilityZones[s.me.Location.AvailabilityZone]
	out := known && zone.State == zoneOut
	switch {
	case out && s.zoneOutAt == 0:
		s.zoneOutAt = s.now.Add(newWorkGrace)
		s.republish = true
	case !out && s.zoneOutAt != 0:
		s.zoneOutAt = 0
		s.republish = true
	}
}

// leave asks for the end of the registration. The time limit counts from the first request.
func (s *state) leave() {
	s.drain()
	if !s.departing {
		s.departing = true
		s.departBy = s.now.Add(departGrace)
	}
}

func (s *state) drain() {
	if s.draining {
		return
	}
	s.draining = true
	s.drainAt = s.now
	s.republish = true
	s.do(Log{Event: event.DrainStarted, Subject: s.self.String()})
}
