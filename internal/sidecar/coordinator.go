package sidecar

import (
	"context"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/placement"
	"github.com/citronvane/citronvane/internal/store"
)

// coordinator tracks the fleet's leader. While this node is the leader, it polls the other nodes, renews their leases,
// revokes unresponsive ones and assigns key ranges. Its fields belong to the control goroutine. Every write to the store is a
// compare-and-swap, so a second leader wastes work but can't corrupt state. Logs and stored data call the leader the coordinator.
type coordinator struct {
	*node
	// lastPolled is when this node last received a poll, or resigned; lastPoll is that poll without its view.
	lastPolled clock.Instant
	lastPoll   fleet.Poll
	startedAt  clock.Instant
	jitter     time.Duration
	// firstElection is set if jitter is that of a fleet which starts for the first time.
	firstElection bool
	// campaignEnded is when the last lost campaign ended. It delays the next campaign, but does not count as a poll.
	campaignEnded clock.Instant
	// fetchingConfig is set while a read of the configuration is in progress.
	fetchingConfig bool
	// needsFullView is set when the last view delta did not apply to the local view.
	needsFullView bool
	// viewSequence is that of the last poll that this node applied, from the leader of round viewRound.
	viewSequence, viewRound uint64
	// previousRound is the round of the leader before the one whose poll this node applied last.
	previousRound uint64
	// lastRound is the round of this node's latest leadership.
	lastRound uint64
	// configFetchedAt is when this node last read an announced configuration.
	configFetchedAt clock.Instant
	// nextOperatorFetch is when this node may next read the operator's objects without an announcement.
	nextOperatorFetch clock.Instant
	// operatorReadAt is when such a read last succeeded, nextOperatorAsk when this node may next ask other nodes for them.
	operatorReadAt, nextOperatorAsk clock.Instant
	lag                             configLag

	isLeader bool
	// claimedRound is the round under which this leader has last tried to go on after the store came back from a copy.
	claimedRound uint64
	// takeover tells whether ranges may be assigned that no table of the store's current era assigns.
	takeover takeover
	// leadershipVersion is the store version of the leadership record that names this node.
	leadershipVersion uint64
	campaigning       bool // an attempt to acquire leadership is in progress
	round             uint64
	cancelLeadership  context.CancelFunc
	leaderSince       clock.Instant
	// leadershipConfirmed is the send time of the last store call that confirmed this node as the leader.
	leadershipConfirmed clock.Instant
	// renewingSince is the result of renewsSince at the last confirmation.
	renewingSince clock.Instant
	// previousLeaseEnd is when the leadership lease of the previous leader has expired at the latest.
	previousLeaseEnd clock.Instant
	outage           storeOutage
	// operatorUnread is set while the leader can't read the operator's objects. reportedConfig is the highest configuration version that
	// a node has reported meanwhile.
	operatorUnread bool
	reportedConfig uint64
	// announcedConfig is the configuration version that the polls name, announcedAt since when. behindLoggedAt is when the nodes that
	// have not reported it were logged last.
	announcedConfig             uint64
	announcedAt, behindLoggedAt clock.Instant
	history                     *fleet.History
	polledNodes                 map[string]*polledNode
	// encodings holds the encoded changes of the view encodedOf by the number of the change that they follow.
	encodings    map[uint64][]byte
	encodedOf    *fleet.View
	revokedSince map[keyspace.Owner]clock.Instant
	// rebalancedAt holds, by service, when ranges were last moved to balance load.
	rebalancedAt map[string]clock.Instant
	// tableWrittenAt holds, by service, when its table was last written. planScheduled is set while a plan waits for the next write.
	tableWrittenAt map[string]clock.Instant
	planScheduled  bool
	// expectedDemand holds the demand of moved ranges that their new owners have not measured yet.
	expectedDemand []placement.DemandEstimate
	pendingWrites  map[string]bool // names of objects with a write in flight
	// writeRetryAt holds, by object name, when an object whose write the store refused may be written again.
	writeRetryAt map[string]clock.Instant
	// revokeAttempted holds the terms that this leader has tried to revoke. It never renews their leases again, because the
	// write may have taken effect.
	revokeAttempted map[keyspace.Owner]bool
	// quarantined lists the requests that crash targets. savedQuarantine is the version of the list that the store has,
	// quarantineObject the version of its object there, and saveQuarantineAt when the next write may be tried.
	quarantined      fleet.QuarantineList
	savedQuarantine  uint64
	quarantineObject uint64
	saveQuarantineAt clock.Instant
	// receivedQuarantine is the version of the list that this node received last.
	receivedQuarantine uint64
}

