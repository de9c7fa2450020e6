package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/wire"
)

// Request is a request that is passed to the host's own target.
type Request struct {
	Method  string
	Path    string // with the query
	Headers []*wire.Header
	Service string
	// Key, Slice and Epoch are sent for keyed services only; Slice is negative for pooled ones.
	Key            string
	Slice          int32
	Epoch          uint64
	IdempotencyKey string
	Traceparent    string
	// Body is nil for a request without a body.
	Body io.Reader
	// ContentLength is the length of the body, -1 if it is unknown.
	ContentLength int64
	// Check runs when a connection is ready, right before the first byte of the request may be written. If it
	// returns an error, nothing is written.
	Check func() error
}

// Response is an answer of the target whose body is still arriving. Body must be closed.
type Response struct {
	Head *wire.ResponseHead
	Body io.ReadCloser
}

// Runner passes requests to the target of this host.
type Runner interface {
	// Run returns when the head of the answer has arrived. Every error is a *RunError.
	Run(ctx context.Context, req *Request) (*Response, error)
}

// RunError says why a request has no answer.
type RunError struct {
	// Kind is the answer that fits. Its properties say whether the request certainly did not run.
	Kind answer.Kind
	// Err is the cause. It wraps the error of Request.Check if that refused the request.
	Err error
}

// Error returns the kind and the cause.
func (e *RunError) Error() string { return string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// NotRun reports whether the request certainly did not run.
func (e *RunError) NotRun() bool {
	p, _ := answer.PropertiesOf(e.Kind)
	return p.NotRun
}

// HTTPRunner is the Runner over HTTP/1.1. It never sends a request twice.
type HTTPRunner struct {
	current atomic.Pointer[endpoint]
}

// endpoint is one incarnation of the target.
type endpoint struct {
	info      cluster.TargetInfo
	transport *http.Transport
}

var errNoTarget = errors.New("no target has announced itself on this host")

// Use directs new requests to the announced target. It does nothing if the target is in use already.
func (r *HTTPRunner) Use(info cluster.TargetInfo) {
	info.Down = false
	old := r.current.Load()
	if old != nil && old.info == info {
		return
	}
	r.current.Store(&endpoint{info: info, transport: newTransport(info.Connections)})
	if old != nil {
		old.transport.CloseIdleConnections()
	}
}

// Close closes idle connections and refuses new requests.
func (r *HTTPRunner) Close() {
	if old := r.current.Swap(nil); old != nil {
		old.transport.CloseIdleConnections()
	}
}

// Run passes the request to the target.
func (r *HTTPRunner) Run(ctx context.Context, req *Request) (*Response, error) {
	e := r.current.Load()
	if e == nil {
		return nil, &RunError{Kind: answer.TargetDown, Err: errNoTarget}
	}
	a := &attempt{check: req.Check}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	out, err := buildRequest(traced, e.info.Address, req)
	if err != nil {
		return nil, &RunError{Kind: answer.BadRequest, Err: err}
	}
	resp, err := e.transport.RoundTrip(out)
	if err != nil {
		return nil, a.failure(ctx, err)
	}
	if reason, refused := refusalReason(resp); refused {
		_ = resp.Body.Close() // The body of a refusal isn't used.
		return nil, &RunError{Kind: kindOfReason(reason), Err: fmt.Errorf("the target refused the request: %s", reason)}
	}
	return &Response{Head: responseHead(resp), Body: resp.Body}, nil
}

// attempt follows one request through the transport.
type attempt struct {
	check    func() error
	conn     *trackedConn
	mark     uint64
	checkErr error
}

// gotConn is called by the transport, in the goroutine of RoundTrip, before it writes the request.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	a.conn = conn
	a.mark = conn.mark()
	if a.check == nil {
		return
	}
	if a.checkErr = a.check(); a.checkErr != nil {
		conn.seal(a.mark)
	}
}

// failure classifies an error of RoundTrip. Sealing the connection proves that no byte can still be
// written, even if the transport's writer has not noticed the failure.
func (a *attempt) failure(ctx context.Context, err error) *RunError {
	if a.conn != nil && !a.conn.seal(a.mark) {
		return &RunError{Kind: answer.OutcomeUnknown, Err: fmt.Errorf("the request was handed to the target: %w", err)}
	}
	if a.checkErr != nil {
		return a.refusedByCheck()
	}
	if ctx.Err() != nil {
		return &RunError{Kind: answer.Deadline, Err: fmt.Errorf("nothing was written to the target: %w", err)}
	}
	return &RunError{Kind: answer.TargetDown, Err: fmt.Errorf("nothing was written to the target: %w", err)}
}

func (a *attempt) refusedByCheck() *RunError {
	if refusal := answer.As(a.checkErr); refusal != nil {
		return &RunError{Kind: refusal.Kind, Err: a.checkErr}
	}
	return &RunError{Kind: answer.TargetRefused, Err: a.checkErr}
}

// refusalReason returns the reason of a target that did not run the request.
func refusalReason(resp *http.Response) (string, bool) {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusConflict {
		return "", false
	}
	reason := resp.Header.Get(answer.NotRunHeader)
	return reason, reason != ""
}

func kindOfReason(reason string) answer.Kind {
	switch kind := answer.Kind(reason); kind {
	case answer.Shed, answer.Cold, answer.Draining:
		return kind
	}
	return answer.TargetRefused
}
