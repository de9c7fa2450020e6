package admission

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// peakTime covers the delay of the target's reports.
const peakTime = 300 * time.Millisecond

// peak is the highest number of running requests in the last one to two times peakTime.
type peak struct {
	current  int
	previous int
	since    clock.Instant
}

// recent adds the current number and returns the highest one.
func (p *peak) recent(now clock.Instant, running int) int {
	switch age := now.Sub(p.since); {
	case age >= 2*peakTime:
		*p = peak{since: now}
	case age >= peakTime:
		*p = peak{previous: p.current, since: now}
	}
	p.current = max(p.current, running)
	return max(p.current, p.previous)
}

// fastest is the lowest latency of a single request in the last one to two baseline periods. A request with less
// time left than that can't succeed.
type fastest struct {
	baseline
}

func (f *fastest) add(now clock.Instant, latency time.Duration) {
	f.baseline.add(now, float64(latency))
}

func (f *fastest) get() time.Duration { return time.Duration(f.min()) }
