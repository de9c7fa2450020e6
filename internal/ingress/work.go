package ingress

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// expectedWait returns the expected time until a request that is sent now gets a slot of the target, plus a weight for its
// utilisation. mean is the current service time of the target.
func (o *option) expectedWait(now clock.Instant, mean time.Duration, defaults defaultLoad) time.Duration {
	slots := max(1, o.Slots)
	busy := max(float64(o.target.inFlight), o.outstanding(now, defaults))
	// A target with a free slot serves a request at once, but the more of them are busy, the sooner it has none. This is
	// weighed by the mean of all targets, since the utilisation says nothing about the speed.
	wait := time.Duration(float64(defaults.mean) * busy / float64(slots))
	if busy >= float64(slots) {
		wait += time.Duration(float64(mean) * (busy - float64(slots) + 1) / float64(slots))
	}
	return wait
}

// outstanding returns the expected work at the target in requests of mean service time: the remaining work that it
// reported, plus what this node has sent since. A target that reports no remaining work counts by its requests, and one
// without a fresh report by the utilisation of the others. Work is not assumed to have been done since the report, because other
// nodes refill the slots.
func (o *option) outstanding(now clock.Instant, defaults defaultLoad) float64 {
	switch l := &o.target.load; {
	case !o.fresh(now):
		return float64(int(defaults.utilisation * float64(max(1, o.Slots))))
	case l.WorkKnown:
		return float64(l.RemainingWork)/float64(max(1, o.serviceTime(defaults))) + float64(o.target.sentSinceReport)
	default:
		return float64(l.Outstanding)
	}
}
