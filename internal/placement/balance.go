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
func (p *planner) balance() {
	if len(p.change.Moves) > 0 || len(p.table.Rows) > p.maxRows() || p.input.Now.Sub(p.input.LastRebalanced[p.service]) < rebalanceInterval {
		return
	}
	var warm []*candidate
	rows := p.rows()
	for _, c := range p.candidates {
		if c.report != nil && !c.cold && rows[c.target.Host] < maxRowsPerOwner {
			warm = append(warm, c)
		}
	}
	for range max(minPairsPerPlan, len(warm)/2) {
		if len(warm) < 2 {
			return
		}
		sort.SliceStable(warm, func(i, j int) bool { return warm[i].utilization() > warm[j].utilization() })
		from, to := warm[0], p.receiver(warm[0], warm[1:])
		if from.utilization() < minDonorUtilization || to.utilization() > maxReceiverUtilization || from.utilization()-to.utilization() < minUtilizationDifference {
			return
		}
		if !p.shed(from, to) {
			warm = warm[1:] // What is left of it can't be divided.
		}
	}
}

// rows returns the number of rows of each host, with those on the move at both ends.
func (p *planner) rows() map[string]int {
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
		if cost := c.utilization() + unservedTimeWeight*p.gap(from, c); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// gap returns how long keys are not served on their way, in heartbeat intervals.
func (p *planner) gap(from, to *candidate) float64 {
	if p.options.HeartbeatInterval <= 0 {
		return 0
	}
	released := upcoming(from.nextHeartbeat, p.input.Now, p.options.HeartbeatInterval).Add(releaseDelay)
	granted := upcoming(to.nextHeartbeat, released, p.options.HeartbeatInterval)
	return granted.Sub(released).Seconds() / p.options.HeartbeatInterval.Seconds()
}

// upcoming returns the first heartbeat from an instant on.
func upcoming(beat, from clock.Instant, interval time.Duration) clock.Instant {
	if late := from.Sub(beat); late > 0 {
		beat = beat.Add((late + interval - 1) / interval * interval)
	}
	return beat
}

// shed moves ranges so that both targets become about equally busy. It reports whether something moved.
func (p *planner) shed(from, to *candidate) bool {
	// Moving demand d (in slots of the donor) lowers the donor by d and raises the receiver by d x paces.
	rate := to.relServiceTime / from.relServiceTime
	want := min((from.utilization()-to.utilization())/(1/from.slots()+rate/to.slots()), (maxFilledUtilization-to.utilization())*to.slots()/rate)
	picked := pick(p.segments(from), want)
	if len(picked) == 0 {
		return false
	}
	for _, seg := range picked {
		p.table.Split(seg.Range)
		for i := range p.table.Rows {
			r := &p.table.Rows[i]
			if seg.Covers(r.Range) && r.Owner == from.target.Owner() && r.NextOwner.IsZero() {
				p.startMove(r, to.target.Owner(), Balance)
			}
		}
		from.load -= seg.demand
		to.load += seg.demand * rate
	}
	p.change.Rebalanced = true
	return true
}

// piece is a part of a row with its demand.
type piece struct {
	keyspace.Range
	demand float64
	// row is the index of its row.
	row int
}

// segments returns the pieces of the rows of the candidate, in the order of their keys.
func (p *planner) segments(c *candidate) []piece {
	var pieces []piece
	for i, r := range p.table.Rows {
		if r.Owner != c.target.Owner() || !r.NextOwner.IsZero() {
			continue
		}
		for _, seg := range c.report.Segments {
			if shared := (keyspace.Range{From: max(seg.From, r.From), To: min(seg.To, r.To)}); shared.Valid() {
				pieces = append(pieces, piece{shared, seg.Demand * float64(shared.Size()) / float64(seg.Size()), i})
			}
		}
	}
	return pieces
}

// pick returns neighbouring pieces, joined within a row with the keys between them, whose demand is closest to want without exceeding it by
// more than a tenth. The run that needs the fewest rows wins.
func pick(pieces []piece, want float64) []piece {
	limit := want * 1.1
	best, bestSum := []piece(nil), 0.0
	for i := range pieces {
		run, sum := []piece(nil), 0.0
		for _, p := range pieces[i:] {
			if sum+p.demand > limit {
				break
			}
			sum += p.demand
			if n := len(run); n > 0 && run[n-1].row == p.row {
				run[n-1].To, run[n-1].demand = p.To, run[n-1].demand+p.demand
			} else {
				run = append(run, p)
			}
			if sum > bestSum*1.02 || sum >= bestSum && len(run) < len(best) {
				best, bestSum = append([]piece(nil), run...), sum
			}
		}
	}
	if bestSum < want/4 {
		return nil
	}
	return best
}
