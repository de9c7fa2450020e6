package relay

import (
	"context"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

const (
	// maxConns bounds the connections to one address.
	maxConns = 4
	// spreadStreams is the number of streams from which another connection is opened. Below it one
	// connection sends more frames per system call.
	spreadStreams = 64
	// dialTimeout bounds the attempt to connect. Nodes are a few milliseconds apart, and keys have to
	// be served again within 1 s of a loss.
	dialTimeout = 400 * time.Millisecond
)

// pool holds the connections to one address.
type pool struct {
	client  *Client
	address string

	mu      sync.Mutex
	conns   []*clientConn
	dialing bool
	closed  bool
	// failures counts failed attempts to connect; failure is the last one.
	failures uint64
	failure  error
	// changed is closed when a connection is added, lost or has room again.
	changed chan struct{}
}

func newPool(c *Client, address string) *pool {
	return &pool{client: c, address: address, changed: make(chan struct{})}
}

// open returns a stream on the connection with the fewest streams.
func (p *pool) open(ctx context.Context) (*clientConn, *stream, error) {
	p.mu.Lock()
	seen := p.failures
	for {
		if p.closed {
			p.mu.Unlock()
			return nil, nil, errs.New(errs.Unavailable, "", "the relay client is closed")
		}
		best, streams := p.least()
		if (best == nil || streams >= spreadStreams) && !p.dialing && len(p.conns) < maxConns && p.failures == seen {
			p.dial()
		}
		if best != nil {
			if s := best.open(); s != nil {
				p.mu.Unlock()
				return best, s, nil
			}
		}
		if p.failures != seen && len(p.conns) == 0 && !p.dialing {
			err := p.failure
			p.mu.Unlock()
			return nil, nil, err
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, context.Cause(ctx)
		}
		p.mu.Lock()
	}
}

// least returns the connection with the fewest streams, a suspect one only if there is no other. The caller holds mu.
func (p *pool) least() (*clientConn, int) {
	var best *clientConn
	streams, suspect := 0, false
	for _, c := range p.conns {
		n, s := c.load(), c.suspect.Load()
		if best == nil || suspect && !s || suspect == s && n < streams {
			best, streams, suspect = c, n, s
		}
	}
	return best, streams
}

// replaceSuspect opens another connection if all are suspect, so that later streams need not wait until these are lost.
func (p *pool) replaceSuspect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if best, _ := p.least(); best != nil && best.suspect.Load() && !p.dialing && !p.closed && len(p.conns) < maxConns {
		p.dial()
	}
}

// dial connects in the background, so that a caller that gives up does not spoil it for others.
func (p *pool) dial() {
	p.dialing = true
	p.client.wg.Go(func() {
		conn, err := dial(p.client.ctx, p)
		p.mu.Lock()
		p.dialing = false
		stale := p.closed
		if err == nil && !stale {
			p.conns = append(p.conns, conn)
		}
		if err != nil {
			p.failures++
			p.failure = err
		}
		p.notify()
		p.mu.Unlock()
		if err == nil {
			conn.run(stale)
		}
	})
}

// remove takes a connection out that is lost or takes no new streams.
func (p *pool) remove(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.conns {
		if c == conn {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	p.notify()
}

// room tells waiting callers that a full connection has room again.
func (p *pool) room() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}

func (p *pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	conns := append([]*clientConn(nil), p.conns...)
	p.notify()
	p.mu.Unlock()
	for _, c := range conns {
		c.fail(ErrTruncated)
	}
}
