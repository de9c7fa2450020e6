package sidecar

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cost"
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/settings"
)

// startCostPrediction makes the gate learn and predict the service times of requests, unless the settings turn it off.
func (g *gate) startCostPrediction() {
	if g.settings.CostPrediction == settings.CostPredictionOff {
		return
	}
	g.costs = cost.NewPredictor()
	g.dispatch.Update(func(_ clock.Instant, core *dispatch.Scheduler) { core.SetCostModel(g.costs) })
	if err := g.registerCostMetrics(); err != nil {
		g.log.Warn().Err(err).Msg("the metrics of the cost prediction are missing")
	}
}

// features returns what the cost prediction knows of a request.
func (g *gate) features(j *job) cost.Features {
	if g.costs == nil {
		return cost.Features{}
	}
	return cost.NewFeatures(j.head.Route, j.head.Method, j.head.Path, j.head.CallerService, j.key, j.head.ContentLength)
}

// registerCostMetrics registers the metrics of the cost prediction, which are read when they are scraped.
func (g *gate) registerCostMetrics() error {
	meter := g.metrics.provider.Meter("citronvane/sidecar")
	runs, err := meter.Int64ObservableCounter("citronvane.cost.runs", metric.WithDescription("runs at the host's target by what predicted their cost"))
	if err != nil {
		return err
	}
	routes, err := meter.Int64ObservableGauge("citronvane.cost.routes", metric.WithDescription("routes whose costs are predicted, by what predicts them"))
	if err != nil {
		return err
	}
	changes, err := meter.Int64ObservableCounter("citronvane.cost.changes", metric.WithDescription("features of a route that were taken into use or dropped"))
	if err != nil {
		return err
	}
	errorSums, err := meter.Float64ObservableCounter("citronvane.cost.squared.error", metric.WithDescription("squared errors relative to the route's mean, of the runs with a prediction from features"))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		var c cost.Calibration
		var observed, predicted int
		g.dispatch.Update(func(clock.Instant, *dispatch.Scheduler) {
			c = g.costs.Calibration()
			observed, predicted = g.costs.Routes()
		})
		o.ObserveInt64(runs, int64(c.Predicted), metric.WithAttributes(label("by", "features")))
		o.ObserveInt64(runs, int64(c.Runs-c.Predicted), metric.WithAttributes(label("by", "route")))
		o.ObserveInt64(runs, int64(c.Censored), metric.WithAttributes(label("by", "cut")))
		o.ObserveInt64(routes, int64(predicted), metric.WithAttributes(label("by", "features")))
		o.ObserveInt64(routes, int64(observed-predicted), metric.WithAttributes(label("by", "route")))
		o.ObserveInt64(changes, int64(c.Enabled), metric.WithAttributes(label("to", "features")))
		o.ObserveInt64(changes, int64(c.Disabled), metric.WithAttributes(label("to", "route")))
		o.ObserveFloat64(errorSums, c.PredictionError, metric.WithAttributes(label("of", "features")))
		o.ObserveFloat64(errorSums, c.RouteError, metric.WithAttributes(label("of", "route")))
		return nil
	}, runs, routes, changes, errorSums)
	return err
}
