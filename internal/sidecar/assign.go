package sidecar

import (
	"context"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/placement"
	"github.com/citronvane/citronvane/internal/store"
)

const (
	// lostRecordRetention is how long a host whose term has ended may be unresponsive before its record is deleted.
	lostRecordRetention = 30 * time.Second
)

// plan computes the placement and writes the revocations and table changes that it calls for.
func (c *coordinator) plan(now clock.Instant) {
	v, config := c.state.view.Load(), c.state.config.Load()
	if config == nil || !c.leadsEra() {
		return
	}
	in := &placement.Input{
		Now: now, View: v, Nodes: map[string]*placement.Node{}, Evacuated: map[string]bool{}, FenceFloor: store.FirstVersion(c.storeEra),
		Keyed: map[string]bool{}, Frozen: map[string]bool{}, CoordinatorSince: c.leaderSince, ConfirmingSince: c.renewsSince(now), LastRebalanced: c.rebalancedAt, DemandEstimates: c.expectedDemand,
	}
	for host, n := range c.polledNodes {
		in.Nodes[host] = &n.Node
	}
	for zone := range *c.state.evacuated.Load() {
		in.Evacuated[zone] = true
	}
	for name, s := range config.Services {
		if s.Keyed && c.mayWrite(now, fleet.TableName(name)) && c.tableWriteDue(now, name, len(v.Targets)) {
			in.Keyed[name], in.Frozen[name] = true, !c.mayAssign(now, name)
		}
	}
	c.recordRevocations(now, v)
	in.Revoked = c.confirmedRevocations()
	p := placement.ComputePlan(in, placement.Options{LeaseDuration: leaseTerm, NodeTimeout: unresponsiveTimeout, InitialAssignmentDelay: registrationWait, HeartbeatInterval: c.settings.HeartbeatInterval()})
	if c.outage.duration(now) == 0 { // During an outage the store may execute a write late and revoke an owner that has recovered.
		for _, host := range p.Revoke {
			c.revoke(now, v.Targets[host])
		}
	}
	for service, change := range p.Tables {
		c.writeTable(now, service, change)
	}
}

// recordRevocations records when each revoked term was first seen as revoked, and each owner of ranges as one without a readable record.
func (c *coordinator) recordRevocations(now clock.Instant, v *fleet.View) {
	record := func(o keyspace.Owner) {
		if _, seen := c.revokedSince[o]; !seen {
			c.revokedSince[o] = max(now, c.previousLeaseEnd.Add(-leaseTerm))
		}
	}
	for _, t := range v.Targets {
		switch {
		case t.State == fleet.Revoked && !c.member.isOutdated(t):
			record(t.Owner())
		default:
			delete(c.revokedSince, t.Owner()) // Its record was missing or unreadable for a while, or was written again since.
		}
	}
	for _, table := range v.Tables {
		for _, r := range table.Rows {
			if v.Targets[r.Owner.Host] == nil {
				record(r.Owner)
			}
		}
	}
}

// confirmedRevocations returns the revocations on which ranges may be reassigned: those seen before the last check that confirmed
// this node as the leader. A later leader has read them at its start and renews no lease of these terms. Without such a check, a
// later leader may have started before the revocation and still renew the lease.
func (c *coordinator) confirmedRevocations() map[keyspace.Owner]clock.Instant {
	confirmed := make(map[keyspace.Owner]clock.Instant, len(c.revokedSince))
	for o, since := range c.revokedSince {
		if c.leadershipConfirmed >= since {
			confirmed[o] = since
		}
	}
	return confirmed
}

// revoke ends the term of a target whose node does not respond.
func (c *coordinator) revoke(now clock.Instant, t *fleet.Target) {
	name := fleet.TargetName(t.Host)
	if !c.mayWrite(now, name) {
		return
	}
	n := c.polledNodes[t.Host]
	line := event.TermRevoking.On(c.log).Str("host", t.Host).Uint64("term", t.Term).Str("silent", now.Sub(n.LastSeen).Round(time.Millisecond).String())
	if n.Report != nil {
		line.Int("lease_ms", int(n.Report.LeaseMs))
	}
	line.Send()
	c.revokeAttempted[t.Owner()] = true
	want := *t
	want.State = fleet.Revoked
	c.put(now, name, want.Encode(), t.Version, func(after clock.Instant, version uint64) {
		want.Version = version
		c.revokedSince[want.Owner()] = max(after, c.previousLeaseEnd.Add(-leaseTerm))
		c.installView(after, c.state.view.Load().WithTarget(&want))
	})
}

// tableWriteDue reports whether the table may be written again. In a large fleet the changes of a short time share one write, whose
// cost is that of a call to the store and of a poll to each node; a move takes about a heartbeat interval anyway.
func (c *coordinator) tableWriteDue(now clock.Instant, service string, hosts int) bool {
	due := c.tableWrittenAt[service].Add(time.Duration(max(0, hosts-smallFleetHosts)) * tableSpacingPerHost)
	if now >= due {
		return true
	}
	if !c.planScheduled {
		c.planScheduled = true
		time.AfterFunc(due.Sub(now), func() {
			c.post(func(after clock.Instant) {
				c.planScheduled = false
				if c.isLeader {
					c.plan(after)
				}
			})
		})
	}
	return false
}

