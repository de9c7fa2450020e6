package relay

import (
	"sync"

	"github.com/citronvane/citronvane/internal/errs"
)

const (
	// softPending is where senders of heads and bodies start to wait for the connection.
	softPending = 1 << 20
	// hardPending bounds what control frames, which never wait, may add for a peer that reads nothing.
	hardPending = softPending + 2<<20
	// maxTaken is the number of bytes after which a client stops taking, at the end of a frame. What has been taken can't be withdrawn
	// any more.
	maxTaken = 32 << 10
)

// outbox collects frames until the connection writes them, several at a time under load.
type outbox struct {
	mu        sync.Mutex
	drained   sync.Cond
	pending   []byte
	spare     []byte
	taken     int // bytes at the start of pending that have been taken
	scheduled bool
	used      bool // since the last trim
	err       error
	lastID    uint32 // identity of the last stream that start sent
	// kick asks the connection to call take. It is called without the lock, and not again before take.
	kick func()
}

func newOutbox(kick func()) *outbox {
	o := &outbox{kick: kick}
	o.drained.L = &o.mu
	return o
}

// send adds frames of a stream and waits while the connection is slower. After an error no byte of
// the frames was handed over.
func (o *outbox) send(s *stream, frames ...frame) error {
	o.mu.Lock()
	o.await(s)
	if s.stopped.Load() {
		o.mu.Unlock()
		return s.sendError()
	}
	return o.add(frames...)
}

// start gives the stream its identity, calls register and adds the head. All of it happens under one
// lock, because heads must be sent in the order of their identities.
func (o *outbox) start(s *stream, k kind, head []byte, register func() error) error {
	o.mu.Lock()
	o.await(s)
	if s.stopped.Load() {
		o.mu.Unlock()
		return s.sendError()
	}
	if o.err != nil {
		defer o.mu.Unlock()
		return o.err
	}
	s.id = o.lastID + 1
	if err := register(); err != nil {
		o.mu.Unlock()
		return err
	}
	o.lastID = s.id
	return o.add(frame{k, s.id, head})
}

// await waits until the connection has room, fails or the stream stops. It needs the lock.
func (o *outbox) await(s *stream) {
	for o.waiting() >= softPending && o.err == nil && !s.stopped.Load() {
		o.drained.Wait()
	}
}

// control adds frames without waiting.
func (o *outbox) control(frames ...frame) error {
	o.mu.Lock()
	if o.waiting() >= hardPending && o.err == nil {
		o.err = errs.New(errs.Unavailable, "Check why the peer does not read.", "relay: the peer reads nothing")
	}
	return o.add(frames...)
}

// add needs the lock and releases it.
func (o *outbox) add(frames ...frame) error {
	if o.err != nil {
		err := o.err
		o.mu.Unlock()
		return err
	}
	for _, f := range frames {
		o.pending = f.append(o.pending)
	}
	wake := !o.scheduled
	o.scheduled = true
	o.mu.Unlock()
	if wake {
		o.kick()
	}
	return nil
}

// take returns collected bytes, or nothing. They are valid until the next call. It ends with the frame that reaches the limit, and asks
// for another call if it leaves some.
func (o *outbox) take(limit int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduled = false
	if o.err != nil {
		return nil, o.err
	}
	o.used = true
	if o.taken >= softPending { // Frees what has been written, though the outbox is never empty.
		o.pending, o.spare, o.taken = append(o.spare[:0], o.pending[o.taken:]...), o.pending, 0
	}
	data := o.pending[o.taken:]
	if len(data) <= limit {
		o.pending, o.spare, o.taken = o.spare[:0], o.pending, 0
	} else {
		end := 0
		for end < limit {
			end += frameSize(data[end:])
		}
		data = data[:end]
		o.taken += end
	}
	if len(data) > 0 {
		o.drained.Broadcast()
	}
	if o.waiting() > 0 {
		o.scheduled = true
		o.kick()
	}
	return data, nil
}

// waiting returns the number of bytes that have not been taken. It needs the lock.
func (o *outbox) waiting() int { return len(o.pending) - o.taken }

// frameSize returns the size of the whole frame at the start of data.
func frameSize(data []byte) int {
	return headerSize + (int(data[5])<<16 | int(data[6])<<8 | int(data[7]))
}

// withdraw removes the frames of a stream and reports whether the peer gets none of them, because its head had not been taken.
func (o *outbox) withdraw(id uint32) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	withdrawn := false
	kept := o.pending[:o.taken]
	for rest := o.pending[o.taken:]; len(rest) > 0; {
		size := frameSize(rest)
		f, _, _ := parse(rest[:size]) // add has written whole frames.
		if f.stream == id && (f.kind == kindRequest || f.kind == kindBodiless) {
			withdrawn = true
		}
		if !withdrawn || f.stream != id {
			kept = append(kept, rest[:size]...)
		}
		rest = rest[size:]
	}
	o.pending = kept
	return withdrawn
}

// waitingHeads returns the identities of the streams whose heads have not been taken.
func (o *outbox) waitingHeads() []uint32 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return unwrittenHeads(o.pending[o.taken:], 0)
}

// unwrittenHeads returns the identities of the streams whose heads are not whole within the written bytes of data, which consists of
// whole frames.
func unwrittenHeads(data []byte, written int) []uint32 {
	var ids []uint32
	for end := 0; end < len(data); {
		start := end
		end += frameSize(data[start:])
		if end <= written {
			continue
		}
		f, _, _ := parse(data[start:end]) // add has written whole frames.
		if f.kind == kindRequest || f.kind == kindBodiless {
			ids = append(ids, f.stream)
		}
	}
	return ids
}

// trim frees the buffers of a connection that sent nothing since the last call. Buffers that are
// kept under load save most of the allocations of large bodies.
func (o *outbox) trim() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.used && len(o.pending) == 0 {
		o.pending, o.spare = nil, nil
	}
	o.used = false
}

// size returns the number of bytes that wait for the connection.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waiting()
}

// fail makes all later calls return err.
func (o *outbox) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
	}
	o.drained.Broadcast()
}

// wake lets senders look at their streams again.
func (o *outbox) wake() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drained.Broadcast()
}