// polledNode is the leader's state for one node of the fleet.
type polledNode struct {
	placement.Node
	pollPending bool
	pollSentAt  clock.Instant
	// answered is set once the node has answered a poll of this leader. Its answer tells which objects of the view it has.
	answered bool
	// viewSequence is the number of the latest change of the view up to which the node has all, 0 if that is not known.
	viewSequence uint64
	// held is what the last answer said of the node's view, nil if viewSequence tells it.
	held *fleet.HeldVersions
	// firstHeld and previousRound are what the first answer to this leader said of the node's view and of the leader before.
	firstHeld     *fleet.HeldVersions
	previousRound uint64
	// operatorStamp is the stamp of the operator's objects that the last poll carried.
	operatorStamp uint64
}

// recordAnswer records how much of the view a node has that answers a poll of this leader's round.
func (n *polledNode) recordAnswer(round uint64, r *fleet.Report) {
	if !n.answered {
		n.firstHeld, n.previousRound = r.Held, r.PreviousEpoch
	}
	n.answered, n.held, n.viewSequence = true, r.Held, 0
	if r.ViewEpoch == round {
		n.viewSequence = r.ViewSequence
	}
}

// recordReport records a report unless it may be overtaken. Polls of a node follow each other, so that the answer is that of the running process.
// A report that was sent between polls can arrive after those of the next process, which no number orders.
func (n *polledNode) recordReport(now clock.Instant, r *fleet.Report, answersPoll bool) bool {
	if last := n.Report; last != nil {
		sameProcess := r.ProcessID == last.ProcessID
		if sameProcess && r.SentAt < last.SentAt || !sameProcess && !answersPoll {
			return false
		}
	}
	n.Report, n.LastSeen = r, now
	return true
}

func newCoordinator(n *node) *coordinator {
	c := &coordinator{node: n, startedAt: n.clock.Now(), revokedSince: map[keyspace.Owner]clock.Instant{}, revokeAttempted: map[keyspace.Owner]bool{},
		tableWrittenAt: map[string]clock.Instant{}, writeRetryAt: map[string]clock.Instant{}}
	c.lastPolled = c.startedAt.Add(-electionTimeout)
	c.jitter = c.newElectionJitter()
	return c
}