const (
	// smallFleetHosts is the size of a fleet in which each change of a table is written at once.
	smallFleetHosts = 32
	// tableSpacingPerHost is the time between two writes of a table for each further host.
	tableSpacingPerHost = time.Millisecond
)

func (c *coordinator) writeTable(now clock.Instant, service string, change *placement.Change) {
	for i, m := range change.Moves {
		if i == maxMoveLogLines {
			break
		}
		event.RangeMoves.On(c.log).Str("service", service).Int("from", m.From).Int("to", m.To).Str("last", m.OldOwner.Host).
			Str("owner", m.NewOwner.Host).Str("reason", string(m.Reason)).Bool("warm", m.HasHandover).Send()
	}
	if change.Rebalanced {
		c.rebalancedAt[service] = now
	}
	c.tableWrittenAt[service] = now
	change.Table.MergeAdjacent()
	version := uint64(0)
	if t := c.state.view.Load().Tables[service]; t != nil {
		version = t.Version
	}
	c.put(now, fleet.TableName(service), change.Table.Encode(), version, func(after clock.Instant, version uint64) {
		event.TableWritten.On(c.log).Str("service", service).Uint64("version", version).Int("rows", len(change.Table.Rows)).Int("moves", len(change.Moves)).Send()
		c.expectedDemand = placement.UpdateEstimates(c.expectedDemand, after, change.Moves)
		c.metrics.countRangeMoves(service, len(change.Moves))
		v := c.state.view.Load().Clone()
		if old := v.Tables[service]; old == nil || old.Version < version {
			v.Tables[service] = &fleet.Table{Table: *change.Table, Version: version}
			c.installView(after, v)
		}
		c.pollAll(after)
	})
}

// maxMoveLogLines bounds the log lines about range moves for one table write.
const maxMoveLogLines = 40

// mayWrite reports whether the object may be written now: no write of it is in flight, and the store has not just refused one. Without
// the delay after a refused write, each report of a node causes another one.
func (c *coordinator) mayWrite(now clock.Instant, name string) bool {
	return !c.pendingWrites[name] && now >= c.writeRetryAt[name]
}

// put writes an object and calls done on success. After a conflict or a lost response it reads the stored object; if that fails
// too, the watch delivers it.
func (c *coordinator) put(now clock.Instant, name string, value []byte, version uint64, done func(clock.Instant, uint64)) {
	c.pendingWrites[name] = true
	round, condition := c.round, c.condition(version)
	c.runAsync(func(ctx context.Context) func(clock.Instant) {
		written, err := c.store.Put(ctx, fleet.Kind, name, value, condition)
		var current store.Object
		if err != nil {
			event.StoreWriteFailed.On(c.log).Str("object", name).Err(err).Send()
			current, _ = c.store.Get(ctx, fleet.Kind, name) // On an error the version is 0, and the watch delivers the object.
		}
		return func(after clock.Instant) {
			if !c.isLeader || c.round != round {
				return
			}
			delete(c.pendingWrites, name)
			if err == nil {
				delete(c.writeRetryAt, name)
				done(after, written)
				return
			}
			if current.Version == 0 {
				c.writeRetryAt[name] = after.Add(storeRetryDelay)
				return
			}
			v := c.state.view.Load().Clone()
			if err := v.Apply(store.Change{Object: current}); err == nil {
				c.installView(after, v)
			}
		}
	})
}

// deleteLostRecords deletes the records of hosts that no longer respond and own no ranges.
func (c *coordinator) deleteLostRecords(now clock.Instant) {
	if !c.leadsEra() {
		return
	}
	v := c.state.view.Load()
	for host, t := range v.Targets {
		n, name := c.polledNodes[host], fleet.TargetName(host)
		if n == nil || now.Sub(n.LastSeen) < lostRecordRetention || t.State == fleet.Serving || c.member.isOutdated(t) || c.pendingWrites[name] || ownsRanges(v, host) {
			continue
		}
		c.pendingWrites[name] = true
		version, round := t.Version, c.round
		c.runAsync(func(ctx context.Context) func(clock.Instant) {
			err := c.store.Delete(ctx, fleet.Kind, name, version)
			return func(clock.Instant) {
				if c.round == round {
					delete(c.pendingWrites, name)
				}
				if err == nil {
					event.RecordDeleted.On(c.log).Str("host", host).Send()
				}
			}
		})
	}
}

func ownsRanges(v *fleet.View, host string) bool {
	for _, t := range v.Tables {
		for _, r := range t.Rows {
			if r.Owner.Host == host || r.NextOwner.Host == host {
				return true
			}
		}
	}
	return false
}
