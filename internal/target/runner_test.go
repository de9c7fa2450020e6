package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/wire"
)

func runnerFor(address string) *HTTPRunner {
	r := &HTTPRunner{}
	r.Use(cluster.TargetInfo{Address: address, Incarnation: "a", Connections: 2})
	return r
}

// breakingTarget answers the first request of each connection and closes the connection after it has read the
// second one. It counts the requests that it has read.
func breakingTarget(t *testing.T) (address string, read *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	read = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOnce(conn, read)
		}
	}()
	return listener.Addr().String(), read
}

func serveOnce(conn net.Conn, read *atomic.Int32) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		read.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// Guards against net/http sending a request a second time when a kept connection breaks after the request was
// written, and against calling such a request not run.
func TestBrokenConnectionIsNotReplayed(t *testing.T) {
	cases := map[string]*Request{
		"GET":                    {Method: "GET", Path: "/", Slice: -1},
		"POST with identity":     {Method: "POST", Path: "/", Slice: -1, IdempotencyKey: "k"},
		"PUT with body":          {Method: "PUT", Path: "/", Slice: -1, Body: strings.NewReader("x"), ContentLength: 1},
		"POST of unknown length": {Method: "POST", Path: "/", Slice: -1, IdempotencyKey: "k", Body: strings.NewReader("x"), ContentLength: -1},
	}
	for name, req := range cases {
		t.Run(name, func(t *testing.T) {
			address, read := breakingTarget(t)
			r := runnerFor(address)
			first, err := r.Run(t.Context(), &Request{Method: "GET", Path: "/", Slice: -1})
			require.NoError(t, err)
			require.NoError(t, first.Body.Close())
			_, err = r.Run(t.Context(), req)
			var failure *RunError
			require.ErrorAs(t, err, &failure)
			require.Equal(t, answer.OutcomeUnknown, failure.Kind)
			require.False(t, failure.NotRun())
			require.EqualValues(t, 2, read.Load())
		})
	}
}

// Guards against a refused or failed connection being reported as possibly run, which would cost retries.
func TestUnopenedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = runnerFor(listener.Addr().String()).Run(t.Context(), &Request{Method: "POST", Path: "/", Slice: -1})
	var failure *RunError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, answer.TargetDown, failure.Kind)
	_, err = (&HTTPRunner{}).Run(t.Context(), &Request{Method: "POST", Path: "/", Slice: -1})
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.NotRun())
}

// Guards against a request that reaches the target although the last check refused it.
func TestFailedCheckWritesNothing(t *testing.T) {
	var served atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer s.Close()
	check := func() error { return answer.Refuse(answer.LeaseLapsed, "lapsed") }
	_, err := runnerFor(s.Listener.Addr().String()).Run(t.Context(), &Request{Method: "POST", Path: "/", Slice: -1, Check: check})
	var failure *RunError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, answer.LeaseLapsed, failure.Kind)
	require.Zero(t, served.Load())
}

// Guards against taking any 503 or 409 of the target for a promise that it ran nothing.
func TestOnlyStatedRefusalsAreNotRun(t *testing.T) {
	cases := []struct {
		status int
		reason string
		kind   answer.Kind
	}{
		{503, "shed", answer.Shed}, {409, "cold", answer.Cold}, {503, "draining", answer.Draining},
		{503, "fenced", answer.TargetRefused}, {503, "deadline_running", answer.TargetRefused},
		{503, "", ""}, {409, "", ""}, {500, "shed", ""}, {200, "shed", ""},
	}
	for _, c := range cases {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.reason != "" {
				w.Header().Set(answer.NotRunHeader, c.reason)
			}
			w.WriteHeader(c.status)
		}))
		resp, err := runnerFor(s.Listener.Addr().String()).Run(t.Context(), &Request{Method: "POST", Path: "/", Slice: -1})
		if c.kind == "" {
			require.NoError(t, err)
			require.EqualValues(t, c.status, resp.Head.Status)
			for _, h := range resp.Head.Headers {
				require.NotEqual(t, answer.NotRunHeader, h.Name)
			}
			resp.Body.Close()
		} else {
			var failure *RunError
			require.ErrorAs(t, err, &failure)
			require.Equal(t, c.kind, failure.Kind)
		}
		s.Close()
	}
}

// Guards against callers that forge citronvane's headers, lost or doubled headers, and bodies that arrive changed.
func TestHeadersAndBodies(t *testing.T) {
	var got *http.Request
	var body []byte
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("Citronvane-Token", "forged")
		w.Header().Set("X-Answer", "\xe9t\xe9")
		_, _ = io.WriteString(w, "whole")
	}))
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req := &Request{
		Method: "POST", Path: "/book?x=1", Service: "booking", Key: "room 7", Slice: 3, Epoch: 9,
		IdempotencyKey: "id", Traceparent: "tp", ContentLength: 4, Body: strings.NewReader("body"),
		Headers: []*wire.Header{
			{Name: "citronvane-epoch", Value: "99"}, {Name: "Idempotency-Key", Value: "id"}, {Name: "Connection", Value: "x-hop"},
			{Name: "X-Hop", Value: "1"}, {Name: "Host", Value: "kilima.example"}, {Name: "X-Kept", Value: "1"},
			{Name: "X-Latin", Value: wire.EncodeHeaderValue("Dar\xe9")},
		},
	}
	resp, err := runnerFor(s.Listener.Addr().String()).Run(ctx, req)
	require.NoError(t, err)
	answered, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(answered))
	require.Equal(t, "body", string(body))
	require.Equal(t, []string{"9"}, got.Header.Values(HeaderEpoch))
	require.Equal(t, []string{"id"}, got.Header.Values(HeaderIdentity))
	require.Equal(t, "room 7", got.Header.Get(HeaderKey))
	require.Equal(t, "kilima.example", got.Host)
	require.Empty(t, got.Header.Get("X-Hop"))
	require.Equal(t, "1", got.Header.Get("X-Kept"))
	require.NotEmpty(t, got.Header.Get(HeaderDeadline))
	require.Equal(t, "Dar\xe9", got.Header.Get("X-Latin"))
	for _, h := range resp.Head.Headers {
		require.NotEqual(t, "Citronvane-Token", h.Name)
		if h.Name == "X-Answer" {
			require.Equal(t, "\xe9t\xe9", wire.DecodeHeaderValue(h.Value))
		}
	}
	_, err = proto.Marshal(resp.Head)
	require.NoError(t, err, "an answer with a Latin-1 header must fit between nodes")
	_, err = runnerFor(s.Listener.Addr().String()).Run(ctx, &Request{Method: "POST", Path: "/", Slice: -1})
	require.NoError(t, err)
	require.Empty(t, got.TransferEncoding, "an empty body must not be sent in chunks")
}

// Guards against a cancelled run that keeps the target busy, and against calling it not run.
func TestCancellationReachesTheTarget(t *testing.T) {
	started, ended := make(chan bool), make(chan bool)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	defer s.Close()
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() { <-started; cancel(errors.New("lease")) }()
	_, err := runnerFor(s.Listener.Addr().String()).Run(ctx, &Request{Method: "GET", Path: "/", Slice: -1})
	var failure *RunError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, answer.OutcomeUnknown, failure.Kind)
	<-ended
}
