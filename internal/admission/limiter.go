package admission

import (
	"math"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// A window closes when it is long enough for a mean that is not noise, or after maxWindow under light load.
	minWindow     = 100 * time.Millisecond
	maxWindow     = time.Second
	windowSamples = 10
	// baselinePeriod is half of the memory of the long-term minimum. It is much longer than a straggler period, and
	// short enough to follow a release of the target that is slower for good.
	baselinePeriod = time.Minute
	// latencyTolerance is the rise of latency over the minimum that does not lower the limit.
	latencyTolerance = 2.0
	// smoothing is the weight of a new window, so that one bad window doesn't halve the limit.
	smoothing = 0.2
	// coldLatencyFactor is the rise of latency over the minimum that, together with other signs, shows a cold target.
	coldLatencyFactor = 3.0
	// reportMaxAge is the age after which the target's own report is ignored; it reports about every 100 ms.
	reportMaxAge = 500 * time.Millisecond
)

// ColdStart says what a target bears after its start.
type ColdStart struct {
	Concurrency int
	Ramp        time.Duration
}

// TargetCapacity is what is known about a target in advance.
type TargetCapacity struct {
	Slots     int
	ColdStart ColdStart
}

// limiter computes the concurrency limit.
type limiter struct {
	target         TargetCapacity
	adaptiveLimit  float64
	timeUnderLoad  time.Duration // time under load since the ramp began
	last           clock.Instant
	window         window
	baseline       baseline
	warmThroughput float64 // completions per second of a warm target that is fully used, smoothed
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

// baseline is the minimum of window means over the last one to two periods.
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

// min returns 0 while nothing is known.
func (b *baseline) min() float64 {
	if b.previous == 0 || b.current != 0 && b.current < b.previous {
		return b.current
	}
	return b.previous
}

// restart begins a cold start of a target with the shape.
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

// advance counts time under load. A target without load doesn't become warm.
func (l *limiter) advance(now clock.Instant, running int) {
	if running > 0 && now > l.last {
		l.timeUnderLoad += now.Sub(l.last)
	}
	l.last = max(l.last, now)
}

// warm reports whether the ramp is over.
func (l *limiter) warm() bool { return l.timeUnderLoad >= l.target.ColdStart.Ramp }

// rampLimit is what a target in cold start bears.
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

// report takes the target's own count of running requests. Requests that this node didn't send take slots away, but
// never more than half: the report may mislead.
func (l *limiter) report(now clock.Instant, reported, running int) {
	foreign := max(0, reported-running)
	slots := float64(l.target.Slots)
	l.reportedLimit = max(slots-float64(foreign), slots/2)
	l.reportedAt, l.hasReport = now, true
}

// done adds the outcome of a request and adjusts the limit when the window is full.
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

// looksCold tells a cold target from a busy one: its latency jumps, and it also refuses requests or completes fewer
// although there is enough work. Latency alone also rises for stragglers and expensive requests.
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

// reduceRamp restarts the ramp of a warm target, and halves the progress of one that is in its ramp already. A full
// restart at each refusal would keep a target that refuses now and then cold for ever.
func (l *limiter) reduceRamp() {
	if l.warm() {
		l.timeUnderLoad = 0
		return
	}
	l.timeUnderLoad /= 2
}

// adjustLimit moves the limit along the gradient of latency against its minimum.
func (l *limiter) adjustLimit(mean float64) {
	gradient := 1.0
	if mean > 0 {
		gradient = min(1, max(0.5, latencyTolerance*l.baseline.min()/mean))
	}
	next := l.adaptiveLimit * gradient
	if l.window.saturated {
		next += math.Sqrt(l.adaptiveLimit) // Room to probe for a higher limit; unused room proves nothing.
	} else if gradient == 1 {
		return
	}
	l.adaptiveLimit = min(float64(l.target.Slots), max(1, smooth(l.adaptiveLimit, next)))
}

func smooth(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + smoothing*(next-old)
}
