// Package entrance takes the HTTP requests of callers, finds the node that
// serves them, and brings back the answers. It never checks ownership; the gate
// of the chosen node does.
package entrance

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/retry"
	"github.com/citronvane/citronvane/internal/routing"
)

const (
	healthPath = "/healthz"
	tokenPath  = "/v1/tokens"
)

// Options configures a Handler.
type Options struct {
	// Name is the name of this node, which requests carry as their entrance.
	Name string
	// AvailabilityZone is the one of this node. Its targets are preferred among equals.
	AvailabilityZone string
	Table            *routing.Table
	Relay            relay.Doer
	// Gate serves the requests whose node is this one.
	Gate   relay.Handler
	Clock  clock.Clock
	Budget *retry.Budget
	Logger *log.Logger
}

// Handler is the http.Handler for callers.
type Handler struct {
	opts     Options
	local    localDoer
	tracer   trace.Tracer
	metrics  *metrics
	limit    rate.Sometimes
	inFlight sync.Map // node name to *atomic.Int64
	services sync.Map // service name to *serviceState
	pools    atomic.Pointer[poolIndex]
	suspects suspects
	waiting  atomic.Int64
}

// New returns a handler.
func New(opts Options) (*Handler, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	return &Handler{
		opts:    opts,
		local:   localDoer{gate: opts.Gate},
		tracer:  otel.Tracer("citronvane/entrance"),
		metrics: m,
		limit:   rate.Sometimes{Interval: time.Second},
	}, nil
}

// ServeHTTP answers one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath && r.Method == http.MethodGet {
		h.health(w)
		return
	}
	if h.opts.Table.Load().Draining {
		// The listener closes soon. A request that arrives on an idle connection just as that is
		// closed is cut off, so callers are led away from their connections before.
		w.Header().Set("Connection", "close")
	}
	started := time.Now()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.tracer.Start(ctx, "entrance", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	h.opts.Budget.RecordRequest(h.opts.Clock.Now())

	q, refusal := h.read(w, r)
	service := ""
	if q != nil {
		service = q.routed.Service
	}
	// The measurement is deferred because a truncated answer ends the handler with a panic.
	kind := kindTruncated
	defer func() {
		span.SetAttributes(attribute.String("service", service), attribute.String("answer", kind))
		h.metrics.request(ctx, service, kind, time.Since(started))
	}()
	if refusal != nil {
		kind = string(refusal.Kind)
		refusal.Write(w)
		return
	}
	// The node gets the time until the deadline; its answer about the deadline needs a little longer.
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(answerGrace))
	defer cancel()
	defer q.body.close()
	result := h.perform(ctx, q)
	defer result.close()
	kind = h.deliver(w, r, q, result)
}

// health tells load balancers in front whether to send new callers here.
func (h *Handler) health(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if h.opts.Table.Load().Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("draining\n")) // A prober that is gone needs no answer.
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// read turns an HTTP request into a request for a service.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*request, *answer.Refusal) {
	configuration := h.opts.Table.Load().View.Configuration
	if configuration.Number == 0 {
		// A node that just started takes requests before it has read the objects. "No rule" would
		// tell its callers that another attempt is of no use.
		return nil, answer.Refuse(answer.NoOwner, "the node knows no configuration yet").WithRetryAfter(ownerRetryAfter)
	}
	if r.URL.Path == tokenPath && r.Method == http.MethodPost {
		return readToken(&configuration.Document, w, r)
	}
	return readRequest(&configuration.Document, w, r)
}
