package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/store"
)

// newElectionJitter returns the random delay that this node adds to electionTimeout. It is longer on hosts with slow links, on
// which the polls of a leader would take up a large part of the bandwidth.
func (c *coordinator) newElectionJitter() time.Duration {
	factor := rand.Float64()
	if c.firstElection = c.state.startsFleet(); c.firstElection {
		factor *= firstElectionSpread
	}
	if mbps := c.settings.LinkMbps; mbps > 0 {
		factor += min(1, smallLinkMbps/mbps)
	}
	return time.Duration(factor * float64(electionJitter))
}

// confirmLeadership reads the leadership record, and extends the leadership lease or resigns. The call ends with the context, the result counts
// until the leadership ends.
func (c *coordinator) confirmLeadership(ctx, leadership context.Context) {
	sent := c.clock.Now()
	o, err := c.store.Get(ctx, fleet.CoordinatorKind, fleet.CoordinatorName)
	if errs.Is(err, errs.NotFound) {
		c.post(func(now clock.Instant) {
			if c.isLeader && leadership.Err() == nil && store.Era(c.leadershipVersion) < c.store.Era() {
				c.claimLeadership(now)
			}
		})
		return
	}
	if err != nil {
		return // The leadership lease expires unless a later check succeeds.
	}
	lead, err := fleet.DecodeCoordinatorRecord(o.Value)
	c.post(func(now clock.Instant) {
		switch {
		case leadership.Err() != nil || !c.isLeader:
		case err == nil && lead.Host == c.settings.Host && lead.Epoch == c.claimedRound && lead.Epoch != c.round:
			c.continueLeading(now, sent, lead.Epoch, o.Version) // The answer to the write was lost.
		case err != nil || lead.Host != c.settings.Host || lead.Epoch != c.round:
			c.resign("the store names another coordinator")
		default:
			c.renewingSince = c.renewsSince(c.clock.Now())
			c.leadershipConfirmed = max(c.leadershipConfirmed, sent)
		}
	})
}

// leadershipRemaining returns the rest of the leadership lease, during which no other node can reassign ranges.
func (c *coordinator) leadershipRemaining(now clock.Instant) time.Duration {
	return max(0, c.leadershipConfirmed.Add(leadershipLease-leadershipMargin).Sub(now))
}

// renewsSince returns since when the leadership lease has been valid without interruption, so that this node could renew leases.
func (c *coordinator) renewsSince(now clock.Instant) clock.Instant {
	if c.leadershipRemaining(now) == 0 {
		return now
	}
	return c.renewingSince
}

// campaign tries to become the leader.
func (c *coordinator) campaign(now clock.Instant) {
	c.campaigning = true
	c.jitter = c.newElectionJitter()
	ownReport, known := c.member.buildReport(now), c.lastPoll
	c.runAsync(func(ctx context.Context) func(clock.Instant) {
		lead, version, previousEnded, err := c.acquireLeadership(ctx, ownReport, known)
		var v *fleet.View
		if err == nil {
			v, err = c.listView(ctx)
		}
		return func(after clock.Instant) {
			c.campaigning = false
			switch {
			case errors.Is(err, errCoordinatorAlive):
				c.campaignEnded = after
				return
			case err != nil:
				c.campaignEnded = after.Add(-electionTimeout + storeRetryDelay) // Retry soon; another node may have won.
				return
			}
			c.previousLeaseEnd = after.Add(leadershipLease)
			if previousEnded {
				c.previousLeaseEnd = after
			}
			c.leadershipConfirmed, c.leadershipVersion = now, version
			c.revokedSince, c.revokeAttempted = map[keyspace.Owner]clock.Instant{}, map[keyspace.Owner]bool{}
			c.takeover = takeover{since: after}
			c.startLeading(after, lead.Epoch, v)
		}
	})
}

// errCoordinatorAlive ends a campaign: this node received no poll, for example because it has just started, but the current
// leader responds.
var errCoordinatorAlive = errors.New("the current coordinator responds")

// coordinatorResponds reports whether the leader that the store names still leads.
func (c *coordinator) coordinatorResponds(ctx context.Context, previous fleet.CoordinatorRecord, ownReport *fleet.Report) bool {
	// The record names the address, because a coordinator that has just started may have no target record yet.
	if previous.Resigned || previous.Relay == "" || previous.Host == c.settings.Host {
		return false
	}
	r, err := c.sendMessage(ctx, previous.Relay, methodReport, ownReport.Encode())
	if err != nil {
		event.CoordinatorUnresponsive.On(c.log).Str("coordinator", previous.Host).Uint64("round", previous.Epoch).Err(err).Send()
		return false
	}
	return r.CoordinatorEpoch >= previous.Epoch
}

