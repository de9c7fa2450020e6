package placement

import (
	"sort"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// rebalanceInterval is the minimum time between two rebalancing plans of a service. In between,
	// the targets measure their demand again.
	rebalanceInterval = 700 * time.Millisecond
	// minDonorUtilization is the utilization below which an owner gives up no ranges, because it still
	// meets its deadlines.
	minDonorUtilization = 0.85
	// maxReceiverUtilization is the utilization above which an owner receives no more ranges. If all
	// owners are overloaded, moving ranges does not help.
	maxReceiverUtilization = 0.75
	// minUtilizationDifference is the smallest difference in utilization at which a move is worth its
	// cost: the moving keys are not served for about half a heartbeat interval.
	minUtilizationDifference = 0.35
	// maxFilledUtilization is the utilization up to which a receiver is filled.
	maxFilledUtilization = 0.8
	// unservedTimeWeight is the difference in utilization that offsets one heartbeat interval without
	// an owner for the moving keys.
	unservedTimeWeight = 0.2
	// releaseDelay is the time from the heartbeat that releases a range to the new table: the target
	// reports the release within 100 ms, and the coordinator then writes the table.
	releaseDelay = 150 * time.Millisecond
	// overloadUtilization is the utilization from which an owner counts as overloaded. Its ranges are
	// divided even if the table has reached the row limit of ordinary balancing, up to
	// overloadRowsFactor times that limit: under a skewed load, ordinary balancing fills the table up to
	// its limit, and a range that becomes hot later would stay with one owner. At a threshold of 2, the
	// noise in the measured demand of slow owners caused moves under ordinary load.
	overloadUtilization = 2.5
	overloadRowsFactor  = 2
	// maxOverloadRows keeps the table within one object of the store, which holds about 9,000 rows.
	maxOverloadRows = 8000
	// minPairsPerPlan is the number of donor and receiver pairs that one plan may use. In large fleets
	// the limit is half the number of eligible owners.
	minPairsPerPlan = 5
)

// rebalance moves ranges from the owners with the highest utilization to those with the lowest.
func (p *planner) rebalance() {
	if len(p.change.Moves) > 0 || len(p.table.Rows) > min(overloadRowsFactor*p.maxRows(), maxOverloadRows) || p.input.Now.Sub(p.input.LastRebalanced[p.service]) < rebalanceInterval {
		return
	}
	var eligible []*candidate
	rows := p.rowsPerHost()
	for _, c := range p.candidates {
		if c.report != nil && !c.cold && rows[c.target.Host] < maxRowsPerOwner {
			eligible = append(eligible, c)
		}
	}
	for range max(minPairsPerPlan, len(eligible)/2) {
		if len(eligible) < 2 {
			return
		}
		sort.SliceStable(eligible, func(i, j int) bool { return eligible[i].utilization() > eligible[j].utilization() })
		from, to := eligible[0], p.receiver(eligible[0], eligible[1:])
		if from.utilization() < minDonorUtilization || from.utilization() < overloadUtilization && len(p.table.Rows) > p.maxRows() || to.utilization() > maxReceiverUtilization || from.utilization()-to.utilization() < minUtilizationDifference {
			return
		}
		if !p.transferLoad(from, to) {
			eligible = eligible[1:] // The donor's remaining ranges can't be divided.
		}
	}
}

// rowsPerHost returns the number of rows of each host. A moving row counts for both its old and its
// new owner.
func (p *planner) rowsPerHost() map[string]int {
	rows := map[string]int{}
	for _, r := range p.table.Rows {
		rows[r.Owner.Host]++
		if !r.NextOwner.IsZero() {
			rows[r.NextOwner.Host]++
		}
	}
	return rows
}

