package ingress

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// budgetBuckets is the number of parts of the window.
	budgetBuckets = 10
	// ownShare is the part of the allowance that is used: nodes see unequal loads, and the calls that a repeated run
	// makes count as repeats at the service that is called.
	ownShare = 0.33
)

// RetryBudget bounds how often a node sends requests of one service a second time, so that all nodes together stay within
// ratio x requests + slack in any window. It is safe for concurrent use.
type RetryBudget struct {
	bucket time.Duration
	ratio  float64
	slack  float64

	mu       sync.Mutex
	nodes    int
	current  int64
	requests [budgetBuckets]int
	repeats  [budgetBuckets]int
}

// NewRetryBudget returns a budget with the bounds of the platform: the window, the ratio of repeats to requests, and the
// repeats that are allowed besides.
func NewRetryBudget(window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{bucket: window / budgetBuckets, ratio: ratio, slack: slack, nodes: 1}
}

// SetNodes sets the number of nodes that share the slack.
func (b *RetryBudget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

func (b *RetryBudget) advance(now clock.Instant) int {
	at := int64(now) / int64(b.bucket)
	if at-b.current > budgetBuckets {
		b.current = at - budgetBuckets
	}
	for b.current < at {
		b.current++
		b.requests[b.current%budgetBuckets], b.repeats[b.current%budgetBuckets] = 0, 0
	}
	return int(at % budgetBuckets)
}

// RecordRequest counts a request for the service.
func (b *RetryBudget) RecordRequest(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Allow reports whether a request may be sent once more, and spends the budget for it.
func (b *RetryBudget) Allow(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	if b.left() < 1 {
		return false
	}
	b.repeats[at]++
	return true
}

// left returns how many repeats are left in the window, in parts of one. The lock is held.
func (b *RetryBudget) left() float64 {
	requests, repeats := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return ownShare*(b.ratio*float64(requests)+b.slack/float64(b.nodes)) - float64(repeats)
}

// Remaining returns how many repeats are left in the window.
func (b *RetryBudget) Remaining(now clock.Instant) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return max(0, int(b.left()))
}
