package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// readBuffer is the read buffer of a connection. 600 connections need 19 MiB.
	readBuffer = 32 << 10
	// probeInterval is how often a silent connection with streams is probed.
	probeInterval = 400 * time.Millisecond
	// idleInterval is how often a connection without streams is looked at.
	idleInterval = 5 * time.Second
	// maxUnanswered is the number of probes without an answer after which a connection with streams counts as lost. Answers on a
	// full link of a small host may be late by more than a second, and giving their connection up loses them all.
	maxUnanswered = 4
	// suspectAfter is the number of unanswered probes after which new streams prefer another connection. A connection may go silent while
	// new ones work, and the server's node counts as lost after 2.2 s.
	suspectAfter = 1
	// maxIdle is when a connection without streams is closed.
	maxIdle = 5 * time.Minute
	// maxPauses bounds the intervals in a row that don't count because this process stood still.
	maxPauses = 4
	// pauseLimit is how late a deadline may be noticed before it shows that this process stood still, as in package lease.
	pauseLimit = 200 * time.Millisecond
	// lastStream is the identity after which a connection takes no new streams.
	lastStream = 1 << 31
)

// clientConn is one connection to a server.
type clientConn struct {
	pool   *pool
	net    net.Conn
	out    *outbox
	wake   chan struct{}
	done   chan struct{}
	frames decoder
	buffer []byte

	mu      sync.Mutex
	streams map[uint32]*stream
	// reserved counts streams that open has given out and start has not sent yet.
	reserved int
	retired  bool
	err      error
	// readDeadline is when the pending read ends.
	readDeadline time.Time
	// suspect is set while suspectAfter probes are unanswered.
	suspect atomic.Bool
}

// dial connects and proves the cluster secret in both directions.
func dial(ctx context.Context, p *pool) (*clientConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "", "connect to %s", p.address)
	}
	c := &clientConn{
		pool:    p,
		net:     raw,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		buffer:  make([]byte, readBuffer),
		streams: map[uint32]*stream{},
	}
	c.out = newOutbox(c.kick)
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Now()) })
	err = c.handshake(p.client.opts.Secret)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = raw.Close()
		return nil, errs.Wrap(err, errs.KindOf(err), errs.Remedy(err), "handshake with %s", p.address)
	}
	return c, nil
}

func (c *clientConn) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *clientConn) handshake(secret []byte) error {
	if err := c.net.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	challenge, err := c.readOne(kindChallenge)
	if err != nil {
		return err
	}
	hello, err := newHello(secret, challenge)
	if err != nil {
		return err
	}
	if _, err = c.net.Write(frame{kindHello, 0, hello}.append(nil)); err != nil {
		return err
	}
	welcome, err := c.readOne(kindWelcome)
	if err != nil {
		return err
	}
	if err = checkWelcome(secret, challenge, hello, welcome); err != nil {
		return err
	}
	return c.net.SetDeadline(time.Time{})
}

// readOne reads exactly one frame of the handshake and returns a copy of its payload.
func (c *clientConn) readOne(want kind) ([]byte, error) {
	data := make([]byte, headerSize+bounds[want].most)
	if _, err := io.ReadFull(c.net, data); err != nil {
		return nil, err
	}
	f, _, err := parse(data)
	if err != nil {
		return nil, err
	}
	if f.kind != want || len(f.payload) != bounds[want].most {
		return nil, badFrame("the handshake has a frame of type %d, not %d", f.kind, want)
	}
	return f.payload, nil
}

// run reads and writes until the connection ends.
func (c *clientConn) run(stale bool) {
	if stale {
		c.fail(ErrTruncated)
		return
	}
	// Retired connections are not in the pool any more, so the pool can't close them.
	stop := context.AfterFunc(c.pool.client.ctx, func() { c.fail(ErrTruncated) })
	defer stop()
	c.pool.client.wg.Go(c.writeAll)
	c.fail(c.readAll())
}

func (c *clientConn) readAll() (err error) {
	defer func() {
		if p := recover(); p != nil { // The error of the streams carries it into the log of their requests.
			err = errs.New(errs.Internal, "Report the stack.", "reading from the server panicked: %v\n%s", p, debug.Stack())
		}
	}()
	var silence prober
	for {
		interval := c.await(silence.unanswered > 0)
		waiting := time.Now()
		n, err := c.net.Read(c.buffer)
		if n > 0 {
			silence.heard()
			if c.suspect.Load() {
				c.suspect.Store(false)
			}
			if err := c.frames.feed(c.buffer[:n], c.receive); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if err := c.probe(&silence, interval, time.Since(waiting)); err != nil {
				return err
			}
		default:
			return err
		}
	}
}

// await sets the read deadline and returns the time until then: a connection without streams and unanswered probes has no answer to wait
// for, and a retired one without streams is closed at once.
func (c *clientConn) await(probed bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	interval := probeInterval
	if len(c.streams)+c.reserved == 0 {
		switch {
		case c.retired:
			interval = 0
		case !probed:
			interval = idleInterval // A stream that starts from here on shortens it.
		}
	}
	c.setReadDeadline(interval)
	return interval
}

// setReadDeadline sets the read deadline. A closed connection fails the read. The caller holds mu.
func (c *clientConn) setReadDeadline(after time.Duration) {
	c.readDeadline = time.Now().Add(after)
	_ = c.net.SetReadDeadline(c.readDeadline)
}

// prober decides what to do with a silent connection.
type prober struct {
	quiet      time.Duration
	unanswered int
	pauses     int
}

// heard records that something arrived.
func (p *prober) heard() { *p = prober{} }

