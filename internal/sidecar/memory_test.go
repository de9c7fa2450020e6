package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// Guards against a node that accepts requests until it is killed for its memory, with all requests that it has accepted.
func TestNodeRefusesRequestsForLackOfMemory(t *testing.T) {
	n := newIdleNode(t)
	config, err := platform.DecodeConfig([]byte(standin.Configuration(1, "p")))
	require.NoError(t, err)
	n.state.config.Store(config)
	reason := func() string {
		r := httptest.NewRequest(http.MethodGet, "http://"+standin.Host+"/p/x", nil)
		r.Header = standin.KeyedHeader("m1", 1)
		_, refused := n.entrance.parseRequest(n.clock.Now(), httptest.NewRecorder(), r)
		if refused == nil {
			return ""
		}
		return refused.reason
	}
	guard := newMemoryGuard(100)
	n.memory = guard
	guard.update(n.log, 79*bytesPerMB)
	require.Empty(t, reason())
	guard.update(n.log, 81*bytesPerMB)
	require.Equal(t, "memory", reason())
	guard.update(n.log, 70*bytesPerMB)
	require.Empty(t, reason())
	require.Positive(t, guard.usedBytes())
	unlimited := newMemoryGuard(0)
	unlimited.update(n.log, 1e12)
	require.False(t, unlimited.shedding.Load())
}

// Guards against sending on a request that was read after its caller had left, as by a process that stood still.
func TestRequestOfACallerWhoLeftIsNotSentOn(t *testing.T) {
	served := make(chan struct{}, 2)
	read := make(chan struct{})
	var left atomic.Int32
	server := newHTTPServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-read // The process stands still between the arrival of the bytes and the handler.
		if callerLeft(r.Context()) {
			left.Add(1)
		}
		served <- struct{}{}
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(sniffListener{Listener: listener}) }()
	defer server.Close()
	send := func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		return c
	}
	stays := send()
	defer stays.Close()
	require.NoError(t, send().Close())
	time.Sleep(50 * time.Millisecond)
	close(read)
	<-served
	<-served
	require.EqualValues(t, 1, left.Load())
}

// Guards against a coordinator that encodes the same view for each node, and against an encoding that differs from the view.
func TestPollsShareTheEncodedView(t *testing.T) {
	n := newIdleNode(t)
	c := n.coordinator
	c.history = fleet.NewHistory()
	v := fleet.NewView()
	v.Revision = 9
	v.Targets["10.0.0.1"] = &fleet.Target{Host: "10.0.0.1", Relay: "10.0.0.1:1", Service: "s", Term: 1, State: fleet.Serving, Version: 8}
	c.history.Record(v)
	first := c.encodedView(v, 0)
	require.Same(t, &first[0], &c.encodedView(v, 0)[0])
	p, err := fleet.DecodePoll((&fleet.Poll{Coordinator: "10.0.0.2", Epoch: 3, EncodedView: first}).Encode())
	require.NoError(t, err)
	require.Equal(t, uint64(3), p.Epoch)
	require.Equal(t, v.Targets, p.View.Targets)
	p, err = fleet.DecodePoll((&fleet.Poll{EncodedView: c.encodedView(v, c.history.Sequence())}).Encode())
	require.NoError(t, err)
	require.Empty(t, p.View.Targets, "the node has the view")
	p, err = fleet.DecodePoll((&fleet.Poll{}).Encode())
	require.NoError(t, err)
	require.Nil(t, p.View)
}
