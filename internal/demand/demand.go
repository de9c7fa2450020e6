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
	windowLength = 250 * time.Millisecond
	// usualWeight is the weight of the newest window: most of the demand is that of the last second.
	normalWeight = 0.3
	// jumpRatio is how much more work than usual a window has at least if the demand has changed at once, as when keys turn hot, and
	// jumpWeight is the weight of such a window. jumpWork is the work below which a window says nothing, in seconds.
	surgeRatio   = 1.4
	surgeWeight  = 0.8
	minSurgeWork = 0.5
	// maxSegments bounds the segments of a report.
	maxSegments = 48
	// minSegment is the demand below which keys are not worth a segment of their own, in slots.
	minSegmentDemand = 0.02
)

// Meter measures the work that arrives for each key, in slots kept busy. It is safe for concurrent use.
type Meter struct {
	mu          sync.Mutex
	windowStart clock.Instant
	windowWork  [keyspace.MaxKey + 1]float32 // seconds of work that arrived in the window
	meanDemand  [keyspace.MaxKey + 1]float32 // slots
	// pooled is the work without a key.
	keylessWork, keylessMeanDemand float64
}

// Add counts a request that needs so many seconds of work. A negative key means none.
func (m *Meter) Add(now clock.Instant, key int, work float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeWindow(now)
	if key < 0 {
		m.keylessWork += work
		return
	}
	m.windowWork[key] += float32(work)
}

// roll closes the window if it is over.
func (m *Meter) closeWindow(now clock.Instant) {
	elapsed := now.Sub(m.windowStart)
	if elapsed < windowLength {
		return
	}
	weight := float32(normalWeight)
	if elapsed > 4*windowLength {
		weight = 1 // Nothing arrived for long; older windows say nothing.
	}
	perSecond := float32(1 / elapsed.Seconds())
	if m.surged(perSecond) {
		weight = max(weight, surgeWeight)
	}
	for key := range m.meanDemand {
		m.meanDemand[key] += weight * (m.windowWork[key]*perSecond - m.meanDemand[key])
		m.windowWork[key] = 0
	}
	m.keylessMeanDemand += float64(weight) * (m.keylessWork*float64(perSecond) - m.keylessMeanDemand)
	m.keylessWork = 0
	m.windowStart = now
}

// jumped reports whether the window has much more work than usual.
func (m *Meter) surged(perSecond float32) bool {
	var current, mean float32
	for key := range m.meanDemand {
		current += m.windowWork[key]
		mean += m.meanDemand[key]
	}
	return current > minSurgeWork && current*perSecond > surgeRatio*mean
}

// Report returns the demand, and its parts for the rows: each has about the same demand, and keys that have more
// than that are parts of their own.
func (m *Meter) Report(now clock.Instant, rows []keyspace.Row) (float64, []fleet.Segment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeWindow(now)
	sum := 0.0
	for _, r := range rows {
		for key := r.From; key <= r.To; key++ {
			sum += float64(m.meanDemand[key])
		}
	}
	segmentDemand := max(minSegmentDemand, sum/maxSegments)
	var segments []fleet.Segment
	for _, r := range rows {
		segments = m.appendSegments(segments, r.Range, segmentDemand)
	}
	return sum + m.keylessMeanDemand, segments
}

func (m *Meter) appendSegments(segments []fleet.Segment, r keyspace.Range, segmentDemand float64) []fleet.Segment {
	from, sum := r.From, 0.0
	add := func(to int) {
		if sum > 0 && from <= to {
			segments = append(segments, fleet.Segment{Range: keyspace.Range{From: from, To: to}, Demand: sum})
		}
		from, sum = to+1, 0
	}
	for key := r.From; key <= r.To; key++ {
		keyDemand := float64(m.meanDemand[key])
		if keyDemand >= segmentDemand && key > from {
			add(key - 1)
		}
		sum += keyDemand
		if sum >= segmentDemand {
			add(key)
		}
	}
	add(r.To)
	return segments
}
