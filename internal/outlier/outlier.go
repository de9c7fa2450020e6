// Package outlier finds pooled targets that are much slower than their peers,
// and says when a request is slow enough to be hedged. It performs no I/O and
// takes the time as an argument.
package outlier

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// ejectFactor is the multiple of the peers' median latency at which a target is ejected.
	ejectFactor = 3
	// ejectShare is the divisor of the pool that gives the most targets that are ejected at once, so
	// that the others can bear the load.
	ejectShare = 3
	// firstEjection doubles with each ejection in a row up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// minSamples is the number of answers before a target is judged, so that one slow answer ejects nobody.
	minSamples = 5
	// minLatency keeps the noise of very fast targets from looking like a straggler.
	minLatency = time.Millisecond
	// smoothing is the time constant of a target's latency. Stragglers last for short periods.
	smoothing = 500 * time.Millisecond
	// forgiveAfter is the time after an ejection from which the next one starts at firstEjection again.
	forgiveAfter = 60 * time.Second
	// forgetAfter is when a target without traffic is forgotten.
	forgetAfter = 10 * time.Minute
)

// Detector holds the latencies of the targets of one pooled service. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	targets map[string]*target
}

type target struct {
	latency float64 // nanoseconds, smoothed
	samples int
	last    clock.Instant
	until   clock.Instant // end of the ejection
	length  time.Duration // of the last ejection
}

// NewDetector returns a pool without targets.
func NewDetector() *Detector { return &Detector{targets: map[string]*target{}} }

// Observe records the latency of an answer and ejects the target if it is an outlier.
func (p *Detector) Observe(name string, latency time.Duration, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[name]
	if t == nil {
		p.forget(now)
		t = &target{latency: float64(latency), last: now}
		p.targets[name] = t
	}
	t.add(latency, now)
	if t.samples >= minSamples && t.until <= now && p.outlying(name, t) && p.mayEject(now) {
		t.eject(now)
	}
}

// add weighs old samples by their age and by their number, so that rare and frequent answers both count.
func (t *target) add(latency time.Duration, now clock.Instant) {
	weight := 1 - math.Exp(-now.Sub(t.last).Seconds()/smoothing.Seconds())
	weight = min(max(weight, 1.0/(2*minSamples)), 0.5)
	t.latency += (float64(latency) - t.latency) * weight
	t.last = now
	t.samples++
}

// eject starts an ejection and forgets the samples, so that the target is judged anew afterwards.
func (t *target) eject(now clock.Instant) {
	switch {
	case t.length == 0 || now.Sub(t.until) > forgiveAfter:
		t.length = firstEjection
	default:
		t.length = min(2*t.length, longestEjection)
	}
	t.until = now.Add(t.length)
	t.samples = 0
}

func (p *Detector) outlying(name string, t *target) bool {
	var peers []float64
	for other, o := range p.targets {
		if other != name && o.samples > 0 {
			peers = append(peers, o.latency)
		}
	}
	if len(peers) == 0 {
		return false
	}
	slices.Sort(peers)
	median := max(peers[(len(peers)-1)/2], float64(minLatency))
	return t.latency >= ejectFactor*median
}

func (p *Detector) mayEject(now clock.Instant) bool {
	ejected := 0
	for _, t := range p.targets {
		if t.until > now {
			ejected++
		}
	}
	return (ejected+1)*ejectShare <= len(p.targets)
}

func (p *Detector) forget(now clock.Instant) {
	for name, t := range p.targets {
		if now.Sub(t.last) > forgetAfter {
			delete(p.targets, name)
		}
	}
}

// Ejected reports whether the target gets no requests for now.
func (p *Detector) Ejected(name string, now clock.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[name]
	return t != nil && t.until > now
}

// Latency returns the smoothed latency of the target, 0 if it is not known.
func (p *Detector) Latency(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[name]; t != nil {
		return time.Duration(t.latency)
	}
	return 0
}
