package replica

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics counts what a follower does with its sources.
type metrics struct {
	followed metric.Int64Counter
	failed   metric.Int64Counter
}

// newMetrics registers the metrics of the replica. An instrument that can't be created records nothing.
func newMetrics(r *Replica) metrics {
	meter := otel.Meter("citronvane/replica")
	_, err := meter.Int64ObservableGauge("citronvane.replica.revision",
		metric.WithDescription("platform revision up to which the node knows all changes"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(r.Revision()))
			return nil
		}))
	report(err)
	followed, err := meter.Int64Counter("citronvane.replica.followed",
		metric.WithDescription("times that the node began to follow a source"))
	report(err)
	failed, err := meter.Int64Counter("citronvane.replica.failed",
		metric.WithDescription("times that following a source failed"))
	report(err)
	return metrics{followed: followed, failed: failed}
}

func report(err error) {
	if err != nil {
		otel.Handle(err)
	}
}

// sourceKind labels a source without its name, so that the number of series stays small.
func sourceKind(s Source) metric.AddOption {
	kind := "peer"
	if s.Platform() {
		kind = "platform"
	}
	return metric.WithAttributes(attribute.String("source", kind))
}
