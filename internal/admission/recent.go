package admission

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// peakWindow is longer than the delay of the target's reports.
const peakWindow = 300 * time.Millisecond

// runningPeak is the highest number of running requests over the last one to two peak windows.
type runningPeak struct {
	current  int
	previous int
	since    clock.Instant
}

// update adds the current number and returns the peak.
func (p *runningPeak) update(now clock.Instant, running int) int {
	switch age := now.Sub(p.since); {
	case age >= 2*peakWindow:
		*p = runningPeak{since: now}
	case age >= peakWindow:
		*p = runningPeak{previous: p.current, since: now}
	}
	p.current = max(p.current, running)
	return max(p.current, p.previous)
}

// minLatency is the lowest latency of a single request over the last one to two baseline periods. A request with
// less time left is not expected to succeed.
type minLatency struct {
	baseline
}

func (f *minLatency) add(now clock.Instant, latency time.Duration) {
	f.baseline.add(now, float64(latency))
}

func (f *minLatency) get() time.Duration { return time.Duration(f.min()) }
