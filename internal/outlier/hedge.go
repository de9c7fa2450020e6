package outlier

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// HedgeRatio is the fraction of requests that may be hedged, that is sent a second time while the
	// first copy is still running.
	HedgeRatio = 0.05
	// hedgeBurst is the capacity of the hedge budget: the number of hedges that may be sent in direct
	// succession.
	hedgeBurst = 10
	// hedgeQuantile is the latency percentile above which a request counts as slow.
	hedgeQuantile = 95
	// windowLength is the length of a latency window. The previous window is used while the current
	// one has too few samples.
	windowLength = 10 * time.Second
	// minHedgeSamples is the number of responses needed before the percentile is used.
	minHedgeSamples = 20
	// maxLatency is the upper bound of the histogram; no request runs longer.
	maxLatency = time.Minute
)

// Hedger decides when requests of one service are hedged and keeps the hedge budget. It is safe for
// concurrent use.
type Hedger struct {
	mu          sync.Mutex
	tokens      float64
	windowStart clock.Instant
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
}

// NewHedger returns a hedger without latencies.
func NewHedger(now clock.Instant) *Hedger {
	return &Hedger{windowStart: now, current: newHistogram(), previous: newHistogram()}
}

// newHistogram returns a histogram of microseconds with two significant digits, which takes about 10
// KB.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// Observe records the latency of a response.
func (h *Hedger) Observe(latency time.Duration, now clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	_ = h.current.RecordValue(min(max(latency, 0), maxLatency).Microseconds()) // The value is clamped to the range of the histogram.
}

// RecordRequest records a request, which adds HedgeRatio to the hedge budget.
func (h *Hedger) RecordRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = min(h.tokens+HedgeRatio, hedgeBurst)
}

// Allow reports whether the budget allows a hedge, and charges it to the budget.
func (h *Hedger) Allow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// Delay returns the time after which a request is hedged. It returns false if there are too few
// samples.
func (h *Hedger) Delay(now clock.Instant) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	window := h.current
	if window.TotalCount() < minHedgeSamples {
		window = h.previous
	}
	if window.TotalCount() < minHedgeSamples {
		return 0, false
	}
	return time.Duration(window.ValueAtQuantile(hedgeQuantile)) * time.Microsecond, true
}

func (h *Hedger) rotate(now clock.Instant) {
	age := now.Sub(h.windowStart)
	if age < windowLength {
		return
	}
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
	if age >= 2*windowLength {
		h.previous.Reset()
	}
	h.windowStart = now
}
