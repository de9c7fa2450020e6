// Package demand measures the work that arrives for each key of a target. It performs no I/O and takes the time as an argument.
package demand

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// window is the length of one window of the demand.
	window = 250 * time.Millisecond
	// usualWeight is the weight of the newest window: most of the demand is that of the last second.
	usualWeight = 0.3
	// jumpRatio is how much more work than usual a window has at least if the demand has changed at once, as when keys turn hot, and
	// jumpWeight is the weight of such a window. jumpWork is the work below which a window says nothing, in seconds.
	jumpRatio  = 1.4
	jumpWeight = 0.8
	jumpWork   = 0.5
	// maxSegments bounds the segments of a report.
	maxSegments = 48
	// minSegment is the demand below which keys are not worth a segment of their own, in slots.
	minSegment = 0.02
)

// Meter measures the work that arrives for each key, in slots kept busy. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	started clock.Instant
	current [keyspace.MaxKey + 1]float32 // seconds of work that arrived in the window
	mean    [keyspace.MaxKey + 1]float32 // slots
	// pooled is the work without a key.
	pooled, pooledMean float64
}

// Add counts a request that needs so many seconds of work. A negative key means none.
func (d *Meter) Add(now clock.Instant, key int, work float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roll(now)
	if key < 0 {
		d.pooled += work
		return
	}
	d.current[key] += float32(work)
}

// roll closes the window if it is over.
func (d *Meter) roll(now clock.Instant) {
	elapsed := now.Sub(d.started)
	if elapsed < window {
		return
	}
	weight := float32(usualWeight)
	if elapsed > 4*window {
		weight = 1 // Nothing arrived for long; older windows say nothing.
	}
	perSecond := float32(1 / elapsed.Seconds())
	if d.jumped(perSecond) {
		weight = max(weight, jumpWeight)
	}
	for key := range d.mean {
		d.mean[key] += weight * (d.current[key]*perSecond - d.mean[key])
		d.current[key] = 0
	}
	d.pooledMean += float64(weight) * (d.pooled*float64(perSecond) - d.pooledMean)
	d.pooled = 0
	d.started = now
}

// jumped reports whether the window has much more work than usual.
func (d *Meter) jumped(perSecond float32) bool {
	var current, mean float32
	for key := range d.mean {
		current += d.current[key]
		mean += d.mean[key]
	}
	return current > jumpWork && current*perSecond > jumpRatio*mean
}

// Report returns the demand, and its parts for the rows: each has about the same demand, and keys that have more
// than that are parts of their own.
func (d *Meter) Report(now clock.Instant, rows []keyspace.Row) (float64, []fleet.Segment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roll(now)
	sum := 0.0
	for _, r := range rows {
		for key := r.From; key <= r.To; key++ {
			sum += float64(d.mean[key])
		}
	}
	part := max(minSegment, sum/maxSegments)
	var segments []fleet.Segment
	for _, r := range rows {
		segments = d.segment(segments, r.Range, part)
	}
	return sum + d.pooledMean, segments
}

func (d *Meter) segment(segments []fleet.Segment, r keyspace.Range, part float64) []fleet.Segment {
	from, sum := r.From, 0.0
	add := func(to int) {
		if sum > 0 && from <= to {
			segments = append(segments, fleet.Segment{Range: keyspace.Range{From: from, To: to}, Demand: sum})
		}
		from, sum = to+1, 0
	}
	for key := r.From; key <= r.To; key++ {
		own := float64(d.mean[key])
		if own >= part && key > from {
			add(key - 1)
		}
		sum += own
		if sum >= part {
			add(key)
		}
	}
	add(r.To)
	return segments
}
