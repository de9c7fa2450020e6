package sidecar

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// demandWindow is the length of one window of the demand.
	demandWindow = 250 * time.Millisecond
	// demandWeight is the weight of the newest window: most of the demand is that of the last second.
	demandWeight = 0.3
	// maxSegments bounds the segments of a report.
	maxSegments = 48
	// minSegment is the demand below which keys are not worth a segment of their own, in slots.
	minSegment = 0.02
)

// demand measures the work that arrives for each key of the host's target, in slots kept busy. It is safe for
// concurrent use.
type demand struct {
	mu      sync.Mutex
	started clock.Instant
	current [keyspace.MaxKey + 1]float32 // seconds of work that arrived in the window
	mean    [keyspace.MaxKey + 1]float32 // slots
	// pooled is the work without a key.
	pooled, pooledMean float64
}

// add counts a request that needs so many seconds of work. A negative key means none.
func (d *demand) add(now clock.Instant, key int, work float64) {
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
func (d *demand) roll(now clock.Instant) {
	elapsed := now.Sub(d.started)
	if elapsed < demandWindow {
		return
	}
	weight := float32(demandWeight)
	if elapsed > 4*demandWindow {
		weight = 1 // Nothing arrived for long; older windows say nothing.
	}
	perSecond := float32(1 / elapsed.Seconds())
	for key := range d.mean {
		d.mean[key] += weight * (d.current[key]*perSecond - d.mean[key])
		d.current[key] = 0
	}
	d.pooledMean += float64(weight) * (d.pooled*float64(perSecond) - d.pooledMean)
	d.pooled = 0
	d.started = now
}

// report returns the demand, and its parts for the rows: each has about the same demand, and keys that have more
// than that are parts of their own.
func (d *demand) report(now clock.Instant, rows []keyspace.Row) (float64, []fleet.Segment) {
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

func (d *demand) segment(segments []fleet.Segment, r keyspace.Range, part float64) []fleet.Segment {
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
