// Package demand measures the work that arrives for each key of a target. It performs no I/O and takes
// the time as an argument.
package demand

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// windowLength is the length of a measurement window.
	windowLength = 250 * time.Millisecond
	// normalWeight is the weight of the newest window in the moving average. Most of the average then
	// comes from the last second.
	normalWeight = 0.3
	// A window is a surge, as when keys become hot, if its work per second is above surgeRatio times
	// the average. It then has the weight surgeWeight, so that the average follows at once. Windows
	// with up to minSurgeWork seconds of work are too small to tell.
	surgeRatio   = 1.4
	surgeWeight  = 0.8
	minSurgeWork = 0.5
	// blockSize is the number of keys in a block, negligibleDemand the demand below which a key counts as idle.
	blockSize        = 64
	negligibleDemand = 1e-5
	// maxSegments bounds the number of segments of a report.
	maxSegments = 48
	// minSegmentDemand is the smallest demand for which keys get a segment of their own, in busy
	// slots.
	minSegmentDemand = 0.02
)

// Meter measures the work that arrives for each key, in busy slots. It is safe for concurrent use.
type Meter struct {
	mu          sync.Mutex
	windowStart clock.Instant
	windowWork  [keyspace.MaxKey + 1]float32 // seconds of work that arrived in the window
	meanDemand  [keyspace.MaxKey + 1]float32 // busy slots
	// activeBlocks holds the blocks of keys with work or demand. The others are skipped, because the
	// requests of an owner wait while a window is closed.
	activeBlocks [(keyspace.MaxKey + 1) / blockSize]bool
	// keylessWork and keylessMeanDemand are the same for requests without a key.
	keylessWork, keylessMeanDemand float64
}

// Add records a request that takes the given seconds of work. A negative key means that it has no key.
func (m *Meter) Add(now clock.Instant, key int, work float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeWindow(now)
	if key < 0 {
		m.keylessWork += work
		return
	}
	m.windowWork[key] += float32(work)
	m.activeBlocks[key/blockSize] = true
}

// closeWindow ends the current window if its time is over.
func (m *Meter) closeWindow(now clock.Instant) {
	elapsed := now.Sub(m.windowStart)
	if elapsed < windowLength {
		return
	}
	weight := float32(normalWeight)
	if elapsed > 4*windowLength {
		weight = 1 // After a long pause older windows are irrelevant.
	}
	if m.surged(elapsed) {
		weight = max(weight, surgeWeight)
	}
	m.averageWindow(now, weight)
}

// averageWindow adds the window to the moving average with the given weight and starts a new one.
func (m *Meter) averageWindow(now clock.Instant, weight float32) {
	perSecond := float32(1 / now.Sub(m.windowStart).Seconds())
	for block, active := range m.activeBlocks {
		if !active {
			continue
		}
		idle := true
		for key := block * blockSize; key < (block+1)*blockSize; key++ {
			m.meanDemand[key] += weight * (m.windowWork[key]*perSecond - m.meanDemand[key])
			m.windowWork[key] = 0
			if m.meanDemand[key] < negligibleDemand {
				m.meanDemand[key] = 0
			} else {
				idle = false
			}
		}
		m.activeBlocks[block] = !idle
	}
	m.keylessMeanDemand += float64(weight) * (m.keylessWork*float64(perSecond) - m.keylessMeanDemand)
	m.keylessWork = 0
	m.windowStart = now
}

// surged reports whether the window has much more work than the average.
func (m *Meter) surged(elapsed time.Duration) bool {
	var current, mean float32
	for block, active := range m.activeBlocks {
		if !active {
			continue
		}
		for key := block * blockSize; key < (block+1)*blockSize; key++ {
			current += m.windowWork[key]
			mean += m.meanDemand[key]
		}
	}
	return current > minSurgeWork && current/float32(elapsed.Seconds()) > surgeRatio*mean
}

// Report returns the total demand and its distribution over the rows. The segments have about the same
// demand each; a key with more than that is a segment of its own.
func (m *Meter) Report(now clock.Instant, rows []keyspace.Row) (float64, []fleet.RangeDemand) {
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
	var segments []fleet.RangeDemand
	for _, r := range rows {
		segments = m.appendSegments(segments, r.Range, segmentDemand)
	}
	return sum + m.keylessMeanDemand, segments
}

func (m *Meter) appendSegments(segments []fleet.RangeDemand, r keyspace.Range, segmentDemand float64) []fleet.RangeDemand {
	from, sum := r.From, 0.0
	add := func(to int) {
		if sum > 0 && from <= to {
			segments = append(segments, fleet.RangeDemand{Range: keyspace.Range{From: from, To: to}, Demand: sum})
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
