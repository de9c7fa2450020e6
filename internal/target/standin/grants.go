package standin

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/target"
)

// grants holds the last grant of the node.
type grants struct {
	mu       sync.Mutex
	sequence uint64
	epochs   map[int]uint64
	expires  clock.Instant
}

// apply takes the answer to a poll that was sent at the given instant. The time to live counts from
// there, so that an answer that was held up never extends the grant.
func (g *grants) apply(sent clock.Instant, grant target.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if grant.Unchanged && grant.Sequence != g.sequence {
		// The node takes another grant for known; the next poll asks for all slices.
		g.sequence = 0
		return
	}
	if !grant.Unchanged {
		g.sequence = grant.Sequence
		g.epochs = make(map[int]uint64, len(grant.Slices))
		for _, s := range grant.Slices {
			g.epochs[s.Index] = s.Epoch
		}
	}
	g.expires = sent.Add(time.Duration(grant.TTLMS) * time.Millisecond)
}

// forgetSequence makes the next poll ask for all slices. A node that restarted may count from the
// same sequence again.
func (g *grants) forgetSequence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence = 0
}

// held returns the sequence to announce.
func (g *grants) held() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sequence
}

// allows reports whether the grant covers the slice under the epoch at the instant.
func (g *grants) allows(slice int, epoch uint64, now clock.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	granted, found := g.epochs[slice]
	return found && granted == epoch && now < g.expires
}

// remaining returns how long the grant still holds, and the number of its slices.
func (g *grants) remaining(now clock.Instant) (time.Duration, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.expires.Sub(now)), len(g.epochs)
}
