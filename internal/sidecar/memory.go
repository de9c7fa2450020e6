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
	// programBytes is the resident memory outside the Go runtime's: the program's own pages, 15 MB on arm64. growthShare is the share of
	// the memory by which the heap may grow during a collection. They lower the soft limit of processes with less than 64 MB.
	programBytes = 16 * bytesPerMB
	growthShare  = 0.15
	// minSoftBytes is the lowest soft limit, so that a collector without room does not run all the time.
	minSoftBytes = 16 * bytesPerMB
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
		soft := min(softMemoryShare*g.limitBytes, (1-growthShare)*g.limitBytes-programBytes)
		debug.SetMemoryLimit(int64(min(max(soft, minSoftBytes), math.MaxInt64/2)))
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
