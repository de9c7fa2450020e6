package store

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/citronvane/citronvane/internal/errs"
)

const meterName = "citronvane/platform"

// meters counts calls by operation, with the outcome as an attribute.
type meters [opWatch + 1]metric.Int64Counter

var counterNames = [opWatch + 1]string{
	opRead:  "citronvane.platform.reads",
	opWrite: "citronvane.platform.writes",
	opWatch: "citronvane.platform.watches",
}

func newMeters() (meters, error) {
	var m meters
	meter := otel.Meter(meterName)
	for op, name := range counterNames {
		counter, err := meter.Int64Counter(name, metric.WithUnit("{call}"),
			metric.WithDescription("Calls to the platform by outcome."))
		if err != nil {
			return m, err
		}
		m[op] = counter
	}
	return m, nil
}

func (m meters) count(ctx context.Context, op operation, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(errs.KindOf(err))
	}
	m[op].Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
