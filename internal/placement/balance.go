package placement

import (
	"sort"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// balanceInterval is the pause between moves for balance, in which the demand is measured anew.
	rebalanceInterval = 700 * time.Millisecond
	// busyEnough is the share of busy slots below which an owner is left alone: it answers in time.
	minDonorUtilization = 0.85
	// roomEnough is the share of busy slots above which an owner gets nothing more. Between owners that are all
	// overloaded, moving serves nobody.
	maxReceiverUtilization = 0.75
	// minSpread is the difference in the share of busy slots from which moving pays: keys on the move are not
	// served for about half a heartbeat interval.
	minUtilizationDifference = 0.35
	// fullEnough is the share of busy slots up to which an owner is filled.
	maxFilledUtilization = 0.8
	// gapWeight is how much busier a receiver may be whose heartbeat comes an interval sooner.
	unservedTimeWeight = 0.2
	// releaseTime is how long a target takes to report that it has released a range: it reports again within 100 ms,
	// and the table is written then.
	releaseDelay = 150 * time.Millisecond
	// minSteps is the number of pairs of owners that may exchange ranges in one step; in large fleets half of the owners may.
	minPairsPerPlan = 5
)

// balance moves ranges from the busiest owners to the least busy ones.
func (p *planner) rebalance() {
	if len(p.change.Moves) > 0 || len(p.table.Rows) > p.maxRows() || p.input.Now.Sub(p.input.LastRebalanced[p.service]) < rebalanceInterval {
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
		if from.utilization() < minDonorUtilization || to.utilization() > maxReceiverUtilization || from.utilization()-to.utilization() < minUtilizationDifference {
			return
		}
		if !p.transferLoad(from, to) {
			eligible = eligible[1:] // What is left of it can't be divided.
		}
	}
}

// rows returns the number of rows of each host, with those on the move at both ends.
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

// receiver returns the target that takes ranges from the donor: the least busy one, but rather one whose next heartbeat
// follows soon after the donor's, since the keys are not served in between.
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

// gap returns how long keys are not served on their way, in heartbeat intervals.
func (p *planner) unservedTime(from, to *candidate) float64 {
	if p.options.HeartbeatInterval <= 0 {
		return 0
	}
	released := nextHeartbeatFrom(from.nextHeartbeat, p.input.Now, p.options.HeartbeatInterval).Add(releaseDelay)
	granted := nextHeartbeatFrom(to.nextHeartbeat, released, p.options.HeartbeatInterval)
	return granted.Sub(released).Seconds() / p.options.HeartbeatInterval.Seconds()
}

// upcoming returns the first heartbeat from an instant on.
func nextHeartbeatFrom(heartbeat, from clock.Instant, interval time.Duration) clock.Instant {
	if passed := from.Sub(heartbeat); passed > 0 {
		heartbeat = heartbeat.Add((passed + interval - 1) / interval * interval)
	}
	return heartbeat
}

// shed moves ranges so that both targets become about equally busy. It reports whether something moved.
func (p *planner) transferLoad(from, to *candidate) bool {
	// Moving demand d (in slots of the donor) lowers the donor by d and raises the receiver by d x paces.
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

// piece is a part of a row with its demand.
type rowSegment struct {
	keyspace.Range
	demand float64
	// row is the index of its row.
	row int
}

// segments returns the pieces of the rows of the candidate, in the order of their keys.
func (p *planner) rowSegments(c *candidate) []rowSegment {
	var segments []rowSegment
	for i, r := range p.table.Rows {
		if r.Owner != c.target.Owner() || !r.NextOwner.IsZero() {
			continue
		}
		for _, seg := range c.report.Segments {
			if shared := (keyspace.Range{From: max(seg.From, r.From), To: min(seg.To, r.To)}); shared.Valid() {
				segments = append(segments, rowSegment{shared, seg.Demand * float64(shared.Size()) / float64(seg.Size()), i})
			}
		}
	}
	return segments
}

// pick returns neighbouring pieces, joined within a row with the keys between them, whose demand is closest to want without exceeding it by
// more than a tenth. The run that needs the fewest rows wins.
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
