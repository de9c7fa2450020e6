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
	"github.com/citronvane/citronvane/platform"
)

// coordinator polls the nodes, revokes silent ones and assigns ranges while this node leads. Its fields belong to the
// control goroutine. Whatever it writes is a compare-and-swap, so that a second coordinator costs work only.
type coordinator struct {
	*node
	// polled is when the last poll of a coordinator came; leader is who sent it.
	polled clock.Instant
	leader fleet.Poll
	spread time.Duration
	// asked is when a campaign ended without the lead. It puts the next one off, but does not stand for a poll.
	asked clock.Instant
	// fetching says that a read of the configuration is under way.
	fetching bool
	// behind says that the node's view can't be brought up to date with changes.
	behind bool
	// fetched is when the node last read the configuration by itself.
	fetched clock.Instant

	leads bool
	// leadVersion is the store's version of the record that names this node.
	leadVersion uint64
	busy        bool // a call about the lead is under way
	round       uint64
	stop        context.CancelFunc
	began       clock.Instant
	// confirmed is when the last check was sent that showed this node as the coordinator.
	confirmed clock.Instant
	// spoke is what speaks returned at the last check of the lead.
	spoke clock.Instant
	// settled is when the words of the last coordinator have certainly run out.
	settled clock.Instant
	outage  outage
	history *fleet.History
	members map[string]*polledNode
	revoked map[keyspace.Owner]clock.Instant
	// balanced holds when ranges of a service were last moved for balance.
	balanced map[string]clock.Instant
	// expected holds the demand of ranges that new owners have not measured yet.
	expected []placement.DemandEstimate
	writing  map[string]bool // objects with a write under way
	// revoking holds the terms that this coordinator has tried to revoke; it never gives its word for them again.
	revoking   map[keyspace.Owner]bool
	crashes    map[uint64]map[string]int
	quarantine []uint64
}

// polledNode is a node as the coordinator knows it.
type polledNode struct {
	placement.Node
	polling bool
	sent    clock.Instant
	stamp   uint64
	// operator is the newest revision of the operator's objects that a poll named.
	operator uint64
}

func newCoordinator(n *node) *coordinator {
	c := &coordinator{node: n, polled: n.clock.Now().Add(-leadSilence)}
	c.spread = c.newSpread()
	return c
}

// poll takes a poll. The report is marked as refused if a later coordinator is known.
func (c *coordinator) poll(now clock.Instant, p *fleet.Poll) *fleet.Report {
	if p.Epoch < c.leader.Epoch || p.Epoch == c.leader.Epoch && c.leader.Coordinator != "" && p.Coordinator != c.leader.Coordinator || c.leads && p.Epoch < c.round {
		event.PollRefused.On(c.log).Str("from", p.Coordinator).Uint64("round", p.Epoch).Send()
		return &fleet.Report{Host: c.settings.Host, Refused: true}
	}
	if c.leads && p.Epoch > c.round {
		c.resign("a later coordinator polls")
	}
	c.polled, c.leader = now, *p
	c.leader.View = nil
	if p.View != nil {
		c.receive(now, p.View)
	}
	c.gate.setQuarantine(p.Quarantine)
	c.hear(p)
	if p.StoreSilentMs > 0 {
		c.tryStore()
	}
	if p.Term != 0 && p.ProcessID == c.process {
		owner := keyspace.Owner{Host: c.settings.Host, Term: p.Term}
		c.member.holder.ConfirmByCoordinator(owner, clock.Instant(p.LastReportSentAt), time.Duration(p.CoordinatorLeaseMs)*time.Millisecond)
	}
	return c.member.report(now)
}

// fetchBehind reads the configuration that the coordinator names, unless the node's own watch brings it.
func (c *coordinator) fetchBehind(version uint64) {
	c.fetching = true
	c.background(func(ctx context.Context) func(clock.Instant) {
		sleep(ctx, patienceFor(c.state.configBytes.Load(), c.settings.LinkMbps))
		if c.state.configAt.Load() < version {
			c.fetchConfig(ctx)
		}
		return func(clock.Instant) {
			c.fetching = false
		}
	})
}

// patienceFor returns how long to wait for the own watch to bring a document of about so many bytes.
func patienceFor(bytes int64, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return watchPatience
	}
	onLink := time.Duration(float64(8*bytes) / (linkMbps * 1e6) * float64(time.Second))
	return min(watchPatience+2*onLink, maxWatchPatience)
}

// receive merges the newer parts of the coordinator's view.
func (c *coordinator) receive(now clock.Instant, newer *fleet.View) {
	own := c.state.view.Load()
	whole, err := newer.ExpandDeltas(own)
	c.behind = err != nil
	if err != nil {
		event.ViewRefused.On(c.log).Str("from", c.leader.Coordinator).Err(err).Send()
		return
	}
	c.take(now, own.Merge(whole))
}

