package placement

import (
	"sort"
	"time"

	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// balanceInterval is the pause between moves for balance, in which the demand is measured anew.
	balanceInterval = time.Second
	// busyEnough is the share of busy slots below which an owner is left alone: it answers in time.
	busyEnough = 0.7
	// roomEnough is the share of busy slots above which an owner gets nothing more. Between owners that are all
	// overloaded, moving serves nobody.
	roomEnough = 0.75
	// minSpread is the difference in the share of busy slots from which moving pays: keys on the move are not
	// served for about half a heartbeat interval.
	minSpread = 0.25
	// fullEnough is the share of busy slots up to which an owner is filled.
	fullEnough = 0.9
	// maxSteps bounds the pairs of owners that exchange ranges in one step.
	maxSteps = 5
)

// balance moves ranges from the busiest owners to the least busy ones.
func (s *service) balance() {
	if len(s.change.Moves) > 0 || len(s.table.Rows) > maxRows || s.in.Now.Sub(s.in.Balanced[s.name]) < balanceInterval {
		return
	}
	var warm []*candidate
	for _, c := range s.candidates {
		if c.report != nil && !c.cold {
			warm = append(warm, c)
		}
	}
	for range maxSteps {
		if len(warm) < 2 {
			return
		}
		sort.SliceStable(warm, func(i, j int) bool { return warm[i].ratio() > warm[j].ratio() })
		from, to := warm[0], warm[len(warm)-1]
		if from.ratio() < busyEnough || to.ratio() > roomEnough || from.ratio()-to.ratio() < minSpread {
			return
		}
		if !s.shed(from, to) {
			warm = warm[1:] // What is left of it can't be divided.
		}
	}
}

// shed moves ranges so that both targets become about equally busy. It reports whether something moved.
func (s *service) shed(from, to *candidate) bool {
	// Moving demand d (in slots of the donor) lowers the donor by d and raises the receiver by d x paces.
	rate := to.pace / from.pace
	want := min((from.ratio()-to.ratio())/(1/from.slots()+rate/to.slots()), (fullEnough-to.ratio())*to.slots()/rate)
	picked := pick(s.segments(from), want)
	if len(picked) == 0 {
		return false
	}
	for _, seg := range picked {
		s.table.Cut(seg.Range)
		for i := range s.table.Rows {
			r := &s.table.Rows[i]
			if seg.Covers(r.Range) && r.Owner == from.target.Owner() && r.Next.IsZero() {
				s.move(r, to.target.Owner(), Balance)
			}
		}
		from.load -= seg.demand
		to.load += seg.demand * rate
	}
	s.change.Balance = true
	return true
}

// piece is a part of a row with its demand.
type piece struct {
	keyspace.Range
	demand float64
}

// segments returns the pieces of the rows of the candidate, in the order of their keys.
func (s *service) segments(c *candidate) []piece {
	var pieces []piece
	for _, r := range s.table.Rows {
		if r.Owner != c.target.Owner() || !r.Next.IsZero() {
			continue
		}
		for _, seg := range c.report.Segments {
			if shared := (keyspace.Range{From: max(seg.From, r.From), To: min(seg.To, r.To)}); shared.Valid() {
				pieces = append(pieces, piece{shared, seg.Demand * float64(shared.Size()) / float64(seg.Size())})
			}
		}
	}
	return pieces
}

// pick returns neighbouring pieces, joined where they touch, whose demand is closest to want without exceeding it by
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
			if n := len(run); n > 0 && run[n-1].To+1 == p.From {
				run[n-1].To, run[n-1].demand = p.To, run[n-1].demand+p.demand
			} else {
				run = append(run, p)
			}
			if sum > bestSum*1.02 || sum >= bestSum && len(run) < len(best) {
				best, bestSum = append([]piece(nil), run...), sum
			}
		}
	}
	if bestSum < want/8 {
		return nil
	}
	return best
}
