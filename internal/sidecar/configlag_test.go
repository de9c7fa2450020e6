package sidecar

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// Guards against a node whose log does not tell which of the ways to a configuration failed.
func TestLogTellsWhyAConfigurationIsLate(t *testing.T) {
	stored := func(version int, revision uint64) store.Object {
		return store.Object{Kind: platform.ConfigKind, Name: platform.ConfigName, Version: revision, Value: []byte(standin.Configuration(version, "p"))}
	}
	for name, tt := range map[string]struct {
		happens func(c *coordinator, now clock.Instant)
		want    string
	}{
		"no polls": {func(c *coordinator, now clock.Instant) {
			c.lastPoll, c.lastPolled = fleet.Poll{Coordinator: "lead", Epoch: 4}, now.Add(-configFetchTimeout-time.Second)
			c.lag.recordRead(errors.New("refused"))
		}, `"coordinator":"lead","round":4,"last_poll":"2.45s","failed_reads":1,"error":"refused"`},
		"announced without a document": {func(c *coordinator, now clock.Instant) {
			c.lastPoll, c.lastPolled = fleet.Poll{Coordinator: "lead", Epoch: 4}, now
			c.lag.recordAnnouncement(now.Add(-2*time.Second), &fleet.Poll{ConfigVersion: 3})
			c.lag.recordRead(errors.New("refused"))
		}, `"failed_reads":1,"error":"refused","announced":3,"held":2,"announced_for":"2s","carried":false`},
		"older configuration in the store": {func(c *coordinator, _ clock.Instant) {
			c.applyStoredConfig(stored(1, 1), sourceStore)
		}, `"object":"main","version":1,"held":2,"revision":1`},
		"nodes that don't report it": {func(c *coordinator, now clock.Instant) {
			n := &polledNode{}
			n.Report, n.LastSeen = &fleet.Report{ConfigVersion: 1}, now.Add(-time.Second)
			c.isLeader, c.polledNodes = true, map[string]*polledNode{"late": n}
			c.logNodesBehind(now.Add(-2 * time.Second))
			c.logNodesBehind(now)
		}, `"announced":2,"announced_for":"2s","nodes":1,"hosts":"[late]","unread":false,"longest_silence":"1s"`},
		"source of a version": {func(c *coordinator, _ clock.Instant) {
			c.applyToldConfig(3, stored(3, 0).Value, sourcePoll)
		}, `"version":3,"revision":8,"source":"poll"`},
	} {
		t.Run(name, func(t *testing.T) {
			n := newIdleNode(t)
			n.applyStoredConfig(stored(2, 8), sourceStore)
			var out bytes.Buffer
			n.log.Writer = log.IOWriter{Writer: &out}
			now := n.clock.Now()
			tt.happens(n.coordinator, now)
			n.coordinator.logConfigLag(now)
			require.Contains(t, out.String(), tt.want)
		})
	}
}
