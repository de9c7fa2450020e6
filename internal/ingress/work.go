package ingress

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// expectedWait returns the expected time until a request that is sent now gets a slot of the target, plus a weight for its
// utilisation. mean is the current service time of the target.
func (o *option) expectedWait(now clock.Instant, mean time.Duration, defaults defaultLoad) time.Duration {
	l, slots := &o.target.load, max(1, o.Slots)
	outstanding := l.Outstanding
	if !o.fresh(now) {
		outstanding = int(defaults.utilisation * float64(slots))
	}
	busy := max(o.target.inFlight, outstanding)
	// A target with a free slot serves a request at once, but the more of them are busy, the sooner it has none. This is
	// weighed by the mean of all targets, since the utilisation says nothing about the speed.
	wait := time.Duration(float64(defaults.mean) * float64(busy) / float64(slots))
	if busy < slots {
		return wait
	}
	if l.WorkKnown && l.Outstanding > 0 && o.fresh(now) {
		mean = l.RemainingWork / time.Duration(l.Outstanding)
	}
	return wait + time.Duration(float64(mean)*float64(busy-slots+1)/float64(slots))
}
