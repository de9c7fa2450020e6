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
	// tolerance is the rise of latency over the minimum that does not lower the limit.
	tolerance = 2.0
	// smoothing is the weight of a new window, so that one bad window doesn't halve the limit.
	smoothing = 0.2
	// coldJump is the rise of latency over the minimum that, together with other signs, shows a cold target.
	coldJump = 3.0
	// hintTime is the age after which the target's own report is ignored; it reports about every 100 ms.
	hintTime = 500 * time.Millisecond
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
	shape    TargetCapacity
	adaptive float64
	warmed   time.Duration // time under load since the ramp began
	last     clock.Instant
	window   window
	baseline baseline
	rate     float64 // completions per second of a warm target that is fully used, smoothed
	hint     float64
	hintAt   clock.Instant
	hasHint  bool
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
func (l *limiter) restart(now clock.Instant, shape TargetCapacity) {
	shape.Slots = max(1, shape.Slots)
	*l = limiter{shape: shape, adaptive: float64(shape.Slots), last: now, window: window{start: now}}
	l.baseline.since = now
	l.setCold(shape.ColdStart)
}

func (l *limiter) setCold(cold ColdStart) {
	cold.Concurrency = min(max(1, cold.Concurrency), l.shape.Slots)
	l.shape.ColdStart = cold
}

// advance counts time under load. A target without load doesn't become warm.
func (l *limiter) advance(now clock.Instant, running int) {
	if running > 0 && now > l.last {
		l.warmed += now.Sub(l.last)
	}
	l.last = max(l.last, now)
}

// warm reports whether the ramp is over.
func (l *limiter) warm() bool { return l.warmed >= l.shape.ColdStart.Ramp }

// rampLimit is what a target in cold start bears.
func (l *limiter) rampLimit() int {
	if l.warm() {
		return l.shape.Slots
	}
	cold := l.shape.ColdStart.Concurrency
	part := float64(l.warmed) / float64(l.shape.ColdStart.Ramp)
	return cold + int(float64(l.shape.Slots-cold)*part)
}

// limit returns the number of requests that may run.
func (l *limiter) limit(now clock.Instant) int {
	limit := min(l.rampLimit(), int(l.adaptive))
	if l.hasHint && now.Sub(l.hintAt) < hintTime {
		limit = min(limit, int(l.hint))
	}
	return max(1, limit)
}

// report takes the target's own count of running requests. Requests that this node didn't send take slots away, but
// never more than half: the report may mislead.
func (l *limiter) report(now clock.Instant, reported, running int) {
	foreign := max(0, reported-running)
	slots := float64(l.shape.Slots)
	l.hint = max(slots-float64(foreign), slots/2)
	l.hintAt, l.hasHint = now, true
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
		l.close(now)
		l.window = window{start: now}
	}
}

func (l *limiter) close(now clock.Instant) {
	w := l.window
	if w.cold > 0 {
		l.coolDown()
		return
	}
	if w.completed == 0 {
		return
	}
	mean := w.latency.Seconds() / float64(w.completed)
	throughput := float64(w.completed) / now.Sub(w.start).Seconds()
	if l.looksCold(mean, throughput) {
		l.coolDown()
		return
	}
	l.baseline.add(now, mean)
	l.adjust(mean)
	if l.warm() && w.saturated {
		l.rate = smooth(l.rate, throughput)
	}
}

// looksCold tells a cold target from a busy one: its latency jumps, and it also refuses requests or completes fewer
// although there is enough work. Latency alone also rises for stragglers and expensive requests.
func (l *limiter) looksCold(mean, throughput float64) bool {
	least := l.baseline.min()
	if !l.warm() || least == 0 || mean < coldJump*least {
		return false
	}
	w := l.window
	refuses := w.refused*10 >= w.completed+w.refused
	falls := w.saturated && l.rate > 0 && throughput < l.rate/2
	return refuses || falls
}

// coolDown restarts the ramp of a warm target, and halves the progress of one that is in its ramp already. A full
// restart at each refusal would keep a target that refuses now and then cold for ever.
func (l *limiter) coolDown() {
	if l.warm() {
		l.warmed = 0
		return
	}
	l.warmed /= 2
}

// adjust moves the limit along the gradient of latency against its minimum.
func (l *limiter) adjust(mean float64) {
	gradient := 1.0
	if mean > 0 {
		gradient = min(1, max(0.5, tolerance*l.baseline.min()/mean))
	}
	next := l.adaptive * gradient
	if l.window.saturated {
		next += math.Sqrt(l.adaptive) // Room to probe for a higher limit; unused room proves nothing.
	} else if gradient == 1 {
		return
	}
	l.adaptive = min(float64(l.shape.Slots), max(1, smooth(l.adaptive, next)))
}

func smooth(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + smoothing*(next-old)
}
