package sidecar

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
)

// The operator's objects, the configuration and the evacuated zones, reach the nodes through the leader: only the leader watches them,
// and its polls carry them, so that a change costs no call to the store a node. Of a configuration above maxPolledConfigBytes they carry
// only the version, and each node reads it. A leader that can't read the objects asks some nodes in turn to read them and to report what
// is newer, small configurations with the document. A node that is not polled reads them itself. A node that has to read them and can't, because
// the store refuses it, asks other nodes.

// applyOperatorState applies the operator's objects that the poll carries: the configuration version and the evacuated zones.
func (c *coordinator) applyOperatorState(now clock.Instant, p *fleet.Poll) {
	c.lag.recordAnnouncement(now, p)
	switch {
	case p.ConfigVersion == 0 && len(p.Config) > 0: // The leader runs an earlier release.
		c.applyStoredConfig(store.Object{Version: p.ConfigRevision, Value: p.Config}, sourcePoll)
	case len(p.Config) > 0:
		c.applyToldConfig(p.ConfigVersion, p.Config, sourcePoll)
	case c.isAnnounced(p):
		c.fetchAnnouncedConfig(now)
	}
	c.applyToldEvacuations(p.EvacuatedZones, p.EvacuatedEra, p.EvacuatedRevision)
	if p.OperatorUnread {
		c.fetchOperatorState(now, readAsked)
	}
}

// isAnnounced reports whether the poll names a later configuration than this node has.
func (n *node) isAnnounced(p *fleet.Poll) bool {
	if p.ConfigVersion == 0 { // The leader runs an earlier release.
		return p.ConfigRevision > store.Revision(n.configRevision.Load())
	}
	return p.ConfigVersion > n.state.configVersion.Load()
}

// fetchAnnouncedConfig reads the configuration whose version the leader has announced.
func (c *coordinator) fetchAnnouncedConfig(now clock.Instant) {
	if c.fetchingConfig {
		return // The end of the read looks for a later announcement.
	}
	c.fetchingConfig = true
	wait := c.configFetchedAt.Add(configFetchSpacing).Sub(now)
	c.runAsyncWithin(configReadTimeout, func(ctx context.Context) func(clock.Instant) {
		sleep(ctx, wait)
		err := c.fetchConfig(ctx)
		c.recordOperatorRead(readAnnounced, err)
		return func(after clock.Instant) {
			c.fetchingConfig, c.configFetchedAt = false, after
			c.lag.recordRead(err)
			if !c.isAnnounced(&c.lastPoll) {
				return
			}
			c.askOperatorState(after) // The store refuses this node, or came back from a copy and has an older configuration.
			if err == nil {
				c.fetchAnnouncedConfig(after)
			}
		}
	})
}

// announceConfig adds the configuration to a poll for a node that has an older one.
func (c *coordinator) announceConfig(p *fleet.Poll, n *polledNode) {
	p.ConfigVersion, p.ConfigRevision = max(c.state.configVersion.Load(), c.reportedConfig), store.Revision(c.configRevision.Load())
	p.Config = c.documentFor(n)
}

// documentFor returns the configuration document that the next poll carries to the node, nil if it carries none.
func (c *coordinator) documentFor(n *polledNode) []byte {
	document := c.state.configDocument.Load()
	if document == nil || document.version != max(c.state.configVersion.Load(), c.reportedConfig) || len(document.value) > maxPolledConfigBytes ||
		n.Report == nil || n.Report.ConfigVersion >= document.version {
		return nil
	}
	return document.value
}

// fetchOperatorState reads the operator's objects from the store, unless the node has just done so.
func (c *coordinator) fetchOperatorState(now clock.Instant, reason readReason) {
	if now < c.nextOperatorFetch {
		return
	}
	c.nextOperatorFetch = now.Add(operatorFetchInterval)
	c.runAsyncWithin(configReadTimeout, func(ctx context.Context) func(clock.Instant) {
		err := c.fetchConfig(ctx)
		if err == nil {
			err = c.fetchEvacuations(ctx)
		}
		c.recordOperatorRead(reason, err)
		return func(after clock.Instant) {
			c.lag.recordRead(err)
			if err != nil {
				c.nextOperatorFetch = now.Add(operatorFetchBackoff)
			} else {
				c.operatorReadAt = after
			}
			if c.state.configVersion.Load() > c.lastPoll.ConfigVersion || c.hasLaterEvacuations() {
				c.sendReport(c.member.buildReport(after))
			}
		}
	})
}

// hasLaterEvacuations reports whether this node has read the evacuated zones later than the leader, as far as the last poll shows.
func (c *coordinator) hasLaterEvacuations() bool {
	return c.state.evacuatedVersion.Load() > c.toldVersion(c.lastPoll.EvacuatedEra, c.lastPoll.EvacuatedRevision)
}

