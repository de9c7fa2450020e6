package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/upstream"
)

// latencyBounds are the buckets of the latency histograms in seconds, around the objectives of 0.1 to 1.2 s.
var latencyBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8}

// metrics holds the node's metric instruments. Label values come from fixed sets and from the configured routes, which bounds
// their cardinality.
type metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	storeUp  atomic.Bool

	requests, refusals, storeCalls, heartbeats, rangeMoves, retries, paceProbes, panics, tenantRequests, quotaCalls, endedCallers, nestedCalls metric.Int64Counter
	configsApplied, operatorReads, restores                                                                                                    metric.Int64Counter
	latency, runDuration                                                                                                                       metric.Float64Histogram
	configVersion                                                                                                                              metric.Int64Gauge
}

func newMetrics() (*metrics, error) {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.storeUp.Store(true)
	reader, err := exporter.New(exporter.WithRegisterer(m.registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "Report this fault.", "metrics")
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(reader))
	meter := m.provider.Meter("citronvane/sidecar")
	var instrumentErrs []error
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description))
		instrumentErrs = append(instrumentErrs, err)
		return c
	}
	histogram := func(name, description string) metric.Float64Histogram {
		h, err := meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(latencyBounds...))
		instrumentErrs = append(instrumentErrs, err)
		return h
	}
	m.requests = counter("citronvane.requests", "requests by route and outcome")
	m.refusals = counter("citronvane.refusals", "requests that were refused without having run, by place and reason")
	m.storeCalls = counter("citronvane.store.calls", "calls to the store by call and outcome")
	m.heartbeats = counter("citronvane.heartbeats", "heartbeats of the target by outcome")
	m.rangeMoves = counter("citronvane.ranges.moved", "changes of ranges written by this node, by service")
	m.paceProbes = counter("citronvane.pace.questions", "questions to the target how long work takes at this moment, by outcome")
	m.retries = counter("citronvane.repeats", "requests sent once more, by reason")
	m.tenantRequests = counter("citronvane.tenant.requests", "requests by tenant and outcome; few tenants are named, the others count as other")
	m.quotaCalls = counter("citronvane.quota.calls", "calls to allotters for tokens, by outcome")
	m.nestedCalls = counter("citronvane.nested.calls", "requests that the host's target makes while it runs others, by rank: of their route, or of less urgent work")
	m.panics = counter("citronvane.panics", "panics that were contained, by task")
	m.endedCallers = counter("citronvane.callers.ended", "connections and requests of callers that were refused or ended because of the bounds on callers, by reason")
	m.configsApplied = counter("citronvane.config.applied", "configurations that took effect, by source: store, poll, report or node")
	m.restores = counter("citronvane.store.restores", "returns of the store from a copy that this node has seen")
	m.operatorReads = counter("citronvane.operator.reads", "reads of the operator's objects, by reason and outcome")
	m.configVersion, err = meter.Int64Gauge("citronvane.config.version", metric.WithDescription("version of the configuration in force, 0 if there is none"))
	instrumentErrs = append(instrumentErrs, err)
	m.latency = histogram("citronvane.request.duration", "time from the request to its answer at the entrance")
	m.runDuration = histogram("citronvane.run.duration", "time that the host's target took")
	return m, errors.Join(instrumentErrs...)
}

// Handler serves the metrics in the Prometheus text format.
func (m *metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func label(key, value string) attribute.KeyValue { return attribute.String(key, value) }

func (m *metrics) recordRequest(route, outcome string, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(label("route", route), label("outcome", outcome)))
	m.latency.Record(ctx, took.Seconds())
}

func (m *metrics) countRefusal(place, reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(label("place", place), label("reason", reason)))
}

func (m *metrics) countStoreCall(call, outcome string) {
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(label("call", call), label("outcome", outcome)))
}

func (m *metrics) recordConfig(source configSource, version uint64) {
	m.configsApplied.Add(context.Background(), 1, metric.WithAttributes(label("source", string(source))))
	m.configVersion.Record(context.Background(), int64(version))
}

func (m *metrics) countRestore() { m.restores.Add(context.Background(), 1) }

func (m *metrics) countOperatorRead(reason readReason, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(errs.KindOf(err))
	}
	m.operatorReads.Add(context.Background(), 1, metric.WithAttributes(label("reason", string(reason)), label("outcome", outcome)))
}

func (m *metrics) countTenantRequest(tenant, outcome string) {
	m.tenantRequests.Add(context.Background(), 1, metric.WithAttributes(label("tenant", tenant), label("outcome", outcome)))
}

func (m *metrics) countQuotaCall(outcome string) {
	m.quotaCalls.Add(context.Background(), 1, metric.WithAttributes(label("outcome", outcome)))
}

func (m *metrics) countPanic(task string) {
	m.panics.Add(context.Background(), 1, metric.WithAttributes(label("task", task)))
}

func (m *metrics) countEndedCallers(reason string, n int64) {
	m.endedCallers.Add(context.Background(), n, metric.WithAttributes(label("reason", reason)))
}

func (m *metrics) countHeartbeat(outcome string) {
	m.heartbeats.Add(context.Background(), 1, metric.WithAttributes(label("outcome", outcome)))
}

func (m *metrics) countRangeMoves(service string, n int) {
	m.rangeMoves.Add(context.Background(), int64(n), metric.WithAttributes(label("service", service)))
}

func (m *metrics) countRetry(reason string) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(label("reason", reason)))
}

func (m *metrics) countCall(lessUrgent bool) {
	rank := "route"
	if lessUrgent {
		rank = "work"
	}
	m.nestedCalls.Add(context.Background(), 1, metric.WithAttributes(label("rank", rank)))
}

func (m *metrics) countPaceProbe(err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.paceProbes.Add(context.Background(), 1, metric.WithAttributes(label("outcome", outcome)))
}

func (m *metrics) recordRun(_ string, took time.Duration, err error) {
	outcome := "answered"
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		outcome = "not_sent"
	case errors.Is(err, upstream.ErrBroken):
		outcome = "broken"
	case err != nil:
		outcome = "left"
	}
	m.runDuration.Record(context.Background(), took.Seconds(), metric.WithAttributes(label("outcome", outcome)))
}
