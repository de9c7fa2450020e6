package control

import (
	"context"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/routing"
)

const (
	// successorGrace is how long a draining node waits for a node that can take its slices. It covers
	// the restart of the only other node; when a whole service stops, nobody comes.
	successorGrace = 5 * time.Second

	// successorPoll is how often the draining node looks for a successor.
	successorPoll = 100 * time.Millisecond
)

// Drain sets the node's state to draining and returns when it owns no slice any more, or when no other
// node has been able to take its slices for successorGrace.
func (c *Control) Drain(ctx context.Context) error {
	c.post(ctx, DrainRequested{})
	poll := time.NewTicker(successorPoll)
	defer poll.Stop()
	lastSuccessor := time.Now()
	for {
		changed := c.options.Table.Changed()
		snapshot := c.options.Table.Load()
		if snapshot.Draining && len(snapshot.Owned) == 0 {
			return nil
		}
		if hasSuccessor(snapshot) {
			lastSuccessor = time.Now()
		}
		if time.Since(lastSuccessor) >= successorGrace {
			event.NoSuccessor.On(c.options.Log).Int("slices", len(snapshot.Owned)).Send()
			return nil
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Unavailable, "Check the platform and the other nodes of the service.",
				"hand over all slices")
		}
	}
}

// hasSuccessor reports whether another live node serves a service of which this node owns slices.
func hasSuccessor(s *routing.Snapshot) bool {
	for id := range s.Owned {
		for _, n := range s.View.Nodes {
			if n.ID != s.Self && n.Serves(id.Service) {
				return true
			}
		}
		// All slices of a node belong to the service of its target, so that one is enough.
		return false
	}
	return false
}
