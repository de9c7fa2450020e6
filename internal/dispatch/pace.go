package dispatch

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// maxPaceAge is how long a reported pace is valid. Load from noisy neighbours on the host changes several times per
	// second.
	maxPaceAge = 150 * time.Millisecond
	// slowThreshold is the pace, relative to the baseline, from which a target counts as slowed down by its neighbours.
	slowThreshold = 1.5
	// defaultSlowPeriod is the length assumed for slow periods before the first one has ended.
	defaultSlowPeriod = 300 * time.Millisecond
	// maxSlowPeriod is the length after which a slow period ends and its pace becomes the new baseline.
	maxSlowPeriod = 900 * time.Millisecond
	// slowPeriodWeight is the weight of one slow period in the moving average of their length.
	slowPeriodWeight = 0.2
	// minSlowRemaining is the least time for which a slow period is expected to continue.
	minSlowRemaining = 50 * time.Millisecond
)

// paceTracker tracks how long work currently takes on the target. Targets share their hosts with neighbours that the
// node can't observe. A request that starts while they are busy stays slow until it ends, so it often completes sooner
// if it starts after the slow period.
type paceTracker struct {
	// baseline is the pace without load from neighbours; it differs from target to target. 0 means that the target
	// reports no pace.
	baseline   float64
	latest     float64
	observedAt clock.Instant
	// slow says that a slow period is in progress, slowSince when it began.
	slow      bool
	slowSince clock.Instant
	// meanSlowPeriod is the moving average of the length of slow periods.
	meanSlowPeriod time.Duration
}

// observe records a pace that the target reports.
func (p *paceTracker) observe(now clock.Instant, observed float64) {
	if observed <= 0 || now < p.observedAt {
		return
	}
	if p.baseline == 0 || observed < p.baseline {
		p.baseline = observed
	}
	if now.Sub(p.observedAt) > maxSlowPeriod {
		p.slow = false // The pace since the last report is unknown.
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

// recordSlowPeriod adds the length of a slow period to the moving average.
func (p *paceTracker) recordSlowPeriod(length time.Duration) {
	if p.meanSlowPeriod == 0 {
		p.meanSlowPeriod = defaultSlowPeriod
	}
	p.meanSlowPeriod += time.Duration(slowPeriodWeight * float64(length-p.meanSlowPeriod))
}

// slowdown returns the ratio of the current pace to the baseline, 1 if unknown.
func (p *paceTracker) slowdown(now clock.Instant) float64 {
	if p.baseline == 0 || now.Sub(p.observedAt) > maxPaceAge {
		return 1
	}
	return p.latest / p.baseline
}

// slowRemaining returns how long the slow period is expected to continue, 0 if there is none.
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
