package sidecar

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/store"
)

// refusingStore refuses every call and counts the writes.
type refusingStore struct {
	store.Objects
	writes atomic.Int64
}

func (s *refusingStore) Get(context.Context, string, string) (store.Object, error) {
	return store.Object{}, errs.New(errs.Unavailable, "Wait.", "the store refuses this host")
}

func (s *refusingStore) Put(context.Context, string, string, []byte, uint64) (uint64, error) {
	s.writes.Add(1)
	return 0, errs.New(errs.Unavailable, "Wait.", "the store refuses this host")
}

// Guards against a leader that answers each report with another write of a table that the store has just refused. At a host with a small
// share of a core, the plans and encodings of these writes delayed the polls, and with them configurations, by more than two seconds.
func TestRefusedWritesAreNotRepeatedWithEachReport(t *testing.T) {
	const length, reportInterval = 3 * time.Second, 20 * time.Millisecond
	for name, state := range map[string]fleet.State{"assignment table": fleet.Down, "revocation": fleet.Serving} {
		t.Run(name, func(t *testing.T) {
			view := fleet.NewView()
			lost := &fleet.Target{Host: "lost", Service: "s", Term: 1, State: state, Slots: 18, Version: 2}
			view.Targets["lost"] = lost
			view.Targets["well"] = &fleet.Target{Host: "well", Service: "s", Term: 1, State: fleet.Serving, Slots: 18, Version: 2}
			table := keyspace.Table{Fence: 1, Rows: []keyspace.Row{{Range: keyspace.Range{From: 0, To: keyspace.MaxKey}, Owner: lost.Owner(), Fence: 1}}}
			view.Tables["s"] = &fleet.Table{Table: table, Version: 3}
			c := newTestLeader(t, view)
			refusing := &refusingStore{}
			n := c.node
			n.store = refusing
			n.state.config.Store(ingress.NewConfig(1, nil, map[string]ingress.Service{"s": {Keyed: true}}, ingress.Limits{}))
			c.pendingWrites, c.tableWrittenAt, c.revokeAttempted = map[string]bool{}, map[string]clock.Instant{}, map[keyspace.Owner]bool{}
			c.revokedSince, c.rebalancedAt = map[keyspace.Owner]clock.Instant{}, map[string]clock.Instant{}
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				n.ctx = ctx
				n.controlEvents = make(chan func(clock.Instant), controlQueueSize)
				start, begin := n.clock.Now(), time.Now()
				now := func() clock.Instant { return start.Add(time.Since(begin)) }
				c.outage = storeOutage{lastAnswer: start.Add(time.Hour)}
				silent := &polledNode{}
				silent.LastSeen = start.Add(-2 * unresponsiveTimeout)
				c.polledNodes["lost"] = silent
				c.leaderSince, c.renewingSince, c.leadershipConfirmed = start.Add(-time.Minute), start.Add(-time.Minute), start
				for time.Since(begin) < length {
					well := &polledNode{}
					well.LastSeen = now()
					c.polledNodes["well"] = well
					c.plan(now())
					time.Sleep(reportInterval)
					synctest.Wait()
					for len(n.controlEvents) > 0 {
						(<-n.controlEvents)(now())
					}
				}
				cancel()
				synctest.Wait()
			})
			require.Positive(t, refusing.writes.Load())
			require.LessOrEqual(t, refusing.writes.Load(), int64(length/storeRetryDelay)+1)
		})
	}
}