// tryStore finds out for a coordinator that gets no answer from the store whether this node gets one.
func (c *coordinator) tryStore() {
	c.background(func(ctx context.Context) func(clock.Instant) {
		_, err := c.store.Get(ctx, fleet.CoordinatorKind, fleet.CoordinatorName)
		return func(after clock.Instant) {
			if err == nil {
				c.tell(c.member.report(after))
			}
		}
	})
}

// hear takes what the poll says of the operator's objects.
func (c *coordinator) hear(p *fleet.Poll) {
	if p.ConfigVersion > c.state.configAt.Load() && !c.fetching {
		c.fetchBehind(p.ConfigVersion)
	}
	if p.EvacuatedRevision > c.state.evacuatedAt.Load() {
		zones := make([]store.Change, len(p.EvacuatedZones))
		for i, zone := range p.EvacuatedZones {
			zones[i].Name = zone
		}
		c.applyEvacuations(zones, p.EvacuatedRevision, true)
	}
}

// refresh reads the operator's objects while this node leads, because a watch may miss changes.
func (c *coordinator) refresh(ctx context.Context) {
	for sleep(ctx, refreshInterval) {
		c.checkLead(ctx)
		c.fetchConfig(ctx)
		if changes, revision, err := c.listKind(ctx, platform.EvacuationKind); err == nil {
			c.applyEvacuations(changes, revision, true)
		}
		c.post(func(now clock.Instant) {
			if c.leads {
				c.pollAll(now)
			}
		})
	}
}

// take puts a newer view in force at this node.
func (c *coordinator) take(now clock.Instant, v *fleet.View) {
	c.state.view.Store(v)
	if c.leads {
		c.history.Record(v)
	}
	if own := v.Targets[c.settings.Host]; own != nil {
		if m := c.member; m.record != nil && own.Version > m.record.Version {
			m.record = own
			if own.State == fleet.Revoked && own.Term == m.holder.Owner().Term {
				m.revoked("the coordinator revoked it")
			}
		}
	}
	c.state.notify()
	c.member.reconcile(now)
}

// tick makes the time-driven decisions.
func (c *coordinator) tick(now clock.Instant) {
	if !c.leads {
		if now.Sub(max(c.polled, c.asked)) > leadSilence+c.spread && !c.busy && c.state.listed.Load() && !c.state.draining.Load() {
			c.campaign(now)
		}
		if now.Sub(c.polled) > unpolled && now.Sub(c.fetched) > refreshInterval {
			c.fetched = now
			c.background(func(ctx context.Context) func(clock.Instant) {
				c.fetchConfig(ctx)
				return func(clock.Instant) {}
			})
		}
		return
	}
	c.outage.answered(clock.Instant(c.state.storeHeard.Load()))
	if c.outage.yield(now) {
		c.resign("the store answers other nodes")
		return
	}
	c.pollAll(now)
	c.plan(now)
	c.forget(now)
}

// list reads the whole view.
func (n *node) list(ctx context.Context) (*fleet.View, error) {
	objects, revision, err := n.store.List(ctx, fleet.Kind)
	if err != nil {
		return nil, err
	}
	v := fleet.NewView()
	v.Revision = revision
	for _, o := range objects {
		if err := v.Apply(store.Change{Object: o}); err != nil {
			event.ObjectUnread.On(n.log).Str("object", o.Name).Err(err).Send()
		}
	}
	return v, nil
}

// watch follows the product's own objects while this node leads.
func (c *coordinator) watch(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		changes, revision, err := c.store.Watch(ctx, fleet.Kind, since, leadWatchWait)
		var listed *fleet.View
		if errs.Is(err, errs.Compacted) {
			listed, err = c.list(ctx)
		}
		if err != nil {
			if !sleep(ctx, storeRetry) {
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
				c.watched(now, changes, revision, listed)
			}
		})
		sleep(ctx, gatherEvents)
	}
}

func (c *coordinator) watched(now clock.Instant, changes []store.Change, revision uint64, listed *fleet.View) {
	v := c.state.view.Load()
	if listed != nil {
		v = v.Merge(listed)
	} else {
		v = v.Clone()
		for _, change := range changes {
			if err := v.Apply(change); err != nil {
				event.ObjectUnread.On(c.log).Str("object", change.Name).Err(err).Send()
			}
		}
		v.Revision = max(v.Revision, revision)
	}
	if listed == nil && len(changes) == 0 {
		return
	}
	c.take(now, v)
	c.plan(now)
	c.pollAll(now)
}

