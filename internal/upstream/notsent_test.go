package upstream

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an unknown outcome of a request of which the target got nothing: its context had ended, or its connection was closed
// before the first byte was written.
func TestRequestOfWhichNothingWasWrittenIsNotSent(t *testing.T) {
	c := serve(t, func(_ int, r *http.Request) string { return answerOf(r.Header.Get("Id"), "yes") })
	_, err := c.Do(t.Context(), get("1", false))
	require.NoError(t, err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		_, err = c.Do(ended, get("2", false))
		require.ErrorIs(t, err, ErrNotSent)
		require.ErrorIs(t, err, context.Canceled)
	}
	for _, stream := range []bool{false, true} {
		k, err := c.dial(t.Context())
		require.NoError(t, err)
		require.NoError(t, k.Close())
		r := get("3", false)
		if stream {
			r.Stream, r.Length = strings.NewReader("body"), 4
		}
		_, _, err = k.exchange(r)
		require.ErrorIs(t, err, ErrNotSent)
	}
}