// acquireLeadership writes this node as the leader to the store, unless the recorded leader responds. known is the last poll of the leader that
// this node knows. previousEnded reports that no leadership lease of an earlier leader can still be valid.
func (c *coordinator) acquireLeadership(ctx context.Context, ownReport *fleet.Report, known fleet.Poll) (lead fleet.CoordinatorRecord, version uint64, previousEnded bool, err error) {
	var previous fleet.CoordinatorRecord
	o, err := c.store.Get(ctx, fleet.CoordinatorKind, fleet.CoordinatorName)
	if err == nil {
		if previous, err = fleet.DecodeCoordinatorRecord(o.Value); err != nil {
			event.ObjectInvalid.On(c.log).Str("object", o.Name).Err(err).Send() // The invalid record is overwritten.
		}
	} else if !errs.Is(err, errs.NotFound) {
		return lead, 0, false, err
	}
	if o.Version == 0 { // The store may have lost the record of a leader that still leads.
		previous = fleet.CoordinatorRecord{Host: known.Coordinator, Relay: known.Relay, Epoch: known.Epoch}
	}
	if c.coordinatorResponds(ctx, previous, ownReport) {
		return lead, 0, false, errCoordinatorAlive
	}
	first := store.FirstVersion(c.store.Era())
	lead = fleet.CoordinatorRecord{Host: c.settings.Host, Relay: c.settings.Relay(), Epoch: max(previous.Epoch, o.Version, first) + 1}
	version, err = c.store.Put(ctx, fleet.CoordinatorKind, fleet.CoordinatorName, lead.Encode(), max(o.Version, first))
	return lead, version, max(o.Version, first) == 0 || previous.Resigned, err
}

// releaseLeadership resigns before the node stops, and records this, so that the next leader need not wait for the lease to expire.
func (c *coordinator) releaseLeadership(now clock.Instant) {
	if !c.isLeader {
		return
	}
	previousEnded, version := now >= c.previousLeaseEnd, c.leadershipVersion
	resigned := fleet.CoordinatorRecord{Host: c.settings.Host, Epoch: c.round, Resigned: true}
	c.resign("the node is stopping")
	c.runAsync(func(ctx context.Context) func(clock.Instant) {
		if previousEnded {
			if _, err := c.store.Put(ctx, fleet.CoordinatorKind, fleet.CoordinatorName, resigned.Encode(), version); err != nil {
				event.StoreWriteFailed.On(c.log).Str("object", fleet.CoordinatorName).Err(err).Send() // The next leader waits for the lease to expire.
			}
		}
		return func(clock.Instant) {}
	})
}

// startLeading makes this node the leader.
func (c *coordinator) startLeading(now clock.Instant, round uint64, v *fleet.View) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.isLeader, c.round, c.lastRound, c.cancelLeadership, c.leaderSince, c.renewingSince, c.outage = true, round, round, cancel, now, now, storeOutage{lastAnswer: now}
	c.history = fleet.NewHistory()
	c.polledNodes = map[string]*polledNode{}
	c.rebalancedAt = map[string]clock.Instant{}
	c.tableWrittenAt, c.planScheduled = map[string]clock.Instant{}, false
	c.pendingWrites, c.writeRetryAt = map[string]bool{}, map[string]clock.Instant{}
	c.expectedDemand = nil
	c.quarantined, c.savedQuarantine = c.crashes.quarantineList(), 0
	c.operatorUnread, c.reportedConfig = false, 0
	event.LeadershipAcquired.On(c.log).Uint64("round", round).Uint64("revision", v.Revision).Send()
	c.installView(now, c.state.view.Load().Merge(v))
	go c.supervise(ctx, "fleet watch", func(ctx context.Context) { c.watchFleet(ctx, v.Revision) })
	go c.supervise(ctx, "refresh", c.refresh)
	go c.supervise(ctx, "configuration", c.followConfig)
	go c.supervise(ctx, "evacuations", c.followEvacuations)
	c.tick(now)
}

// leadershipRound returns the round of this node's leadership, 0 if it is not the leader.
func (c *coordinator) leadershipRound() uint64 {
	if !c.isLeader {
		return 0
	}
	return c.round
}

func (c *coordinator) resign(reason string) {
	event.LeadershipLost.On(c.log).Str("why", reason).Uint64("round", c.round).Send()
	c.isLeader = false
	c.cancelLeadership()
	c.lastPolled = c.clock.Now()
}
