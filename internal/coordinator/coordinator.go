// Package coordinator plans the assignment of slices to nodes: takeover,
// handover, load balancing and the evacuation of availability zones. It
// performs no I/O.
package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/control/plan"
)

const (
	// rankDelay gives a coordinator time for a write (10 ms), its distribution to the other nodes
	// (20 ms) and a retry before the node of the next rank acts.
	rankDelay = 150 * time.Millisecond
	// maxActingRank is the highest rank that acts as a coordinator. If the nodes of all acting ranks are
	// lost at once, work waits for the first revocation.
	maxActingRank = 2
	// balanceDelay is how long an imbalance must last before slices move, so that a short outage of a
	// target or the startup of a fleet causes no moves.
	balanceDelay = 2 * time.Second
)

// Coordinator plans writes of slice assignments. Its only state between plans is timing and caches:
// it decides when a write is made and never whether it is safe. It is not safe for concurrent use.
type Coordinator struct {
	// Weight returns the relative load of a slice. If it is nil, each slice has weight 1.
	Weight func(cluster.SliceID) float64

	// view, writes and replanAt cache the last plan. It is valid for this view until replanAt, or without
	// a time limit if replanAt is 0.
	view     *cluster.View
	writes   []plan.Write
	replanAt clock.Instant

	// rankView, rankSelf, ownRank and hasRank cache the result of rankOf.
	rankView *cluster.View
	rankSelf cluster.NodeID
	ownRank  int
	hasRank  bool

	firstPlanned  map[writeKey]clock.Instant // when each pending write was first planned
	balanceStates map[string]*balanceState
}

// writeKey identifies a pending write. It changes with any write of the object, which raises the version.
type writeKey struct {
	kind, name      string
	expectedVersion uint64
}

// balanceState is the state of the balancing hysteresis of one service.
type balanceState struct {
	unbalanced bool
	since      clock.Instant
}

// New returns a coordinator without a cached plan.
func New() *Coordinator {
	return &Coordinator{balanceStates: map[string]*balanceState{}}
}

// Plan returns the writes that this node should make now. It returns a write again until the view shows
// its result, so the caller must not have two writes of an object in flight.
func (c *Coordinator) Plan(view *cluster.View, self cluster.NodeID, now clock.Instant) []plan.Write {
	if c.rankView != view || c.rankSelf != self {
		c.ownRank, c.hasRank = rankOf(view, self)
		c.rankView, c.rankSelf = view, self
	}
	if !c.hasRank || c.ownRank > maxActingRank {
		c.view, c.writes, c.firstPlanned = nil, nil, nil
		return nil
	}
	if c.view != view || c.replanAt != 0 && now >= c.replanAt {
		c.replanAt = 0
		c.writes = c.plan(view, now)
		c.view = view
		c.trackFirstPlanned(now)
	}
	if c.ownRank == 0 {
		return c.writes
	}
	return c.overdue(now, time.Duration(c.ownRank)*rankDelay)
}

// plan returns the writes for all keyed services, regardless of the rank.
func (c *Coordinator) plan(view *cluster.View, now clock.Instant) []plan.Write {
	var writes []plan.Write
	services := view.Configuration.Document.Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if services[name].Kind != config.Keyed {
			continue
		}
		d := newDraft(view, name, c.Weight)
		if len(d.destinations) == 0 {
			continue
		}
		d.createGroups()
		d.takeOver()
		d.repairNextOwners()
		d.evacuate()
		if c.balanceAllowed(d, now) {
			d.balance()
		}
		writes = append(writes, d.writes()...)
	}
	return writes
}

// balanceAllowed reports whether slices may move for balance. Once an imbalance has lasted for balanceDelay,
// moves continue until none improves the balance, which is well below the bound that started them.
func (c *Coordinator) balanceAllowed(d *draft, now clock.Instant) bool {
	b := c.balanceStates[d.service]
	if b == nil {
		b = &balanceState{}
		c.balanceStates[d.service] = b
	}
	if !b.unbalanced && d.exceedsImbalanceBound() {
		b.unbalanced, b.since = true, now
	}
	if b.unbalanced && !d.canImprove() {
		b.unbalanced = false
	}
	if !b.unbalanced {
		return false
	}
	start := b.since.Add(balanceDelay)
	if now >= start {
		return true
	}
	// An imbalance that ends before the delay causes no moves.
	b.unbalanced = d.exceedsImbalanceBound()
	if b.unbalanced && (c.replanAt == 0 || start < c.replanAt) {
		c.replanAt = start
	}
	return false
}

// trackFirstPlanned records when each write was first planned, and drops writes that are no longer pending.
func (c *Coordinator) trackFirstPlanned(now clock.Instant) {
	firstPlanned := make(map[writeKey]clock.Instant, len(c.writes))
	for _, w := range c.writes {
		key := writeKey{w.Kind, w.Name, w.Expect}
		first, ok := c.firstPlanned[key]
		if !ok {
			first = now
		}
		firstPlanned[key] = first
	}
	c.firstPlanned = firstPlanned
}

// overdue returns the writes that have been pending for at least the delay.
func (c *Coordinator) overdue(now clock.Instant, delay time.Duration) []plan.Write {
	var due []plan.Write
	for _, w := range c.writes {
		if now >= c.firstPlanned[writeKey{w.Kind, w.Name, w.Expect}].Add(delay) {
			due = append(due, w)
		}
	}
	return due
}

// rankOf returns the number of nodes that act before this one, and false if this node is gone. Live nodes
// in zones that are not out of service come first, then other live nodes, then draining ones, each sorted
// by name.
func rankOf(view *cluster.View, self cluster.NodeID) (int, bool) {
	own := view.Node(self)
	if own == nil || own.Gone() {
		return 0, false
	}
	rank := 0
	for _, n := range view.Nodes {
		if n.Gone() || n == own {
			continue
		}
		if rankTier(view, n) < rankTier(view, own) || rankTier(view, n) == rankTier(view, own) && n.ID.Name < own.ID.Name {
			rank++
		}
	}
	return rank, true
}

// rankTier returns the group of nodes within which rankOf sorts by name; lower tiers act first.
func rankTier(view *cluster.View, n *cluster.Node) int {
	switch {
	case n.State != cluster.Live:
		return 2
	case zoneOut(view, n.Location.AvailabilityZone):
		return 1
	}
	return 0
}

func zoneOut(view *cluster.View, zone string) bool {
	return view.Configuration.Document.AvailabilityZones[zone].State == config.ZoneOut
}
