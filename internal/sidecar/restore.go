package sidecar

import (
	"context"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/store"
)

// When the store comes back from a copy, a new era begins, in which none of citronvane's own objects exist. The leader goes on under a round of the
// new era, nodes write their records again, and the leader writes the tables again once it knows that no node has later ones.
// docs/design/restored-store.md gives the reasons.

const (
	// recordRestoreDelay is how long the leader leaves it to the nodes to write their records again.
	recordRestoreDelay = 3 * time.Second
	// maxRecordRestores bounds the records of other hosts that the leader writes again in one tick.
	maxRecordRestores = 4
	// takeoverMargin covers the timer resolution of the leader and of the nodes.
	takeoverMargin = 100 * time.Millisecond
)

// takeover is the state of a leader that may lack tables which were written in earlier eras of the store.
type takeover struct {
	// since is when the node began to lead in the era.
	since clock.Instant
	// continuedRound is the round under which the node has led until then, 0 if it has not.
	continuedRound uint64
	// knownUntil is the version up to which the leader has seen all changes. An object that it lacks and whose version is not higher was deleted.
	knownUntil uint64
	// complete is set once no node can hold ranges under a table of an earlier era that the leader does not know.
	complete bool
}

// leadsEra reports whether the store names this leader in its current era. Before that, the leader renews leases but writes nothing.
func (c *coordinator) leadsEra() bool { return store.Era(c.leadershipVersion) == c.storeEra }

// claimLeadership makes this leader go on in a new era of the store.
func (c *coordinator) claimLeadership(now clock.Instant) {
	if c.campaigning {
		return
	}
	c.campaigning = true
	round, first := c.round, store.FirstVersion(c.store.Era())
	lead := fleet.CoordinatorRecord{Host: c.settings.Host, Relay: c.settings.Relay(), Epoch: max(round, first) + 1}
	c.claimedRound = lead.Epoch
	c.runAsync(func(ctx context.Context) func(clock.Instant) {
		written, err := c.store.Put(ctx, fleet.CoordinatorKind, fleet.CoordinatorName, lead.Encode(), first)
		return func(after clock.Instant) {
			c.campaigning = false
			switch {
			case !c.isLeader || c.round != round:
			case err == nil:
				c.continueLeading(after, now, lead.Epoch, written)
			default: // The next refresh reads which node leads, or repeats the call.
				event.StoreWriteFailed.On(c.log).Str("object", fleet.CoordinatorName).Err(err).Send()
			}
		}
	})
}

// continueLeading starts a round of the store's new era with what this leader knows. sent is when the call was sent that showed it as the leader.
func (c *coordinator) continueLeading(now, sent clock.Instant, round, version uint64) {
	c.member.followEra(now, store.Era(version))
	continued := c.round
	if c.leadershipRemaining(now) == 0 {
		continued = 0
	}
	c.cancelLeadership()
	c.leadershipConfirmed, c.leadershipVersion = sent, version
	c.previousLeaseEnd = now.Add(leadershipLease)
	c.takeover = takeover{since: now, continuedRound: continued, knownUntil: c.state.view.Load().Revision}
	c.startLeading(now, round, fleet.NewView())
}

// mayAssign reports whether the leader may change the service's table. One of an earlier era is first written again, after the takeover.
func (c *coordinator) mayAssign(now clock.Instant, service string) bool {
	if t := c.state.view.Load().Tables[service]; t != nil {
		return store.Era(t.Version) == c.storeEra
	}
	return c.completeTakeover(now)
}

// completeTakeover reports whether no node can hold ranges under a table of an earlier era that this leader does not know.
//
// Every node whose target may hold ranges has answered this leader and has no later object, or the leases of all earlier leaders have expired. A
// leader that has not led until the store came back also waits for the leases that a leader confirmed which is gone.
func (c *coordinator) completeTakeover(now clock.Instant) bool {
	if c.storeEra == 0 || c.takeover.complete {
		return true
	}
	expired := now >= c.takeover.since.Add(leadershipLease+takeoverMargin)
	c.takeover.complete = expired || c.allNodesKnown() && (c.continuesLead() || now >= c.takeover.since.Add(leaseTerm+takeoverMargin))
	if c.takeover.complete {
		event.TakeoverCompleted.On(c.log).Uint64("era", c.storeEra).Uint64("round", c.round).Bool("expired", expired).
			Str("waited", now.Sub(c.takeover.since).Round(time.Millisecond).String()).Send()
	}
	return c.takeover.complete
}

