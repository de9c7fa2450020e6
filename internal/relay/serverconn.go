package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"google.golang.org/protobuf/proto"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// maxStreams bounds the streams that a client keeps open on one connection.
	maxStreams = 256
	// maxRunning bounds the running streams at the server. It is higher than maxStreams because a
	// cancelled stream is free at the client before its handler has returned.
	maxRunning = 2 * maxStreams
	// maxUnsent is the number of bytes that gnet may hold for a connection.
	maxUnsent = 1 << 20
	// unsentRetry is when a connection with maxUnsent is tried again.
	unsentRetry = 2 * time.Millisecond
	// refusedRetryAfter is the time after which a refused caller may try again.
	refusedRetryAfter = 100 * time.Millisecond
)

// serverConn is one accepted connection. Its receive and flush run on the event loop.
type serverConn struct {
	server    *Server
	gnet      gnet.Conn
	frames    decoder
	out       *outbox
	challenge []byte
	proven    atomic.Bool
	timer     *time.Timer
	retry     *time.Timer
	ctx       context.Context
	cancel    context.CancelFunc
	running   atomic.Int32
	unsent    atomic.Int64
	last      uint32 // highest stream identity so far; only for the event loop
	// begun holds the streams that began with the frames that are being received; only for the event loop.
	begun []func()

	mu      sync.Mutex
	streams map[uint32]*serverStream
}

type serverStream struct {
	*stream
	cancel context.CancelFunc
}

func newServerConn(s *Server, c gnet.Conn) *serverConn {
	conn := &serverConn{
		server:    s,
		gnet:      c,
		challenge: newChallenge(),
		streams:   map[uint32]*serverStream{},
	}
	wake := func() { _ = c.Wake(nil) } // A closed connection is reported by OnClose.
	conn.out = newOutbox(wake)
	conn.retry = time.AfterFunc(handshakeTimeout, wake)
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	conn.timer = time.AfterFunc(handshakeTimeout, func() {
		if !conn.proven.Load() {
			_ = c.Close()
		}
	})
	return conn
}

// lost ends all streams.
func (c *serverConn) lost() {
	c.timer.Stop()
	c.retry.Stop()
	c.cancel()
	c.out.fail(ErrTruncated)
}

// flush hands collected frames to gnet unless the peer is too slow.
func (c *serverConn) flush() error {
	if c.gnet.OutboundBuffered() >= maxUnsent {
		c.retry.Reset(unsentRetry)
		return nil
	}
	c.unsent.Store(1) // Keeps Close from seeing nothing between the two buffers.
	data, err := c.out.take(hardPending)
	if err != nil {
		return err
	}
	if len(data) > 0 {
		_, err = c.gnet.Write(data)
	}
	c.unsent.Store(int64(c.gnet.OutboundBuffered()))
	return err
}

func (c *serverConn) receive(f frame) error {
	if !c.proven.Load() {
		return c.receiveHello(f)
	}
	switch f.kind {
	case kindRequest, kindBodiless:
		return c.receiveRequest(f)
	case kindPing:
		return c.out.control(frame{kind: kindPong})
	case kindData, kindEnd, kindReset, kindCredit, kindCancel:
		return c.receiveForStream(f)
	}
	return badFrame("a client sent a frame of type %d", f.kind)
}

func (c *serverConn) receiveHello(f frame) error {
	if f.kind != kindHello {
		return badFrame("the first frame has type %d", f.kind)
	}
	welcome, err := checkHello(c.server.opts.Secret, c.challenge, f.payload)
	if err != nil {
		return err
	}
	c.proven.Store(true)
	c.timer.Stop()
	return c.out.control(frame{kindWelcome, 0, welcome})
}

func (c *serverConn) receiveForStream(f frame) error {
	if f.stream > c.last && f.kind != kindReset { // The reset may cross the withdrawal of the stream.
		return badFrame("stream %d was not started", f.stream)
	}
	c.mu.Lock()
	s := c.streams[f.stream]
	c.mu.Unlock()
	if s == nil {
		return nil // A late frame of a finished stream.
	}
	switch f.kind {
	case kindData:
		return s.deliver(f.payload)
	case kindEnd:
		s.finish()
	case kindReset:
		s.truncate(ErrTruncated)
	case kindCredit:
		return s.addCredit(creditOf(f))
	case kindCancel:
		s.cancel()
	}
	return nil
}

