package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/target"
)

// Headers of the stand-in's own protocol with its callers.
const (
	// HeaderRequestID names a request; the answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderChecksum holds the checksum of the answer's body.
	HeaderChecksum = "X-Checksum"
	// HeaderTarget names the target that answered.
	HeaderTarget = "X-Target"
	// HeaderCrash ends the process of the target that runs the request.
	HeaderCrash = "X-Crash"
)

const (
	maxRequestBytes = 16 << 20
	maxAnswerBytes  = 64 << 20
	// maxDeadline keeps deadlines within time.Duration.
	maxDeadline = 24 * time.Hour
)

// request is what the target needs to know about a request.
type request struct {
	entry    Entry
	keyed    bool
	deadline time.Duration // negative for none
	body     []byte
	answer   answerOptions
	crash    bool
}

// ServeHTTP takes a request from the node.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderTarget, t.options.Name)
	if id := r.Header.Get(HeaderRequestID); id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	arrived := time.Now()
	t.thaw()
	req, err := readRequest(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := t.limit(r.Context(), req, arrived)
	defer cancel()
	if err := t.serve(ctx, req); err != nil {
		writeFailure(w, err)
		return
	}
	writeAnswer(w, r, req)
}

// limit returns the context under which the request waits and works. The deadline counts from the
// arrival of the request.
func (t *Target) limit(ctx context.Context, req *request, arrived time.Time) (context.Context, context.CancelFunc) {
	b := t.Behaviour()
	if !b.Cancellation {
		ctx = context.WithoutCancel(ctx)
	}
	if b.Deadlines && req.deadline >= 0 {
		return context.WithDeadlineCause(ctx, arrived.Add(req.deadline), errDeadline)
	}
	return context.WithCancel(ctx)
}

// serve runs the request. A refusal means that it had no effect.
func (t *Target) serve(ctx context.Context, req *request) error {
	if r := t.refuse(); r != "" {
		return r
	}
	if !t.allowed(req) {
		return refusal(reasonFenced)
	}
	if err := t.admit(ctx); err != nil {
		return waitFailure(err)
	}
	defer func() { <-t.slots }()
	// The grant may have ended while the request waited.
	if !t.allowed(req) {
		return refusal(reasonFenced)
	}
	sequence := t.journal.begin(req.entry, t.options.Clock.Now())
	if req.crash {
		t.options.Exit(ExitCrashed)
	}
	err := t.work(ctx)
	t.thaw()
	return t.conclude(sequence, req, err)
}

// waitFailure turns a passed deadline into a refusal, because the request has not run.
func waitFailure(err error) error {
	if errors.Is(err, errDeadline) {
		return refusal(reasonShed)
	}
	return err
}

// conclude checks the grant again and records how the run ended.
func (t *Target) conclude(sequence uint64, req *request, err error) error {
	outcome := Completed
	switch {
	case !t.allowed(req):
		// The check refuses the effect of a run whose grant is over, whether or not its work was stopped before.
		outcome = Fenced
		if err == nil {
			err = refusal(reasonFenced)
		}
	case err != nil:
		outcome = Cancelled
	}
	t.journal.end(sequence, outcome, t.options.Clock.Now())
	return err
}

// allowed checks a request for a key against the grant.
func (t *Target) allowed(req *request) bool {
	if !t.options.Fenced || !req.keyed {
		return true
	}
	return t.grants.allows(req.entry.Slice, req.entry.Epoch, t.options.Clock.Now())
}

func readRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	req := &request{
		entry: Entry{
			RequestID: r.Header.Get(HeaderRequestID),
			Service:   r.Header.Get(target.HeaderService),
			Key:       r.Header.Get(target.HeaderKey),
			Identity:  r.Header.Get(target.HeaderIdentity),
			Method:    r.Method,
			Path:      r.URL.Path,
			Slice:     -1,
		},
		keyed:    r.Header.Get(target.HeaderKey) != "",
		deadline: -1,
		crash:    r.Header.Get(HeaderCrash) != "",
	}
	if err := req.readHeaders(r.Header); err != nil {
		return nil, err
	}
	options, err := readAnswerOptions(r.URL.Query())
	if err != nil {
		return nil, err
	}
	req.answer = options
	req.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return nil, fmt.Errorf("read the body: %w", err)
	}
	return req, nil
}

func (req *request) readHeaders(h http.Header) error {
	if text := h.Get(target.HeaderSlice); text != "" {
		slice, err := strconv.Atoi(text)
		if err != nil || slice < 0 {
			return fmt.Errorf("header %s is %q", target.HeaderSlice, text)
		}
		req.entry.Slice = slice
	}
	if text := h.Get(target.HeaderEpoch); text != "" {
		epoch, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("header %s is %q", target.HeaderEpoch, text)
		}
		req.entry.Epoch = epoch
	}
	if text := h.Get(target.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
			return fmt.Errorf("header %s is %q", target.HeaderDeadline, text)
		}
		req.deadline = time.Duration(ms) * time.Millisecond
	}
	return nil
}

func writeFailure(w http.ResponseWriter, err error) {
	var r refusal
	switch {
	case errors.As(err, &r):
		w.Header().Set(answer.NotRunHeader, string(r))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, errDeadline):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	default:
		// Nobody waits for the answer, or the target fell over: the connection ends without one.
		panic(http.ErrAbortHandler)
	}
}
