package relay

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/citronvane/citronvane/internal/wire"
)

// chunk holds received body bytes. Small frames share a chunk, so that many tiny frames can't make
// the buffers of a stream larger than its window and one chunk.
type chunk struct {
	buf        [maxData]byte
	start, end int
}

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// stream is one side of a request and its answer.
type stream struct {
	id  uint32
	out *outbox
	// stopped says that nothing more may be sent.
	stopped atomic.Bool

	mu      sync.Mutex
	changed sync.Cond

	received []*chunk
	size     int
	consumed int // bytes read since the last credit frame
	whole    bool
	readErr  error

	credit  int
	sendErr error

	head *wire.ResponseHead // at the client
}

func newStream(id uint32, out *outbox) *stream {
	s := &stream{id: id, out: out, credit: InitialCredit}
	s.changed.L = &s.mu
	return s
}

// deliver stores body bytes. It never blocks; a sender that ignores the window breaks the protocol.
func (s *stream) deliver(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.whole || s.readErr != nil {
		return nil
	}
	if s.size+len(p) > window {
		return badFrame("stream %d exceeds its window", s.id)
	}
	s.size += len(p)
	if n := len(s.received); n > 0 {
		last := s.received[n-1]
		fits := copy(last.buf[last.end:], p)
		last.end += fits
		p = p[fits:]
	}
	if len(p) > 0 {
		c := chunks.Get().(*chunk)
		c.start, c.end = 0, copy(c.buf[:], p)
		s.received = append(s.received, c)
	}
	s.changed.Broadcast()
	return nil
}

// finish marks the received body as whole.
func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readErr == nil {
		s.whole = true
	}
	s.changed.Broadcast()
}

// deliverHead stores the head of the answer. A second one breaks the protocol.
func (s *stream) deliverHead(head *wire.ResponseHead) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head != nil {
		return badFrame("stream %d has two answers", s.id)
	}
	s.head = head
	s.changed.Broadcast()
	return nil
}

// awaitHead waits for the head of the answer.
func (s *stream) awaitHead() (*wire.ResponseHead, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.head == nil && s.readErr == nil && !s.whole {
		s.changed.Wait()
	}
	if s.head != nil {
		return s.head, nil
	}
	if s.readErr != nil {
		return nil, s.readErr
	}
	return nil, ErrTruncated
}

// hasHead reports whether the head of the answer has arrived.
func (s *stream) hasHead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head != nil
}

// addCredit allows the stream to send n more bytes.
func (s *stream) addCredit(n uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > window || s.credit+int(n) > window {
		return badFrame("stream %d has more credit than its window", s.id)
	}
	s.credit += int(n)
	s.changed.Broadcast()
	return nil
}

// truncate ends the received body with err, after the bytes that arrived before.
func (s *stream) truncate(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readErr == nil && !s.whole {
		s.readErr = err
	}
	s.changed.Broadcast()
}

// stopSending ends the own body with err.
func (s *stream) stopSending(err error) {
	s.mu.Lock()
	if s.sendErr == nil {
		s.sendErr = err
	}
	s.stopped.Store(true)
	s.changed.Broadcast()
	s.mu.Unlock()
	s.out.wake()
}

// fail ends both directions with err.
func (s *stream) fail(err error) {
	s.truncate(err)
	s.stopSending(err)
}

// discard frees the bytes that nobody will read.
func (s *stream) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readErr == nil {
		s.readErr = io.ErrClosedPipe
	}
	for _, c := range s.received {
		chunks.Put(c)
	}
	s.received, s.size = nil, 0
	s.changed.Broadcast()
}

func (s *stream) sendError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sendErr
}

// Read returns body bytes in order, and io.EOF only after the whole body.
func (s *stream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	s.mu.Lock()
	for s.size == 0 && s.readErr == nil && !s.whole {
		s.changed.Wait()
	}
	if s.size == 0 {
		defer s.mu.Unlock()
		if s.readErr != nil {
			return 0, s.readErr
		}
		return 0, io.EOF
	}
	n := s.consume(p)
	credit := 0
	if s.consumed >= creditStep && !s.whole && s.readErr == nil {
		credit, s.consumed = s.consumed, 0
	}
	s.mu.Unlock()
	if credit > 0 {
		_ = s.out.control(creditFrame(s.id, credit)) // A lost connection ends the stream by itself.
	}
	return n, nil
}

func (s *stream) consume(p []byte) int {
	n := 0
	for n < len(p) && len(s.received) > 0 {
		c := s.received[0]
		m := copy(p[n:], c.buf[c.start:c.end])
		n += m
		c.start += m
		if c.start < c.end {
			break
		}
		chunks.Put(c)
		s.received[0] = nil
		s.received = s.received[1:]
	}
	s.size -= n
	s.consumed += n
	return n
}

// Write sends body bytes and blocks while the receiver is slower.
func (s *stream) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n, err := s.spend(min(len(p)-sent, maxData))
		if err != nil {
			return sent, err
		}
		if err := s.out.send(s, frame{kindData, s.id, p[sent : sent+n]}); err != nil {
			return sent, err
		}
		sent += n
	}
	return sent, nil
}

// spend waits for credit and takes up to n bytes of it.
func (s *stream) spend(n int) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.credit == 0 && s.sendErr == nil {
		s.changed.Wait()
	}
	if s.sendErr != nil {
		return 0, s.sendErr
	}
	n = min(n, s.credit)
	s.credit -= n
	return n, nil
}