// allNodesKnown reports whether every node whose target may hold ranges has answered this leader and has no later object of an earlier era.
func (c *coordinator) allNodesKnown() bool {
	for host, t := range c.state.view.Load().Targets {
		if host == c.settings.Host || t.State == fleet.Down {
			continue
		}
		if n := c.polledNodes[host]; n == nil || !n.answered || c.lacksObjectsOf(n) {
			return false
		}
	}
	return true
}

// continuesLead reports whether this node has led until the store came back and no node knows a later leader.
func (c *coordinator) continuesLead() bool {
	for _, n := range c.polledNodes {
		if n.previousRound > c.takeover.continuedRound {
			return false
		}
	}
	return c.takeover.continuedRound > 0
}

// lacksObjectsOf reports whether the node has objects of an earlier era of the store that are later than those of this leader.
func (c *coordinator) lacksObjectsOf(n *polledNode) bool {
	if c.takeover.complete || n.firstHeld == nil {
		return false
	}
	own := c.state.view.Load().HeldVersions()
	later := func(held, own map[string]uint64) bool {
		for name, version := range held {
			if c.isLater(version, own[name]) {
				return true
			}
		}
		return false
	}
	return later(n.firstHeld.Targets, own.Targets) || later(n.firstHeld.Tables, own.Tables)
}

// isLater reports whether an object of an earlier era is later than the leader's own version of it, which is 0 if the leader has none.
func (c *coordinator) isLater(version, own uint64) bool {
	return store.Era(version) < c.storeEra && version > own && (own > 0 || version > c.takeover.knownUntil)
}

// adoptObjects takes over the objects of earlier eras of the store that a node has in later versions.
func (c *coordinator) adoptObjects(now clock.Instant, later *fleet.View) {
	v := c.state.view.Load().Clone()
	for host, t := range later.Targets {
		if old := v.Targets[host]; old == nil && c.isLater(t.Version, 0) || old != nil && c.isLater(t.Version, old.Version) {
			v.Targets[host] = t
		}
	}
	for service, t := range later.Tables {
		if old := v.Tables[service]; old == nil && c.isLater(t.Version, 0) || old != nil && c.isLater(t.Version, old.Version) {
			v.Tables[service] = t
		}
	}
	c.installView(now, v)
}

// restoreObjects writes what the store lacks since it came back from a copy: tables, revocations, and the records of nodes that don't do it
// themselves.
func (c *coordinator) restoreObjects(now clock.Instant) {
	if c.storeEra == 0 || !c.leadsEra() {
		return
	}
	v := c.state.view.Load()
	for service, t := range v.Tables {
		name := fleet.TableName(service)
		if store.Era(t.Version) < c.storeEra && c.mayWrite(now, name) && c.completeTakeover(now) {
			c.restoreTable(now, service, t)
		}
	}
	restored := 0
	for host, t := range v.Targets {
		name := fleet.TargetName(host)
		due := t.State == fleet.Revoked || now.Sub(c.takeover.since) > recordRestoreDelay && host != c.settings.Host
		if c.member.isOutdated(t) && due && c.mayWrite(now, name) && restored < maxRecordRestores {
			restored++
			c.restoreRecord(now, t)
		}
	}
}

func (c *coordinator) restoreTable(now clock.Instant, service string, t *fleet.Table) {
	c.put(now, fleet.TableName(service), t.Encode(), t.Version, func(after clock.Instant, version uint64) {
		event.TableWritten.On(c.log).Str("service", service).Uint64("version", version).Int("rows", len(t.Rows)).Bool("restored", true).Send()
		v := c.state.view.Load().Clone()
		if old := v.Tables[service]; old == nil || old.Version < version {
			v.Tables[service] = &fleet.Table{Table: t.Table, Version: version}
			c.installView(after, v)
		}
		c.pollAll(after)
	})
}

func (c *coordinator) restoreRecord(now clock.Instant, t *fleet.Target) {
	want := *t
	c.put(now, fleet.TargetName(t.Host), want.Encode(), t.Version, func(after clock.Instant, version uint64) {
		want.Version = version
		c.installView(after, c.state.view.Load().WithTarget(&want))
	})
}