// pollAll polls the nodes that are due or have an older view.
func (c *coordinator) pollAll(now clock.Instant) {
	v := c.state.view.Load()
	stamp := v.LatestVersion()
	operator := c.operatorStamp()
	asked := 0
	for host, t := range v.Targets {
		n := c.members[host]
		if n == nil {
			n = &polledNode{Node: placement.Node{LastSeen: now}}
			c.members[host] = n
		}
		if host == c.settings.Host {
			n.Report, n.LastSeen = c.member.report(now), now
			if t.State == fleet.Serving && !c.revoking[t.Owner()] {
				c.member.holder.ConfirmByCoordinator(t.Owner(), now, c.authority(now))
			}
			continue
		}
		if n.polling || now.Sub(n.sent) < pollInterval && n.stamp >= stamp && n.operator == operator {
			continue
		}
		n.operator = operator
		p := c.message(now, n, t, v, stamp)
		if silent := c.outage.silent(now); silent > 0 && asked < askedNodes {
			asked++ // The order of the hosts is random.
			p.StoreSilentMs = silent.Milliseconds()
		}
		c.send(now, n, t, p)
	}
	for host := range c.members {
		if v.Targets[host] == nil {
			delete(c.members, host)
		}
	}
}

// operatorStamp changes with the configuration and with the evacuated zones.
func (c *coordinator) operatorStamp() uint64 {
	stamp := c.state.configAt.Load()
	for zone, since := range *c.state.evacuated.Load() {
		stamp += uint64(since) + uint64(len(zone))
	}
	return stamp
}

// message returns a poll for the node.
func (c *coordinator) message(now clock.Instant, n *polledNode, t *fleet.Target, v *fleet.View, stamp uint64) *fleet.Poll {
	p := &fleet.Poll{Coordinator: c.settings.Host, Relay: c.settings.Relay(), Epoch: c.round, Quarantine: c.quarantine,
		ConfigVersion: c.state.configAt.Load(), EvacuatedRevision: c.state.evacuatedAt.Load()}
	for zone := range *c.state.evacuated.Load() {
		p.EvacuatedZones = append(p.EvacuatedZones, zone)
	}
	if n.stamp < stamp {
		p.View = c.history.Since(v, n.stamp)
	}
	if n.Report != nil && (t.State == fleet.Serving || t.State == fleet.Leaving) && !c.revoking[t.Owner()] {
		p.Term, p.ProcessID, p.LastReportSentAt, p.CoordinatorLeaseMs = t.Term, n.Report.ProcessID, n.Report.SentAt, c.authority(now).Milliseconds()
	}
	return p
}

func (c *coordinator) send(now clock.Instant, n *polledNode, t *fleet.Target, p *fleet.Poll) {
	n.polling, n.sent = true, now
	round := c.round
	c.background(func(ctx context.Context) func(clock.Instant) {
		r, err := c.exchange(ctx, t.Relay, methodPoll, p.Encode())
		return func(after clock.Instant) {
			n.polling = false
			if err != nil || !c.leads || c.round != round {
				return
			}
			if r.Refused {
				c.resign("a node knows a later coordinator")
				return
			}
			n.stamp = r.ViewVersion
			c.reported(after, r, len(r.Released) > 0)
		}
	})
}

// reported takes a report, as the answer to a poll or between polls. Urgent ones are acted on at once, the others at the next tick.
func (c *coordinator) reported(now clock.Instant, r *fleet.Report, urgent bool) {
	n := c.members[r.Host]
	if !c.leads || n == nil {
		return
	}
	n.Report, n.LastSeen = r, now
	c.outage.reported(now, time.Duration(r.StoreAgeMs)*time.Millisecond)
	c.countCrashes(r)
	if own := r.Record; own != nil {
		if old := c.state.view.Load().Targets[own.Host]; old != nil && old.Version < own.Version {
			c.take(now, c.state.view.Load().WithTarget(own)) // The watch may miss changes.
			urgent = true
		}
	}
	if urgent {
		c.plan(now)
	}
}

// tell sends the node's own report to the coordinator between polls.
func (c *coordinator) tell(r *fleet.Report) {
	if c.leads {
		c.reported(c.clock.Now(), r, true)
		return
	}
	if c.leader.Relay == "" {
		return
	}
	relay := c.leader.Relay
	c.background(func(ctx context.Context) func(clock.Instant) {
		_, err := c.exchange(ctx, relay, methodReport, r.Encode())
		return func(clock.Instant) {
			if err != nil {
				c.log.Debug().Err(err).Msg("report was not taken; the next poll repeats it")
			}
		}
	})
}
