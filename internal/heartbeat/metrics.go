package heartbeat

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/citronvane/citronvane/internal/errs"
)

type metrics struct {
	out, in, outBytes, inBytes, bad metric.Int64Counter
	renewal, grant                  metric.MeasurementOption
}

func newMetrics() metrics {
	meter := otel.Meter("citronvane/heartbeat")
	counter := func(name, description, unit string) metric.Int64Counter {
		// An instrument that can't be created counts nothing; the API returns a no-op one.
		c, _ := meter.Int64Counter(name, metric.WithDescription(description), metric.WithUnit(unit))
		return c
	}
	return metrics{
		out:      counter("citronvane.heartbeat.sent", "Datagrams sent by kind", "{datagram}"),
		in:       counter("citronvane.heartbeat.received", "Datagrams accepted", "{datagram}"),
		outBytes: counter("citronvane.heartbeat.sent.bytes", "Bytes of datagrams sent", "By"),
		inBytes:  counter("citronvane.heartbeat.received.bytes", "Bytes of datagrams accepted", "By"),
		bad:      counter("citronvane.heartbeat.dropped", "Bad datagrams by error kind", "{datagram}"),
		renewal:  metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", "renewal"))),
		grant:    metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", "grant"))),
	}
}

func (m metrics) sent(kind string, size int) {
	option := m.renewal
	if kind == "grant" {
		option = m.grant
	}
	m.out.Add(context.Background(), 1, option)
	m.outBytes.Add(context.Background(), int64(size))
}

func (m metrics) received(size int) {
	m.in.Add(context.Background(), 1)
	m.inBytes.Add(context.Background(), int64(size))
}

func (m metrics) drop(kind errs.Kind) {
	m.bad.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", string(kind))))
}
