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
	// forgetAfter is how long a host whose term is over may stay silent before its record is deleted.
	forgetAfter = 30 * time.Second
	// crashLimit is the number of targets that a request may have crashed before it is quarantined.
	crashLimit = 2
	// maxQuarantine bounds the quarantined fingerprints.
	maxQuarantine = 64
)

// plan writes what the placement wants changed.
func (c *coordinator) plan(now clock.Instant) {
	v, config := c.state.view.Load(), c.state.config.Load()
	if config == nil {
		return
	}
	in := &placement.Input{
		Now: now, View: v, Nodes: map[string]*placement.Node{}, Evacuated: map[string]bool{},
		Keyed: map[string]bool{}, CoordinatorSince: c.began, ConfirmingSince: c.speaks(now), LastRebalanced: c.balanced, DemandEstimates: c.expected,
	}
	for host, n := range c.members {
		in.Nodes[host] = &n.Node
	}
	for zone := range *c.state.evacuated.Load() {
		in.Evacuated[zone] = true
	}
	for name, s := range config.Services {
		if s.Keyed && !c.writing[fleet.TableName(name)] {
			in.Keyed[name] = true
		}
	}
	c.noteRevoked(now, v)
	in.Revoked = c.counting()
	p := placement.ComputePlan(in, placement.Options{LeaseDuration: leaseTerm, NodeTimeout: pollSilence, InitialAssignmentDelay: gatherTime, HeartbeatInterval: c.settings.HeartbeatInterval()})
	if c.outage.silent(now) == 0 { // A write that the store may execute late would cost an owner that has come back by then.
		for _, host := range p.Revoke {
			c.revoke(now, v.Targets[host])
		}
	}
	for service, change := range p.Tables {
		c.writeTable(now, service, change)
	}
}

// noteRevoked remembers since when terms have been seen revoked.
func (c *coordinator) noteRevoked(now clock.Instant, v *fleet.View) {
	for _, t := range v.Targets {
		if _, seen := c.revoked[t.Owner()]; !seen && t.State == fleet.Revoked {
			c.revoked[t.Owner()] = max(now, c.settled.Add(-leaseTerm))
		}
	}
}

// counting returns the revocations that count: those before a check of the lead that showed this node as the coordinator. A
// later coordinator has seen them when it began, and gave no word for the terms; before such a check, one may have begun
// without them.
func (c *coordinator) counting() map[keyspace.Owner]clock.Instant {
	counting := make(map[keyspace.Owner]clock.Instant, len(c.revoked))
	for o, since := range c.revoked {
		if c.confirmed >= since {
			counting[o] = since
		}
	}
	return counting
}

// revoke ends the term of a target whose node is silent.
func (c *coordinator) revoke(now clock.Instant, t *fleet.Target) {
	name := fleet.TargetName(t.Host)
	if c.writing[name] {
		return
	}
	n := c.members[t.Host]
	line := event.TermRevoking.On(c.log).Str("host", t.Host).Uint64("term", t.Term).Str("silent", now.Sub(n.LastSeen).Round(time.Millisecond).String())
	if n.Report != nil {
		line.Int("lease_ms", int(n.Report.LeaseMs))
	}
	line.Send()
	c.revoking[t.Owner()] = true
	want := *t
	want.State = fleet.Revoked
	c.put(now, name, want.Encode(), t.Version, func(after clock.Instant, version uint64) {
		want.Version = version
		c.revoked[want.Owner()] = max(after, c.settled.Add(-leaseTerm))
		c.take(after, c.state.view.Load().WithTarget(&want))
	})
}

