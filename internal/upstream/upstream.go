// Package upstream speaks HTTP/1.1 to the target on the same host: one request at a time on a connection, answers
// matched by identity, never by order. It says whether a failed request may have run.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the attempt to connect. The target runs on the same host, where that takes about 1 ms.
	dialTimeout = 500 * time.Millisecond
	// maxIdle is how long a connection is kept for the next request. The platform's targets close theirs after 10 s.
	maxIdle = 4 * time.Second
	// maxIdleOnce is the same for requests that can't be repeated, since a target may forget an idle connection.
	maxIdleOnce = 250 * time.Millisecond
	// maxStray is the number of answers to other requests that are skipped on a connection.
	maxStray = 3
	// MaxBuffered is the size up to which an answer is read whole before it goes on.
	MaxBuffered = 1 << 20
	readBuffer  = 8 << 10
	// smallAnswer is the size up to which an answer is read without Reserve.
	smallAnswer = 32 << 10
	// maxRequests is the number of requests after which a connection is closed, which bounds the IDs that it remembers.
	maxRequests = 512
)

// Limits of what is read from a target. Beyond them the connection is closed.
const (
	// maxHeadBytes bounds the status line and headers of an answer, with what the read buffer holds of the body.
	maxHeadBytes = 64 << 10
	// maxStrayBytes bounds the body of an answer to another request, which is read only to keep the connection.
	maxStrayBytes = 64 << 10
	// maxInterim is the number of 1xx answers that may precede the final one.
	maxInterim = 8
	// maxStatus is the highest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
)

// Errors of Do.
var (
	// ErrNotSent means that the target certainly did not get the request.
	ErrNotSent = errors.New("request was not sent to the target")
	// ErrRefused means that nothing listens on the target's address. It comes with ErrNotSent.
	ErrRefused = errors.New("the target refuses connections")
	// ErrBodyLost means that the request's body could not be read to its end. The target got a part of it.
	ErrBodyLost = errors.New("the body of the request broke off")
	// ErrBroken means that the connection ended, or spoke no HTTP, before the answer was whole.
	ErrBroken = errors.New("the target broke off")
)

// Request is a request for the target.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Host   string
	// Body is sent whole; Stream is set instead for a body that is still arriving.
	Body   []byte
	Stream io.Reader
	// Length is the length of Stream, -1 if unknown.
	Length int64
	// Once says that the request can't be repeated, so that only a connection that was just in use is used again.
	Once bool
	// ID identifies the request. It is sent only once on a connection: a late second copy of the first answer could not be told from the
	// second one.
	ID string
	// Deadline is when the target stops to work on the request, zero if that is not known.
	Deadline time.Time
	// Fresh asks for a connection that has carried nothing, because nothing else shows that the answer is the request's own.
	Fresh bool
	// Reserve reports whether there is memory for an answer of the given size. Without it the answer is streamed. Nil stands for always.
	Reserve func(bytes int64) bool
	// Belongs reports whether an answer's headers belong to the request. used says that the connection has carried another request
	// before, whose answer may have come twice.
	Belongs func(h http.Header, used bool) bool
}

// Answer is the target's answer. Body is set if it was read whole; otherwise Rest has to be read and closed.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
	// Length of Rest, -1 if unknown.
	Length int64
	// StatedLength is the length that the answer to a HEAD request states, -1 if it states none. Such an answer has no body.
	StatedLength int64
}

// Client holds the connections to one target.
type Client struct {
	address  string
	mu       sync.Mutex
	idle     []*conn
	activity activity
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	budget *readBudget
	since  time.Time
	// ids are the hashes of the IDs of the requests that the connection has carried, used says that it has carried any.
	ids  map[uint64]struct{}
	used bool
}

// errHeadSize means that the head of an answer exceeds maxHeadBytes.
var errHeadSize = fmt.Errorf("the head of an answer exceeds %d bytes", maxHeadBytes)

// readBudget limits the bytes that are read from a connection while left is not negative.
type readBudget struct {
	io.Reader
	left int
}

// Read reads within the budget.
func (b *readBudget) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.Reader.Read(p)
	}
	if b.left == 0 {
		return 0, errHeadSize
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// NewClient returns a client for the target's address.
func NewClient(address string) *Client { return &Client{address: address} }

// Reset closes all idle connections, because the target has ended.
func (c *Client) Reset() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, k := range idle {
		_ = k.Close() // Nothing was outstanding on it.
	}
}