// handlePoll applies a poll from the leader and returns this node's report. It refuses a poll if it knows a later leader.
func (c *coordinator) handlePoll(now clock.Instant, p *fleet.Poll) *fleet.Report {
	if p.Epoch < c.lastPoll.Epoch || p.Epoch == c.lastPoll.Epoch && c.lastPoll.Coordinator != "" && p.Coordinator != c.lastPoll.Coordinator || c.isLeader && p.Epoch < c.round {
		event.PollRefused.On(c.log).Str("from", p.Coordinator).Uint64("round", p.Epoch).Send()
		return &fleet.Report{Host: c.settings.Host, Refused: true}
	}
	if c.isLeader && p.Epoch > c.round {
		c.resign("received a poll from a later coordinator")
	}
	c.member.followEra(now, p.StoreEra)
	if p.Epoch > c.lastPoll.Epoch {
		c.previousRound = max(c.lastPoll.Epoch, c.lastRound)
	}
	c.lastPolled, c.lastPoll = now, *p
	c.lastPoll.View, c.lastPoll.Config, c.lastPoll.Held = nil, nil, nil
	if p.View != nil {
		c.mergeView(now, p.View)
	}
	if c.firstElection && !c.state.startsFleet() {
		c.jitter = c.newElectionJitter()
	}
	if !c.needsFullView {
		c.viewSequence, c.viewRound = p.ViewSequence, p.Epoch
	}
	c.learnDepartures(now, p.Departures)
	if p.DeparturesKnown && p.ProcessID == c.processIncarnation { // A poll of an earlier process may lack what that has acknowledged since.
		c.member.recordToldDepartures(now)
	}
	if p.Quarantined != nil {
		c.crashes.adopt(now, *p.Quarantined)
		c.receivedQuarantine = p.Quarantined.Version
	}
	c.applyOperatorState(now, p)
	if p.StoreSilentMs > 0 {
		c.probeStore()
	}
	if p.Term != 0 && p.ProcessID == c.processIncarnation {
		owner := keyspace.Owner{Host: c.settings.Host, Term: p.Term}
		c.member.holder.ConfirmByCoordinator(owner, clock.Instant(p.LastReportSentAt), time.Duration(p.CoordinatorLeaseMs)*time.Millisecond)
	}
	r := c.member.buildReport(now)
	if p.Held != nil {
		r.View = c.state.view.Load().NewerThan(p.Held)
	}
	return r
}

// learnDepartures remembers departures that another node knows, and takes over that of the host's own target. The leader polls the hosts
// of new ones at the next tick, because their nodes may have restarted.
func (c *coordinator) learnDepartures(now clock.Instant, list []fleet.Departure) {
	for _, d := range c.departures.add(now, list, c.state.view.Load()) {
		if n := c.polledNodes[d.Host]; n != nil && c.isLeader {
			n.operatorStamp = 0
		}
	}
	if own, ok := c.departures[c.settings.Host]; ok {
		c.member.adoptDeparture(now, own.Departure)
		c.member.reconcile(now)
	}
}

// mergeView merges the full or incremental view of a poll into the local view.
func (c *coordinator) mergeView(now clock.Instant, update *fleet.View) {
	own := c.state.view.Load()
	full, err := update.ExpandDeltas(own)
	c.needsFullView = err != nil
	if err != nil {
		event.ViewDeltaRejected.On(c.log).Str("from", c.lastPoll.Coordinator).Err(err).Send()
		return
	}
	c.installView(now, own.Merge(full))
}

// probeStore checks, for a leader that can't reach the store, whether this node can, and reports success at once.
func (c *coordinator) probeStore() {
	c.runAsync(func(ctx context.Context) func(clock.Instant) {
		_, err := c.store.Get(ctx, fleet.CoordinatorKind, fleet.CoordinatorName)
		return func(after clock.Instant) {
			if err == nil || errs.Is(err, errs.NotFound) {
				c.sendReport(c.member.buildReport(after))
			}
		}
	})
}

// installView replaces the local view with a newer one.
func (c *coordinator) installView(now clock.Instant, v *fleet.View) {
	c.state.view.Store(v)
	if c.isLeader {
		c.history.Record(v)
	}
	if own := v.Targets[c.settings.Host]; own != nil {
		m := c.member
		m.holder.ObserveIncarnation(now, own.StartTimeMs, own.State == fleet.Down)
		if own.Leaves() {
			m.adoptDeparture(now, own.Departure())
		}
		m.markRecordKnown(now)
		if m.record != nil && own.Version > m.record.Version {
			m.record = own
			if own.State == fleet.Revoked && own.Term == m.holder.Owner().Term {
				m.markRevoked("revoked by the coordinator")
			}
		}
	}
	c.state.notify()
	c.member.reconcile(now)
}

