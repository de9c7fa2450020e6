package upstream

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unknownDeadline is how long a request may run at the target that states no deadline and whose connection this client has closed.
	unknownDeadline = 5 * time.Second
	// deadlineSlack is how long after its deadline a target may still work on a request.
	deadlineSlack = 200 * time.Millisecond
)

// activity is what a client knows of the requests that the target may be working on.
type activity struct {
	mu sync.Mutex
	// running is the number of requests whose connections are open.
	running int
	// abandonedUntil is until when the target may work on requests whose connections this client has closed.
	abandonedUntil time.Time
}

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running++
}

// end records the end of a request. abandoned says that the client gave it up, so that the target may work on it until the deadline.
func (a *activity) end(abandoned bool, deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if !abandoned {
		return
	}
	if deadline.IsZero() {
		deadline = time.Now().Add(unknownDeadline)
	}
	if deadline = deadline.Add(deadlineSlack); deadline.After(a.abandonedUntil) {
		a.abandonedUntil = deadline
	}
}

func (a *activity) ended(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running == 0 && now.After(a.abandonedUntil)
}

// Ended reports whether the target has ended everything that this client knows of: no request runs or may run, and all idle connections are closed.
// A target that has also stopped listening has either exited or is about to.
func (c *Client) Ended() bool {
	if !c.activity.ended(time.Now()) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		if !k.isClosed() {
			return false
		}
	}
	return true
}

// isClosed reports whether the target has closed the idle connection.
func (k *conn) isClosed() bool {
	c, ok := k.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // This client has closed it.
	}
	closed := false
	var next [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return closed || err != nil
}

// endedByTarget reports whether the error of an exchange says that the target has closed the connection.
func endedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// rest is a streamed answer, the last one of its connection.
type rest struct {
	io.ReadCloser
	// ended is set once the answer has been read to its end, or the target has broken off.
	ended bool
	once  sync.Once
	close func(abandoned bool)
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.ended = r.ended || err != nil && endedByTarget(err)
	return n, err
}

// Close closes the connection.
func (r *rest) Close() error {
	r.once.Do(func() { r.close(!r.ended) })
	return nil
}
