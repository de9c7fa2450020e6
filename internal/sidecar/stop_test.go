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
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform/standin"
)

// Guards against a stopping node that accepts another node's request and cuts it off when it exits: a request that took 3 s arrived
// 3 s after the signal, and the node exited 2.2 s later.
func TestStoppingNodeRefusesRequestsThatOutliveIt(t *testing.T) {
	n := newIdleNode(t)
	now := n.clock.Now()
	head := func(entrance string, timeout time.Duration) *wire.RequestHead {
		return &wire.RequestHead{Service: "s", Entrance: entrance, TimeoutMs: timeout.Milliseconds()}
	}
	refusal := func(h *wire.RequestHead) *refusal {
		j, refused, err := n.gate.newJob(h, nil)
		require.NoError(t, err)
		require.Nil(t, refused)
		return n.gate.checkServable(context.Background(), j)
	}
	n.state.localTarget.Store(&localTarget{serving: true})
	require.Nil(t, refusal(head("other", time.Minute)), "the node is not stopping yet")
	n.state.stopDeadline.Store(int64(now.Add(2 * time.Second)))
	require.Nil(t, refusal(head("other", time.Second)))
	require.Equal(t, answer.Draining, refusal(head("other", 3*time.Second)).kind)
	require.Nil(t, refusal(head(n.settings.Node, 3*time.Second)), "callers on the host have no other node")
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
