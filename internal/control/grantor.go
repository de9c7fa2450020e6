package control

import (
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/lease"
)

// sharedGrantor lets the heartbeat transport and the peer service answer at once, without a way
// through the control goroutine: a grant that waits behind other events shortens the lease of the
// holder, and 600 nodes have their leases renewed while a zone is being taken over. All methods take
// well under a microsecond.
type sharedGrantor struct {
	mu sync.Mutex
	g  *lease.Grantor
}

func newSharedGrantor() *sharedGrantor { return &sharedGrantor{g: lease.NewGrantor()} }

func (s *sharedGrantor) adopt(self cluster.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.g.AddIncarnation(self)
}

func (s *sharedGrantor) is(id cluster.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.g.IsSelf(id)
}

func (s *sharedGrantor) answer(grantor, holder cluster.NodeID, now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.g.HandleRenewal(grantor, holder, now)
}

func (s *sharedGrantor) vote(grantor, holder, candidate cluster.NodeID, now clock.Instant) lease.Vote {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.g.Vote(grantor, holder, candidate, now)
}

func (s *sharedGrantor) tick(now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.g.Tick(now)
}

func (s *sharedGrantor) follow(holders []cluster.NodeID, gone func(cluster.NodeID) bool, now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.g.SetHolders(holders, gone, now)
}

func (s *sharedGrantor) silent(holder cluster.NodeID, delay time.Duration, now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.g.Silent(holder, delay, now)
}
