package entrance

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/citronvane/citronvane/internal/relay"
)

// Guards against traces that break between the caller, the entrance and the next node.
func TestSpansContinueTheCallersTrace(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	defer otel.SetTracerProvider(before)
	f := newFixture(t, func(context.Context, int, call) (*relay.Response, error) { return ok("x"), nil })
	_, _, _, err := f.do("GET", "/booking/k", "", "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	require.NoError(t, err)
	f.server.Close() // Waits until the handler has ended its span.
	spans := recorder.Ended()
	require.Len(t, spans, 2)
	hop, entrance := spans[0], spans[1]
	require.Equal(t, "relay", hop.Name())
	require.Equal(t, "entrance", entrance.Name())
	require.Equal(t, "b7ad6b7169203331", entrance.Parent().SpanID().String())
	require.Equal(t, entrance.SpanContext().SpanID(), hop.Parent().SpanID())
	require.Contains(t, f.calls[0].head.Traceparent, "0af7651916cd43dd8448eb211c80319c-"+hop.SpanContext().SpanID().String())
}
