// Package outlier detects pooled targets that are much slower than their peers and decides when a slow
// request is hedged. It performs no I/O and takes the time as an argument.
package outlier

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// ejectFactor is the multiple of the median latency of the peers at which a target is ejected.
	ejectFactor = 3
	// ejectDivisor limits concurrent ejections to 1/ejectDivisor of the targets, so that the others
	// can bear the load.
	ejectDivisor = 3
	// baseEjectionTime doubles with each successive ejection, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// minSamples is the number of responses needed before a target is evaluated, so that a single slow
	// response does not eject it.
	minSamples = 5
	// minLatency is the lower bound for the median latency, so that jitter of very fast targets does
	// not lead to ejections.
	minLatency = time.Millisecond
	// latencyTimeConstant is the time constant of the smoothed latency. It is short because slow
	// phases of a target are short.
	latencyTimeConstant = 500 * time.Millisecond
	// ejectionResetAfter is the time after an ejection from which the ejection time starts at
	// baseEjectionTime again.
	ejectionResetAfter = 60 * time.Second
	// idleTargetTimeout is the time without traffic after which a target is removed.
	idleTargetTimeout = 10 * time.Minute
)

// Detector tracks the latencies of the targets of one pooled service and ejects outliers. It is safe
// for concurrent use.
type Detector struct {
	mu      sync.Mutex
	targets map[string]*target
}

type target struct {
	latency      float64 // nanoseconds, smoothed
	samples      int
	lastObserved clock.Instant
	ejectedUntil clock.Instant // end of the last ejection
	ejectionTime time.Duration // duration of the last ejection
}

// NewDetector returns a detector without targets.
func NewDetector() *Detector { return &Detector{targets: map[string]*target{}} }

// Observe records the latency of a response and ejects the target if it is an outlier.
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

// add updates the smoothed latency. The weight of the sample depends on the time since the previous
// one, within bounds that keep both rare and frequent samples relevant.
func (t *target) add(latency time.Duration, now clock.Instant) {
	weight := 1 - math.Exp(-now.Sub(t.lastObserved).Seconds()/latencyTimeConstant.Seconds())
	weight = min(max(weight, 1.0/(2*minSamples)), 0.5)
	t.latency += (float64(latency) - t.latency) * weight
	t.lastObserved = now
	t.samples++
}

// eject starts an ejection and resets the sample count, so that the target is evaluated anew
// afterwards.
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

// Ejected reports whether the target is ejected at the moment and gets no requests.
func (d *Detector) Ejected(name string, now clock.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	return t != nil && t.ejectedUntil > now
}

// Latency returns the smoothed latency of the target, or 0 if the target is not known.
func (d *Detector) Latency(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[name]; t != nil {
		return time.Duration(t.latency)
	}
	return 0
}
