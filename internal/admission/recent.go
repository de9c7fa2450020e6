package admission

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// peakWindow covers the delay of the target's reports.
const peakWindow = 300 * time.Millisecond

// runningPeak is the highest number of running requests in the last one to two times peakTime.
type runningPeak struct {
	current  int
	previous int
	since    clock.Instant
}

// update adds the current number and returns the highest one.
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

// minLatency is the lowest latency of a single request in the last one to two baseline periods. A request with less
// time left than that can't succeed.
type minLatency struct {
	baseline
}

func (f *minLatency) add(now clock.Instant, latency time.Duration) {
	f.baseline.add(now, float64(latency))
}

func (f *minLatency) get() time.Duration { return time.Duration(f.min()) }
