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
	ejectDivisor = 3
	// firstEjection doubles with each ejection in a row up to longestEjection.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// minSamples is the number of answers before a target is judged, so that one slow answer ejects nobody.
	minSamples = 5
	// minLatency keeps the noise of very fast targets from looking like a straggler.
	minLatency = time.Millisecond
	// smoothing is the time constant of a target's latency. Stragglers last for short periods.
	latencyTimeConstant = 500 * time.Millisecond
	// forgiveAfter is the time after an ejection from which the next one starts at firstEjection again.
	ejectionResetAfter = 60 * time.Second
	// forgetAfter is when a target without traffic is forgotten.
	idleTargetTimeout = 10 * time.Minute
)

// Detector holds the latencies of the targets of one pooled service. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	targets map[string]*target
}

type target struct {
	latency      float64 // nanoseconds, smoothed
	samples      int
	lastObserved clock.Instant
	ejectedUntil clock.Instant // end of the ejection
	ejectionTime time.Duration // of the last ejection
}

// NewDetector returns a pool without targets.
func NewDetector() *Detector { return &Detector{targets: map[string]*target{}} }

// Observe records the latency of an answer and ejects the target if it is an outlier.
func (d *Detector) Observe(name string, latency time.Duration, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	if t == nil {
		d.removeIdle(now)
		t = &target{latency: float64(latency), lastObserved: now}
		d.targets[name] = t
	}
	t.add(latency, now)
	if t.samples >= minSamples && t.ejectedUntil <= now && d.isOutlier(name, t) && d.canEject(now) {
		t.eject(now)
	}
}

// add weighs old samples by their age and by their number, so that rare and frequent answers both count.
func (t *target) add(latency time.Duration, now clock.Instant) {
	weight := 1 - math.Exp(-now.Sub(t.lastObserved).Seconds()/latencyTimeConstant.Seconds())
	weight = min(max(weight, 1.0/(2*minSamples)), 0.5)
	t.latency += (float64(latency) - t.latency) * weight
	t.lastObserved = now
	t.samples++
}

// eject starts an ejection and forgets the samples, so that the target is judged anew afterwards.
func (t *target) eject(now clock.Instant) {
	switch {
	case t.ejectionTime == 0 || now.Sub(t.ejectedUntil) > ejectionResetAfter:
		t.ejectionTime = baseEjectionTime
	default:
		t.ejectionTime = min(2*t.ejectionTime, maxEjectionTime)
	}
	t.ejectedUntil = now.Add(t.ejectionTime)
	t.samples = 0
}

func (d *Detector) isOutlier(name string, t *target) bool {
	var peers []float64
	for other, o := range d.targets {
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

func (d *Detector) canEject(now clock.Instant) bool {
	ejected := 0
	for _, t := range d.targets {
		if t.ejectedUntil > now {
			ejected++
		}
	}
	return (ejected+1)*ejectDivisor <= len(d.targets)
}

func (d *Detector) removeIdle(now clock.Instant) {
	for name, t := range d.targets {
		if now.Sub(t.lastObserved) > idleTargetTimeout {
			delete(d.targets, name)
		}
	}
}

// Ejected reports whether the target gets no requests for now.
func (d *Detector) Ejected(name string, now clock.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	return t != nil && t.ejectedUntil > now
}

// Latency returns the smoothed latency of the target, 0 if it is not known.
func (d *Detector) Latency(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[name]; t != nil {
		return time.Duration(t.latency)
	}
	return 0
}