// tick makes the time-driven decisions of the control loop.
func (c *coordinator) tick(now clock.Instant) {
	c.releaseKeptZones(now)
	if !c.isLeader {
		if now.Sub(max(c.lastPolled, c.campaignEnded)) > electionTimeout+c.jitter && !c.campaigning && c.state.viewLoaded.Load() && !c.state.draining.Load() {
			c.campaign(now)
		}
		if now.Sub(c.lastPolled) > configFetchTimeout && (!c.state.startsFleet() || now.Sub(c.startedAt) > firstPollWait) {
			c.fetchOperatorState(now, readUnpolled)
			if c.operatorReadAt < c.lastPolled { // The read may take long or fail, and other nodes may still be polled.
				c.askOperatorState(now)
			}
		}
		c.logConfigLag(now)
		return
	}
	c.logNodesBehind(now)
	c.outage.recordAnswer(clock.Instant(c.state.storeAnsweredAt.Load()))
	if c.outage.shouldResign(now) {
		c.resign("the store is unreachable from this node but reachable from others")
		return
	}
	c.quarantined = c.crashes.quarantineList()
	c.saveQuarantine()
	c.pollAll(now)
	c.restoreObjects(now)
	c.plan(now)
	c.deleteLostRecords(now)
}

// listView reads the whole view from the store.
func (n *node) listView(ctx context.Context) (*fleet.View, error) {
	objects, revision, err := n.store.List(ctx, fleet.Kind)
	if err != nil {
		return nil, err
	}
	v := fleet.NewView()
	v.Revision = revision
	for _, o := range objects {
		if o.Name == fleet.QuarantineName {
			n.post(func(now clock.Instant) { n.adoptQuarantineObject(now, o) })
			continue
		}
		if err := v.Apply(store.Change{Object: o}); err != nil {
			event.ObjectInvalid.On(n.log).Str("object", o.Name).Err(err).Send()
		}
	}
	return v, nil
}

// watchFleet watches the target records and assignment tables in the store while this node is the leader.
func (c *coordinator) watchFleet(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		changes, revision, err := c.store.Watch(ctx, fleet.Kind, since, coordinatorWatchWait)
		var listed *fleet.View
		if errs.Is(err, errs.Compacted) {
			listed, err = c.listView(ctx)
		}
		if err != nil {
			if !sleep(ctx, storeRetryDelay) {
				return
			}
			continue
		}
		if listed != nil {
			revision = listed.Revision
		}
		since = revision
		c.post(func(now clock.Instant) {
			if ctx.Err() == nil {
				c.applyFleetChanges(now, changes, revision, listed)
			}
		})
		sleep(ctx, watchBatchInterval)
	}
}

func (c *coordinator) applyFleetChanges(now clock.Instant, changes []store.Change, revision uint64, listed *fleet.View) {
	v := c.state.view.Load()
	if listed != nil {
		v = v.Merge(listed)
	} else {
		v = v.Clone()
		for _, change := range changes {
			if err := v.Apply(change); err != nil {
				event.ObjectInvalid.On(c.log).Str("object", change.Name).Err(err).Send()
			}
		}
		v.Revision = max(v.Revision, revision)
	}
	if listed == nil && len(changes) == 0 {
		return
	}
	c.installView(now, v)
	c.plan(now)
	c.pollAll(now)
}

