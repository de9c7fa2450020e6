package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout is short because the target runs on the same host, where a connection opens in about 1 ms.
	dialTimeout = time.Second
	// idleTimeout closes connections that a burst has left behind.
	idleTimeout = 30 * time.Second
	// maxResponseHeaderBytes is the bound of section 8 of the design page.
	maxResponseHeaderBytes = 64 << 10
)

var errSealed = errors.New("target: the connection takes no more writes")

// trackedConn counts the writes of a connection, so that a failed request can be proven not to have been written.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before any byte leaves.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// mark returns the number of writes so far.
func (c *trackedConn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses all later writes, closes the connection and reports whether nothing was written since the mark.
func (c *trackedConn) seal(mark uint64) bool {
	c.mu.Lock()
	c.sealed = true
	untouched := c.writes == mark
	c.mu.Unlock()
	_ = c.Close() // The connection can't be used any more.
	return untouched
}

// newTransport returns a transport with at most the announced number of connections. It has no proxy and leaves
// bodies as they are.
func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}
