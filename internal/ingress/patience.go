package ingress

import (
	"sync"
	"time"
)

const (
	// patienceMemory is the number of requests after which older ones count half.
	patienceMemory = 256
	// maxPatiences bounds the times that are remembered.
	maxPatiences = 64
	// usualPatience is the part of the requests that has to state the same time for it to be the usual one.
	usualPatience = 0.15
	// minAge is the age from which a request is taken for a repeat.
	minAge = 20 * time.Millisecond
)

// RequestAgeEstimator learns how long the callers of a route wait, and so tells first attempts from callers who come back: those have less time
// left. It is safe for concurrent use.
type RequestAgeEstimator struct {
	mu    sync.Mutex
	count map[time.Duration]float64
	sum   float64
	usual time.Duration
}

// Age takes the time that a caller states to be left, and returns how long ago it must have begun, 0 if that is not known.
func (p *RequestAgeEstimator) Age(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sum >= patienceMemory || len(p.count) >= maxPatiences {
		p.forget()
	}
	if p.count == nil {
		p.count = map[time.Duration]float64{}
	}
	p.count[left]++
	p.sum++
	if p.count[left] > p.count[p.usual] {
		p.usual = left
	}
	age := p.usual - left
	if age < minAge || p.count[p.usual] < usualPatience*p.sum {
		return 0
	}
	return age
}

// forget halves what is known, and drops times that were stated once.
func (p *RequestAgeEstimator) forget() {
	p.sum = 0
	for left, n := range p.count {
		if n <= 1 {
			delete(p.count, left)
			continue
		}
		p.count[left] = n / 2
		p.sum += n / 2
	}
}