// pollAll polls the nodes whose poll is due, or whose view or operator state is out of date.
func (c *coordinator) pollAll(now clock.Instant) {
	v := c.state.view.Load()
	sequence := c.history.Sequence()
	operator := c.operatorStamp()
	probes := 0
	for host, t := range v.Targets {
		n := c.polledNodes[host]
		if n == nil {
			n = &polledNode{Node: placement.Node{LastSeen: now}}
			c.polledNodes[host] = n
		}
		if host == c.settings.Host {
			n.Report, n.LastSeen = c.member.buildReport(now), now
			if c.knowsDeparturesOf(now, host) {
				c.member.recordToldDepartures(now)
			}
			if t.State == fleet.Serving && !c.revokeAttempted[t.Owner()] {
				c.member.holder.ConfirmByCoordinator(t.Owner(), now, c.leadershipRemaining(now))
			}
			continue
		}
		if n.pollPending || now.Sub(n.pollSentAt) < pollInterval && n.viewSequence >= sequence && n.operatorStamp == operator && !c.tellsDepartures(now, n, t) {
			continue
		}
		n.operatorStamp = operator
		p := c.newPoll(now, n, t, v)
		if outage := c.outage.duration(now); (outage > 0 || c.operatorUnread) && probes < storeProbesPerRound {
			probes++ // Map iteration order is random, so each round asks other nodes.
			p.StoreSilentMs, p.OperatorUnread, p.ConfigHeld = outage.Milliseconds(), c.operatorUnread, c.state.configVersion.Load()
		}
		c.sendPoll(now, n, t, p)
	}
	for host := range c.polledNodes {
		if v.Targets[host] == nil {
			delete(c.polledNodes, host)
		}
	}
}

// skipSuspension leaves a time in which this process was suspended out of that for which nodes have not answered it.
func (c *coordinator) skipSuspension(pause time.Duration) {
	for _, n := range c.polledNodes {
		n.LastSeen = n.LastSeen.Add(pause)
	}
}

// operatorStamp returns a value that changes with the configuration, the evacuated zones and the quarantined requests.
func (c *coordinator) operatorStamp() uint64 {
	stamp := max(c.state.configVersion.Load(), c.reportedConfig) + c.quarantined.Version
	for zone, since := range *c.state.evacuated.Load() {
		stamp += uint64(since) + uint64(len(zone))
	}
	if c.operatorUnread {
		stamp++
	}
	return stamp
}

// newPoll returns the next poll for a node, with the view changes that it has not seen and the renewal of its lease.
func (c *coordinator) newPoll(now clock.Instant, n *polledNode, t *fleet.Target, v *fleet.View) *fleet.Poll {
	p := &fleet.Poll{Coordinator: c.settings.Host, Relay: c.settings.Relay(), Epoch: c.round,
		StoreEra: c.storeEra, Departures: c.departures.list(), DeparturesKnown: c.tellsDepartures(now, n, t)}
	p.EvacuatedEra, p.EvacuatedRevision = c.evacuatedAt()
	c.announceConfig(p, n)
	if n.Report != nil && n.Report.QuarantineVersion != c.quarantined.Version {
		list := c.quarantined
		p.Quarantined = &list
	}
	for zone := range *c.state.listedZones.Load() {
		p.EvacuatedZones = append(p.EvacuatedZones, zone)
	}
	if c.lacksObjectsOf(n) {
		p.Held = v.HeldVersions()
	}
	if n.answered {
		p.ViewSequence = c.history.Sequence()
		p.EncodedView = c.viewUpdate(v, n)
	}
	if n.Report != nil {
		p.ProcessID, p.LastReportSentAt = n.Report.ProcessID, n.Report.SentAt
	}
	if n.Report != nil && (t.State == fleet.Serving || t.State == fleet.Leaving) && !c.revokeAttempted[t.Owner()] {
		p.Term = t.Term
		// The node counts the lease from when it sent the report, which was before LastSeen.
		p.CoordinatorLeaseMs = c.leadershipRemaining(n.LastSeen).Milliseconds()
	}
	return p
}

// viewUpdate returns the encoded objects of the view that the node lacks, or nil if it has all. What a node has that did not get its view
// from this leader is told by its report: most nodes have all objects after a change of the leader, and complete views for 60 nodes
// fill a link of 10 Mbit/s for more than two seconds, in which other nodes lose contact with the leader and replace it.
func (c *coordinator) viewUpdate(v *fleet.View, n *polledNode) []byte {
	switch {
	case n.viewSequence >= c.history.Sequence():
		return nil
	case n.viewSequence == 0 && n.held != nil:
		return c.history.Missing(v, n.held).Encode()
	}
	return c.encodedView(v, n.viewSequence)
}

