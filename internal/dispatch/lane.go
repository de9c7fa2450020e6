package dispatch

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// LargeResponseSize is the size from which a response is sent in chunks.
	LargeResponseSize = 16 << 10
	// ChunkSize is the size of a chunk. It takes 12 ms on a link of 11 Mbit/s.
	ChunkSize = 16 << 10
	// maxLinkBacklog bounds how long the chunks in the link's own queue take to send: small responses wait behind them.
	maxLinkBacklog = 15 * time.Millisecond
	// chunkRateShare is the share of the link's rate that chunks may use. The rest keeps the link's own queue empty
	// although other traffic of the host shares the link.
	chunkRateShare = 0.9
)

// chunk is a part of a large response that waits for the link.
type chunk struct {
	bytes float64
	// softDeadline is when the response is due, and sequence breaks ties.
	softDeadline clock.Instant
	sequence     uint64
	released     chan struct{} // closed when the chunk may be written
	heapIndex    int           // index in the heap, -1 after removal
}

type chunkHeap []*chunk

func (p chunkHeap) Len() int { return len(p) }
func (p chunkHeap) Less(i, j int) bool {
	return p[i].softDeadline < p[j].softDeadline || p[i].softDeadline == p[j].softDeadline && p[i].sequence < p[j].sequence
}
func (p chunkHeap) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].heapIndex, p[j].heapIndex = i, j
}
func (p *chunkHeap) Push(x any) {
	x.(*chunk).heapIndex = len(*p)
	*p = append(*p, x.(*chunk))
}
func (p *chunkHeap) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	last.heapIndex = -1
	return last
}

// chunkQueue orders the chunks of large responses by their soft deadline. It performs no I/O and takes the time as an
// argument.
type chunkQueue struct {
	rate         float64 // bytes per second, 0 if the link's rate is not limited
	waiting      chunkHeap
	linkIdleAt   clock.Instant // when the released chunks have left the link
	lastSequence uint64
}

// add queues a chunk.
func (l *chunkQueue) add(bytes float64, softDeadline clock.Instant) *chunk {
	l.lastSequence++
	p := &chunk{bytes: bytes, softDeadline: softDeadline, sequence: l.lastSequence, released: make(chan struct{})}
	heap.Push(&l.waiting, p)
	return p
}

// recordSent accounts for bytes that occupy the link from now on.
func (l *chunkQueue) recordSent(now clock.Instant, bytes float64) {
	if l.rate > 0 {
		l.linkIdleAt = max(l.linkIdleAt, now).Add(seconds(bytes / l.rate))
	}
}

// remove takes a chunk out of the queue if it has not been released.
func (l *chunkQueue) remove(p *chunk) {
	if p.heapIndex >= 0 {
		heap.Remove(&l.waiting, p.heapIndex)
	}
}

// poll releases the chunks that may be sent now and returns them.
func (l *chunkQueue) poll(now clock.Instant) []*chunk {
	var released []*chunk
	for len(l.waiting) > 0 && l.nextPoll(now) == 0 {
		p := heap.Pop(&l.waiting).(*chunk)
		l.recordSent(now, p.bytes)
		released = append(released, p)
	}
	return released
}

// nextPoll returns the time until the next chunk may be sent.
func (l *chunkQueue) nextPoll(now clock.Instant) time.Duration {
	return max(0, l.linkIdleAt.Sub(now)-maxLinkBacklog)
}

// ChunkScheduler sends large responses over the host's link in chunks, earliest soft deadline first. Small responses
// bypass it, so that they wait behind a chunk or two and not behind whole downloads. It is safe for concurrent use.
type ChunkScheduler struct {
	clock clock.Clock
	mu    sync.Mutex
	queue chunkQueue
	timer *time.Timer
}

// NewChunkScheduler returns a scheduler for a link with the given rate in bytes per second, 0 if the rate is not
// limited.
func NewChunkScheduler(clk clock.Clock, rate float64) *ChunkScheduler {
	l := &ChunkScheduler{clock: clk, queue: chunkQueue{rate: chunkRateShare * rate}}
	l.timer = time.AfterFunc(time.Hour, l.poll)
	l.timer.Stop()
	return l
}

// Wait blocks until a chunk of the given size may be written, or until the context ends.
func (l *ChunkScheduler) Wait(ctx context.Context, bytes int, softDeadline clock.Instant) error {
	l.mu.Lock()
	if l.queue.rate <= 0 {
		l.mu.Unlock()
		return nil
	}
	p := l.queue.add(float64(bytes), softDeadline)
	l.releaseChunks()
	l.mu.Unlock()
	select {
	case <-p.released:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		l.queue.remove(p)
		l.mu.Unlock()
		return context.Cause(ctx)
	}
}

// RecordSent accounts for bytes that go onto the link without waiting.
func (l *ChunkScheduler) RecordSent(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.recordSent(l.clock.Now(), float64(bytes))
}

func (l *ChunkScheduler) poll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseChunks()
}

// releaseChunks releases the chunks that may be sent now and arms the timer for the next one. The caller holds the
// lock.
func (l *ChunkScheduler) releaseChunks() {
	now := l.clock.Now()
	for _, p := range l.queue.poll(now) {
		close(p.released)
	}
	if len(l.queue.waiting) > 0 {
		l.timer.Reset(max(time.Millisecond, l.queue.nextPoll(now)))
	}
}
