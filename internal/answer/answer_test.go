package answer

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a callers' guide that differs from the responses of the code.
func TestCallersGuideListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/callers.md")
	require.NoError(t, err)
	for kind, p := range Kinds() {
		claim := "no"
		if p.NotRun {
			claim = "yes"
		}
		require.Contains(t, string(page), fmt.Sprintf("| `%s` | %d | %s | %s |\n", kind, p.Status, claim, p.Remedy))
	}
}

// Guards against an automatic retry of a request that may have run.
func TestOnlyRequestsThatDidNotRunAreRetried(t *testing.T) {
	for kind, p := range Kinds() {
		require.False(t, p.Retryable && !p.NotRun, kind)
	}
}

// Guards against a refusal whose status, headers and body contradict each other.
func TestRefusalResponse(t *testing.T) {
	recorder := httptest.NewRecorder()
	Refuse(Moving, "slice %d", 7).WithRetryAfter(1500 * time.Millisecond).Write(recorder)
	require.Equal(t, 503, recorder.Code)
	require.Equal(t, "moving", recorder.Header().Get(KindHeader))
	require.Equal(t, "2", recorder.Header().Get("Retry-After"))
	var p Problem
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &p))
	require.True(t, p.NotRun)
	require.EqualValues(t, 1500, p.RetryAfterMS)
	require.Equal(t, "slice 7", p.Detail)
}
