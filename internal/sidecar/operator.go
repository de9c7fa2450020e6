package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

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
	c.applyToldEvacuations(p.EvacuatedZones, p.EvacuatedRevision)
	if p.OperatorUnread {
		c.fetchOperatorState(now, readAsked)
	}
}

// applyToldEvacuations applies the evacuated zones that another node has read at the revision, if that is later.
func (n *node) applyToldEvacuations(zones []string, revision uint64) {
	if revision <= n.state.evacuatedRevision.Load() {
		return
	}
	changes := make([]store.Change, len(zones))
	for i, zone := range zones {
		changes[i].Name = zone
	}
	n.applyEvacuations(changes, revision, true)
}

// isAnnounced reports whether the poll names a later configuration than this node has.
func (n *node) isAnnounced(p *fleet.Poll) bool {
	if p.ConfigVersion == 0 { // The leader runs an earlier release.
		return p.ConfigRevision > n.configRevision.Load()
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
	p.ConfigVersion, p.ConfigRevision = max(c.state.configVersion.Load(), c.reportedConfig), c.configRevision.Load()
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
			if c.state.configVersion.Load() > c.lastPoll.ConfigVersion || c.state.evacuatedRevision.Load() > c.lastPoll.EvacuatedRevision {
				c.sendReport(c.member.buildReport(after))
			}
		}
	})
}

// askOperatorState asks some other nodes for the operator's objects. A small document comes with the answers, a large one is read from one
// of the nodes that have it.
func (c *coordinator) askOperatorState(now clock.Instant) {
	if now < c.nextOperatorAsk {
		return
	}
	c.nextOperatorAsk = now.Add(operatorAskInterval)
	relays := c.randomRelays(operatorAskNodes)
	c.runAsyncWithin(configReadTimeout, func(ctx context.Context) func(clock.Instant) {
		relay, version := c.askNodes(ctx, relays)
		if version <= c.state.configVersion.Load() {
			return func(clock.Instant) {}
		}
		c.post(func(began clock.Instant) { c.nextOperatorAsk = began.Add(configReadTimeout) }) // One transfer of a large document at a time.
		_, _ = c.askNode(ctx, configReadTimeout, store.MaxValueBytes, relay)                   // A failure is logged, and others are asked next.
		return func(after clock.Instant) { c.nextOperatorAsk = after }
	})
}

// askNodes asks the nodes at once, and returns the highest configuration version that one of them has, and that node.
func (n *node) askNodes(ctx context.Context, relays []string) (relay string, version uint64) {
	versions := make([]uint64, len(relays))
	var group sync.WaitGroup
	for i, relay := range relays {
		group.Go(func() {
			n.protect("ask", func() { versions[i], _ = n.askNode(ctx, pollTimeout, maxPolledConfigBytes, relay) }) // The others may answer.
		})
	}
	group.Wait()
	for i, v := range versions {
		if v > version {
			relay, version = relays[i], v
		}
	}
	return relay, version
}

// askNode asks a node for the operator's objects, applies those that it answers, and returns its configuration version.
func (n *node) askNode(ctx context.Context, timeout time.Duration, limit int, relay string) (uint64, error) {
	query := &fleet.Report{Host: n.settings.Host, ConfigVersion: n.state.configVersion.Load(), OperatorStateLimit: limit}
	r, err := n.sendMessageWithin(ctx, timeout, relay, methodOperatorState, query.Encode())
	if err != nil {
		event.OperatorReadFailed.On(n.log).Str("reason", "asked node").Str("from", relay).Err(err).Send()
		return 0, err
	}
	if len(r.Config) > 0 {
		n.applyToldConfig(r.ConfigVersion, r.Config, sourceNode)
	}
	n.applyToldEvacuations(r.EvacuatedZones, r.EvacuatedRevision)
	return r.ConfigVersion, nil
}

// randomRelays returns the relay addresses of up to n other hosts whose targets were not lost, in random order.
func (c *coordinator) randomRelays(n int) []string {
	var relays []string
	for host, t := range c.state.view.Load().Targets {
		if host != c.settings.Host && t.State != fleet.Revoked {
			relays = append(relays, t.Relay)
		}
	}
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	return relays[:min(n, len(relays))]
}

// operatorState answers another node's query for the operator's objects.
func (n *node) operatorState(query *fleet.Report) *fleet.Report {
	answer := &fleet.Report{
		Host: n.settings.Host, ConfigVersion: n.state.configVersion.Load(),
		EvacuatedRevision: n.state.evacuatedRevision.Load(), EvacuatedZones: slices.Sorted(maps.Keys(*n.state.listedZones.Load())),
	}
	if document := n.state.configDocument.Load(); document != nil && document.version > query.ConfigVersion && len(document.value) <= query.OperatorStateLimit {
		answer.ConfigVersion, answer.Config = document.version, document.value
	}
	return answer
}

