package admission

import (
	"math"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// A window closes when it has enough samples for a meaningful mean, or after maxWindow under light load.
	minWindow     = 100 * time.Millisecond
	maxWindow     = time.Second
	windowSamples = 10
	// baselinePeriod is half the time span of the long-term minimum latency. It is much longer than a temporary
	// slowdown of the target, and short enough to adapt to a release of the target that is permanently slower.
	baselinePeriod = time.Minute
	// latencyTolerance is the ratio of latency to its minimum up to which the limit is not lowered.
	latencyTolerance = 2.0
	// smoothing is the weight of a new window in the moving average. It keeps one bad window from halving the limit.
	smoothing = 0.2
	// coldLatencyFactor is the ratio of latency to its minimum that, together with other signs, indicates a cold target.
	coldLatencyFactor = 3.0
	// reportMaxAge is the age at which a report of the target is ignored. The target reports about every 100 ms.
	reportMaxAge = 500 * time.Millisecond
)

// ColdStart limits the load of a target after its start.
type ColdStart struct {
	Concurrency int           // initial limit of concurrent requests
	Ramp        time.Duration // time under load until the limit reaches all slots
}

// TargetCapacity is the declared capacity of a target.
type TargetCapacity struct {
	Slots     int
	ColdStart ColdStart
}

// limiter computes the concurrency limit. It is the minimum of the cold start ramp, an adaptive limit derived from
// latency, and a limit derived from the target's reports.
type limiter struct {
	target         TargetCapacity
	adaptiveLimit  float64
	timeUnderLoad  time.Duration // time under load since the ramp began
	last           clock.Instant
	window         window
	baseline       baseline
	warmThroughput float64 // completions per second of a warm and saturated target, moving average
	reportedLimit  float64
	reportedAt     clock.Instant
	hasReport      bool
}

// window collects the outcomes between two adjustments.
type window struct {
	start     clock.Instant
	latency   time.Duration
	completed int
	refused   int
	cold      int
	saturated bool
}

// baseline is the minimum of the added values over the last one to two baseline periods.
type baseline struct {
	current  float64
	previous float64
	since    clock.Instant
}

func (b *baseline) add(now clock.Instant, mean float64) {
	if now.Sub(b.since) >= baselinePeriod {
		b.previous, b.current, b.since = b.current, 0, now
	}
	if b.current == 0 || mean < b.current {
		b.current = mean
	}
}

// min returns the minimum, or 0 if there are no values.
func (b *baseline) min() float64 {
	if b.previous == 0 || b.current != 0 && b.current < b.previous {
		return b.current
	}
	return b.previous
}

// restart begins a cold start of a target with the given capacity.
func (l *limiter) restart(now clock.Instant, target TargetCapacity) {
	target.Slots = max(1, target.Slots)
	*l = limiter{target: target, adaptiveLimit: float64(target.Slots), last: now, window: window{start: now}}
	l.baseline.since = now
	l.setColdStart(target.ColdStart)
}

func (l *limiter) setColdStart(cold ColdStart) {
	cold.Concurrency = min(max(1, cold.Concurrency), l.target.Slots)
	l.target.ColdStart = cold
}

// advance adds the time since the last call to the time under load if requests were running. A target without load
// doesn't become warm.
func (l *limiter) advance(now clock.Instant, running int) {
	if running > 0 && now > l.last {
		l.timeUnderLoad += now.Sub(l.last)
	}
	l.last = max(l.last, now)
}

// warm reports whether the cold start ramp is complete.
func (l *limiter) warm() bool { return l.timeUnderLoad >= l.target.ColdStart.Ramp }

// rampLimit returns the limit of the cold start ramp, which rises linearly to all slots.
func (l *limiter) rampLimit() int {
	if l.warm() {
		return l.target.Slots
	}
	cold := l.target.ColdStart.Concurrency
	progress := float64(l.timeUnderLoad) / float64(l.target.ColdStart.Ramp)
	return cold + int(float64(l.target.Slots-cold)*progress)
}

