package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that closes connections which callers still use, and against one that waits for
// connections that nobody uses until its time is over.
func TestConnectionsAreAwaited(t *testing.T) {
	var open connections
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/leave" {
			w.Header().Set("Connection", "close")
		}
	}))
	server.Config.ConnState = open.track
	server.Start()
	defer server.Close()
	get := func(path string) {
		response, err := server.Client().Get(server.URL + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}

	get("/stay")
	require.EqualValues(t, 1, open.open.Load())
	started := time.Now()
	open.awaitNone(t.Context())
	require.GreaterOrEqual(t, time.Since(started), lingerTimeout)

	go func() {
		time.Sleep(lingerTimeout / 4)
		get("/leave")
	}()
	started = time.Now()
	open.awaitNone(t.Context())
	require.Less(t, time.Since(started), lingerTimeout)
	require.Zero(t, open.open.Load())
}
