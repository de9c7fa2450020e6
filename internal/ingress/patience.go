package ingress

import (
	"sync"
	"time"
)

const (
	// decayThreshold is the number of recorded requests at which all counts are halved.
	decayThreshold = 256
	// maxDistinctTimes bounds the number of distinct remaining times that are recorded.
	maxDistinctTimes = 64
	// minModeShare is the share of the requests that must state the most frequent remaining time for it to count as the
	// initial timeout.
	minModeShare = 0.15
	// minRetryAge is the age from which a request counts as a retry.
	minRetryAge = 20 * time.Millisecond
)

// RequestAgeEstimator learns the initial timeout of the callers of a route from the remaining time that they state, and
// so tells retries from first attempts: retries have less time left. It is safe for concurrent use.
type RequestAgeEstimator struct {
	mu     sync.Mutex
	counts map[time.Duration]float64
	total  float64
	mode   time.Duration
}

// Age records the remaining time that a caller states, and returns the time since the first attempt, 0 if unknown.
func (p *RequestAgeEstimator) Age(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total >= decayThreshold || len(p.counts) >= maxDistinctTimes {
		p.decay()
	}
	if p.counts == nil {
		p.counts = map[time.Duration]float64{}
	}
	p.counts[remaining]++
	p.total++
	if p.counts[remaining] > p.counts[p.mode] {
		p.mode = remaining
	}
	age := p.mode - remaining
	if age < minRetryAge || p.counts[p.mode] < minModeShare*p.total {
		return 0
	}
	return age
}

// decay halves all counts and drops remaining times that were stated once.
func (p *RequestAgeEstimator) decay() {
	p.total = 0
	for left, n := range p.counts {
		if n <= 1 {
			delete(p.counts, left)
			continue
		}
		p.counts[left] = n / 2
		p.total += n / 2
	}
}
