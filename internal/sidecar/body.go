package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/memory"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// bodyPieceBytes is the size in which bodies are reserved and read. What is not read yet stays with the sender.
	bodyPieceBytes = 32 << 10
	// firstPieceBytes is the first piece of a body of unknown length; most are small.
	firstPieceBytes = 4 << 10
	// streamBytes is what a streamed body takes at the entrance: the copy buffers, and the relay's credit in both send buffers of the
	// connection to the other node.
	streamBytes = 2*bodyPieceBytes + 2*relay.InitialCredit
	// relayWindowBytes is what the relay holds of a body that is not read, with the copy buffer of its reader.
	relayWindowBytes = relay.InitialCredit + bodyPieceBytes
	// memoryWait bounds how long a body waits unread for room in the memory account, relayMemoryWait the same for one from another node,
	// of which the relay reads up to relayWindowBytes meanwhile.
	memoryWait      = 500 * time.Millisecond
	relayMemoryWait = 150 * time.Millisecond
	// slotStallTime is how long the next bytes of a streamed body may take while others wait for the target. The relay notices a lost
	// node sooner.
	slotStallTime = 3 * time.Second
	// chunkOverhead and chunkOverheadRatio bound the bytes on the wire of a chunked body: chunkOverhead and chunkOverheadRatio times the
	// body. The cost of a body in one-byte chunks is six times its size on the wire.
	chunkOverhead      = 1 << 20
	chunkOverheadRatio = 2
)

var (
	errBodyTooLarge = errors.New("the body exceeds the limit")
	errChunksTiny   = errors.New("the body's chunks are too small")
	errBodyStalled  = errors.New("the body arrives too slowly")
)

// bodyMemoryRefusal refuses a request whose body has no room. It has not run.
func bodyMemoryRefusal() *refusal { return &refusal{answer.Shed, memoryRetryAfter, "body_memory"} }

// heldBody is a body in memory, in pieces. The zero value is an empty one.
type heldBody struct {
	pieces [][]byte
	length int64
}

// contiguous returns the body as one slice if it is in one piece.
func (b *heldBody) contiguous() ([]byte, bool) {
	switch len(b.pieces) {
	case 0:
		return nil, true
	case 1:
		return b.pieces[0], true
	}
	return nil, false
}

func (b *heldBody) add(piece []byte) {
	if len(piece) > 0 {
		b.pieces = append(b.pieces, piece)
		b.length += int64(len(piece))
	}
}

// reader returns a new reader of the body, nil for an empty one.
func (b *heldBody) reader() io.Reader {
	if b.length == 0 {
		return nil
	}
	return &heldReader{body: b, rest: b.pieces}
}

// heldReader reads a heldBody.
type heldReader struct {
	body   *heldBody
	rest   [][]byte
	offset int
}

// Read implements io.Reader.
func (r *heldReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest[0][r.offset:])
	if r.offset += n; r.offset == len(r.rest[0]) {
		r.rest, r.offset = r.rest[1:], 0
	}
	return n, nil
}

// WriteTo implements io.WriterTo without a buffer.
func (r *heldReader) WriteTo(w io.Writer) (int64, error) {
	sent := int64(0)
	for len(r.rest) > 0 {
		n, err := w.Write(r.rest[0][r.offset:])
		sent += int64(n)
		if err != nil {
			return sent, err
		}
		r.rest, r.offset = r.rest[1:], 0
	}
	return sent, nil
}

// readHeldBody reads a body of the given length, -1 if unknown, up to maxBufferedBody. Each piece is reserved before it is read. It
// returns a refusal if there is no room, and whole as false if the body goes on behind maxBufferedBody.
func readHeldBody(ctx context.Context, body io.Reader, length int64, hold *memory.Hold, wait time.Duration) (b heldBody, whole bool, refused *refusal, err error) {
	for next := int64(firstPieceBytes); b.length != length; next = bodyPieceBytes {
		if length < 0 && b.length >= maxBufferedBody {
			return b, false, nil, nil
		}
		if length >= 0 {
			next = min(length-b.length, bodyPieceBytes)
		} else {
			next = min(next, maxBufferedBody-b.length)
		}
		if !reservePiece(ctx, hold, next, b.length, &wait) {
			return b, false, bodyMemoryRefusal(), nil
		}
		piece := make([]byte, next)
		n, err := fill(piece, body)
		b.add(piece[:n])
		switch {
		case err == nil || b.length == length:
		case length < 0 && err == io.EOF:
			return b, true, nil, nil
		default:
			return b, false, nil, err
		}
	}
	return b, true, nil, nil
}

