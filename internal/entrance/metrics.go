package entrance

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Answer kinds of metrics and spans besides the kinds of package answer.
const (
	kindTarget    = "target"
	kindTruncated = "truncated"
	kindAbandoned = "abandoned"
)

type metrics struct {
	requests metric.Int64Counter
	retries  metric.Int64Counter
	hedges   metric.Int64Counter
	latency  metric.Float64Histogram
}

func newMetrics() (*metrics, error) {
	meter := otel.Meter("citronvane/entrance")
	var m metrics
	var failures [4]error
	m.requests, failures[0] = meter.Int64Counter("citronvane.entrance.requests", metric.WithDescription("requests by service and kind of answer"))
	m.retries, failures[1] = meter.Int64Counter("citronvane.entrance.retries", metric.WithDescription("requests that were sent again"))
	m.hedges, failures[2] = meter.Int64Counter("citronvane.entrance.hedges", metric.WithDescription("second copies of slow requests"))
	m.latency, failures[3] = meter.Float64Histogram("citronvane.entrance.latency", metric.WithUnit("s"), metric.WithDescription("time until the answer was delivered"))
	return &m, errors.Join(failures[:]...)
}

func (m *metrics) request(ctx context.Context, service, kind string, latency time.Duration) {
	set := metric.WithAttributeSet(attribute.NewSet(attribute.String("service", service), attribute.String("answer", kind)))
	m.requests.Add(ctx, 1, set)
	m.latency.Record(ctx, latency.Seconds(), set)
}

func (m *metrics) retry(ctx context.Context, service string) {
	m.retries.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service)))
}

func (m *metrics) hedge(ctx context.Context, service string) {
	m.hedges.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service)))
}
