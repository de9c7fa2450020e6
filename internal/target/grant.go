package target

import (
	"context"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/routing"
)

const (
	// holdBack is how long an answer waits for a change of the grant.
	holdBack = 100 * time.Millisecond
	// movingRecheck is how often a held answer looks whether the requests of a moving slice have finished.
	movingRecheck = 10 * time.Millisecond
	// maxTTL bounds the grant of a node whose lease never runs out, so that a target stops when its node is lost.
	maxTTL = time.Second
)

// hold answers at once if the target lacks the current grant, otherwise when the grant changes or after holdBack.
func (s *Server) hold(ctx context.Context, a *Announcement) *Grant {
	deadline := time.Now().Add(holdBack)
	for {
		changed := s.cfg.Table.Changed()
		snapshot := s.cfg.Table.Load()
		grant, recheck := s.grant(snapshot, a)
		left := time.Until(deadline)
		if !grant.Unchanged || grant.Idle || left <= 0 || !wait(ctx, changed, min(left, recheck)) {
			return grant
		}
	}
}

// wait returns false if the context ended.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// grant computes the grant for the announcement, and when it may change without a new snapshot.
func (s *Server) grant(snapshot *routing.Snapshot, a *Announcement) (*Grant, time.Duration) {
	now := s.cfg.Clock.Now()
	// The lease is read before the slices, so that the time to live never belongs to a later state than the slices.
	ttl := min(max(0, s.cfg.Lease.End().Sub(now)), maxTTL)
	s.grantMu.Lock()
	defer s.grantMu.Unlock()
	granted, recheck := s.grantedSlices(snapshot, a.Service, now)
	if !slices.Equal(granted, s.granted) {
		s.granted = granted
		s.sequence++
	}
	grant := &Grant{Sequence: s.sequence, TTLMS: ttl.Milliseconds()}
	grant.Idle = a.Leaving && snapshot.Draining && len(snapshot.Owned) == 0 && s.cfg.Work.Idle()
	if a.GrantSequence == s.sequence {
		grant.Unchanged = true
		return grant, recheck
	}
	grant.Slices = granted
	return grant, recheck
}

// grantedSlices returns the slices that the target may serve, by index.
func (s *Server) grantedSlices(snapshot *routing.Snapshot, service string, now clock.Instant) ([]GrantedSlice, time.Duration) {
	var granted []GrantedSlice
	recheck := holdBack
	for id, owned := range snapshot.Owned {
		if id.Service != service {
			continue
		}
		if now < owned.ReadyAt {
			recheck = min(recheck, owned.ReadyAt.Sub(now))
			continue
		}
		if owned.Moving {
			recheck = min(recheck, movingRecheck)
			if s.cfg.Work.InFlight(id) == 0 {
				continue
			}
		}
		granted = append(granted, GrantedSlice{Index: id.Index, Epoch: owned.Epoch})
	}
	slices.SortFunc(granted, func(a, b GrantedSlice) int { return a.Index - b.Index })
	return granted, recheck
}

// Current returns the target that was announced last. Its field Down says whether it is lost.
func (s *Server) Current() cluster.TargetInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.current
	info.Down = s.lost
	return info
}
