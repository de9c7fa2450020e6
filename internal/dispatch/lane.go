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
	// maxAhead is how much of large answers may wait in the link itself, where small answers wait behind it.
	maxAhead = 15 * time.Millisecond
	// laneShare is the part of the link's rate at which pieces go, so that the link's own queue stays empty although other traffic of
	// the host shares it.
	laneShare = 0.9
)

// piece is a part of a large answer that waits for the link.
type piece struct {
	bytes float64
	// aim is when the answer is due, and order breaks ties.
	aim   clock.Instant
	order uint64
	gone  chan struct{} // closed when it may be written
	index int           // in the heap, -1 when it has left it
}

type pieces []*piece

func (p pieces) Len() int { return len(p) }
func (p pieces) Less(i, j int) bool {
	return p[i].aim < p[j].aim || p[i].aim == p[j].aim && p[i].order < p[j].order
}
func (p pieces) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].index, p[j].index = i, j
}
func (p *pieces) Push(x any) {
	x.(*piece).index = len(*p)
	*p = append(*p, x.(*piece))
}
func (p *pieces) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	last.index = -1
	return last
}

// lane orders the pieces of large answers by when these are due. It performs no I/O and takes the time as an argument.
type lane struct {
	rate    float64 // bytes a second, 0 if the link never binds
	waiting pieces
	free    clock.Instant // when the pieces that went have left the link
	order   uint64
}

// add queues a piece.
func (l *lane) add(bytes float64, aim clock.Instant) *piece {
	l.order++
	p := &piece{bytes: bytes, aim: aim, order: l.order, gone: make(chan struct{})}
	heap.Push(&l.waiting, p)
	return p
}

// sent counts bytes that went without waiting.
func (l *lane) sent(now clock.Instant, bytes float64) {
	if l.rate > 0 {
		l.free = max(l.free, now).Add(seconds(bytes / l.rate))
	}
}

// remove takes back a piece that has not gone.
func (l *lane) remove(p *piece) {
	if p.index >= 0 {
		heap.Remove(&l.waiting, p.index)
	}
}

// poll returns the pieces that may go now.
func (l *lane) poll(now clock.Instant) []*piece {
	var went []*piece
	for len(l.waiting) > 0 && l.wake(now) == 0 {
		p := heap.Pop(&l.waiting).(*piece)
		l.sent(now, p.bytes)
		went = append(went, p)
	}
	return went
}

// wake returns after which time the next piece may go.
func (l *lane) wake(now clock.Instant) time.Duration {
	return max(0, l.free.Sub(now)-maxAhead)
}

// ChunkScheduler lets large answers onto the host's link piece by piece, those first that are due first. Small answers don't use it, so that
// they wait behind a piece or two and not behind whole downloads. It is safe for concurrent use.
type ChunkScheduler struct {
	clock clock.Clock
	mu    sync.Mutex
	lane  lane
	timer *time.Timer
}

// NewChunkScheduler returns the lane of a link with so many bytes a second, 0 if it never binds.
func NewChunkScheduler(clk clock.Clock, rate float64) *ChunkScheduler {
	l := &ChunkScheduler{clock: clk, lane: lane{rate: laneShare * rate}}
	l.timer = time.AfterFunc(time.Hour, l.poll)
	l.timer.Stop()
	return l
}

// Wait returns when the piece may be written.
func (l *ChunkScheduler) Wait(ctx context.Context, bytes int, aim clock.Instant) error {
	l.mu.Lock()
	if l.lane.rate <= 0 {
		l.mu.Unlock()
		return nil
	}
	p := l.lane.add(float64(bytes), aim)
	l.advance()
	l.mu.Unlock()
	select {
	case <-p.gone:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		l.lane.remove(p)
		l.mu.Unlock()
		return context.Cause(ctx)
	}
}

// RecordSent counts bytes that go onto the link without waiting.
func (l *ChunkScheduler) RecordSent(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lane.sent(l.clock.Now(), float64(bytes))
}

func (l *ChunkScheduler) poll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
}

// advance lets the pieces go that may. The lock is held.
func (l *ChunkScheduler) advance() {
	now := l.clock.Now()
	for _, p := range l.lane.poll(now) {
		close(p.gone)
	}
	if len(l.lane.waiting) > 0 {
		l.timer.Reset(max(time.Millisecond, l.lane.wake(now)))
	}
}