// fill reads until the piece is full. Unlike io.ReadFull it returns the reader's own error, which tells the end of a body from one that
// broke off.
func fill(piece []byte, from io.Reader) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = from.Read(piece[n:])
		n += more
	}
	if n == len(piece) && err == io.EOF {
		err = nil
	}
	return n, err
}

// reservePiece reserves the next piece and reduces wait by the time waited. The first piece may take the part of the account that is kept
// for small requests.
func reservePiece(ctx context.Context, hold *memory.Hold, next, read int64, wait *time.Duration) bool {
	if read == 0 && hold.TryReserve(next) || hold.TryReserveLarge(next) {
		return true
	}
	began := time.Now()
	defer func() { *wait -= time.Since(began) }()
	return hold.Reserve(ctx, next, *wait)
}

// callerBody is the body of a caller's request, read within the bounds on size and chunks.
type callerBody struct {
	io.ReadCloser
	conn *callerConn
	// hold is what the request holds, nil once the body is streamed by another goroutine.
	hold *memory.Hold
	// left is the number of bytes within the configured limit.
	left           int64
	wireBefore     int64
	read           int64
	length         int64
	exceeded, tiny atomic.Bool
}

// newCallerBody wraps the body of the request. maxBody is the configured limit, 0 for none.
func newCallerBody(r *http.Request, conn *callerConn, hold *memory.Hold, maxBody int64) *callerBody {
	b := &callerBody{ReadCloser: r.Body, conn: conn, hold: hold, left: maxBody, length: r.ContentLength}
	if maxBody <= 0 {
		b.left = 1 << 62
	}
	if conn != nil {
		b.wireBefore = conn.read.bytes.Load()
		conn.bodyPending.Store(true)
	}
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch b.left -= int64(n); {
	case b.left < 0:
		b.exceeded.Store(true)
		return 0, errBodyTooLarge
	case b.length < 0 && b.conn != nil && b.conn.read.bytes.Load()-b.wireBefore > chunkOverhead+chunkOverheadRatio*b.read:
		b.tiny.Store(true)
		return 0, errChunksTiny
	}
	if b.conn != nil {
		if b.hold != nil {
			b.conn.held.Store(b.hold.Bytes())
		}
		if errors.Is(err, io.EOF) || b.read == b.length {
			b.conn.bodyPending.Store(false)
		} else if err != nil && endReason(b.conn.ended.Load()) != notEnded {
			err = fmt.Errorf("%w: %w", errBodyStalled, err)
		}
	}
	return n, err
}

// failure returns the refusal of a request whose body can't be read. It must not have been sent on whole.
func (b *callerBody) failure() *refusal {
	switch {
	case b.exceeded.Load():
		return &refusal{answer.TooLarge, 0, "body_too_large"}
	case b.tiny.Load():
		return &refusal{answer.BadRequest, 0, "chunks_tiny"}
	case b.conn != nil && endReason(b.conn.ended.Load()) == endedStalled:
		return &refusal{answer.BodyTimeout, 0, "body_stalled"}
	case b.conn != nil && endReason(b.conn.ended.Load()) == endedForMemory:
		return bodyMemoryRefusal()
	}
	return &refusal{answer.BadRequest, 0, "body_unreadable"}
}

// release returns what the request holds.
func (x *exchange) release() {
	x.hold.Release()
	if x.conn != nil {
		x.conn.held.Store(0)
	}
}

// recordHold makes what the request holds known to the choice of the callers that are ended.
func (x *exchange) recordHold() {
	if x.conn != nil {
		x.conn.held.Store(x.hold.Bytes())
	}
}

// closeUnread makes the connection close after the response, without waiting for the rest of a body.
func (x *exchange) closeUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if x.conn != nil && x.conn.bodyPending.Load() {
		x.conn.lingers.Store(true)
		_ = x.conn.SetReadDeadline(time.Unix(1, 0)) // A closed connection needs none.
	}
}

// readBody reads the body up to maxBufferedBody, so that the request can be retried. A larger body is streamed.
func (e *entrance) readBody(r *http.Request, x *exchange) *refusal {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		x.length = 0
		return nil
	}
	maxBody := int64(0)
	if config := e.state.config.Load(); config != nil {
		maxBody = config.Limits.MaxBody
	}
	x.source = newCallerBody(r, x.conn, &x.hold, maxBody)
	if r.ContentLength > maxBufferedBody {
		return x.streamBody(r.Context(), x.source)
	}
	body, whole, refused, err := readHeldBody(r.Context(), x.source, r.ContentLength, &x.hold, memoryWait)
	switch {
	case refused != nil:
		return refused
	case err != nil:
		return x.source.failure()
	case !whole:
		return x.streamBody(r.Context(), io.MultiReader(body.reader(), x.source))
	}
	x.body, x.length = body, body.length
	return nil
}