// encodedView returns the encoding of what has changed in the view after the change with the number. Most nodes have the same.
func (c *coordinator) encodedView(v *fleet.View, sequence uint64) []byte {
	if c.encodedOf != v {
		c.encodedOf, c.encodings = v, map[uint64][]byte{}
	}
	data, ok := c.encodings[sequence]
	if !ok {
		data = c.history.Since(v, sequence).Encode()
		c.encodings[sequence] = data
	}
	return data
}

func (c *coordinator) sendPoll(now clock.Instant, n *polledNode, t *fleet.Target, p *fleet.Poll) {
	n.pollPending, n.pollSentAt = true, now
	round := c.round
	c.runAsync(func(ctx context.Context) func(clock.Instant) {
		r, err := c.sendMessage(ctx, t.Relay, methodPoll, p.Encode())
		return func(after clock.Instant) {
			n.pollPending = false
			if err != nil {
				n.operatorStamp = 0 // The operator's objects may not have arrived; the next tick polls again.
			}
			if err != nil || !c.isLeader || c.round != round {
				return
			}
			if r.Refused {
				c.resign("a node refused the poll because it knows a later coordinator")
				return
			}
			first := !n.answered
			n.recordAnswer(round, r)
			if r.View != nil {
				c.adoptObjects(after, r.View)
			}
			c.handleReport(after, r, true, len(r.Released) > 0)
			if first {
				c.pollAgain(after, t.Host)
			}
		}
	})
}

// pollAgain polls a node that has just answered its first poll, with the objects of the view and the configuration that it lacks.
func (c *coordinator) pollAgain(now clock.Instant, host string) {
	v, n := c.state.view.Load(), c.polledNodes[host]
	t := v.Targets[host]
	if !c.isLeader || n == nil || t == nil || n.pollPending || n.viewSequence >= c.history.Sequence() && c.documentFor(n) == nil && !c.lacksObjectsOf(n) {
		return
	}
	c.sendPoll(now, n, t, c.newPoll(now, n, t, v))
}

// handleReport records a report, which answers a poll or was sent between polls. An urgent report causes a new plan at once,
// others wait for the next tick.
func (c *coordinator) handleReport(now clock.Instant, r *fleet.Report, answersPoll, urgent bool) {
	c.learnDepartures(now, r.Departures)
	n := c.polledNodes[r.Host]
	if !c.isLeader || n == nil {
		return
	}
	if n.recordReport(now, r, answersPoll) {
		c.outage.recordOtherAnswer(now, time.Duration(r.StoreAgeMs)*time.Millisecond)
	} else if r.ProcessID != n.Report.ProcessID {
		n.pollSentAt, n.operatorStamp = 0, 0
		c.pollAll(now) // The answer tells which process runs.
	}
	c.recordCrashes(now, r)
	c.recordReportedOperatorState(now, r)
	if own := r.Record; own != nil {
		if old := c.state.view.Load().Targets[own.Host]; old != nil && old.Version < own.Version {
			c.installView(now, c.state.view.Load().WithTarget(own)) // A watch may miss changes.
			urgent = true
		}
	}
	if urgent {
		c.plan(now)
	}
}

// sendReport sends this node's report to the leader between polls.
func (c *coordinator) sendReport(r *fleet.Report) {
	if c.isLeader {
		c.handleReport(c.clock.Now(), r, true, true)
		return
	}
	if c.lastPoll.Relay == "" {
		return
	}
	relay := c.lastPoll.Relay
	c.runAsync(func(ctx context.Context) func(clock.Instant) {
		_, err := c.sendMessage(ctx, relay, methodReport, r.Encode())
		return func(clock.Instant) {
			if err != nil {
				c.log.Debug().Err(err).Msg("sending a report to the coordinator failed; the next poll returns it")
			}
		}
	})
}
