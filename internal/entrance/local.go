package entrance

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/wire"
)

// localDoer calls the gate of this node without a connection. Its answers look like those of other nodes.
type localDoer struct {
	gate relay.Handler
}

// Do returns when the gate has written the head of its answer. The address is not used. None of its
// errors wraps relay.ErrNotSent, because the gate may have run the request.
func (d localDoer) Do(ctx context.Context, _ string, req *relay.Request) (*relay.Response, error) {
	reader, writer := io.Pipe()
	w := &localWriter{pipe: writer, head: make(chan *wire.ResponseHead, 1)}
	failed := make(chan error, 1)
	gateCtx, cancel := ctx, context.CancelFunc(func() {})
	if ms := req.Head.GetTimeoutMs(); ms > 0 {
		gateCtx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	go func() {
		defer cancel()
		err := d.serve(gateCtx, req, w)
		if !w.started {
			failed <- err
			return
		}
		if err == nil {
			err = w.err
		}
		if err != nil {
			err = fmt.Errorf("%w: %w", relay.ErrTruncated, err)
		}
		_ = writer.CloseWithError(err) // It always returns nil.
	}()
	stop := context.AfterFunc(ctx, func() { _ = reader.CloseWithError(context.Cause(ctx)) })
	body := &localBody{reader, stop}
	select {
	case head := <-w.head:
		return &relay.Response{Head: head, Body: body}, nil
	case err := <-failed:
		return localFailure(err, body)
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (d localDoer) serve(ctx context.Context, req *relay.Request, w relay.ResponseWriter) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("entrance: the gate panicked: %v\n%s", p, debug.Stack())
		}
	}()
	return d.gate.ServeRelay(ctx, req, w)
}

// localFailure turns an error before the head into an answer if it is a refusal.
func localFailure(err error, body io.Closer) (*relay.Response, error) {
	_ = body.Close() // It always returns nil.
	refusal := answer.As(err)
	if refusal == nil {
		return nil, fmt.Errorf("%w: the gate gave no answer: %w", relay.ErrTruncated, err)
	}
	return relay.Refusal(refusal), nil
}

type localBody struct {
	*io.PipeReader
	stop func() bool
}

// Close ends the gate's writes.
func (b *localBody) Close() error {
	b.stop()
	return b.PipeReader.Close()
}

// localWriter passes the gate's answer on.
type localWriter struct {
	pipe    *io.PipeWriter
	head    chan *wire.ResponseHead
	started bool
	err     error
}

// WriteHead passes the head on.
func (w *localWriter) WriteHead(head *wire.ResponseHead) error {
	if w.started {
		return fmt.Errorf("entrance: the gate gave two answers")
	}
	w.started = true
	w.head <- head
	return nil
}

// Write blocks until the caller took the bytes.
func (w *localWriter) Write(p []byte) (int, error) {
	n, err := w.pipe.Write(p)
	if w.err == nil {
		w.err = err
	}
	return n, err
}
