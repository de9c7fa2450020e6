package retry

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// maxEstimateAge is how long a peer's estimate is valid. Heartbeats arrive eight times per second.
const maxEstimateAge = 2 * time.Second

// FleetRatio estimates the retry ratio of the whole fleet. Each node sends its estimate with its heartbeats and
// averages its own ratio with its peers' estimates, so that a rise on any node spreads to all nodes without extra
// messages.
type FleetRatio struct {
	mu    sync.Mutex
	peers map[string]estimate
}

type estimate struct {
	ratio float64
	at    clock.Instant
}

// NewFleetRatio returns an estimator without peers.
func NewFleetRatio() *FleetRatio { return &FleetRatio{peers: map[string]estimate{}} }

// RecordPeer records the estimate of a peer.
func (f *FleetRatio) RecordPeer(peer string, ratio float64, now clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[peer] = estimate{ratio: ratio, at: now}
}

// Estimate returns the mean of this node's own ratio and the peers' estimates.
func (f *FleetRatio) Estimate(own float64, now clock.Instant) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum, count := own, 1.0
	for peer, e := range f.peers {
		if now.Sub(e.at) > maxEstimateAge {
			delete(f.peers, peer)
			continue
		}
		sum += e.ratio
		count++
	}
	return sum / count
}