func (c *coordinator) writeTable(now clock.Instant, service string, change *placement.Change) {
	for i, m := range change.Moves {
		if i == maxMoveLines {
			break
		}
		event.RangeMoves.On(c.log).Str("service", service).Int("from", m.From).Int("to", m.To).Str("last", m.OldOwner.Host).
			Str("owner", m.NewOwner.Host).Str("reason", string(m.Reason)).Bool("warm", m.HasHandover).Send()
	}
	if change.Rebalanced {
		c.balanced[service] = now
	}
	change.Table.MergeAdjacent()
	version := uint64(0)
	if t := c.state.view.Load().Tables[service]; t != nil {
		version = t.Version
	}
	c.put(now, fleet.TableName(service), change.Table.Encode(), version, func(after clock.Instant, version uint64) {
		event.TableWritten.On(c.log).Str("service", service).Uint64("version", version).Int("rows", len(change.Table.Rows)).Int("moves", len(change.Moves)).Send()
		c.expected = placement.UpdateEstimates(c.expected, after, change.Moves)
		c.metrics.moved(service, len(change.Moves))
		v := c.state.view.Load().Clone()
		if old := v.Tables[service]; old == nil || old.Version < version {
			v.Tables[service] = &fleet.Table{Table: *change.Table, Version: version}
			c.take(after, v)
		}
		c.pollAll(after)
	})
}

// maxMoveLines bounds the lines for one table.
const maxMoveLines = 40

// put writes an object. After a conflict or a lost answer the watch shows the object as it is.
func (c *coordinator) put(now clock.Instant, name string, value []byte, version uint64, done func(clock.Instant, uint64)) {
	c.writing[name] = true
	round := c.round
	c.background(func(ctx context.Context) func(clock.Instant) {
		written, err := c.store.Put(ctx, fleet.Kind, name, value, version)
		var current store.Object
		if err != nil {
			event.TableRefused.On(c.log).Str("object", name).Err(err).Send()
			current, _ = c.store.Get(ctx, fleet.Kind, name) // An error leaves the version 0, and the watch tells later.
		}
		return func(after clock.Instant) {
			if !c.leads || c.round != round {
				return
			}
			delete(c.writing, name)
			if err == nil {
				done(after, written)
				return
			}
			if current.Version > 0 {
				v := c.state.view.Load().Clone()
				if err := v.Apply(store.Change{Object: current}); err == nil {
					c.take(after, v)
				}
			}
		}
	})
}

// forget deletes the records of hosts that are gone.
func (c *coordinator) forget(now clock.Instant) {
	v := c.state.view.Load()
	for host, t := range v.Targets {
		n, name := c.members[host], fleet.TargetName(host)
		if n == nil || now.Sub(n.LastSeen) < forgetAfter || t.State == fleet.Serving || c.writing[name] || owns(v, host) {
			continue
		}
		c.writing[name] = true
		version := t.Version
		c.background(func(ctx context.Context) func(clock.Instant) {
			err := c.store.Delete(ctx, fleet.Kind, name, version)
			return func(clock.Instant) {
				delete(c.writing, name)
				if err == nil {
					event.RecordDeleted.On(c.log).Str("host", host).Send()
				}
			}
		})
	}
}

func owns(v *fleet.View, host string) bool {
	for _, t := range v.Tables {
		for _, r := range t.Rows {
			if r.Owner.Host == host || r.NextOwner.Host == host {
				return true
			}
		}
	}
	return false
}

// countCrashes quarantines requests that were running when targets ended.
func (c *coordinator) countCrashes(r *fleet.Report) {
	for fingerprint, count := range r.Crashes {
		byHost := c.crashes[fingerprint]
		if byHost == nil {
			byHost = map[string]int{}
			c.crashes[fingerprint] = byHost
		}
		byHost[r.Host] = count
		total := 0
		for _, n := range byHost {
			total += n
		}
		if total >= crashLimit {
			c.quarantineRequest(fingerprint, total)
		}
	}
}

func (c *coordinator) quarantineRequest(fingerprint uint64, crashes int) {
	for _, f := range c.quarantine {
		if f == fingerprint {
			return
		}
	}
	if len(c.quarantine) >= maxQuarantine {
		c.quarantine = c.quarantine[1:]
	}
	c.quarantine = append(c.quarantine[:len(c.quarantine):len(c.quarantine)], fingerprint)
	c.gate.setQuarantine(c.quarantine)
	event.QuarantineBegan.On(c.log).Uint64("fingerprint", fingerprint).Int("crashes", crashes).Send()
}
