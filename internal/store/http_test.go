package store_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/store/standin"
)

func newStore(t *testing.T, o store.HTTPOptions) *store.HTTPStore {
	t.Helper()
	client, err := store.NewHTTPStore(o)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a write that was never sent being reported as one that may have taken effect, which
// would make callers wait for a read-back that an outage prevents.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())

	_, err = newStore(t, store.HTTPOptions{URL: url}).Put(t.Context(), "node", "a", []byte("{}"), 0)
	require.Equal(t, errs.Unavailable, errs.KindOf(err), "%v", err)
}

// Guards against a write that reached the platform being reported as having had no effect: on a fresh
// and on a reused connection, after a time-out, and with a status that does not prove a refusal.
func TestWriteWithoutAnswerIsOutcomeUnknown(t *testing.T) {
	release := make(chan struct{})
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + r.URL.Path {
		case "PUT/v1/objects/node/lost":
			panic(http.ErrAbortHandler)
		case "PUT/v1/objects/node/late":
			<-release
		case "PUT/v1/objects/node/bad-gateway":
			w.WriteHeader(http.StatusBadGateway)
		case "PUT/v1/objects/node/no-version":
			w.WriteHeader(http.StatusNoContent)
		default:
			fmt.Fprint(w, `{"revision":1}`)
		}
	}))
	defer close(release)
	client := newStore(t, store.HTTPOptions{URL: url, CallTimeout: 200 * time.Millisecond})
	for _, name := range []string{"lost", "late", "bad-gateway", "no-version"} {
		_, _, err := client.List(t.Context()) // leaves an idle connection for the write to reuse
		require.NoError(t, err)
		_, err = client.Put(t.Context(), "node", name, []byte("{}"), 0)
		require.Equal(t, errs.OutcomeUnknown, errs.KindOf(err), "%s: %v", name, err)
	}
}

// Guards against error statuses being mixed up between the platform and its client.
func TestStatusesKeepTheirKinds(t *testing.T) {
	p := standin.New(1)
	client := newStore(t, store.HTTPOptions{URL: serve(t, standin.Handler(p))})
	ctx := t.Context()
	version, err := client.Put(ctx, "slices", "booking/0", []byte("{}"), 0)
	require.NoError(t, err)
	_, err = client.Put(ctx, "slices", "booking/1", []byte("{}"), 0)
	require.NoError(t, err)

	expectKind := func(kind errs.Kind, err error) {
		t.Helper()
		require.Equal(t, kind, errs.KindOf(err), "%v", err)
		require.NotEmpty(t, errs.Remedy(err))
	}
	_, err = client.Get(ctx, "slices", "booking/9")
	expectKind(errs.NotFound, err)
	_, err = client.Put(ctx, "slices", "booking/0", []byte("{}"), 0)
	expectKind(errs.Conflict, err)
	expectKind(errs.Conflict, client.Delete(ctx, "slices", "booking/0", version+7))
	_, _, err = client.Watch(ctx, 0, 0)
	expectKind(errs.Compacted, err)
	_, err = client.Put(ctx, "slices", "booking/2", make([]byte, store.MaxValueBytes+1), 0)
	expectKind(errs.TooLarge, err)
	_, err = client.Put(ctx, "slices", "../config", nil, 0)
	expectKind(errs.Invalid, err)
	p.SetFaults(standin.Faults{WritesPerSecond: 0.001})
	_, err = client.Put(ctx, "slices", "booking/3", nil, 0)
	require.NoError(t, err, "the burst allows one write")
	_, err = client.Put(ctx, "slices", "booking/4", nil, 0)
	expectKind(errs.RateLimited, err)
	p.SetFaults(standin.Faults{Down: true})
	_, err = client.Put(ctx, "slices", "booking/4", nil, 0)
	expectKind(errs.Unavailable, err)
	p.SetFaults(standin.Faults{})
	object, err := client.Get(ctx, "slices", "booking/0")
	require.NoError(t, err)
	require.Equal(t, store.Object{Kind: "slices", Name: "booking/0", Version: version, Value: []byte("{}")}, object)
}

// Guards against an answer of any size being read into memory.
func TestAnswersAreBounded(t *testing.T) {
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"1"`)
		w.(http.Flusher).Flush() // chunked, so that no length is announced
		_, _ = w.Write(bytes.Repeat([]byte("x"), store.MaxValueBytes+1))
	}))
	_, err := newStore(t, store.HTTPOptions{URL: url}).Get(t.Context(), "node", "a")
	require.Equal(t, errs.TooLarge, errs.KindOf(err), "%v", err)
}

// Guards against a client that exceeds its share of the platform's limits, and against one bucket
// being used for both reads and writes.
func TestClientKeepsItsShare(t *testing.T) {
	p := standin.New(0)
	client := newStore(t, store.HTTPOptions{
		URL: serve(t, standin.Handler(p)), ReadsPerSecond: 0.001, WritesPerSecond: 1000, Burst: 2,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for range 2 {
		_, _, err := client.List(ctx)
		require.NoError(t, err)
	}
	_, _, err := client.Watch(ctx, 0, 0)
	require.Equal(t, errs.RateLimited, errs.KindOf(err), "%v", err)
	_, err = client.Put(ctx, "node", "a", nil, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(2), p.Stats().Reads)
	require.Zero(t, p.Stats().Watches)
}

// Guards against synchronized reconnection of all clients after an outage.
func TestBackOffIsFullJitter(t *testing.T) {
	var low, high time.Duration
	for range 200 {
		b := store.NewBackOff(100*time.Millisecond, time.Second)
		ceiling := 100 * time.Millisecond
		for range 8 {
			d := b.NextBackOff()
			require.LessOrEqual(t, d, ceiling+time.Nanosecond)
			if ceiling == time.Second {
				low += b2i(d < 100*time.Millisecond)
				high += b2i(d > 900*time.Millisecond)
			}
			ceiling = min(2*ceiling, time.Second)
		}
	}
	require.Positive(t, low)
	require.Positive(t, high)
}

func b2i(b bool) time.Duration {
	if b {
		return 1
	}
	return 0
}