func (c *serverConn) receiveRequest(f frame) error {
	if f.stream <= c.last {
		return badFrame("stream %d was started before stream %d", f.stream, c.last)
	}
	c.last = f.stream
	head := &wire.RequestHead{}
	if err := proto.Unmarshal(f.payload, head); err != nil {
		return badFrame("the head of a request can't be decoded: %v", err)
	}
	// Counting before the look at draining makes Close see each stream that it did not refuse.
	running := c.running.Add(1)
	switch {
	case c.server.draining.Load():
		c.running.Add(-1)
		return c.refuse(f.stream, answer.Refuse(answer.Draining, "the node is leaving"))
	case running > maxRunning:
		c.running.Add(-1)
		return c.refuse(f.stream, answer.Refuse(answer.Shed, "the connection has %d running requests", maxRunning).WithRetryAfter(refusedRetryAfter))
	}
	c.start(newStream(f.stream, c.out), head, f.kind == kindRequest)
	return nil
}

// refuse sends a whole answer without waiting, also for streams that were never started or whose
// context has ended.
func (c *serverConn) refuse(id uint32, r *answer.Refusal) error {
	head, body := refusal(r)
	encoded, err := proto.Marshal(head)
	if err != nil {
		return err
	}
	return c.out.control(frame{kindResponse, id, encoded}, frame{kindData, id, body}, frame{kindEnd, id, nil})
}

func (c *serverConn) start(s *stream, head *wire.RequestHead, body bool) {
	ctx, cancel := c.ctx, context.CancelFunc(nil)
	if head.TimeoutMs > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(head.TimeoutMs)*time.Millisecond)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	c.mu.Lock()
	c.streams[s.id] = &serverStream{s, cancel}
	c.mu.Unlock()
	req := &Request{Head: head}
	if body {
		req.Body = io.Reader(s)
	}
	c.begun = append(c.begun, func() { c.serve(ctx, cancel, s, req) })
}

// begin starts the handlers of the streams that began. It runs after all frames that have arrived: a process that stood still
// must not start what its client has cancelled meanwhile.
func (c *serverConn) begin() {
	for _, serve := range c.begun {
		c.server.handlers.Go(serve)
	}
	c.begun = c.begun[:0]
}

func (c *serverConn) serve(ctx context.Context, cancel context.CancelFunc, s *stream, req *Request) {
	stop := context.AfterFunc(ctx, func() { s.fail(ctx.Err()) })
	w := &responseWriter{stream: s}
	var err error
	if ctx.Err() != nil {
		err = answer.Refuse(answer.Deadline, "the request ended before it began")
	} else {
		err = c.handle(ctx, req, w)
	}
	c.mu.Lock()
	delete(c.streams, s.id)
	c.mu.Unlock()
	c.finish(w, err)
	stop()
	cancel()
	s.discard()
	c.running.Add(-1)
}

func (c *serverConn) handle(ctx context.Context, req *Request, w ResponseWriter) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("relay: handler panicked: %v", p)
			event.RelayPanic.On(c.server.opts.Logger).Any("panic", p).Str("stack", string(debug.Stack())).Send()
		}
	}()
	return c.server.opts.Handler.ServeRelay(ctx, req, w)
}

// responseWriter sends the answer of a handler.
type responseWriter struct {
	stream  *stream
	started bool
	// err is the first failure. A handler that ignores it must not make the answer look whole.
	err error
}

// WriteHead sends the head of the answer.
func (w *responseWriter) WriteHead(head *wire.ResponseHead) error {
	if w.started {
		return badFrame("the handler gave two answers")
	}
	encoded, err := proto.Marshal(head)
	if err != nil {
		return err
	}
	if len(encoded) > maxHead {
		return badFrame("the head of the answer has %d bytes, more than %d", len(encoded), maxHead)
	}
	w.started = true
	w.err = w.stream.out.send(w.stream, frame{kindResponse, w.stream.id, encoded})
	return w.err
}

// Write sends a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.started {
		return 0, badFrame("the handler wrote a body before the head")
	}
	n, err := w.stream.Write(p)
	if w.err == nil {
		w.err = err
	}
	return n, err
}

// sendNotRun sends a head as the whole answer. After the end of the context the stream takes nothing more, so that the head does not
// wait for the connection.
func (c *serverConn) sendNotRun(s *stream, notRun *NotRun) error {
	encoded, err := proto.Marshal(notRun.Head)
	if err != nil {
		return err
	}
	frames := []frame{{kindResponse, s.id, encoded}, {kindEnd, s.id, nil}}
	if c.out.send(s, frames...) == nil {
		return nil
	}
	return c.out.control(frames...)
}

// finish ends the answer: whole, as a refusal, or truncated. A lost connection truncates it by itself.
func (c *serverConn) finish(w *responseWriter, err error) {
	if r := answer.As(err); r != nil && !w.started {
		_ = c.refuse(w.stream.id, r)
		return
	}
	if notRun := (*NotRun)(nil); errors.As(err, &notRun) && !w.started && c.sendNotRun(w.stream, notRun) == nil {
		return
	}
	last := kindEnd
	if err != nil || w.err != nil || !w.started {
		last = kindReset
	}
	_ = c.out.control(frame{last, w.stream.id, nil})
}