// Alive reports whether something listens on the target's address. Only a refused connection proves the contrary; other failures are returned. A
// target that does not listen may still work on requests; see Ended.
func (c *Client) Alive(ctx context.Context) (bool, error) {
	k, err := c.dial(ctx)
	if err == nil {
		c.put(k)
		return true, nil
	}
	if errors.Is(err, ErrRefused) {
		return false, nil
	}
	return true, err
}

func (c *Client) get(ctx context.Context, r *Request) (*conn, error) {
	limit := maxIdle
	if r.Once {
		limit = maxIdleOnce
	}
	now := time.Now()
	c.closeExpired(now)
	for !r.Fresh {
		k := c.takeIdle(now, limit, r.ID)
		if k == nil {
			break
		}
		if k.isQuiet() {
			return k, nil
		}
		_ = k.Close() // The target has closed it, or sent what nobody asked for.
	}
	return c.dial(ctx)
}

// takeIdle removes and returns the connection that was used last of those that have not carried the ID, or nil.
func (c *Client) takeIdle(now time.Time, limit time.Duration, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0 && now.Sub(c.idle[i].since) <= limit; i-- {
		if k := c.idle[i]; !k.hasCarried(id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return k
		}
	}
	return nil
}

// closeExpired closes the connections that have been idle for longer than maxIdle.
func (c *Client) closeExpired(now time.Time) {
	c.mu.Lock()
	var old []*conn
	for len(c.idle) > 0 && now.Sub(c.idle[0].since) > maxIdle {
		old = append(old, c.idle[0])
		c.idle = c.idle[1:]
	}
	c.mu.Unlock()
	for _, k := range old {
		_ = k.Close() // Nothing was outstanding on it.
	}
}

// hasCarried reports whether the connection has carried the request.
func (k *conn) hasCarried(id string) bool {
	_, carried := k.ids[xxhash.Sum64String(id)]
	return carried
}

// recordUse records a request whose answer was read.
func (k *conn) recordUse(id string) {
	k.used = true
	if id == "" {
		return
	}
	if k.ids == nil {
		k.ids = map[uint64]struct{}{}
	}
	k.ids[xxhash.Sum64String(id)] = struct{}{}
}

