package sidecar

import (
	"bytes"
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
	// maxHeaderBytes bounds a request's headers; the platform's callers stay within 16 KiB.
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
type sniffListener struct{ net.Listener }

// Accept returns the next connection.
func (l sniffListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sniffConn{Conn: c}, nil
}

// sniffConn detects requests with both Content-Length and Transfer-Encoding, which net/http accepts and hides. Such a request may
// smuggle another one in its body.
type sniffConn struct {
	net.Conn
	// partial holds the start of an incomplete header block.
	partial     []byte
	ambiguous   atomic.Bool
	credentials credentialFilter
}

// Read reads from the connection and scans the data for ambiguous lengths.
func (c *sniffConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.ambiguous.Load() {
		c.scan(p[:n])
	}
	if n > 0 {
		c.credentials.apply(p[:n])
	}
	return n, err
}

var (
	transferEncodingField = []byte("\ntransfer-encoding:")
	contentLengthField    = []byte("\ncontent-length:")
	headerEnd             = []byte("\r\n\r\n")
)

// joinBuffers holds buffers for scan. A new buffer for each read makes as much garbage as the callers send, which the collector does not
// keep up with on a busy host.
var joinBuffers = sync.Pool{New: func() any { return new([]byte) }}

// scan searches the data for a header block with both fields. A body that looks like one is rejected as well.
func (c *sniffConn) scan(data []byte) {
	if len(c.partial) > 0 {
		joined := joinBuffers.Get().(*[]byte)
		defer joinBuffers.Put(joined)
		*joined = append(append((*joined)[:0], c.partial...), data...)
		data, c.partial = *joined, nil
	}
	for len(data) > 0 {
		end := bytes.Index(data, headerEnd)
		block := data
		if end >= 0 {
			block = data[:end]
		}
		if hasField(block, transferEncodingField) && hasField(block, contentLengthField) {
			c.ambiguous.Store(true)
			return
		}
		if end < 0 {
			if len(data) <= maxHeaderBytes && (hasField(block, transferEncodingField) || hasField(block, contentLengthField)) {
				c.partial = append([]byte(nil), data...)
			} else if tail := len(data) - len(transferEncodingField); tail > 0 {
				c.partial = append([]byte(nil), data[tail:]...)
			} else {
				c.partial = append([]byte(nil), data...)
			}
			return
		}
		data = data[end+len(headerEnd):]
	}
}

// hasField reports whether the block has a header field of the name, ignoring case.
func hasField(block, name []byte) bool {
	for i := 0; i+len(name) <= len(block); i++ {
		next := bytes.IndexByte(block[i:], '\n')
		if next < 0 || i+next+len(name) > len(block) {
			return false
		}
		i += next
		if bytes.EqualFold(block[i:i+len(name)], name) {
			return true
		}
	}
	return false
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

// ambiguousLength reports whether a request on the connection had both Content-Length and Transfer-Encoding.
func ambiguousLength(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*sniffConn)
	return ok && c.ambiguous.Load()
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
	limit := time.Now().Add(-firstRequestWait)
	for _, since := range i.newSince {
		if since.After(limit) {
			return true
		}
	}
	return false
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

// newHTTPServer returns a server with the limits that all of the node's listeners share.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: withConn}
}