// streamFailure returns the refusal of a request whose streamed body broke a bound, nil if there is none. The caller learns that the body
// was too large also if a part of it was sent on: the target does not get its end, and a caller must not repeat such a request.
func (x *exchange) streamFailure(w http.ResponseWriter, res *result) *refusal {
	if x.source == nil || res.err == nil && res.refusal == nil {
		return nil
	}
	if x.conn == nil || x.conn.bodyPending.Load() {
		x.closeUnread(w)
	}
	if x.source.exceeded.Load() || x.source.tiny.Load() {
		return x.source.failure()
	}
	return nil
}

// expectBody makes the connection's progress be watched while the body of the request is due, also if nothing reads it but net/http after
// a refusal.
func expectBody(r *http.Request) {
	if c := callerConnOf(r.Context()); c != nil && r.ContentLength != 0 {
		c.bodyPending.Store(true)
	}
}

// streamBody makes the request stream the body.
func (x *exchange) streamBody(ctx context.Context, body io.Reader) *refusal {
	if !x.hold.Reserve(ctx, streamBytes, memoryWait) {
		return bodyMemoryRefusal()
	}
	x.recordHold()
	x.source.hold, x.stream = nil, body
	return nil
}

// bodyReader returns the request's body for one attempt, or nil.
func (x *exchange) bodyReader() io.Reader {
	if x.stream != nil {
		return x.stream
	}
	if data, ok := x.body.contiguous(); ok && len(data) > 0 {
		return bytes.NewReader(data) // The relay sends it without a goroutine.
	}
	return x.body.reader()
}

// localBodyReader returns the request's body for the gate of this host, which shares the memory of a body that is held.
func (x *exchange) localBodyReader() io.Reader {
	if x.stream != nil {
		return x.stream
	}
	return x.body.reader()
}

// reserveResponse reserves room for a response and reports whether it may be held whole. Otherwise it has to be streamed.
func (x *exchange) reserveResponse(length, streamed int64) bool {
	defer x.recordHold()
	if length <= bodyPieceBytes || x.hold.TryReserveLarge(length) {
		return true
	}
	x.hold.Force(min(length, streamed))
	return false
}

// holdBody reads the body of another node's request into memory, unless it is too large for that.
func (g *gate) holdBody(ctx context.Context, head *wire.RequestHead, body io.Reader, hold *memory.Hold) (io.Reader, *refusal) {
	if body == nil {
		return nil, nil
	}
	if head.ContentLength < 0 || head.ContentLength > maxBufferedBody {
		if !hold.Reserve(ctx, relayWindowBytes, relayMemoryWait) {
			return nil, bodyMemoryRefusal()
		}
		return body, nil
	}
	held, _, refused, err := readHeldBody(ctx, body, head.ContentLength, hold, relayMemoryWait)
	if err != nil {
		refused = &refusal{answer.Draining, 0, "body_lost"} // The sender aborted the request; nothing has run.
	}
	if refused != nil {
		return nil, refused
	}
	return held.reader(), nil
}

// slotStream is a streamed body whose run holds a slot of the target.
type slotStream struct {
	io.Reader
	meter waitMeter
}

// Read implements io.Reader.
func (s *slotStream) Read(p []byte) (int, error) {
	began := s.meter.begin()
	n, err := s.Reader.Read(p)
	s.meter.end(began, n)
	return n, err
}

// guardSlot makes the stream of a run end the run when nothing arrives for slotStallTime while others wait for a slot of the target. The
// returned function ends the guard, but not the context, on which the answer may still depend.
func (g *gate) guardSlot(ctx context.Context, j *job) (guarded context.Context, end func()) {
	s := &slotStream{Reader: j.stream}
	j.stream = s
	guarded, cancel := context.WithCancelCause(ctx)
	watch, end := context.WithCancel(ctx)
	go func() {
		for last := monotonicNow(); sleep(watch, progressInterval); {
			now, since := monotonicNow(), s.meter.since.Load()
			late := time.Duration(now-last) > maxCheckDelay // The process stood still; what has arrived meanwhile was not read yet.
			last = now
			if late || since == 0 || time.Duration(now-since) < slotStallTime {
				continue
			}
			if stats, _ := g.dispatch.Stats(); stats.Waiting > 0 {
				cancel(errBodyStalled)
			}
		}
	}()
	return guarded, end
}

// reserveAnswer returns the function that reserves room for the answer of a target. What has no room is streamed, so that it stays with
// the target until its reader takes it.
func reserveAnswer(ctx context.Context) func(bytes int64) bool {
	hold := memory.HoldOf(ctx)
	if hold == nil {
		return nil
	}
	return func(bytes int64) bool {
		if hold.TryReserveLarge(bytes) {
			return true
		}
		hold.Force(bodyPieceBytes)
		return false
	}
}