// receiver returns the candidate to move ranges to. It prefers a low utilization and a heartbeat soon
// after the donor's, since the keys are not served in between.
func (p *planner) receiver(from *candidate, others []*candidate) *candidate {
	var best *candidate
	bestCost := 0.0
	for _, c := range others {
		if cost := c.utilization() + unservedTimeWeight*p.unservedTime(from, c); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// unservedTime returns the time between the donor's release and the receiver's grant, in heartbeat
// intervals.
func (p *planner) unservedTime(from, to *candidate) float64 {
	if p.options.HeartbeatInterval <= 0 {
		return 0
	}
	released := nextHeartbeatFrom(from.nextHeartbeat, p.input.Now, p.options.HeartbeatInterval).Add(releaseDelay)
	granted := nextHeartbeatFrom(to.nextHeartbeat, released, p.options.HeartbeatInterval)
	return granted.Sub(released).Seconds() / p.options.HeartbeatInterval.Seconds()
}

// nextHeartbeatFrom returns the first heartbeat at or after from, given one heartbeat and the
// interval.
func nextHeartbeatFrom(heartbeat, from clock.Instant, interval time.Duration) clock.Instant {
	if passed := from.Sub(heartbeat); passed > 0 {
		heartbeat = heartbeat.Add((passed + interval - 1) / interval * interval)
	}
	return heartbeat
}

// transferLoad moves ranges so that donor and receiver end up with about the same utilization. It
// reports whether a range was moved.
func (p *planner) transferLoad(from, to *candidate) bool {
	// Moving a demand of d slots of the donor lowers its load by d and raises that of the receiver by
	// d * serviceTimeRatio.
	serviceTimeRatio := to.relServiceTime / from.relServiceTime
	wanted := min((from.utilization()-to.utilization())/(1/from.slots()+serviceTimeRatio/to.slots()), (maxFilledUtilization-to.utilization())*to.slots()/serviceTimeRatio)
	selected := selectSegments(p.rowSegments(from), wanted)
	if len(selected) == 0 {
		return false
	}
	for _, seg := range selected {
		p.table.Split(seg.Range)
		for i := range p.table.Rows {
			r := &p.table.Rows[i]
			if seg.Covers(r.Range) && r.Owner == from.target.Owner() && r.NextOwner.IsZero() {
				p.startMove(r, to.target.Owner(), Balance)
			}
		}
		from.load -= seg.demand
		to.load += seg.demand * serviceTimeRatio
	}
	p.change.Rebalanced = true
	return true
}

// rowSegment is a part of a row with its demand.
type rowSegment struct {
	keyspace.Range
	demand float64
	// row is the index of the row in the table.
	row int
}

// rowSegments returns the reported segments of the candidate's rows that are not moving, in key order.
func (p *planner) rowSegments(c *candidate) []rowSegment {
	var segments []rowSegment
	for i, r := range p.table.Rows {
		if r.Owner != c.target.Owner() || !r.NextOwner.IsZero() {
			continue
		}
		for _, seg := range c.report.RangeDemands {
			if shared := (keyspace.Range{From: max(seg.From, r.From), To: min(seg.To, r.To)}); shared.Valid() {
				segments = append(segments, rowSegment{shared, seg.Demand * float64(shared.Size()) / float64(seg.Size()), i})
			}
		}
	}
	return segments
}

// selectSegments returns the run of consecutive segments whose demand is closest to wanted, at most a
// tenth above it. Segments of the same row are merged, including the keys between them. Among runs of
// about the same demand it prefers the one with the fewest rows. It returns nil if no run reaches a
// quarter of wanted.
func selectSegments(segments []rowSegment, wanted float64) []rowSegment {
	limit := wanted * 1.1
	best, bestDemand := []rowSegment(nil), 0.0
	for i := range segments {
		selection, sum := []rowSegment(nil), 0.0
		for _, p := range segments[i:] {
			if sum+p.demand > limit {
				break
			}
			sum += p.demand
			if n := len(selection); n > 0 && selection[n-1].row == p.row {
				selection[n-1].To, selection[n-1].demand = p.To, selection[n-1].demand+p.demand
			} else {
				selection = append(selection, p)
			}
			if sum > bestDemand*1.02 || sum >= bestDemand && len(selection) < len(best) {
				best, bestDemand = append([]rowSegment(nil), selection...), sum
			}
		}
	}
	if bestDemand < wanted/4 {
		return nil
	}
	return best
}
