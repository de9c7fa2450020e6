package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve answers each request on a connection with what script returns for its number, and closes the connection if
// that ends in "!close".
func serve(t *testing.T, script func(n int, r *http.Request) string) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					text, last := strings.CutSuffix(script(n, r), "!close")
					if _, err := io.WriteString(c, text); err != nil || last {
						return
					}
				}
			}()
		}
	}()
	return NewClient(listener.Addr().String())
}

func get(id string, once bool) *Request {
	return &Request{
		Method: http.MethodGet, Path: "/x", Host: "h", Header: http.Header{"Id": {id}}, Once: once,
		Belongs: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
	}
}

// identified returns the request with its ID, as the gate sends it.
func identified(id string) *Request {
	r := get(id, false)
	r.ID = id
	return r
}

func answerOf(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestAnswersOfOtherRequestsAreSkipped(t *testing.T) {
	c := serve(t, func(n int, r *http.Request) string {
		return answerOf("other", "no") + answerOf(r.Header.Get("Id"), "yes")
	})
	a, err := c.Do(t.Context(), get("1", false))
	require.NoError(t, err)
	require.Equal(t, "yes", string(a.Body))
}

// Guards against a second answer, which belongs to nobody, reaching the next request.
func TestSecondAnswerIsNotUsed(t *testing.T) {
	c := serve(t, func(n int, r *http.Request) string {
		id := r.Header.Get("Id")
		return answerOf(id, "yes") + answerOf(id, "no")
	})
	for _, id := range []string{"1", "2", "3"} {
		a, err := c.Do(t.Context(), get(id, false))
		require.NoError(t, err)
		require.Equal(t, "yes", string(a.Body), id)
	}
}

// Guards against a second copy of an earlier answer to the same request, which comes ahead of the real one: a request that its target
// refused is sent there again, and would be reported as not run while it runs.
func TestCopyOfAnEarlierRefusalIsNotUsed(t *testing.T) {
	refused := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	for _, between := range []int{0, 1, 5, 100} {
		seen := map[string]bool{}
		c := serve(t, func(n int, r *http.Request) string {
			id := r.Header.Get("Id")
			if id != "x" {
				return answerOf(id, "yes")
			}
			if !seen["x"] {
				seen["x"] = true
				return refused("x")
			}
			if n > 0 { // The same connection as before.
				return refused("x") + answerOf("x", "yes")
			}
			return answerOf("x", "yes")
		})
		a, err := c.Do(t.Context(), identified("x"))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, a.Status)
		for i := range between {
			_, err = c.Do(t.Context(), identified(strconv.Itoa(i)))
			require.NoError(t, err)
		}
		a, err = c.Do(t.Context(), identified("x"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.Status, "after %d other requests", between)
	}
}

// Guards against requests on a connection that the target has closed, or on which it has sent something unasked, while it lay idle: they
// would end with an unknown outcome.
func TestConnectionThatIsNotQuietIsNotUsed(t *testing.T) {
	for name, unasked := range map[string]string{"a second answer": answerOf("1", "no"), "junk": "no HTTP at all", "its end": "!close"} {
		c, sent := serveLate(t, unasked)
		_, err := c.Do(t.Context(), get("1", true))
		require.NoError(t, err, name)
		<-sent
		time.Sleep(10 * time.Millisecond) // It is on its way over the loopback interface.
		a, err := c.Do(t.Context(), get("2", true))
		require.NoError(t, err, name)
		require.Equal(t, "yes", string(a.Body), name)
	}
}

// serveLate answers the first request of each connection, and sends the text, or closes the connection, some milliseconds later. The
// channel tells when it has done so.
func serveLate(t *testing.T, text string) (*Client, <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sent := make(chan struct{}, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, answerOf(r.Header.Get("Id"), "yes"))
				time.Sleep(5 * time.Millisecond)
				if text == "!close" {
					_ = c.Close()
					sent <- struct{}{}
					return
				}
				_, _ = io.WriteString(c, text)
				sent <- struct{}{}
				time.Sleep(time.Second)
			}()
		}
	}()
	return NewClient(listener.Addr().String()), sent
}

func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nshort!close",
		"short chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n!close",
		"no HTTP":      "what is this\r\n\r\n!close",
		"nothing":      "!close",
		"other only":   answerOf("9", "no") + "!close",
	} {
		c := serve(t, func(int, *http.Request) string { return text })
		_, err := c.Do(t.Context(), get("1", false))
		require.ErrorIs(t, err, ErrBroken, name)
	}
}

// Guards against an answer whose status no protocol defines: it reached callers, or was read past like an interim answer, so that the
// caller waited until its deadline although the target had answered.
func TestStatusOutOfRangeIsABrokenAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "700", "999"} {
		c := serve(t, func(int, *http.Request) string {
			return "HTTP/1.1 " + status + " Odd\r\nId: 1\r\nContent-Length: 2\r\n\r\nno" // The connection stays open.
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := c.Do(ctx, get("1", false))
		require.ErrorIs(t, err, ErrBroken, status)
		require.NoError(t, ctx.Err(), status)
		cancel()
	}
}

// Guards against an answer whose connection was reset on the way, taken for one that ended with its connection.
func TestAnswerWithoutLengthThatIsResetIsBroken(t *testing.T) {
	for _, size := range []int{0, 5, 2 * MaxBuffered} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		read := make(chan struct{})
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+strings.Repeat("x", size))
			<-read
			_ = c.(*net.TCPConn).SetLinger(0) // Close resets the connection.
			_ = c.Close()
		}()
		time.AfterFunc(100*time.Millisecond, func() { close(read) })
		a, err := NewClient(listener.Addr().String()).Do(t.Context(), get("1", false))
		if err == nil && a.Rest != nil {
			_, err = io.Copy(io.Discard, a.Rest)
			require.Error(t, err, size)
			_ = a.Rest.Close()
			continue
		}
		require.ErrorIs(t, err, ErrBroken, size)
	}
}

