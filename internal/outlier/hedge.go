package outlier

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// HedgeRatio is the share of requests that may be sent a second time while the first copy runs.
	HedgeRatio = 0.05
	// hedgeBurst is how many hedges may follow each other at once.
	hedgeBurst = 10
	// hedgeQuantile is the latency after which a request counts as slow.
	hedgeQuantile = 95
	// windowLength is the time over which latencies are collected; the last two windows count.
	windowLength = 10 * time.Second
	// minHedgeSamples is the number of answers before the p95 is trusted.
	minHedgeSamples = 20
	// longestLatency bounds the histogram; no request runs longer.
	maxLatency = time.Minute
)

// Hedger says when requests of one service are hedged. It is safe for concurrent use.
type Hedger struct {
	mu          sync.Mutex
	tokens      float64
	windowStart clock.Instant
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
}

// NewHedger returns a hedge without latencies.
func NewHedger(now clock.Instant) *Hedger {
	return &Hedger{windowStart: now, current: newHistogram(), previous: newHistogram()}
}

// newHistogram counts microseconds with two digits, which takes about 10 KB.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// Observe records the latency of an answer.
func (h *Hedger) Observe(latency time.Duration, now clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	_ = h.current.RecordValue(min(max(latency, 0), maxLatency).Microseconds()) // In range by the bounds.
}

// RecordRequest records a request, which earns a share of a hedge.
func (h *Hedger) RecordRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = min(h.tokens+HedgeRatio, hedgeBurst)
}

// Allow reports whether the budget bears a hedge, and spends it.
func (h *Hedger) Allow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// Delay returns the time after which a request is hedged. It returns false while too few latencies are known.
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
