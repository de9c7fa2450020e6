package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// Guards against a stopping node that accepts a request and cuts it off when it exits: a request that took 3 s arrived 3 s after the signal,
// and the node exited 2.2 s later; callers of the host got the same with requests that may not be repeated.
func TestStoppingNodeRefusesRequestsThatOutliveIt(t *testing.T) {
	n := newIdleNode(t)
	config, err := platform.DecodeConfig([]byte(`{"version":"r1","routes":{"a":{"host":"x","path_prefix":"/","kind":"unsafe","timeout_ms":60000,
		"target_latency_ms":500,"service":"s","max_attempts":2}},"services":{"s":{}},"limits":{}}`))
	require.NoError(t, err)
	n.state.config.Store(config)
	n.state.localTarget.Store(&localTarget{serving: true})
	remote := func(timeout time.Duration) *refusal {
		j, refused, err := n.gate.newJob(&wire.RequestHead{Service: "s", Entrance: "other", TimeoutMs: timeout.Milliseconds()}, nil)
		require.NoError(t, err)
		require.Nil(t, refused)
		return n.gate.checkServable(context.Background(), j)
	}
	local := func(timeout time.Duration) *refusal {
		r := httptest.NewRequest(http.MethodPost, "http://x/y", nil)
		r.Header = standin.CallerHeader("1", int(timeout.Milliseconds()))
		_, refused := n.entrance.parseRequest(n.clock.Now(), httptest.NewRecorder(), r)
		return refused
	}
	stop := func(began, left time.Duration) {
		now := n.clock.Now()
		n.state.stopBegan.Store(int64(now.Add(-began)))
		n.state.stopDeadline.Store(int64(now.Add(left)))
	}
	for name, request := range map[string]func(time.Duration) *refusal{"another node's": remote, "a local caller's": local} {
		stop(0, 0)
		n.state.stopDeadline.Store(0)
		require.Nil(t, request(time.Minute), "%s: the node is not stopping", name)
		stop(time.Second, 4*time.Second)
		require.Nil(t, request(8*time.Second), "%s: it has time until callers turn away", name)
		stop(time.Second, 2*time.Second)
		require.NotNil(t, request(8*time.Second), "%s: it may take longer than is left", name)
		stop(3*time.Second, 2*time.Second)
		require.Nil(t, request(time.Second), "%s: its deadline comes before the end", name)
		refused := request(3 * time.Second)
		require.NotNil(t, refused, name)
		require.Equal(t, answer.Draining, refused.kind)
	}
	require.Equal(t, restartTime, local(3*time.Second).retryAfter)
}

// Guards against callers whose connection is closed without a response when a stopping node exits.
func TestPendingRequestsAreAnsweredOnStop(t *testing.T) {
	n := newIdleNode(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	running := make(chan struct{})
	s := &servers{}
	s.initEntrance(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		x := newTestExchange(n.entrance)
		n.entrance.writeResult(r.Context(), w, x, &result{err: errors.New("no answer yet")})
	}))
	go func() { _ = s.entrance.Serve(listener) }()
	status := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	<-running
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.NoError(t, n.finishRequests(ctx, s))
	require.Equal(t, http.StatusBadGateway, <-status)
}

// Guards against a response that is written for a caller who has disconnected.
func TestDisconnectedCallerGetsNoResponse(t *testing.T) {
	e := newIdleNode(t).entrance
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { // Closes the connection.
		e.writeResult(ctx, w, newTestExchange(e), &result{err: errors.New("no answer yet")})
	})
	require.False(t, w.Flushed)
	require.Empty(t, w.Header())
}

// Guards against a planned stop under load that cuts off requests which have just been accepted. Callers go on with new connections until
// none is accepted any more. The kernel resets those that it has accepted but the node has not, so that callers know that nobody has read
// their requests.
func TestPlannedStopUnderLoadAnswersAcceptedRequests(t *testing.T) {
	r := newTestFleet(t, 3)
	h := r.hosts[0]
	const callers = 40
	var answered, reset, cut atomic.Int64
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				c, err := net.Dial("tcp", h.node.settings.Listen.Entrance)
				if err != nil {
					return // Nothing listens any more.
				}
				id := fmt.Sprintf("once-stop-%d-%d", i, n)
				request, err := http.NewRequest(http.MethodGet, "http://"+standin.Host+"/o/x", nil)
				require.NoError(t, err)
				request.Header = standin.KeyedHeader(id, n*997%65536)
				err = request.Write(c)
				if err == nil {
					var response *http.Response
					if response, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
						_, err = io.Copy(io.Discard, response.Body)
					}
				}
				switch {
				case err == nil:
					answered.Add(1)
				case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
					reset.Add(1)
				default:
					cut.Add(1)
					t.Logf("%s: %v", id, err)
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	h.cancel()
	group.Wait()
	t.Logf("%d answered, %d reset, %d cut off", answered.Load(), reset.Load(), cut.Load())
	require.Zero(t, cut.Load())
	require.LessOrEqual(t, reset.Load(), int64(callers), "only while the listener closes")
	r.requireNoFaults()
}

// Guards against a planned stop that takes requests late in the grace period and cuts them off at its end, among them some that may not be
// repeated: they come on kept connections, their deadlines lie behind the end, and the target is slow.
func TestPlannedStopTakesOnlyWhatItFinishes(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 3)
	r.store.Configure(strings.ReplaceAll(standin.Configuration(2, "q"), `"timeout_ms":3000`, `"timeout_ms":8000`))
	r.waitUntilServed("q")
	h := r.hosts[0]
	const callers = 24
	connections := make([]net.Conn, callers)
	send := func(i int, id string) (int, error) {
		request, err := http.NewRequest(http.MethodGet, "http://"+standin.Host+"/o/x", nil)
		require.NoError(t, err)
		request.Header = standin.KeyedHeader(id, i*2700)
		request.Header.Set("Deadline-Ms", "8000")
		if err := request.Write(connections[i]); err != nil {
			return 0, err
		}
		response, err := http.ReadResponse(bufio.NewReader(connections[i]), nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	for i := range connections {
		c, err := net.Dial("tcp", h.node.settings.Listen.Entrance)
		require.NoError(t, err)
		defer c.Close()
		connections[i] = c
		status, err := send(i, fmt.Sprintf("once-before-%d", i))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	for _, other := range r.hosts {
		other.target.SlowDown(2500 * time.Millisecond)
	}
	h.cancel()
	var group sync.WaitGroup
	for i := range connections {
		group.Go(func() {
			time.Sleep(drainDelay - 700*time.Millisecond + time.Duration(i)*100*time.Millisecond) // Some keep the node from closing.
			id := fmt.Sprintf("once-late-%d", i)
			status, err := send(i, id)
			ran := slices.Contains(r.history.ExecutedRequestIDs(), id)
			t.Logf("%s: status %d, error %v, ran %t", id, status, err, ran)
			if ran {
				assert.NoError(t, err, id)
				assert.Equal(t, http.StatusOK, status, id)
			}
		})
	}
	group.Wait()
	r.requireNoFaults()
}
