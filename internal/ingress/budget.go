package ingress

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// windowBuckets is the number of buckets that the window is divided into.
	windowBuckets = 10
	// usableShare is the share of the allowance that a node uses: load is uneven between nodes, and calls that a
	// retried request makes count as retries at the service that it calls.
	usableShare = 0.33
)

// RetryBudget bounds the retries that a node sends to one service, so that all nodes together stay within ratio x
// requests + slack in any window. It is safe for concurrent use.
type RetryBudget struct {
	bucketWidth time.Duration
	ratio       float64
	slack       float64

	mu            sync.Mutex
	nodes         int
	currentBucket int64
	requests      [windowBuckets]int
	retries       [windowBuckets]int
}

// NewRetryBudget returns a budget with the bounds of the platform: the window, the ratio of retries to requests, and
// the number of retries allowed in addition.
func NewRetryBudget(window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{bucketWidth: window / windowBuckets, ratio: ratio, slack: slack, nodes: 1}
}

// SetNodes sets the number of nodes that share the slack.
func (b *RetryBudget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

func (b *RetryBudget) advance(now clock.Instant) int {
	at := int64(now) / int64(b.bucketWidth)
	if at-b.currentBucket > windowBuckets {
		b.currentBucket = at - windowBuckets
	}
	for b.currentBucket < at {
		b.currentBucket++
		b.requests[b.currentBucket%windowBuckets], b.retries[b.currentBucket%windowBuckets] = 0, 0
	}
	return int(at % windowBuckets)
}

// RecordRequest records a request to the service.
func (b *RetryBudget) RecordRequest(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Allow reports whether a request may be retried, and spends the budget for it.
func (b *RetryBudget) Allow(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	if b.remaining() < 1 {
		return false
	}
	b.retries[at]++
	return true
}

// remaining returns the number of retries left in the window, as a fraction. The caller holds the lock.
func (b *RetryBudget) remaining() float64 {
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return usableShare*(b.ratio*float64(requests)+b.slack/float64(b.nodes)) - float64(retries)
}

// Remaining returns the number of retries left in the window.
func (b *RetryBudget) Remaining(now clock.Instant) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return max(0, int(b.remaining()))
}
