package processtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/platform/standin"
)

// The load of each kind of caller. 60 bodies of 900,000 bytes exceed the memory of a node, 500 connections exceed its descriptors.
const (
	bodyCallers       = 60
	connectionCallers = 500
	bodyBytes         = 900_000
	largeBodyBytes    = 8 << 20
	tinyChunks        = 200_000
	// sendTimeout ends the sending of a caller that is not read from. Its connection stays open.
	sendTimeout = 5 * time.Second
)

// head returns the head of a POST to the path, with further lines.
func head(path, id, lines string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nShard-Key: 1\r\nDeadline-Ms: 30000\r\n%s\r\n", path, standin.Host, id, lines)
}

func statedLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// caller sends its part of a load on a connection. Errors are ignored: refusing or closing is allowed.
type caller func(c net.Conn, path, id string)

func write(c net.Conn, data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

// allButOneByte sends a body of n bytes in pieces with pauses, without its last byte.
func allButOneByte(n, piece int, pause time.Duration) caller {
	return func(c net.Conn, path, id string) {
		data := make([]byte, piece)
		for sent, ok := 0, write(c, []byte(head(path, id, statedLength(n)))); ok && sent < n-1; sent += piece {
			ok = write(c, data[:min(piece, n-1-sent)])
			time.Sleep(pause)
		}
	}
}

// unfinishedChunks sends a chunked body of n chunks without its end.
func unfinishedChunks(n, size int) caller {
	return func(c net.Conn, path, id string) {
		one := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
		perWrite := max(1, 64<<10/len(one))
		several := bytes.Repeat(one, perWrite)
		for sent, ok := 0, write(c, []byte(head(path, id, chunked))); ok && sent < n; sent += perWrite {
			ok = write(c, several)
		}
	}
}

func unfinishedHead(c net.Conn, path, id string) {
	write(c, []byte(strings.TrimSuffix(head(path, id, "Padding: "+strings.Repeat("x", 60_000)), "\r\n")))
}

// slowReader sends a whole request, whose response is as large, and reads none of it.
func slowReader(c net.Conn, path, id string) {
	_ = c.(*net.TCPConn).SetReadBuffer(4096)
	write(c, append([]byte(head(path, id, statedLength(bodyBytes))), make([]byte, bodyBytes)...))
}

func idle(net.Conn, string, string) {}

// sendLoad starts n callers of a kind at once and returns when none of them has anything left to send. The connections stay open until
// the test ends.
func (r *rig) sendLoad(n int, path string, send caller) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c, err := net.Dial("tcp", r.pooled.entrance)
			if err != nil {
				return
			}
			r.t.Cleanup(func() { _ = c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(c, path, fmt.Sprintf("load-%d-%d", i, time.Now().UnixNano()))
		})
	}
	wg.Wait()
}

type load struct {
	callers int
	send    caller
}

var loads = map[string]load{
	"stated length, all but one byte": {bodyCallers, allButOneByte(bodyBytes, bodyBytes, 0)},
	"stated length, piece by piece":   {bodyCallers, allButOneByte(bodyBytes, 16<<10, 2*time.Millisecond)},
	"stated length, large":            {bodyCallers, allButOneByte(largeBodyBytes, 256<<10, 0)},
	"large chunks without an end":     {bodyCallers, unfinishedChunks(bodyBytes>>16, 64<<10)},
	"tiny chunks without an end":      {bodyCallers, unfinishedChunks(tinyChunks, 1)},
	"heads that stop short":           {connectionCallers, unfinishedHead},
	"responses that nobody reads":     {bodyCallers, slowReader},
	"connections without a request":   {connectionCallers, idle},
}

// Guards against a node that runs out of memory or descriptors, ends, or stops answering others, because of callers that hold on to what
// they have been given.
func TestUncontrolledCallers(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			r := startRig(t)
			for service, path := range map[string]string{"local target": "/p/load", "other node's target": "/k/load"} {
				t.Run(service, func(t *testing.T) {
					r.t = t
					r.sendLoad(l.callers, path, l.send)
					r.checkAnswered()
					r.checkWithinLimits()
				})
			}
		})
	}
}

// Guards against bounds that hold for each kind of caller but not for their sum.
func TestMixOfUncontrolledCallers(t *testing.T) {
	r := startRig(t)
	var wg sync.WaitGroup
	for _, l := range loads {
		wg.Go(func() {
			r.sendLoad(l.callers/3, "/p/load", l.send)
			r.sendLoad(l.callers/3, "/k/load", l.send)
		})
	}
	wg.Wait()
	r.checkAnswered()
	r.checkWithinLimits()
}

// Guards against memory bounds that refuse what the limits allow.
func TestLargestBodyIsServed(t *testing.T) {
	r := startRig(t)
	for _, path := range []string{"/p/large", "/k/large"} {
		for _, length := range []int64{maxBodyBytes, -1} {
			require.Equal(t, http.StatusOK, r.post(path, length, maxBodyBytes))
		}
	}
	r.checkAnswered()
	r.checkWithinLimits()
}

// Guards against a chunked body of any length, which has no stated one that could be refused.
func TestChunkedBodyBeyondTheLimit(t *testing.T) {
	r := startRig(t)
	for _, path := range []string{"/p/large", "/k/large"} {
		require.Equal(t, http.StatusRequestEntityTooLarge, r.post(path, -1, maxBodyBytes+1))
	}
	r.checkWithinLimits()
}

// post sends a body of n bytes with the stated length, -1 for a chunked one, and returns the status.
func (r *rig) post(path string, length, n int64) int {
	r.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+r.pooled.entrance+path, io.LimitReader(zeros{}, n))
	require.NoError(r.t, err)
	request.Host, request.ContentLength = standin.Host, length
	request.Header = standin.KeyedHeader(fmt.Sprint("large-", time.Now().UnixNano()), 1)
	request.Header["Deadline-Ms"] = []string{"30000"}
	response, err := http.DefaultClient.Do(request)
	require.NoError(r.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(r.t, err)
	return response.StatusCode
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against a crowd of callers whose bodies stop short: they take all places, come again when they are ended, and shut ordinary callers out. Each
// ordinary request is tried again for up to 3 s, as its caller would.
func TestCrowdOfSlowCallers(t *testing.T) {
	const (
		crowd    = 3 * maxFDs / 4 // Four times as many as one address has places.
		ordinary = 40
		patience = 3 * time.Second
	)
	r := startRig(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range crowd {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.DialTimeout("tcp", r.pooled.entrance, time.Second)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				_, _ = fmt.Fprintf(c, "POST /p/slow HTTP/1.1\r\nHost: %s\r\nRequest-Id: slow-%p\r\nDeadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n%060d", standin.Host, c, 0) // The node may have closed it.
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
				_, _ = io.Copy(io.Discard, c) // Until the node ends it.
				_ = c.Close()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	answered := 0
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range ordinary {
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			request, _ := http.NewRequest(http.MethodGet, "http://"+r.pooled.entrance+"/p/ordinary", nil)
			request.Host, request.Header = standin.Host, standin.KeyedHeader(fmt.Sprintf("ordinary-%d-%d", i, time.Now().UnixNano()), 1)
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				answered++
				break
			}
		}
	}
	close(stop)
	require.Equal(t, ordinary, answered)
	r.checkWithinLimits()
	_ = r.pooled.cmd.Process.Kill() // Ends the crowd.
	wg.Wait()
}
