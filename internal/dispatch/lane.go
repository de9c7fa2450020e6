package dispatch

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// LargeResponseSize is the size from which an answer goes onto the link in pieces.
	LargeResponseSize = 16 << 10
	// ChunkSize is the size of a piece: 12 ms of a link of 11 Mbit/s.
	ChunkSize = 16 << 10
	// maxLinkBacklog is how much of large answers may wait in the link itself, where small answers wait behind it.
	maxLinkBacklog = 15 * time.Millisecond
	// chunkRateShare is the part of the link's rate at which pieces go, so that the link's own queue stays empty although other traffic of
	// the host shares it.
	chunkRateShare = 0.9
)

// chunk is a part of a large answer that waits for the link.
type chunk struct {
	bytes float64
	// softDeadline is when the answer is due, and order breaks ties.
	softDeadline clock.Instant
	sequence     uint64
	released     chan struct{} // closed when it may be written
	heapIndex    int           // in the heap, -1 when it has left it
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

// chunkQueue orders the pieces of large answers by when these are due. It performs no I/O and takes the time as an argument.
type chunkQueue struct {
	rate         float64 // bytes a second, 0 if the link never binds
	waiting      chunkHeap
	linkIdleAt   clock.Instant // when the pieces that went have left the link
	lastSequence uint64
}

// add queues a piece.
func (l *chunkQueue) add(bytes float64, softDeadline clock.Instant) *chunk {
	l.lastSequence++
	p := &chunk{bytes: bytes, softDeadline: softDeadline, sequence: l.lastSequence, released: make(chan struct{})}
	heap.Push(&l.waiting, p)
	return p
}

// recordSent counts bytes that went without waiting.
func (l *chunkQueue) recordSent(now clock.Instant, bytes float64) {
	if l.rate > 0 {
		l.linkIdleAt = max(l.linkIdleAt, now).Add(seconds(bytes / l.rate))
	}
}

// remove takes back a piece that has not gone.
func (l *chunkQueue) remove(p *chunk) {
	if p.heapIndex >= 0 {
		heap.Remove(&l.waiting, p.heapIndex)
	}
}

// poll returns the pieces that may go now.
func (l *chunkQueue) poll(now clock.Instant) []*chunk {
	var released []*chunk
	for len(l.waiting) > 0 && l.nextPoll(now) == 0 {
		p := heap.Pop(&l.waiting).(*chunk)
		l.recordSent(now, p.bytes)
		released = append(released, p)
	}
	return released
}

// nextPoll returns after which time the next piece may go.
func (l *chunkQueue) nextPoll(now clock.Instant) time.Duration {
	return max(0, l.linkIdleAt.Sub(now)-maxLinkBacklog)
}

// ChunkScheduler lets large answers onto the host's link piece by piece, those first that are due first. Small answers don't use it, so that
// they wait behind a piece or two and not behind whole downloads. It is safe for concurrent use.
type ChunkScheduler struct {
	clock clock.Clock
	mu    sync.Mutex
	queue chunkQueue
	timer *time.Timer
}

// NewChunkScheduler returns the lane of a link with so many bytes a second, 0 if it never binds.
func NewChunkScheduler(clk clock.Clock, rate float64) *ChunkScheduler {
	l := &ChunkScheduler{clock: clk, queue: chunkQueue{rate: chunkRateShare * rate}}
	l.timer = time.AfterFunc(time.Hour, l.poll)
	l.timer.Stop()
	return l
}

// Wait returns when the piece may be written.
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

// RecordSent counts bytes that go onto the link without waiting.
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

// releaseChunks lets the pieces go that may. The lock is held.
func (l *ChunkScheduler) releaseChunks() {
	now := l.clock.Now()
	for _, p := range l.queue.poll(now) {
		close(p.released)
	}
	if len(l.queue.waiting) > 0 {
		l.timer.Reset(max(time.Millisecond, l.queue.nextPoll(now)))
	}
}
