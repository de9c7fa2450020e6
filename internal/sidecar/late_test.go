package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// Guards against immediate refusal of retries that arrive while their key is being handed over, because their latency objective
// has already passed.
func TestLateRequestWaitsForKey(t *testing.T) {
	g := newIdleNode(t).gate
	keyWait := func(elapsed time.Duration) time.Duration {
		j, refused, err := g.newJob(&wire.RequestHead{Service: "s", Key: "1", ObjectiveMs: 1000, TimeoutMs: 3000, ElapsedMs: elapsed.Milliseconds()}, nil)
		require.NoError(t, err)
		require.Nil(t, refused)
		return j.keyWaitDeadline().Sub(j.arrived)
	}
	require.Equal(t, 600*time.Millisecond, keyWait(0))
	require.Equal(t, 300*time.Millisecond, keyWait(2*time.Second))
}

// Guards against requests that reach a target with a few milliseconds left, time out there and end with an unknown outcome.
func TestRequestNearDeadlineIsRefused(t *testing.T) {
	n, _ := pacedNode(t)
	config, err := platform.DecodeConfig([]byte(`{"version":"r1","routes":{"a":{"host":"x","path_prefix":"/","kind":"safe","timeout_ms":1000,
		"target_latency_ms":500,"service":"s","max_attempts":2}},"services":{"s":{"cold_per_s":1}},"limits":{}}`))
	require.NoError(t, err)
	n.state.config.Store(config)
	parse := func(remainingMs int) *refusal {
		r := httptest.NewRequest(http.MethodGet, "http://x/y", nil)
		r.Header = standin.CallerHeader("1", remainingMs)
		_, refused := n.entrance.parseRequest(n.clock.Now(), httptest.NewRecorder(), r)
		return refused
	}
	require.Nil(t, parse(60))
	refused := parse(15)
	require.NotNil(t, refused)
	require.Equal(t, answer.Deadline, refused.kind)
}
