package entrance

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/event"
)

// copyBuffer is the size of the buffers between nodes and callers, one frame of the relay.
const copyBuffer = 16 << 10

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

var errShort = errors.New("the answer is shorter than its length")

// deliver writes the result to the caller and returns its kind for the metrics. It panics with
// http.ErrAbortHandler if the answer breaks off, so that the caller never takes it for whole.
func (h *Handler) deliver(w http.ResponseWriter, r *http.Request, q *request, o *outcome) string {
	if o.response != nil && (o.response.Head.GetStatus() < 200 || o.response.Head.GetStatus() > 999) {
		o = o.replace(answer.Refuse(answer.OutcomeUnknown, "the answer has the status %d", o.response.Head.GetStatus()))
	}
	if o.refusal != nil {
		h.report(q, o.refusal)
		o.refusal.Write(w) // Also for a caller that seems gone, because no answer would look like an empty success.
		if abandoned(r) {
			return kindAbandoned
		}
		return string(o.refusal.Kind)
	}
	head := o.response.Head
	copyAnswerHeaders(head, w.Header())
	if head.GetContentLength() >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(head.GetContentLength(), 10))
	}
	w.WriteHeader(int(head.GetStatus()))
	if err := copyBody(w, o.response.Body, q.method, head.GetStatus(), head.GetContentLength()); err != nil {
		if !abandoned(r) {
			h.limit.Do(func() {
				event.EntranceTruncated.On(h.opts.Logger).Str("service", q.routed.Service).Err(err).Send()
			})
		}
		panic(http.ErrAbortHandler)
	}
	if o.kind != "" {
		return string(o.kind)
	}
	return kindTarget
}

func (h *Handler) report(q *request, refusal *answer.Refusal) {
	if refusal.Kind != answer.OutcomeUnknown {
		return
	}
	h.limit.Do(func() {
		event.EntranceUnknown.On(h.opts.Logger).Str("service", q.routed.Service).Str("detail", refusal.Detail).Send()
	})
}

// copyBody passes the body on as it arrives. Bodies of unknown length are flushed after each part,
// because they may be streams of events.
func copyBody(w http.ResponseWriter, body io.Reader, method string, status int32, length int64) error {
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return nil
	}
	buffer := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buffer)
	control := http.NewResponseController(w)
	copied := int64(0)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			copied += int64(n)
			if length < 0 {
				_ = control.Flush() // Without support for it, the server flushes by itself.
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if length >= 0 && copied != length {
		return errShort
	}
	return nil
}