// addOperatorState adds what this node knows of the operator's objects to a report for the leader.
func (c *coordinator) addOperatorState(r *fleet.Report) {
	r.ConfigVersion = c.state.configVersion.Load()
	if document := c.state.configDocument.Load(); c.lastPoll.OperatorUnread && document != nil && document.version > c.lastPoll.ConfigHeld && len(document.value) <= maxPolledConfigBytes {
		r.ConfigVersion, r.Config = document.version, document.value
	}
	if revision := c.state.evacuatedRevision.Load(); revision > c.lastPoll.EvacuatedRevision {
		r.EvacuatedRevision = revision
		r.EvacuatedZones = slices.Sorted(maps.Keys(*c.state.listedZones.Load()))
	}
}

// recordReportedOperatorState takes over what a node has read later than this leader, which can't read it at the moment.
func (c *coordinator) recordReportedOperatorState(now clock.Instant, r *fleet.Report) {
	if !c.operatorUnread {
		return
	}
	c.applyToldEvacuations(r.EvacuatedZones, r.EvacuatedRevision)
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
		read(func() { c.confirmLeadership(readCtx) })
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

// fetchEvacuations reads the evacuated zones without a watch.
func (n *node) fetchEvacuations(ctx context.Context) error {
	changes, revision, err := n.listKind(ctx, platform.EvacuationKind)
	if err == nil {
		n.applyEvacuations(changes, revision, true)
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

// followEvacuations applies changes of the set of evacuated zones.
func (n *node) followEvacuations(ctx context.Context) {
	n.followKind(ctx, platform.EvacuationKind, n.applyEvacuations)
}

// applyEvacuations changes the set of evacuated zones, unless the current set is from a later revision.
func (n *node) applyEvacuations(changes []store.Change, revision uint64, replace bool) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	held := n.state.evacuatedRevision.Load()
	if revision < held {
		n.lines.logLimited(func(l *log.Logger) {
			event.StaleObject.On(l).Str("object", platform.EvacuationKind).Uint64("revision", revision).Uint64("held", held).Send()
		})
		return
	}
	if held > 0 && store.Era(revision) > store.Era(held) {
		n.zonesKeptUntil = n.clock.Now().Add(restoredZoneRetention)
	}
	listed := map[string]bool{}
	if !replace {
		maps.Copy(listed, *n.state.listedZones.Load())
	}
	deleted := map[string]bool{}
	for _, c := range changes {
		if c.Deleted {
			delete(listed, c.Name)
			deleted[c.Name] = true
		} else {
			listed[c.Name] = true
		}
	}
	n.state.listedZones.Store(&listed)
	n.state.evacuatedRevision.Store(revision)
	n.updateEvacuated(deleted)
}

// updateEvacuated puts the listed zones in force. After the store came back from a copy, a zone that the list lacks stays evacuated for a while,
// unless its entry was deleted since: the copy may be older than the entry, which the operator then writes again. The caller holds applyMu.
func (n *node) updateEvacuated(deleted map[string]bool) {
	now := n.clock.Now()
	old, listed := *n.state.evacuated.Load(), *n.state.listedZones.Load()
	zones := map[string]clock.Instant{}
	for zone := range listed {
		zones[zone] = now
	}
	for zone, since := range old {
		if listed[zone] || now < n.zonesKeptUntil && !deleted[zone] {
			zones[zone] = since
		}
	}
	if maps.Equal(old, zones) {
		return
	}
	n.state.evacuated.Store(&zones)
	event.EvacuationsChanged.On(n.log).Any("zones", slices.Sorted(maps.Keys(zones))).Uint64("revision", n.state.evacuatedRevision.Load()).Send()
	if _, wasEvacuated := old[n.settings.AvailabilityZone]; wasEvacuated {
		if _, isEvacuated := zones[n.settings.AvailabilityZone]; !isEvacuated {
			n.gate.zoneReturned()
		}
	}
	go n.post(n.coordinator.tick)
}

// releaseKeptZones ends the evacuation of zones that were kept after the store came back from a copy and are still not listed.
func (n *node) releaseKeptZones(now clock.Instant) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if n.zonesKeptUntil > 0 && now >= n.zonesKeptUntil {
		n.zonesKeptUntil = 0
		n.updateEvacuated(nil)
	}
}
