// Package coordinator plans the assignment of slices: takeover, handover,
// balance and the evacuation of availability zones. It performs no I/O.
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
	// rankDelay gives a coordinator time for a write of 10 ms, its fan-out of 20 ms and a repetition
	// before the next node acts.
	rankDelay = 150 * time.Millisecond
	// maxActingRank is the last node that acts. Three hosts lost at once wait for the first revocation.
	maxActingRank = 2
	// balanceDelay is how long an imbalance lasts before slices move, so that a target that is down
	// for a moment or a fleet that starts causes no moves.
	balanceDelay = 2 * time.Second
)

// Coordinator plans writes. It remembers only when it first saw work, which decides when it acts
// and never what is safe. It is not safe for concurrent use.
type Coordinator struct {
	// Weight returns the load of a slice relative to others. Nil counts each slice as 1.
	Weight func(cluster.SliceID) float64

	// view, writes and due cache the last plan. It stays valid for the same view until due.
	view     *cluster.View
	writes   []plan.Write
	replanAt clock.Instant

	// rankView, rankSelf, rank and ranked cache the rank.
	rankView *cluster.View
	rankSelf cluster.NodeID
	ownRank  int
	hasRank  bool

	firstPlanned  map[writeKey]clock.Instant
	balanceStates map[string]*balanceState
}

// writeKey identifies work left undone: any write of the object raises its version.
type writeKey struct {
	kind, name      string
	expectedVersion uint64
}

// balanceState is the hysteresis of one service.
type balanceState struct {
	unbalanced bool
	since      clock.Instant
}

// New returns a coordinator that has seen nothing yet.
func New() *Coordinator {
	return &Coordinator{balanceStates: map[string]*balanceState{}}
}

// Plan returns the writes that this node should make now. It repeats work until the view shows the
// result, so the caller makes one write of an object at a time.
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

// balanceAllowed reports whether slices may move for balance. Once an imbalance has lasted, moves go on
// until none is left, which is well below the bound that started them.
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
	// A peak that has gone before the delay is over causes no moves.
	b.unbalanced = d.exceedsImbalanceBound()
	if b.unbalanced && (c.replanAt == 0 || start < c.replanAt) {
		c.replanAt = start
	}
	return false
}

// trackFirstPlanned notes when each write was first planned, and forgets work that is done.
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

// overdue returns the writes that have been left undone for the delay.
func (c *Coordinator) overdue(now clock.Instant, delay time.Duration) []plan.Write {
	var due []plan.Write
	for _, w := range c.writes {
		if now >= c.firstPlanned[writeKey{w.Kind, w.Name, w.Expect}].Add(delay) {
			due = append(due, w)
		}
	}
	return due
}

// rankOf returns how many nodes act before this one. Live nodes in availability zones that are in
// come first, then other live nodes, then draining ones, each by name.
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
