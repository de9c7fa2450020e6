package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessLimit is the number of bytes after which an endless target gives up. It is above the limits of what is read from a target and
// what the buffers of a connection hold, and far below what a caller reads in a second that does not stop.
const endlessLimit = 32 << 20

// endless is a target that answers each request with a prefix and then bytes without end, until the caller closes. Connections on which it
// has sent endlessLimit bytes are counted in unbounded and closed, unless that is nil.
func endless(t *testing.T, prefix, repeated string, unbounded *atomic.Int64) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group sync.WaitGroup
	t.Cleanup(func() { _ = listener.Close(); group.Wait() })
	filler := bytes.Repeat([]byte(repeated), 1+(32<<10)/len(repeated))
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4096))
				sent := 0
				for _, err := io.WriteString(c, prefix); err == nil; {
					var n int
					n, err = c.Write(filler)
					if sent += n; unbounded != nil && sent > endlessLimit {
						unbounded.Add(1)
						return
					}
				}
			})
		}
	})
	return NewClient(listener.Addr().String())
}

// heapMB returns the live heap in megabytes.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// Guards against a target in trouble that fills the memory of its node: a head, a body or interim answers without end. A small host has
// 184 MB for 50 connections.
func TestAnswersWithoutEndStayBounded(t *testing.T) {
	const connections, hostMB = 50, 184
	for name, answer := range map[string][2]string{
		"a header line without end":         {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers without end":               {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"a status line without end":         {"", "x"},
		"interim answers without end":       {"", "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n"},
		"another's body without end":        {"HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "x"},
		"another's chunks without end":      {"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"a chunk extension without end":     {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers without end":              {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"another's answers, one by another": {"", answerOf("2", "no")},
	} {
		var unbounded atomic.Int64
		c := endless(t, answer[0], answer[1], &unbounded)
		var group sync.WaitGroup
		for range connections {
			group.Go(func() {
				err := ErrNotSent
				for errors.Is(err, ErrNotSent) { // A busy machine may not connect within dialTimeout.
					_, err = c.Do(t.Context(), get("1", false))
				}
				require.ErrorIs(t, err, ErrBroken, name)
			})
		}
		group.Wait()
		require.Zero(t, unbounded.Load(), "%s: the connections are closed after a bounded number of bytes", name)
		require.Less(t, heapMB(), hostMB/2.0, name)
	}
}

// Guards against a body without end that is buffered instead of passed on: a caller that does not read holds it back.
func TestBodyWithoutEndIsPassedOnAsItComes(t *testing.T) {
	c := endless(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x", nil)
	before := heapMB()
	for range 20 {
		a, err := c.Do(t.Context(), get("1", false))
		require.NoError(t, err)
		require.NotNil(t, a.Rest)
		_, err = io.CopyN(io.Discard, a.Rest, 2*MaxBuffered)
		require.NoError(t, err)
		require.NoError(t, a.Rest.Close())
	}
	require.Less(t, heapMB()-before, 20.0)
}

// Guards against allocating the stated length of an answer that is not kept, which ended the process.
func TestLengthOfAnothersAnswerIsNotAllocated(t *testing.T) {
	for _, length := range []int64{9_000_000_000_000_000_000, 40_000_000_000, maxStrayBytes + 1} {
		c := serve(t, func(int, *http.Request) string {
			return "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: " + strconv.FormatInt(length, 10) + "\r\n\r\n"
		})
		_, err := c.Do(t.Context(), get("1", false))
		require.ErrorIs(t, err, ErrBroken)
	}
}

// Guards against taking an interim answer for the final one.
func TestInterimAnswersPrecedeTheFinalOne(t *testing.T) {
	c := serve(t, func(_ int, r *http.Request) string {
		id := r.Header.Get("Id")
		return "HTTP/1.1 100 Continue\r\nId: " + id + "\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: " + id + "\r\n\r\n" + answerOf(id, "yes")
	})
	for _, id := range []string{"1", "2"} {
		a, err := c.Do(t.Context(), get(id, false))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.Status)
		require.Equal(t, "yes", string(a.Body))
	}
}

// Guards against a late second copy of a refusal that is taken for the answer to the same request, sent again on the same connection:
// the request would count as not run while it runs.
func TestRequestIsNotSentTwiceInARowOnOneConnection(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	c := serve(t, func(n int, r *http.Request) string {
		if r.Header.Get("Attempt") == "1" {
			return refusal
		}
		late := ""
		if n > 0 { // The copy arrives where the next answer on the connection is expected.
			late = refusal
		}
		return late + answerOf("1", "ran")
	})
	send := func(attempt string) *Answer {
		r := get("1", false)
		r.ID = "1"
		r.Header.Set("Attempt", attempt)
		a, err := c.Do(t.Context(), r)
		require.NoError(t, err)
		return a
	}
	require.Equal(t, http.StatusServiceUnavailable, send("1").Status)
	require.Equal(t, "ran", string(send("2").Body))
}

// Guards against an answer without an identity on a connection that was in use before: it may be a late copy for the last request.
func TestUsedConnectionsAreToldFromNewOnes(t *testing.T) {
	c := serve(t, func(_ int, r *http.Request) string { return answerOf(r.Header.Get("Id"), "yes") })
	var used []bool
	for _, id := range []string{"1", "2"} {
		r := get(id, false)
		belongs := r.Belongs
		r.Belongs = func(h http.Header, u bool) bool { used = append(used, u); return belongs(h, u) }
		_, err := c.Do(t.Context(), r)
		require.NoError(t, err)
	}
	require.Equal(t, []bool{false, true}, used)
}

// FuzzAnswer reads arbitrary bytes as an answer: no panic, and a success only with the request's own identity.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nyes")
	f.Add("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9000000000000000000\r\n\r\n")
	f.Add("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\ny\r\n0\r\nA: b\r\n\r\n")
	f.Add(strings.Repeat("HTTP/1.1 100 \r\n\r\n", maxInterim+1))
	f.Fuzz(func(t *testing.T, text string) {
		k := newConn(&scriptedConn{Reader: strings.NewReader(text)})
		a, _, err := k.exchange(get("1", false))
		if err != nil {
			require.ErrorIs(t, err, ErrBroken)
			return
		}
		require.Equal(t, []string{"1"}, a.Header["Id"])
		require.GreaterOrEqual(t, a.Status, http.StatusOK)
		if a.Rest == nil {
			require.LessOrEqual(t, len(a.Body), MaxBuffered)
		}
	})
}

// scriptedConn takes all requests and answers with fixed bytes.
type scriptedConn struct {
	net.Conn
	io.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error)  { return c.Reader.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *scriptedConn) Close() error                { return nil }