// addOperatorState adds what this node knows of the operator's objects to a report for the leader.
func (c *coordinator) addOperatorState(r *fleet.Report) {
	r.ConfigVersion = c.state.configVersion.Load()
	if document := c.state.configDocument.Load(); c.lastPoll.OperatorUnread && document != nil && document.version > c.lastPoll.ConfigHeld && len(document.value) <= maxPolledConfigBytes {
		r.ConfigVersion, r.Config = document.version, document.value
	}
	if c.hasLaterEvacuations() {
		r.EvacuatedEra, r.EvacuatedRevision = c.evacuatedAt()
		r.EvacuatedZones = slices.Sorted(maps.Keys(*c.state.listedZones.Load()))
	}
}

// recordReportedOperatorState takes over what a node has read later than this leader, which can't read it at the moment.
func (c *coordinator) recordReportedOperatorState(now clock.Instant, r *fleet.Report) {
	if !c.operatorUnread {
		return
	}
	c.applyToldEvacuations(r.EvacuatedZones, r.EvacuatedEra, r.EvacuatedRevision)
	known := max(c.state.configVersion.Load(), c.reportedConfig)
	if len(r.Config) > 0 { // Hosts that the store refuses have no other way to it than the polls of this leader.
		c.applyToldConfig(r.ConfigVersion, r.Config, sourceReport)
	}
	if r.ConfigVersion > known {
		c.reportedConfig = r.ConfigVersion
		c.pollAll(now)
	}
}

// refresh periodically confirms leadership and reads the operator's objects while this node is the leader, because a watch
// may miss changes.
func (c *coordinator) refresh(ctx context.Context) {
	for round := 0; round == 0 || sleep(ctx, refreshInterval); round++ {
		readCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		var group sync.WaitGroup
		var configErr, evacuationErr error
		read := func(call func()) { group.Go(func() { c.protect("refresh", call) }) }
		read(func() { c.confirmLeadership(readCtx, ctx) })
		read(func() { configErr = c.fetchConfig(readCtx) })
		if round%evacuationRefreshRounds == 0 {
			read(func() { evacuationErr = c.fetchEvacuations(readCtx) })
		}
		group.Wait()
		cancel()
		c.post(func(now clock.Instant) {
			if c.isLeader && ctx.Err() == nil {
				c.operatorUnread = configErr != nil || evacuationErr != nil
				if !c.operatorUnread {
					c.reportedConfig = 0
				}
				c.pollAll(now)
			}
		})
	}
}

// followConfig applies each new configuration from the store.
func (n *node) followConfig(ctx context.Context) {
	n.followKind(ctx, platform.ConfigKind, func(changes []store.Change, _ uint64, _ bool) {
		for _, c := range changes {
			if c.Name == platform.ConfigName && !c.Deleted {
				n.applyStoredConfig(c.Object, sourceStore)
			}
		}
	})
}

// fetchConfig reads the configuration without a watch.
func (n *node) fetchConfig(ctx context.Context) error {
	o, err := n.store.Get(ctx, platform.ConfigKind, platform.ConfigName)
	if err == nil {
		n.applyStoredConfig(o, sourceStore)
	}
	return err
}

// applyStoredConfig applies an object of the store that holds a configuration, unless it is not later than the current one.
func (n *node) applyStoredConfig(o store.Object, source configSource) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if o.Version == n.configRevision.Swap(o.Version) {
		return // It was read before. The coordinator reads it each refreshInterval.
	}
	next, err := platform.DecodeConfig(o.Value)
	if err != nil {
		event.ConfigInvalid.On(n.log).Uint64("revision", o.Version).Err(err).Send()
		return
	}
	held := n.state.configVersion.Load()
	if next.Version < held {
		event.StaleObject.On(n.log).Str("object", platform.ConfigName).Uint64("version", next.Version).Uint64("held", held).Uint64("revision", o.Version).Send()
		return
	}
	n.installConfig(next, o.Value, source)
}

// applyToldConfig applies the configuration that another node has sent, unless it is not later than the current one.
func (n *node) applyToldConfig(version uint64, value []byte, source configSource) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if version <= n.state.configVersion.Load() {
		return
	}
	next, err := platform.DecodeConfig(value)
	if err != nil {
		event.ConfigInvalid.On(n.log).Uint64("version", version).Err(err).Send()
		return
	}
	n.installConfig(next, value, source)
}

// installConfig puts a configuration in force unless the current one has the same version or a later one. The caller holds applyMu.
func (n *node) installConfig(next *ingress.Config, value []byte, source configSource) {
	if old := n.state.config.Load(); old != nil && next.Version <= old.Version {
		return // An accepted configuration is never reverted, whatever the store's revisions say.
	}
	n.quotas.applyConfig(next)
	n.state.config.Store(next)
	n.state.configDocument.Store(documentForNodes(next.Version, value, next.Tenants != nil))
	n.state.configVersion.Store(next.Version)
	n.metrics.recordConfig(source, next.Version)
	event.ConfigApplied.On(n.log).Uint64("version", next.Version).Uint64("revision", n.configRevision.Load()).Str("source", string(source)).Int("tenants", len(next.Tenants.Tenants())).Send()
	n.entrance.applyConfig(next)
	n.gate.applyConfig(next)
}
