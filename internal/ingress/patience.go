package ingress

import (
	"sync"
	"time"
)

const (
	// decayThreshold is the number of requests after which older ones count half.
	decayThreshold = 256
	// maxDistinctTimes bounds the times that are remembered.
	maxDistinctTimes = 64
	// minModeShare is the part of the requests that has to state the same time for it to be the usual one.
	minModeShare = 0.15
	// minRetryAge is the age from which a request is taken for a repeat.
	minRetryAge = 20 * time.Millisecond
)

// RequestAgeEstimator learns how long the callers of a route wait, and so tells first attempts from callers who come back: those have less time
// left. It is safe for concurrent use.
type RequestAgeEstimator struct {
	mu     sync.Mutex
	counts map[time.Duration]float64
	total  float64
	mode   time.Duration
}

// Age takes the time that a caller states to be left, and returns how long ago it must have begun, 0 if that is not known.
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

// decay halves what is known, and drops times that were stated once.
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
