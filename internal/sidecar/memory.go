package sidecar

import (
	"math"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"sync/atomic"

	"github.com/citronvane/citronvane/internal/event"
)

const (
	// softMemoryShare is the share of the process's memory from which on the garbage collector runs more often. The rest is for data
	// that the kernel holds for the process, and for growth during a collection.
	softMemoryShare = 0.6
	// shedMemoryShare is the share from which on the node refuses callers' requests: a process over its limit is killed, with all
	// requests that it has accepted.
	shedMemoryShare = 0.8
	bytesPerMB      = 1 << 20
)

// memoryGuard refuses requests before the process exceeds its memory.
type memoryGuard struct {
	limitBytes float64
	samples    []runtimemetrics.Sample
	shedding   atomic.Bool
}

// newMemoryGuard returns a guard for a limit in megabytes, 0 if there is none.
func newMemoryGuard(limitMB float64) *memoryGuard {
	return &memoryGuard{limitBytes: limitMB * bytesPerMB, samples: []runtimemetrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
	}}
}

// limitCollector sets the garbage collector's soft limit for the process.
func (g *memoryGuard) limitCollector() {
	if g.limitBytes > 0 {
		debug.SetMemoryLimit(int64(math.Min(softMemoryShare*g.limitBytes, math.MaxInt64/2)))
	}
}

// usedBytes returns the memory that the runtime has taken from the system.
func (g *memoryGuard) usedBytes() float64 {
	runtimemetrics.Read(g.samples)
	return float64(g.samples[0].Value.Uint64() - g.samples[1].Value.Uint64())
}

// update decides whether to refuse requests, given the memory in use.
func (g *memoryGuard) update(l *logger, usedBytes float64) {
	shed := g.limitBytes > 0 && usedBytes > shedMemoryShare*g.limitBytes
	if g.shedding.Swap(shed) != shed {
		event.MemoryShedding.On(l).Bool("shedding", shed).Int("used_mb", int(usedBytes/bytesPerMB)).Int("limit_mb", int(g.limitBytes/bytesPerMB)).Send()
	}
}
