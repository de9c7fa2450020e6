package store_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/store/standin"
)

// Guards against calls that do not show in the metrics by which a client's share of the limits is watched.
func TestCallsAreCountedByOutcome(t *testing.T) {
	reader := sdkmetric.NewManualReader()
	otel.SetMeterProvider(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)))
	p := standin.New(0)
	client := newStore(t, store.HTTPOptions{URL: serve(t, standin.Handler(p))})
	_, _ = client.Get(t.Context(), "node", "a")
	_, _ = client.Put(t.Context(), "node", "a", nil, 0)
	_, _ = client.Put(t.Context(), "node", "a", nil, 0)
	_, _, _ = client.Watch(t.Context(), 0, 0)

	var collected metricdata.ResourceMetrics
	require.NoError(t, reader.Collect(t.Context(), &collected))
	counts := map[string]int64{}
	for _, m := range collected.ScopeMetrics[0].Metrics {
		for _, point := range m.Data.(metricdata.Sum[int64]).DataPoints {
			outcome, _ := point.Attributes.Value("outcome")
			counts[m.Name+" "+outcome.AsString()] = point.Value
		}
	}
	require.Equal(t, map[string]int64{
		"citronvane.platform.reads not_found": 1, "citronvane.platform.writes ok": 1,
		"citronvane.platform.writes conflict": 1, "citronvane.platform.watches ok": 1,
	}, counts)
}
