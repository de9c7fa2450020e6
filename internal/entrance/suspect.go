package entrance

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

const (
	// probeInterval is how often one request tries an owner that can't serve. The others wait for a
	// new owner, so that a takeover does not use up the retry budget.
	probeInterval = 100 * time.Millisecond
	// watchAfter is when an attempt starts to watch whether its owner is gone. Most attempts end before.
	watchAfter = 100 * time.Millisecond
)

// errOwnerGone ends an attempt at a node whose record says that it will never serve again.
var errOwnerGone = errors.New("the owner was revoked or has left")

// suspects holds the nodes that could not be reached or had lost their lease a moment ago.
type suspects struct {
	mu   sync.Mutex
	next map[cluster.NodeID]clock.Instant // time of the next probe
}

// allow reports whether a request may be sent to the node now. The request that is allowed for a
// suspect is its probe.
func (s *suspects) allow(id cluster.NodeID, now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, suspected := s.next[id]
	if !suspected {
		return true
	}
	if now < next {
		return false
	}
	s.next[id] = now.Add(probeInterval)
	return true
}

// record learns from an attempt. It ignores attempts that say nothing about the node.
func (s *suspects) record(view *cluster.View, id cluster.NodeID, o *outcome, ended bool, now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.notSent() && ended:
		// The caller's time was over before a connection was there.
	case o.notSent() || o.kind == answer.LeaseLapsed:
		if s.next == nil {
			s.next = map[cluster.NodeID]clock.Instant{}
		}
		s.forget(view)
		s.next[id] = now.Add(probeInterval)
	case o.err == nil:
		delete(s.next, id)
	}
}

// forget drops nodes that are not in the view any more, so that replaced hosts don't add up. It needs the lock.
func (s *suspects) forget(view *cluster.View) {
	for id := range s.next {
		if view.Node(id) == nil {
			delete(s.next, id)
		}
	}
}

// watchOwner calls cancel when the node's record says that it is gone. The returned function ends the
// watch. Without it a request to a frozen node waits long after another node has taken over.
func (s *session) watchOwner(ctx context.Context, id cluster.NodeID, cancel context.CancelCauseFunc) func() {
	ctx, stop := context.WithCancel(ctx)
	timer := time.AfterFunc(watchAfter, func() {
		for {
			changed := s.opts.Table.Changed()
			if node := s.opts.Table.Load().View.Node(id); node == nil || node.Gone() {
				cancel(errOwnerGone)
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	})
	return func() {
		timer.Stop()
		stop()
	}
}
