// Package telemetry sets up OpenTelemetry metrics and traces for a process.
package telemetry

import (
	"context"
	"errors"
	"net/http"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/settings"
)

// Telemetry owns the providers of the process.
type Telemetry struct {
	registry *prometheus.Registry
	meters   *metric.MeterProvider
	tracers  *trace.TracerProvider
	file     *os.File
}

// Start installs the global meter and tracer providers and the W3C trace context propagator.
func Start(ctx context.Context, s settings.Telemetry, service, instance string) (*Telemetry, error) {
	t := &Telemetry{registry: prometheus.NewRegistry()}
	described := resource.NewSchemaless(
		attribute.String("service.name", service),
		attribute.String("service.instance.id", instance),
	)
	reader, err := exporter.New(exporter.WithRegisterer(t.registry))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "Report this fault.", "metrics exporter")
	}
	t.meters = metric.NewMeterProvider(metric.WithReader(reader), metric.WithResource(described))
	spans, err := t.spanExporter(ctx, s)
	if err != nil {
		return nil, err
	}
	options := []trace.TracerProviderOption{
		trace.WithResource(described),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(s.SampleRatio))),
	}
	if spans != nil {
		options = append(options, trace.WithBatcher(spans))
	}
	t.tracers = trace.NewTracerProvider(options...)
	otel.SetMeterProvider(t.meters)
	otel.SetTracerProvider(t.tracers)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return t, nil
}

func (t *Telemetry) spanExporter(ctx context.Context, s settings.Telemetry) (trace.SpanExporter, error) {
	switch s.Traces {
	case "file":
		file, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "Set telemetry.trace_file to a file that can be written.", "trace file")
		}
		t.file = file
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case "otlp":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Endpoint), otlptracehttp.WithInsecure())
		return exporter, errs.Wrap(err, errs.Invalid, "Check telemetry.endpoint.", "trace exporter")
	}
	return nil, nil
}

// Handler serves the metrics in the Prometheus text format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Stop exports what is still buffered.
func (t *Telemetry) Stop(ctx context.Context) error {
	err := errors.Join(t.tracers.Shutdown(ctx), t.meters.Shutdown(ctx))
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	return err
}