func TestAnswerWithoutLengthEndsWithTheConnection(t *testing.T) {
	c := serve(t, func(int, *http.Request) string { return "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole!close" })
	a, err := c.Do(t.Context(), get("1", false))
	require.NoError(t, err)
	require.Equal(t, "whole", string(a.Body))
}

func TestRefusedConnectionProvesTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := NewClient(listener.Addr().String())
	alive, err := c.Alive(t.Context())
	require.NoError(t, err)
	require.True(t, alive)
	require.NoError(t, listener.Close())
	c.Reset()
	_, err = c.Do(t.Context(), get("1", true))
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, ErrRefused)
	alive, err = c.Alive(t.Context())
	require.NoError(t, err)
	require.False(t, alive)
}

// Guards against a request that can't be repeated being lost on a connection that the target has forgotten.
func TestRequestThatRunsOnceTakesNoIdleConnection(t *testing.T) {
	connections := make(chan int, 10)
	c := serve(t, func(n int, r *http.Request) string {
		connections <- n
		return answerOf(r.Header.Get("Id"), "yes")
	})
	_, err := c.Do(t.Context(), get("1", true))
	require.NoError(t, err)
	time.Sleep(maxIdleOnce + 50*time.Millisecond)
	_, err = c.Do(t.Context(), get("2", true))
	require.NoError(t, err)
	_, err = c.Do(t.Context(), get("3", true))
	require.NoError(t, err)
	require.Equal(t, []int{0, 0, 1}, []int{<-connections, <-connections, <-connections})
}

func TestCallerWhoLeavesEndsTheRequest(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	c := serve(t, func(int, *http.Request) string { <-release; return "!close" })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, get("1", false))
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestBodiesArriveWhole(t *testing.T) {
	got := make(chan string, 2)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got <- string(data)
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	defer l.Close()
	client := NewClient(l.Addr().String())
	r := get("1", false)
	r.Method, r.Body = http.MethodPost, []byte("in memory")
	_, err = client.Do(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, "in memory", <-got)
	r = get("2", false)
	r.Method, r.Stream, r.Length = http.MethodPost, strings.NewReader("still arriving"), -1
	_, err = client.Do(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, "still arriving", <-got)
}

// Guards against taking a target for exited that has closed its listening socket and still works: a server that stops gracefully does so.
func TestTargetThatStopsListeningHasNotEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	running, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Id") != "quick" {
			close(running)
			<-release
		}
	})}
	go func() { _ = server.Serve(listener) }() // It returns when the listener is closed.
	c := NewClient(listener.Addr().String())
	refuses := func() bool {
		alive, err := c.Alive(t.Context())
		return err == nil && !alive
	}
	_, err = c.Do(t.Context(), get("quick", false))
	require.NoError(t, err)
	require.False(t, c.Ended(), "an idle connection is open")
	answered := make(chan error, 1)
	go func() {
		_, err := c.Do(t.Context(), get("long", false))
		answered <- err
	}()
	<-running // A server that stops before it has read the request closes the idle connection, and the request ends.
	require.False(t, c.activity.ended(time.Now()))
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	require.Eventually(t, refuses, time.Second, time.Millisecond)
	require.False(t, c.Ended(), "a request runs")
	close(release)
	require.NoError(t, <-answered)
	require.NoError(t, <-stopped)
	require.Eventually(t, c.Ended, time.Second, time.Millisecond)
}

// Guards against the end of a target that is noticed late, because requests count as running that broke with it.
func TestTargetThatExitsHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	began := make(chan struct{}, 3)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		select {}
	})}
	go func() { _ = server.Serve(listener) }() // It returns when the server is closed.
	c := NewClient(listener.Addr().String())
	failed := make(chan error, 3)
	for i := range 3 {
		go func() {
			_, err := c.Do(t.Context(), get(strconv.Itoa(i), false))
			failed <- err
		}()
	}
	for range 3 {
		<-began
	}
	require.False(t, c.Ended())
	require.NoError(t, server.Close())
	for range 3 {
		require.ErrorIs(t, <-failed, ErrBroken)
	}
	require.True(t, c.Ended())
}

// Guards against taking a target for exited that works on a request whose connection this client has closed.
func TestAbandonedRequestMayRunUntilItsDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	c := serve(t, func(int, *http.Request) string { <-release; return "!close" })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request := get("1", false)
	request.Deadline = time.Now().Add(300 * time.Millisecond)
	_, err := c.Do(ctx, request)
	require.Error(t, err)
	require.False(t, c.Ended())
	require.True(t, c.activity.ended(request.Deadline.Add(2*deadlineSlack)))
}