// limit returns the number of requests that may run.
func (l *limiter) limit(now clock.Instant) int {
	limit := min(l.rampLimit(), int(l.adaptiveLimit))
	if l.hasReport && now.Sub(l.reportedAt) < reportMaxAge {
		limit = min(limit, int(l.reportedLimit))
	}
	return max(1, limit)
}

// report handles the target's own count of running requests. Requests that this node didn't send reduce the limit,
// but by no more than half of the slots, because the report may be wrong.
func (l *limiter) report(now clock.Instant, reported, running int) {
	foreign := max(0, reported-running)
	slots := float64(l.target.Slots)
	l.reportedLimit = max(slots-float64(foreign), slots/2)
	l.reportedAt, l.hasReport = now, true
}

// done adds the outcome of a request to the window, and closes the window when it is full.
func (l *limiter) done(now clock.Instant, o Outcome, saturated bool) {
	w := &l.window
	w.saturated = w.saturated || saturated
	switch o.Result {
	case Completed:
		w.completed++
		w.latency += o.Latency
	case Refused:
		w.refused++
	case RefusedCold:
		w.refused++
		w.cold++
	}
	age := now.Sub(w.start)
	full := age >= minWindow && w.completed+w.refused >= windowSamples
	if full || age >= maxWindow && w.completed+w.refused > 0 {
		l.closeWindow(now)
		l.window = window{start: now}
	}
}

// closeWindow evaluates the window and adjusts the limit.
func (l *limiter) closeWindow(now clock.Instant) {
	w := l.window
	if w.cold > 0 {
		l.reduceRamp()
		return
	}
	if w.completed == 0 {
		return
	}
	mean := w.latency.Seconds() / float64(w.completed)
	throughput := float64(w.completed) / now.Sub(w.start).Seconds()
	if l.looksCold(mean, throughput) {
		l.reduceRamp()
		return
	}
	l.baseline.add(now, mean)
	l.adjustLimit(mean)
	if l.warm() && w.saturated {
		l.warmThroughput = smooth(l.warmThroughput, throughput)
	}
}

// looksCold distinguishes a cold target from a busy one. The latency of a cold target jumps, and it also refuses
// requests or completes fewer than before although it is saturated. Latency alone is not sufficient, because it also
// rises with temporary slowdowns and expensive requests.
func (l *limiter) looksCold(mean, throughput float64) bool {
	minLatency := l.baseline.min()
	if !l.warm() || minLatency == 0 || mean < coldLatencyFactor*minLatency {
		return false
	}
	w := l.window
	manyRefusals := w.refused*10 >= w.completed+w.refused
	throughputDropped := w.saturated && l.warmThroughput > 0 && throughput < l.warmThroughput/2
	return manyRefusals || throughputDropped
}

// reduceRamp restarts the ramp of a warm target, and halves the progress of a ramp that is not complete. A full
// restart at each refusal would keep a target that refuses occasionally cold forever.
func (l *limiter) reduceRamp() {
	if l.warm() {
		l.timeUnderLoad = 0
		return
	}
	l.timeUnderLoad /= 2
}

// adjustLimit changes the adaptive limit by the gradient, the ratio of the minimum latency to the mean.
func (l *limiter) adjustLimit(mean float64) {
	gradient := 1.0
	if mean > 0 {
		gradient = min(1, max(0.5, latencyTolerance*l.baseline.min()/mean))
	}
	next := l.adaptiveLimit * gradient
	if l.window.saturated {
		next += math.Sqrt(l.adaptiveLimit) // Headroom to probe for a higher limit. An unsaturated window says nothing about it.
	} else if gradient == 1 {
		return
	}
	l.adaptiveLimit = min(float64(l.target.Slots), max(1, smooth(l.adaptiveLimit, next)))
}

// smooth returns the exponential moving average. 0 stands for no previous value.
func smooth(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + smoothing*(next-old)
}
