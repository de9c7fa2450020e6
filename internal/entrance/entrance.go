// Package entrance serves callers over HTTP.
package entrance

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/wire"
)

// Options are the parts that the entrance works with.
type Options struct {
	Node             string
	AvailabilityZone string
	Table            *routing.Table
	Relay            relay.Doer
	Local            relay.Handler
	Logger           *log.Logger
}

// Entrance is the handler for callers.
type Entrance struct{ Options }

// New returns an entrance.
func New(o Options) *Entrance { return &Entrance{Options: o} }

// RetryPermille returns the retry ratio; this first version never retries.
func (e *Entrance) RetryPermille() uint32 { return 0 }

// HeardRetryPermille takes the retry ratio of another node.
func (e *Entrance) HeardRetryPermille(string, uint32) {}

// ServeHTTP sends the request to its owner.
func (e *Entrance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer("citronvane/entrance").Start(ctx, "entrance")
	defer span.End()
	view := e.Table.Load().View
	routed, err := view.Configuration.Document.Route(r)
	if err != nil {
		answer.As(err).Write(w)
		return
	}
	node, head, refusal := e.choose(view, routed, r)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	head.Traceparent = carrier["traceparent"]
	e.send(ctx, w, r, node, head)
}

func (e *Entrance) choose(view *cluster.View, routed config.Routed, r *http.Request) (*cluster.Node, *wire.RequestHead, *answer.Refusal) {
	head := &wire.RequestHead{
		Service: routed.Service, Key: routed.Key, Slice: -1, Method: r.Method, Path: r.URL.RequestURI(),
		TimeoutMs: routed.Spec.MaxRequest.Std().Milliseconds(), Priority: string(routed.Priority),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), ContentLength: r.ContentLength, Entrance: e.Node,
	}
	for name, values := range r.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	if routed.Spec.Kind == config.Keyed {
		id := cluster.SliceOf(routed.Service, routed.Key, routed.Spec.Slices)
		slice, _ := view.Slice(id)
		head.Slice, head.Epoch = int32(id.Index), slice.Epoch
		owner := view.Node(slice.Owner)
		if owner == nil || owner.Gone() {
			return nil, nil, answer.Refuse(answer.NoOwner, "slice %s has no live owner", id).After(100 * time.Millisecond)
		}
		return owner, head, nil
	}
	var nodes []*cluster.Node
	for _, n := range view.Nodes {
		if n.Serves(routed.Service) {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) == 0 {
		return nil, nil, answer.Refuse(answer.NoOwner, "service %s has no live target", routed.Service)
	}
	return nodes[rand.IntN(len(nodes))], head, nil
}

func (e *Entrance) send(ctx context.Context, w http.ResponseWriter, r *http.Request, node *cluster.Node, head *wire.RequestHead) {
	request := &relay.Request{Head: head, Body: r.Body}
	if node.ID == e.Table.Load().Self {
		local := &writer{w}
		if err := e.Local.ServeRelay(ctx, request, local); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	response, err := e.Relay.Do(ctx, node.Addresses.Relay, request)
	if errors.Is(err, relay.ErrNotSent) {
		answer.Refuse(answer.NoOwner, "node %s can't be reached", node.ID.Name).Write(w)
		return
	}
	if err != nil {
		answer.Refuse(answer.OutcomeUnknown, "node %s did not answer", node.ID.Name).Write(w)
		return
	}
	defer func() { _ = response.Body.Close() }()
	out := &writer{w}
	_ = out.WriteHead(response.Head)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writer adapts an HTTP answer to the relay's interface.
type writer struct{ http.ResponseWriter }

func (w *writer) WriteHead(head *wire.ResponseHead) error {
	for _, h := range head.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.WriteHeader(int(head.GetStatus()))
	return nil
}