// isQuiet reports whether the connection is open and nothing has arrived on it since its last answer.
func (k *conn) isQuiet() bool {
	c, ok := k.Conn.(syscall.Conn)
	if !ok || k.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false // It is closed.
	}
	quiet := false
	var next [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return quiet && err == nil
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		if isRefused(err) {
			err = fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *conn {
	budget := &readBudget{raw, -1}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(budget, readBuffer), budget: budget, since: time.Now()}
}

func (c *Client) put(k *conn) {
	k.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

// Do sends the request and returns the answer that belongs to it. When the context ends, the connection is closed,
// so that the target drops the request.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	k, err := c.get(ctx, r)
	if err != nil {
		return nil, err
	}
	c.activity.begin()
	stop := context.AfterFunc(ctx, func() { _ = k.Close() }) // Unblocks reads and writes.
	a, reuse, err := k.exchange(r)
	if err != nil {
		stop()
		_ = k.Close() // Its state is unknown.
		c.activity.end(!errors.Is(err, ErrNotSent) && (ctx.Err() != nil || !endedByTarget(err)), r.Deadline)
		if ctx.Err() != nil && errors.Is(err, ErrNotSent) {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	if a.Rest != nil {
		a.Rest = &rest{ReadCloser: a.Rest, close: func(abandoned bool) {
			stop()
			_ = k.Close()
			c.activity.end(abandoned, r.Deadline)
		}}
		return a, nil
	}
	c.activity.end(false, r.Deadline)
	if k.recordUse(r.ID); stop() && reuse && len(k.ids) < maxRequests {
		c.put(k)
	} else {
		_ = k.Close() // The answer is whole.
	}
	return a, nil
}

// exchange sends the request and reads its answer. reuse says that the connection may carry another request.
func (k *conn) exchange(r *Request) (a *Answer, reuse bool, err error) {
	written := make(chan error, 1)
	head := r.head()
	if n, err := k.Write(append(head, r.Body...)); err != nil {
		if n < len(head) { // The target can't have run a request whose head it has not got whole.
			return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, false, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	source := &bodySource{Reader: r.Stream}
	if r.Stream == nil {
		written <- nil
	} else {
		go func() {
			err := r.stream(k, source)
			if source.failed.Load() {
				_ = k.Close() // The target does not get the rest of the body. Closing ends the wait for its answer.
			}
			written <- err
		}()
	}
	for range maxStray {
		a, keep, belongs, err := k.read(r)
		if err != nil && source.failed.Load() {
			return nil, false, fmt.Errorf("%w: %w", ErrBodyLost, <-written)
		}
		if err != nil {
			return nil, false, err
		}
		if !belongs {
			if !keep {
				break
			}
			continue
		}
		select {
		case err := <-written:
			return a, keep && err == nil && k.reader.Buffered() == 0, nil
		default:
			return a, false, nil // The rest of the body is not due any more on this connection.
		}
	}
	return nil, false, fmt.Errorf("%w: answers belong to other requests", ErrBroken)
}

// read reads one final answer.
func (k *conn) read(r *Request) (a *Answer, keep, belongs bool, err error) {
	response, err := k.readHead(r.Method)
	if err != nil {
		return nil, false, false, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	keep = !response.Close
	if !r.Belongs(response.Header, k.used) {
		return nil, keep && skip(response), false, nil
	}
	if r.Method == http.MethodHead {
		return &Answer{Status: response.StatusCode, Header: response.Header, StatedLength: response.ContentLength}, keep, true, nil
	}
	a = &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	if response.ContentLength > MaxBuffered || response.ContentLength > smallAnswer && r.Reserve != nil && !r.Reserve(response.ContentLength) {
		a.Rest = response.Body
		return a, false, true, nil
	}
	body, err := r.readAll(response.Body, response.ContentLength)
	if errors.Is(err, errLarge) {
		a.Rest, a.Length = io.NopCloser(io.MultiReader(bytes.NewReader(body), response.Body)), -1
		return a, false, true, nil
	}
	if err != nil {
		return nil, false, true, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	a.Body, a.Length = body, int64(len(body))
	return a, keep, true, nil
}

// readHead reads the head of the next final answer.
func (k *conn) readHead(method string) (*http.Response, error) {
	for range maxInterim {
		k.budget.left = maxHeadBytes
		response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		k.budget.left = -1
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
			return nil, fmt.Errorf("the target answers with status %03d", response.StatusCode)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switches protocols unasked")
		}
	}
	return nil, fmt.Errorf("more than %d interim answers", maxInterim)
}

// skip reads the body of an answer to another request and reports whether the next answer can be found behind it.
func skip(response *http.Response) bool {
	if response.ContentLength > maxStrayBytes {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes+1))
	return err == nil && n <= maxStrayBytes
}

var errLarge = errors.New("the answer is large")

// readAll reads a body of up to MaxBuffered bytes. With errLarge it returns what it has read.
func (r *Request) readAll(body io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	if r.Reserve != nil {
		data, err := io.ReadAll(io.LimitReader(body, smallAnswer+1))
		if err != nil || len(data) <= smallAnswer {
			return data, err
		}
		if !r.Reserve(MaxBuffered) {
			return data, errLarge
		}
		body = io.MultiReader(bytes.NewReader(data), body)
	}
	data, err := io.ReadAll(io.LimitReader(body, MaxBuffered+1))
	if err == nil && len(data) > MaxBuffered {
		err = errLarge
	}
	return data, err
}

// head returns the request line and the headers, with room for the body.
func (r *Request) head() []byte {
	buffer := make([]byte, 0, 512+len(r.Body))
	buffer = append(buffer, r.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, r.Path...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, r.Host...)
	buffer = append(buffer, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			buffer = append(buffer, name...)
			buffer = append(buffer, ": "...)
			buffer = append(buffer, value...)
			buffer = append(buffer, "\r\n"...)
		}
	}
	switch {
	case r.Stream != nil && r.Length < 0:
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	case r.Stream != nil:
		buffer = appendLength(buffer, r.Length)
	case len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		buffer = appendLength(buffer, int64(len(r.Body)))
	}
	return append(buffer, "\r\n"...)
}

func appendLength(buffer []byte, n int64) []byte {
	buffer = append(buffer, "Content-Length: "...)
	buffer = strconv.AppendInt(buffer, n, 10)
	return append(buffer, "\r\n"...)
}

// bodySource remembers whether a body could not be read to its end, as opposed to written.
type bodySource struct {
	io.Reader
	failed atomic.Bool
}

// Read implements io.Reader.
func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.failed.Store(true)
	}
	return n, err
}

// copyTo copies the body. A body in memory writes itself and does not fail.
func (s *bodySource) copyTo(w io.Writer) (int64, error) {
	if from, ok := s.Reader.(io.WriterTo); ok {
		return from.WriteTo(w)
	}
	return io.Copy(w, s)
}

// stream sends a body that is still arriving.
func (r *Request) stream(w io.Writer, body *bodySource) error {
	if r.Length >= 0 {
		n, err := body.copyTo(w)
		if err == nil && n != r.Length {
			err = io.ErrUnexpectedEOF
			body.failed.Store(true)
		}
		return err
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}
