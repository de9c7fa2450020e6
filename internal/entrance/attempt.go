package entrance

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/wire"
)

// attempt is one copy of a request under way to a node.
type attempt struct {
	response *relay.Response
	err      error
	node     *cluster.Node // of a hedged request
	release  func()
}

// close gives the answer up if it is not whole, and stops counting the attempt.
func (a *attempt) close() {
	if a.response != nil {
		_ = a.response.Body.Close() // The answer is not needed any more.
	}
	if a.release != nil {
		a.release()
		a.release = nil
	}
}

// notSent reports whether the error proves that the request did not reach the node.
func (a *attempt) notSent() bool { return errors.Is(a.err, relay.ErrNotSent) }

// send passes the request to the node and returns when the head of the answer has arrived.
func (s *session) send(ctx context.Context, snapshot *routing.Snapshot, node *cluster.Node, epoch uint64) *outcome {
	doer, address := relay.Doer(s.local), ""
	span := trace.SpanFromContext(ctx)
	end := func() {}
	if node.ID != snapshot.Self {
		doer, address = s.opts.Relay, node.Addresses.Relay
		ctx, span = s.tracer.Start(ctx, "relay", trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("node", node.ID.String())))
		end = func() { span.End() }
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	counter := s.counter(node.ID.Name)
	counter.Add(1)
	ctx, cancel := context.WithCancelCause(ctx)
	started := time.Now()
	o := &outcome{}
	o.release = func() {
		cancel(nil)
		counter.Add(-1)
		end()
	}
	stop := func() {}
	if s.request.keyed() && s.request.idempotent {
		stop = s.watchOwner(ctx, node.ID, cancel)
	}
	o.response, o.err = doer.Do(ctx, address, &relay.Request{
		Head: s.request.head(s.opts.Name, epoch, carrier),
		Body: s.request.body.reader(),
	})
	stop()
	if o.err != nil {
		span.SetStatus(codes.Error, o.err.Error())
	} else {
		o.kind = kindOf(o.response.Head)
	}
	if !s.request.keyed() {
		s.observe(ctx, node.ID.Name, o, time.Since(started))
	}
	return o
}

func (h *Handler) counter(node string) *atomic.Int64 {
	if c, ok := h.inFlight.Load(node); ok {
		return c.(*atomic.Int64)
	}
	c, _ := h.inFlight.LoadOrStore(node, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// kindOf returns the kind of a refusal, empty for the target's own answer. A kind that this version
// does not know is treated as one that may have run.
func kindOf(head *wire.ResponseHead) answer.Kind {
	for _, h := range head.GetHeaders() {
		if http.CanonicalHeaderKey(h.GetName()) == answer.KindHeader {
			return answer.Kind(h.GetValue())
		}
	}
	return ""
}
