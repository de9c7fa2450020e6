package control

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/routing"
)

type metrics struct {
	renewalsSent, renewalsAnswered, revocations, registrations, overflows, platformCalls metric.Int64Counter

	loopLag      metric.Float64Histogram
	registration metric.Registration
}

func newMetrics(c clock.Clock, lease *routing.Lease) metrics {
	meter := otel.Meter("citronvane/control")
	counter := func(name, description string) metric.Int64Counter {
		// The API returns a no-op instrument with an error, so the error needs no handling.
		i, _ := meter.Int64Counter(name, metric.WithDescription(description))
		return i
	}
	m := metrics{
		renewalsSent:     counter("citronvane.lease.renewals.sent", "Renewals sent to grantors"),
		renewalsAnswered: counter("citronvane.lease.renewals.answered", "Grants received from grantors"),
		revocations:      counter("citronvane.control.revocations", "Records of other incarnations that this node revoked"),
		registrations:    counter("citronvane.control.registrations", "Incarnations that this node registered"),
		overflows:        counter("citronvane.control.events.dropped", "Events dropped because the queue was full"),
		platformCalls:    counter("citronvane.control.platform.writes", "Writes by purpose and outcome"),
	}
	m.loopLag, _ = meter.Float64Histogram("citronvane.control.loop.lag", metric.WithUnit("s"),
		metric.WithDescription("Delay of the control loop behind its timer"))
	remaining, _ := meter.Float64ObservableGauge("citronvane.lease.remaining", metric.WithUnit("s"),
		metric.WithDescription("Time until the lease of this node runs out, at most an hour"))
	m.registration, _ = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		left := min(time.Hour, lease.End().Sub(c.Now()))
		o.ObserveFloat64(remaining, max(0, left).Seconds())
		return nil
	}, remaining)
	return m
}

func (m *metrics) close() {
	if m.registration != nil {
		_ = m.registration.Unregister()
	}
}

func (m *metrics) sent()     { m.renewalsSent.Add(context.Background(), 1) }
func (m *metrics) answered() { m.renewalsAnswered.Add(context.Background(), 1) }
func (m *metrics) overflow() { m.overflows.Add(context.Background(), 1) }

func (m *metrics) lag(d time.Duration) { m.loopLag.Record(context.Background(), d.Seconds()) }

// observe counts the outcomes of writes.
func (m *metrics) observe(e Event) {
	done, ok := e.(WriteDone)
	if !ok {
		return
	}
	m.platformCalls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("purpose", string(done.Write.Purpose)), attribute.String("error", string(errs.KindOf(done.Err)))))
	if done.Err != nil {
		return
	}
	switch done.Write.Purpose {
	case Register:
		m.registrations.Add(context.Background(), 1)
	case Revoke:
		m.revocations.Add(context.Background(), 1)
	}
}
