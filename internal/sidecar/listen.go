package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readHeaderTimeout bounds how long a caller may take to send a request's headers.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's headers where the configuration sets no lower limit.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is how long a caller's connection may be idle before a configuration sets the limit.
	defaultIdleTimeout = 60 * time.Second
	// firstRequestWait is how long a stopping node waits for the first request on a connection that it has accepted.
	firstRequestWait = 500 * time.Millisecond
	// stopPollInterval is how often a stopping node checks whether its requests are done.
	stopPollInterval = 5 * time.Millisecond
	// idleSweepInterval is how often idle connections are checked.
	idleSweepInterval = 500 * time.Millisecond
)

// sniffListener wraps connections in sniffConn.
type sniffListener struct {
	net.Listener
	// maxHead returns the configured limit of a request's head in bytes, 0 for none; nil stands for none.
	maxHead func() int64
}

// Accept returns the next connection.
func (l sniffListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sniffConn{Conn: c, framing: requestFraming{maxHead: l.maxHead}}, nil
}

// sniffConn follows the framing of the requests on a caller's connection.
type sniffConn struct {
	net.Conn
	framing     requestFraming
	credentials credentialFilter
	// handled counts the requests that a handler has got.
	handled atomic.Int64
}

// Read reads from the connection and follows the framing of what was read.
func (c *sniffConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.framing.scan(p[:n])
		c.credentials.apply(p[:n])
	}
	return n, err
}

// requestFollows reports whether a byte was read of a request that no handler has got yet.
func (c *sniffConn) requestFollows() bool {
	return c.framing.fault.Load() == 0 && c.framing.begun.Load() > c.handled.Load()
}

type connKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerLeft reports whether the caller has closed the connection on which the request arrived. net/http notices that only after the
// handler has begun.
func callerLeft(ctx context.Context) bool {
	sniffed, ok := ctx.Value(connKey{}).(*sniffConn)
	if !ok {
		return false
	}
	c, ok := sniffed.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // The connection is closed.
	}
	left := false
	var next [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
	})
	return left || err != nil
}

// framingFault returns what is wrong with the framing of a request on the connection, or 0. The connection is not used any more then.
func framingFault(ctx context.Context) headFault {
	c, ok := ctx.Value(connKey{}).(*sniffConn)
	if !ok {
		return 0
	}
	return headFault(c.framing.fault.Load())
}

// entranceListener is a listener whose end a server takes for a planned one.
type entranceListener struct {
	net.Listener
	closed atomic.Bool
}

// Accept returns the next connection, or http.ErrServerClosed after Close.
func (l *entranceListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.closed.Load() {
		return nil, http.ErrServerClosed
	}
	return c, err
}

// Close stops listening.
func (l *entranceListener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.Listener.Close()
}

// idleConns tracks callers' connections and closes those that are idle for longer than the configuration allows.
type idleConns struct {
	timeout   atomic.Int64
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	// active holds the connections with a request, newSince those without a first one by the time at which they were accepted.
	active   map[net.Conn]bool
	newSince map[net.Conn]time.Time
}

func newIdleConns() *idleConns {
	i := &idleConns{idleSince: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}, newSince: map[net.Conn]time.Time{}}
	i.timeout.Store(int64(defaultIdleTimeout))
	return i
}

// setTimeout sets how long a connection may be idle.
func (i *idleConns) setTimeout(d time.Duration) {
	if d > 0 {
		i.timeout.Store(int64(d))
	}
}

// trackState records when a connection becomes idle. It is the server's ConnState hook.
func (i *idleConns) trackState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.idleSince, c)
	delete(i.active, c)
	delete(i.newSince, c)
	switch s {
	case http.StateNew:
		i.newSince[c] = time.Now()
	case http.StateActive:
		i.active[c] = true
	case http.StateIdle:
		i.idleSince[c] = time.Now()
	}
}

// waitForRequests waits until no connection has a request, or one on its way, or the context ends.
func (i *idleConns) waitForRequests(ctx context.Context) {
	for i.expectsRequests() && sleep(ctx, stopPollInterval) {
	}
}

func (i *idleConns) expectsRequests() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.active) > 0 {
		return true
	}
	for c := range i.idleSince { // net/http calls a connection idle between two requests that it has read.
		if requestFollows(c) {
			return true
		}
	}
	limit := time.Now().Add(-firstRequestWait)
	for _, since := range i.newSince {
		if since.After(limit) {
			return true
		}
	}
	return false
}

// closeIdle closes the connections on which no request is expected.
func (i *idleConns) closeIdle() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.idleSince {
		if !requestFollows(c) {
			_ = c.Close() // No request is in flight on it.
		}
	}
}

func requestFollows(c net.Conn) bool {
	s, ok := c.(*sniffConn)
	return ok && s.requestFollows()
}

// closeExpired closes connections that exceed the idle timeout, until the context ends.
func (i *idleConns) closeExpired(ctx context.Context) {
	for sleep(ctx, idleSweepInterval) {
		limit := time.Now().Add(-time.Duration(i.timeout.Load()))
		var expired []net.Conn
		i.mu.Lock()
		for c, since := range i.idleSince {
			if since.Before(limit) {
				expired = append(expired, c)
				delete(i.idleSince, c)
			}
		}
		i.mu.Unlock()
		for _, c := range expired {
			_ = c.Close() // No request is in flight on it.
		}
	}
}

// newHTTPServer returns a server with the limits that all of the node's listeners share. All requests reach the handler: net/http would answer
// OPTIONS * with a success of its own.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: withConn, DisableGeneralOptionsHandler: true}
}
