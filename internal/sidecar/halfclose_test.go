package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/platform"
)

// newEntranceServer returns the address of the entrance of a node whose target takes the given time for each request.
func newEntranceServer(t *testing.T, work time.Duration) string {
	_, address := serveEntrance(t, `{"version":"r1","routes":{"a":{"host":"x","path_prefix":"/","kind":"safe","timeout_ms":1000,
		"target_latency_ms":500,"service":"s","max_attempts":2}},"services":{"s":{}},"limits":{}}`, func(*http.Request) { time.Sleep(work) })
	return address
}

// serveEntrance starts the entrance of a node with the configuration, whose target calls run for each request.
func serveEntrance(t *testing.T, document string, run func(*http.Request)) (*node, string) {
	n := newIdleNode(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		run(r)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Signature", "s")
	}))
	t.Cleanup(target.Close)
	n.ctx = t.Context()
	n.settings.Target = target.Listener.Addr().String()
	n.upstream = upstream.NewClient(n.settings.Target)
	t.Cleanup(n.upstream.Reset)
	n.state.localTarget.Store(&localTarget{serving: true, instance: "i"})
	view := fleet.NewView()
	view.Targets["h"] = &fleet.Target{Host: "h", Service: "s", State: fleet.Serving, Slots: 18}
	n.state.view.Store(view)
	config, err := platform.DecodeConfig([]byte(document))
	require.NoError(t, err)
	n.state.config.Store(config)
	server := newHTTPServer(n.protectHandler("entrance", n.entrance))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	trackIdle := trackHeads(n.entrance.idle.trackState)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		trackIdle(c, state)
		n.callers.trackState(c, state)
	}
	go func() {
		_ = server.Serve(credentialListener{sniffListener{callerListener{l, n.callers}, n.state.maxHead}, n.state.hasTenants}) // Serve returns after Close.
	}()
	t.Cleanup(func() { _ = server.Close() })
	return n, l.Addr().String()
}

// Guards against a success that no target gave: net/http answers 200 for a handler that returns without an answer, and a caller that has
// closed only its sending side reads it.
func TestCallerThatEndsItsSendingSideGetsNoFalseSuccess(t *testing.T) {
	address := newEntranceServer(t, 2*time.Millisecond)
	closed, answered := 0, 0
	for i := range 300 {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "GET /y HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nDeadline-Ms: 1000\r\n\r\n", i)
		require.NoError(t, err)
		time.Sleep(time.Duration(i%5) * time.Millisecond)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			closed++ // A closed connection promises nothing.
		} else {
			answered++
			if response.StatusCode < 300 {
				require.Equal(t, "s", response.Header.Get("Server-Signature"), "attempt %d", i)
			}
		}
		require.NoError(t, c.Close())
	}
	require.Positive(t, closed, "some left before the answer")
	require.Positive(t, answered, "an answer that is ready is delivered")
}

// Guards against a success that no target gave: net/http answers OPTIONS * by itself.
func TestOptionsOfTheServerGetsNoFalseSuccess(t *testing.T) {
	c, err := net.Dial("tcp", newEntranceServer(t, 0))
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	reader := bufio.NewReader(c)
	for i := range 3 {
		_, err = fmt.Fprintf(c, "OPTIONS * HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nDeadline-Ms: 1000\r\n\r\n", i)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
}

// Guards against an answer that is kept back until the caller's body is in or its connection counts as stalled: the target has answered before it has
// read the body, and the caller waits for the answer before it sends the rest.
func TestAnswerDoesNotWaitForTheRestOfTheBody(t *testing.T) {
	n, address := serveEntrance(t, `{"version":"r1","routes":{"a":{"host":"x","path_prefix":"/","kind":"unsafe","timeout_ms":1000,
		"target_latency_ms":500,"service":"s","max_attempts":2}},"services":{"s":{}},"limits":{}}`, func(*http.Request) {})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond) // What the caller has sent reaches the target.
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Signature", "s")
		w.Header().Set("Content-Length", "8")
		w.WriteHeader(http.StatusForbidden)
		_, _ = io.WriteString(w, "rejected")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer target.Close()
	n.upstream = upstream.NewClient(target.Listener.Addr().String())
	defer n.upstream.Reset()
	const length = 2 << 20
	for _, heldBack := range []int{1000, 1 << 20} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		began := time.Now()
		_, err = fmt.Fprintf(c, "POST /y HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", heldBack, length)
		require.NoError(t, err)
		_, err = c.Write(make([]byte, length-heldBack))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusForbidden, response.StatusCode)
		require.Equal(t, "s", response.Header.Get("Server-Signature"))
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "rejected", string(body))
		require.Less(t, time.Since(began), 1500*time.Millisecond, "the route's time and half a second, %d bytes held back", heldBack)
	}
}

// Guards against a request that a stopping node has read behind another one and does not answer, because the answer before it closes the connection.
func TestStoppingNodeAnswersRequestsReadBehindOthers(t *testing.T) {
	started := make(chan struct{}, 8)
	n, address := serveEntrance(t, `{"version":"r1","routes":{"a":{"host":"x","path_prefix":"/","kind":"unsafe","timeout_ms":1000,
		"target_latency_ms":500,"service":"s","max_attempts":2}},"services":{"s":{}},"limits":{}}`, func(*http.Request) {
		started <- struct{}{}
		time.Sleep(30 * time.Millisecond)
	})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	requests := ""
	for i := range 3 {
		requests += fmt.Sprintf("POST /y HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nDeadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody", i)
	}
	_, err = io.WriteString(c, requests)
	require.NoError(t, err)
	<-started
	n.state.draining.Store(true)
	n.entrance.idle.closeIdle()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
	reader := bufio.NewReader(c)
	for i := range 3 {
		require.True(t, n.entrance.idle.expectsRequests(), "answer %d is due", i)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "answer %d", i)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, fmt.Sprint(i), response.Header.Get("Request-Id"))
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, i == 2, response.Close, "the last answer closes the connection")
	}
	require.Eventually(t, func() bool { return !n.entrance.idle.expectsRequests() }, time.Second, time.Millisecond)
}
