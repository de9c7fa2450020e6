// Package relay carries request streams between nodes over multiplexed TCP
// connections built on gnet. Answers are matched to requests by stream
// identity, never by order.
package relay

import (
	"context"
	"errors"
	"io"

	"github.com/citronvane/citronvane/internal/wire"
)

// Request is a request on its way to the node that serves it.
type Request struct {
	Head *wire.RequestHead
	// Body is nil for a request without a body.
	Body io.Reader
}

// Response is an answer whose body is still arriving. Body must be closed. A Read returns io.EOF only
// after the whole body arrived, and ErrTruncated if the sender gave up.
type Response struct {
	Head *wire.ResponseHead
	Body io.ReadCloser
}

// ResponseWriter takes the answer to a request.
type ResponseWriter interface {
	// WriteHead starts the answer. It is called once, before any Write.
	WriteHead(head *wire.ResponseHead) error
	// Write blocks while the receiver is slower than the sender.
	Write(p []byte) (int, error)
}

// Handler serves requests. The context ends at the request's deadline, when the caller cancels, and
// when the connection is lost. An error after WriteHead marks the answer as truncated.
type Handler interface {
	ServeRelay(ctx context.Context, req *Request, w ResponseWriter) error
}

// Doer sends a request to the relay address of a node.
type Doer interface {
	// Do returns when the head of the answer has arrived. For an error that wraps ErrNotSent the
	// request certainly did not reach the node.
	Do(ctx context.Context, address string, req *Request) (*Response, error)
}

// NotRun is the error of a handler whose request has certainly not run. Its head is the whole answer. Unlike a head that the handler
// writes, it is also sent after the context of the request has ended.
type NotRun struct{ Head *wire.ResponseHead }

// Error implements error.
func (*NotRun) Error() string { return "the request has not run" }

var (
	// ErrNotSent means that the connection did not send the whole head of the request, so that the node can't have run it.
	ErrNotSent = errors.New("request was not sent")
	// ErrWithdrawn means that the request was given up while it waited for the connection to send. It comes with ErrNotSent.
	ErrWithdrawn = errors.New("request was withdrawn before it was sent")
	// ErrTruncated means that the answer ended before it was whole.
	ErrTruncated = errors.New("answer was truncated")
)
