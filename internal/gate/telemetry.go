package gate

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	instrumentationName = "citronvane/gate"
	traceparentKey      = "traceparent"
)

var (
	traceContext = propagation.TraceContext{}
	// tracer delegates to the tracer provider that the process installs at startup.
	tracer = otel.Tracer(instrumentationName)
)

// startSpan starts the server span as a child of the trace context in the request head.
func startSpan(ctx context.Context, head *wire.RequestHead) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{traceparentKey: head.GetTraceparent()}
	return startSpanOfKind(traceContext.Extract(ctx, carrier), "gate", trace.SpanKindServer, head)
}

func startTargetSpan(ctx context.Context, head *wire.RequestHead) (context.Context, trace.Span) {
	return startSpanOfKind(ctx, "target", trace.SpanKindClient, head)
}

// startSpanOfKind builds the attributes only if the span is recorded, because most spans are not.
func startSpanOfKind(ctx context.Context, name string, kind trace.SpanKind, head *wire.RequestHead) (context.Context, trace.Span) {
	ctx, span := tracer.Start(ctx, name, trace.WithSpanKind(kind))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("citronvane.service", head.GetService()),
			attribute.String("http.request.method", head.GetMethod()),
			attribute.Int("citronvane.slice", int(head.GetSlice())),
		)
	}
	return ctx, span
}

// traceparent returns the traceparent header that propagates the trace context to the target.
func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	traceContext.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

func kindAttribute(kind answer.Kind) attribute.KeyValue {
	return attribute.String("citronvane.answer", string(kind))
}

// metrics holds the metric instruments of a Gate.
type metrics struct {
	refusals      metric.Int64Counter
	targetLatency metric.Float64Histogram
	registration  metric.Registration
}

func newMetrics(g *Gate) (*metrics, error) {
	meter := otel.Meter(instrumentationName)
	m := &metrics{}
	var err error
	m.refusals, err = meter.Int64Counter("citronvane.gate.refusals", metric.WithDescription("Requests that the gate answered itself, by kind."))
	if err != nil {
		return nil, err
	}
	m.targetLatency, err = meter.Float64Histogram("citronvane.gate.target.latency", metric.WithUnit("s"), metric.WithDescription("Time until the head of the target's answer."))
	if err != nil {
		return nil, err
	}
	return m, m.registerGauges(meter, g)
}

// registerGauges registers gauges for the admission controller and for the number of idempotency records.
func (m *metrics) registerGauges(meter metric.Meter, g *Gate) error {
	names := []string{"running", "queued", "limit", "identities"}
	gauges := make([]metric.Int64ObservableGauge, len(names))
	observables := make([]metric.Observable, len(names))
	for i, name := range names {
		gauge, err := meter.Int64ObservableGauge("citronvane.gate." + name)
		if err != nil {
			return err
		}
		gauges[i], observables[i] = gauge, gauge
	}
	registration, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := g.admission.Stats()
		for i, value := range []int{s.Running, s.Waiting, s.Limit, g.identityRecordCount()} {
			o.ObserveInt64(gauges[i], int64(value))
		}
		return nil
	}, observables...)
	m.registration = registration
	return err
}

func (g *Gate) identityRecordCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	records, _ := g.identities.Size()
	return records
}

func (m *metrics) close() error { return m.registration.Unregister() }

func (m *metrics) recordRefusal(kind answer.Kind) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(kindAttribute(kind)))
}

func (m *metrics) recordTargetLatency(ctx context.Context, latency time.Duration) {
	m.targetLatency.Record(ctx, latency.Seconds())
}
