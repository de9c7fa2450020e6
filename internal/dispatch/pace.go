package dispatch

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// maxPaceAge is how long a statement of the target's pace counts. Neighbours on its host come and go several times a second.
	maxPaceAge = 150 * time.Millisecond
	// slowThreshold is the pace, relative to the usual one, from which a target is slowed by its neighbours.
	slowThreshold = 1.5
	// defaultSlowPeriod is the length that is assumed of slow spells before the first one has ended.
	defaultSlowPeriod = 300 * time.Millisecond
	// maxSlowPeriod is the length from which slowness is no spell any more, but how the target is.
	maxSlowPeriod = 900 * time.Millisecond
	// slowPeriodWeight is the weight of one spell in the mean length.
	slowPeriodWeight = 0.2
	// minSlowRemaining is the least time that a spell is expected to go on for.
	minSlowRemaining = 50 * time.Millisecond
)

// paceTracker follows how long work takes at the target at this moment. Targets share their hosts with neighbours that nobody sees, and a
// request that starts while they are busy is slow to its end, so that it is often done sooner if it starts after the spell.
type paceTracker struct {
	// baseline is the pace without neighbours; it differs from target to target. 0 means that the target states none.
	baseline   float64
	latest     float64
	observedAt clock.Instant
	// slow says that a spell is on, since when says since.
	slow      bool
	slowSince clock.Instant
	// meanSlowPeriod is the mean meanSlowPeriod of spells.
	meanSlowPeriod time.Duration
}

// observe takes a pace that the target states.
func (p *paceTracker) observe(now clock.Instant, observed float64) {
	if observed <= 0 || now < p.observedAt {
		return
	}
	if p.baseline == 0 || observed < p.baseline {
		p.baseline = observed
	}
	if now.Sub(p.observedAt) > maxSlowPeriod {
		p.slow = false // What was between is not known.
	}
	slow := observed >= slowThreshold*p.baseline
	switch {
	case slow && !p.slow:
		p.slowSince = now
	case slow && now.Sub(p.slowSince) > maxSlowPeriod:
		p.baseline, slow = observed, false
	case !slow && p.slow:
		p.recordSlowPeriod(now.Sub(p.slowSince))
	}
	p.slow, p.latest, p.observedAt = slow, observed, now
}

// recordSlowPeriod counts the length of a spell.
func (p *paceTracker) recordSlowPeriod(length time.Duration) {
	if p.meanSlowPeriod == 0 {
		p.meanSlowPeriod = defaultSlowPeriod
	}
	p.meanSlowPeriod += time.Duration(slowPeriodWeight * float64(length-p.meanSlowPeriod))
}

// slowdown returns how many times longer than usual work takes now, 1 if that is not known.
func (p *paceTracker) slowdown(now clock.Instant) float64 {
	if p.baseline == 0 || now.Sub(p.observedAt) > maxPaceAge {
		return 1
	}
	return p.latest / p.baseline
}

// slowRemaining returns how long the slow spell is expected to go on, 0 if there is none.
func (p *paceTracker) slowRemaining(now clock.Instant) time.Duration {
	if !p.slow || now.Sub(p.observedAt) > maxPaceAge {
		return 0
	}
	length := p.meanSlowPeriod
	if length == 0 {
		length = defaultSlowPeriod
	}
	return max(minSlowRemaining, length-now.Sub(p.slowSince))
}
