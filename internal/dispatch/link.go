package dispatch

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// sizeWeight is the weight of one response in the moving average of a route's response size.
	sizeWeight = 0.05
	// defaultResponseBytes is the response size assumed for a route before its first response.
	defaultResponseBytes = 4 << 10
)

// Link estimates how long responses wait for the host's network link. The node sends nearly all traffic that leaves the
// host, so that a virtual queue that drains at the link's rate predicts the wait. It is safe for concurrent use.
type Link struct {
	mu sync.Mutex
	// rate is in bytes per second; 0 means that it is unknown, and the link then causes no delay.
	rate float64
	// idleAt is when all bytes sent so far have left the link.
	idleAt clock.Instant
	// pendingBytes is the expected size of the responses of running requests.
	pendingBytes float64
	sizes        map[string]float64
}

// NewLink returns an idle link with the given rate in megabits per second, 0 if it is unknown.
func NewLink(mbps float64) *Link { return &Link{rate: mbps * 1e6 / 8, sizes: map[string]float64{}} }

// BytesPerSecond returns the link's rate, 0 if it is unknown.
func (l *Link) BytesPerSecond() float64 { return l.rate }

// Begin adds the expected response of a request that starts to the pending bytes, and returns its size for End.
func (l *Link) Begin(route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.responseSize(route)
	l.pendingBytes += size
	return size
}

// End removes the response of a request that ended from the pending bytes. expected is the result of Begin.
func (l *Link) End(expected float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBytes = max(0, l.pendingBytes-expected)
}

// RecordSent records that a response was handed to the link, and updates the mean size of the route.
func (l *Link) RecordSent(now clock.Instant, route string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.responseSize(route)
	l.sizes[route] = old + sizeWeight*(float64(bytes)-old)
	if l.rate > 0 {
		l.idleAt = max(l.idleAt, now).Add(seconds(float64(bytes) / l.rate))
	}
}

// QueueDelay returns the expected queueing delay of a response that becomes ready together with those of the running
// requests.
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

// TransferDelay returns the expected queueing and transmission time of the response of a request that runs for the
// given time first.
func (l *Link) TransferDelay(now clock.Instant, route string, work time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return 0
	}
	wait := max(0, l.queueDelay(now)-work)
	if l.responseSize(route) < LargeResponseSize {
		wait = min(wait, maxLinkBacklog) // Small responses overtake large ones, which take most of the link.
	}
	return wait + seconds(l.responseSize(route)/l.rate)
}

// RetainRoutes drops the statistics of all routes not in the set.
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
