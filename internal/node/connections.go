package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout is how long a node that has drained waits for callers to leave. Its answers ask
	// them to; a connection that stays idle for longer is closed.
	lingerTimeout = 2 * time.Second
	// lingerPoll is how often the node looks whether callers have left.
	lingerPoll = 20 * time.Millisecond
)

// connections counts the open connections of callers.
type connections struct {
	open atomic.Int64
}

// track is the ConnState hook of the callers' server.
func (c *connections) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// awaitNone waits until no connection is open, at most for lingerTimeout. A request that arrives on a
// connection while the server closes it would be cut off.
func (c *connections) awaitNone(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerTimeout)
	defer cancel()
	poll := time.NewTicker(lingerPoll)
	defer poll.Stop()
	for c.open.Load() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}