// silent returns whether to probe the server, and whether the connection is lost. Silence while nothing was asked for says
// nothing, so that only unanswered probes count, also those whose streams have ended: else a connection on which streams are short
// is never found lost. Silence while this process stood still, which took much longer than the interval, says nothing either.
func (p *prober) silent(streams int, interval, took time.Duration) (probe, lost bool) {
	p.quiet += interval
	if streams == 0 && p.unanswered == 0 {
		return false, p.quiet >= maxIdle
	}
	if took > interval+pauseLimit && p.pauses < maxPauses {
		p.pauses++
		return true, false
	}
	if p.unanswered >= maxUnanswered {
		return false, true
	}
	p.unanswered++
	return true, false
}

// probe looks after a connection that has been silent.
func (c *clientConn) probe(silence *prober, interval, took time.Duration) error {
	c.out.trim()
	streams := c.load()
	probe, lost := silence.silent(streams, interval, took)
	switch {
	case lost && streams > 0:
		return errs.New(errs.Unavailable, "", "the server left %d probes unanswered", maxUnanswered)
	case lost || streams == 0 && c.isRetired():
		return errs.New(errs.Unavailable, "", "the connection is idle")
	case probe:
		if silence.unanswered > suspectAfter && !c.suspect.Swap(true) {
			c.pool.replaceSuspect()
		}
		return c.out.control(frame{kind: kindPing})
	}
	return nil
}

func (c *clientConn) writeAll() {
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		written := 0
		data, err := c.out.take(maxTaken)
		if err == nil && len(data) > 0 {
			written, err = c.net.Write(data)
		}
		if err != nil {
			// Answers that arrived before the loss are still to be read, so that the reader ends the streams that were sent.
			c.out.fail(err)
			c.retire()
			c.failUnsent(append(unwrittenHeads(data, written), c.out.waitingHeads()...), err)
			return
		}
	}
}

// failUnsent ends streams whose heads have not been sent.
func (c *clientConn) failUnsent(ids []uint32, err error) {
	for _, id := range ids {
		c.mu.Lock()
		s := c.streams[id]
		c.mu.Unlock()
		if s != nil && c.remove(id) {
			s.fail(notSent(err))
		}
	}
}

func (c *clientConn) receive(f frame) error {
	switch f.kind {
	case kindPong:
		return nil
	case kindGoAway:
		c.retire()
		return nil
	case kindResponse, kindData, kindEnd, kindReset, kindCredit:
	default:
		return badFrame("a server sent a frame of type %d", f.kind)
	}
	c.mu.Lock()
	s := c.streams[f.stream]
	c.mu.Unlock()
	if s == nil {
		return nil // A late frame of a finished stream.
	}
	return c.receiveForStream(s, f)
}

func (c *clientConn) receiveForStream(s *stream, f frame) error {
	switch f.kind {
	case kindResponse:
		head := &wire.ResponseHead{}
		if err := proto.Unmarshal(f.payload, head); err != nil {
			return badFrame("the head of an answer can't be decoded: %v", err)
		}
		return s.deliverHead(head)
	case kindData:
		return s.deliver(f.payload)
	case kindEnd:
		c.remove(s.id)
		s.finish()
		s.stopSending(io.ErrClosedPipe)
	case kindReset:
		c.remove(s.id)
		s.fail(ErrTruncated)
	case kindCredit:
		return s.addCredit(creditOf(f))
	}
	return nil
}

// open reserves a stream, or returns nil if the connection has no room.
func (c *clientConn) open() *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.retired || len(c.streams)+c.reserved >= maxStreams {
		return nil
	}
	c.reserved++
	return newStream(0, c.out)
}

// start sends the head of a stream that open returned. After an error no byte of it was handed over.
func (c *clientConn) start(s *stream, first kind, head []byte) error {
	err := c.out.start(s, first, head, func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.err != nil {
			return c.err
		}
		c.reserved--
		c.streams[s.id] = s
		if time.Until(c.readDeadline) > probeInterval { // A later deadline would look like a standstill of this process.
			c.setReadDeadline(probeInterval)
		}
		return nil
	})
	if err != nil {
		c.mu.Lock()
		c.reserved--
		c.mu.Unlock()
		c.pool.room()
		return err
	}
	if s.id >= lastStream {
		c.retire()
	}
	return nil
}

// remove reports whether the stream was still open.
func (c *clientConn) remove(id uint32) bool {
	c.mu.Lock()
	_, open := c.streams[id]
	delete(c.streams, id)
	full := len(c.streams)+c.reserved == maxStreams-1
	idle := c.retired && len(c.streams)+c.reserved == 0
	c.mu.Unlock()
	if open && full {
		c.pool.room()
	}
	if open && idle {
		_ = c.net.SetReadDeadline(time.Now()) // Lets the reader close the connection.
	}
	return open
}

// isOpen reports whether the stream may still get an answer.
func (c *clientConn) isOpen(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id] != nil
}

func (c *clientConn) load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams) + c.reserved
}

func (c *clientConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// retire takes no new streams and lets the running ones finish.
func (c *clientConn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.pool.remove(c)
}

// fail closes the connection and ends its streams.
func (c *clientConn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	streams := c.streams
	c.streams = map[uint32]*stream{}
	c.mu.Unlock()
	close(c.done)
	c.pool.remove(c)
	lost := fmt.Errorf("%w: the connection to %s was lost: %w", ErrTruncated, c.pool.address, err)
	c.out.fail(lost)
	for _, id := range c.out.waitingHeads() {
		if s := streams[id]; s != nil {
			s.fail(notSent(lost))
		}
	}
	for _, s := range streams {
		s.fail(lost)
	}
	_ = c.net.Close()
}
