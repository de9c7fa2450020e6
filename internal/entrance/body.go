package entrance

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
)

// maxBuffered is the size up to which a body is kept, so that the request can be sent again.
const maxBuffered = 64 << 10

// body is the body of a caller's request: either in memory, or a stream that can be read once.
type body struct {
	length   int64 // -1 if unknown
	buffered []byte
	stream   *onceReader
	control  *http.ResponseController
}

// onceReader remembers whether anybody has read from it.
type onceReader struct {
	io.Reader
	used atomic.Bool
	done atomic.Bool
}

// Read marks the stream as used.
func (r *onceReader) Read(p []byte) (int, error) {
	r.used.Store(true)
	n, err := r.Reader.Read(p)
	if err != nil {
		r.done.Store(true)
	}
	return n, err
}

// readBody reads the body into memory if it is small. The deadline bounds callers that send slowly.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time, bound int64) (*body, *answer.Refusal) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	if r.ContentLength > bound {
		return nil, answer.Refuse(answer.TooLarge, "the body has %d bytes, more than %d", r.ContentLength, bound)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // Without support for it, only the caller bounds the time.
	limited := http.MaxBytesReader(w, r.Body, bound)
	start, err := io.ReadAll(io.LimitReader(limited, maxBuffered+1))
	if err != nil {
		return nil, bodyRefusal(err, bound)
	}
	if len(start) <= maxBuffered {
		_ = control.SetReadDeadline(time.Time{}) // Else the server takes the passed deadline for a caller that left.
		return &body{length: int64(len(start)), buffered: start}, nil
	}
	// Else the server stops reading the body when the answer begins, and cuts the request off.
	_ = control.EnableFullDuplex() // HTTP/2 needs no switch for it.
	stream := &onceReader{Reader: io.MultiReader(bytes.NewReader(start), limited)}
	return &body{length: r.ContentLength, stream: stream, control: control}, nil
}

func bodyRefusal(err error, bound int64) *answer.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return answer.Refuse(answer.TooLarge, "the body has more than %d bytes", bound)
	}
	return answer.Refuse(answer.BadRequest, "the body can't be read: %v", err)
}

// reader returns the body for one attempt, nil if there is none.
func (b *body) reader() io.Reader {
	switch {
	case b.stream != nil:
		return b.stream
	case len(b.buffered) > 0:
		return bytes.NewReader(b.buffered)
	}
	return nil
}

// atHand reports whether the whole body can be sent again.
func (b *body) atHand() bool { return b.stream == nil || !b.stream.used.Load() }

// close unblocks an attempt that still reads from the caller.
func (b *body) close() {
	if b.stream != nil && !b.stream.done.Load() {
		_ = b.control.SetReadDeadline(time.Now()) // Without support for it, the read ends with the connection.
	}
}
