package dispatch

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// sizeWeight is the weight of one answer in the mean size of a route's answers.
	sizeWeight = 0.05
	// defaultResponseBytes is the size that is assumed of a route's answers before the first one.
	defaultResponseBytes = 4 << 10
)

// Link estimates how long answers wait for the host's network link. The node sends nearly all that leaves the host, so that
// a virtual queue that drains at the link's rate tells the wait. It is safe for concurrent use.
type Link struct {
	mu sync.Mutex
	// rate is in bytes a second; 0 means that the link is not known and never binds.
	rate float64
	// idleAt is when what was sent has left.
	idleAt clock.Instant
	// pendingBytes is the expected size of the answers of requests that run.
	pendingBytes float64
	sizes        map[string]float64
}

// NewLink returns an idle link of so many megabits a second, 0 if that is not known.
func NewLink(mbps float64) *Link { return &Link{rate: mbps * 1e6 / 8, sizes: map[string]float64{}} }

// BytesPerSecond returns the link's rate in bytes a second.
func (l *Link) BytesPerSecond() float64 { return l.rate }

// Begin counts the answer of a request that starts, and returns its expected size for End.
func (l *Link) Begin(route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.responseSize(route)
	l.pendingBytes += size
	return size
}

// End ends a request that began.
func (l *Link) End(expected float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBytes = max(0, l.pendingBytes-expected)
}

// RecordSent counts an answer on its way.
func (l *Link) RecordSent(now clock.Instant, route string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.responseSize(route)
	l.sizes[route] = old + sizeWeight*(float64(bytes)-old)
	if l.rate > 0 {
		l.idleAt = max(l.idleAt, now).Add(seconds(float64(bytes) / l.rate))
	}
}

// QueueDelay returns how long an answer that is ready when those that run are would wait.
func (l *Link) QueueDelay(now clock.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queueDelay(now)
}

func (l *Link) queueDelay(now clock.Instant) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return max(0, l.idleAt.Sub(now)) + seconds(l.pendingBytes/l.rate)
}

// TransferDelay returns how long the answer of a request that takes so long to run would be on its way after that.
func (l *Link) TransferDelay(now clock.Instant, route string, work time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return 0
	}
	wait := max(0, l.queueDelay(now)-work)
	if l.responseSize(route) < LargeResponseSize {
		wait = min(wait, maxLinkBacklog) // It overtakes the large ones, which take most of the link.
	}
	return wait + seconds(l.responseSize(route)/l.rate)
}

// RetainRoutes forgets the routes that are not in the set.
func (l *Link) RetainRoutes(routes map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	retainRoutes(l.sizes, routes)
}

func (l *Link) responseSize(route string) float64 {
	if size, ok := l.sizes[route]; ok {
		return size
	}
	return defaultResponseBytes
}
