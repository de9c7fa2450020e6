package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/store"
)

// A node that is not polled, or that has to read the operator's objects and can't, asks other nodes for them.

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
	n.applyToldEvacuations(r.EvacuatedZones, r.EvacuatedEra, r.EvacuatedRevision)
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
		EvacuatedZones: slices.Sorted(maps.Keys(*n.state.listedZones.Load())),
	}
	answer.EvacuatedEra, answer.EvacuatedRevision = n.evacuatedAt()
	if document := n.state.configDocument.Load(); document != nil && document.version > query.ConfigVersion && len(document.value) <= query.OperatorStateLimit {
		answer.ConfigVersion, answer.Config = document.version, document.value
	}
	return answer
}
