package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// newSpread returns what the node adds to leadSilence: a random part, and more on hosts with small links, which polls would fill.
func (c *coordinator) newSpread() time.Duration {
	spread := rand.Float64()
	if mbps := c.settings.LinkMbps; mbps > 0 {
		spread += min(1, smallLinkMbps/mbps)
	}
	return time.Duration(spread * float64(leadSpread))
}

// checkLead reads whether this node still leads.
func (c *coordinator) checkLead(ctx context.Context) {
	sent := c.clock.Now()
	o, err := c.store.Get(ctx, fleet.CoordinatorKind, fleet.CoordinatorName)
	if err != nil {
		return // The authority runs out unless a later check succeeds.
	}
	var lead fleet.CoordinatorRecord
	err = json.Unmarshal(o.Value, &lead)
	c.post(func(clock.Instant) {
		switch {
		case ctx.Err() != nil || !c.leads:
		case err != nil || lead.Host != c.settings.Host || lead.Epoch != c.round:
			c.resign("the store names another coordinator")
		default:
			c.spoke = c.speaks(c.clock.Now())
			c.confirmed = max(c.confirmed, sent)
		}
	})
}

// authority returns how long this node is certain to be the only coordinator that can have ranges reassigned.
func (c *coordinator) authority(now clock.Instant) time.Duration {
	return max(0, c.confirmed.Add(leadTerm-leadMargin).Sub(now))
}

// speaks returns since when this node can give its word without a break.
func (c *coordinator) speaks(now clock.Instant) clock.Instant {
	if c.authority(now) == 0 {
		return now
	}
	return c.spoke
}

// campaign tries to become the coordinator.
func (c *coordinator) campaign(now clock.Instant) {
	c.busy = true
	c.spread = c.newSpread()
	own := c.member.report(now)
	c.background(func(ctx context.Context) func(clock.Instant) {
		lead, version, settled, err := c.takeLead(ctx, own)
		var v *fleet.View
		if err == nil {
			v, err = c.list(ctx)
		}
		return func(after clock.Instant) {
			c.busy = false
			switch {
			case errors.Is(err, errCoordinatorAlive):
				c.asked = after
				return
			case err != nil:
				c.asked = after.Add(-leadSilence + storeRetry) // Others may have been faster.
				return
			}
			c.settled = after.Add(leadTerm)
			if settled {
				c.settled = after
			}
			c.confirmed, c.leadVersion = now, version
			c.lead(after, lead.Epoch, v)
		}
	})
}

// errCoordinatorAlive ends a campaign: the node had no poll, as after its start, but the coordinator is there.
var errCoordinatorAlive = errors.New("the coordinator answers")

// alive asks whether the coordinator that the store names still acts.
func (c *coordinator) alive(ctx context.Context, old fleet.CoordinatorRecord, own *fleet.Report) bool {
	t := c.state.view.Load().Targets[old.Host]
	if old.Resigned || t == nil || old.Host == c.settings.Host {
		return false
	}
	r, err := c.exchange(ctx, t.Relay, methodReport, own.Encode())
	if err != nil {
		event.LeadSilent.On(c.log).Str("coordinator", old.Host).Uint64("round", old.Epoch).Err(err).Send()
		return false
	}
	return r.CoordinatorEpoch >= old.Epoch
}

// takeLead writes this node as the coordinator, unless the one that is named answers. settled says that no earlier coordinator's
// words can be in force.
func (c *coordinator) takeLead(ctx context.Context, own *fleet.Report) (lead fleet.CoordinatorRecord, version uint64, settled bool, err error) {
	var old fleet.CoordinatorRecord
	o, err := c.store.Get(ctx, fleet.CoordinatorKind, fleet.CoordinatorName)
	if err == nil {
		if err := json.Unmarshal(o.Value, &old); err != nil {
			event.ObjectUnread.On(c.log).Str("object", o.Name).Err(err).Send() // It is replaced.
		}
	} else if !errs.Is(err, errs.NotFound) {
		return lead, 0, false, err
	}
	if c.alive(ctx, old, own) {
		return lead, 0, false, errCoordinatorAlive
	}
	lead = fleet.CoordinatorRecord{Host: c.settings.Host, Epoch: max(old.Epoch, o.Version) + 1}
	version, err = c.store.Put(ctx, fleet.CoordinatorKind, fleet.CoordinatorName, lead.Encode(), o.Version)
	return lead, version, o.Version == 0 || old.Resigned, err
}

// leave gives the lead up for good, so that the next coordinator does not wait for this one's words.
func (c *coordinator) leave(now clock.Instant) {
	if !c.leads {
		return
	}
	settled := now >= c.settled
	c.resign("the node stops")
	c.background(func(ctx context.Context) func(clock.Instant) {
		if settled {
			last := fleet.CoordinatorRecord{Host: c.settings.Host, Epoch: c.round, Resigned: true}
			if _, err := c.store.Put(ctx, fleet.CoordinatorKind, fleet.CoordinatorName, last.Encode(), c.leadVersion); err != nil {
				event.TableRefused.On(c.log).Str("object", fleet.CoordinatorName).Err(err).Send() // The next one waits.
			}
		}
		return func(clock.Instant) {}
	})
}

// lead begins to act as the coordinator.
func (c *coordinator) lead(now clock.Instant, round uint64, v *fleet.View) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.leads, c.round, c.stop, c.began, c.spoke, c.outage = true, round, cancel, now, now, outage{heard: now}
	c.history = fleet.NewHistory()
	c.members = map[string]*polledNode{}
	c.revoked = map[keyspace.Owner]clock.Instant{}
	c.balanced = map[string]clock.Instant{}
	c.writing = map[string]bool{}
	c.revoking = map[keyspace.Owner]bool{}
	c.expected = nil
	c.crashes = map[uint64]map[string]int{}
	event.LeadTaken.On(c.log).Uint64("round", round).Uint64("revision", v.Revision).Send()
	c.take(now, c.state.view.Load().Merge(v))
	go c.watch(ctx, v.Revision)
	go c.refresh(ctx)
	c.tick(now)
}

// leadRound returns the round of the lead, 0 if this node does not lead.
func (c *coordinator) leadRound() uint64 {
	if !c.leads {
		return 0
	}
	return c.round
}

func (c *coordinator) resign(why string) {
	event.LeadLost.On(c.log).Str("why", why).Uint64("round", c.round).Send()
	c.leads = false
	c.stop()
	c.polled = c.clock.Now()
}
