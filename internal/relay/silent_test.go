package relay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startSilencer forwards connections to the address. Those that are open when silent is set carry nothing from then on, and are not reset.
func startSilencer(t *testing.T, address string) (via string, silence func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var generation atomic.Int64
	forward := func(to, from net.Conn, opened int64) {
		defer to.Close()
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if generation.Load() == opened {
				_, _ = to.Write(buffer[:n]) // The other direction notices a closed connection.
			}
		}
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				_ = client.Close()
				continue
			}
			opened := generation.Load()
			go forward(server, client, opened)
			go forward(client, server, opened)
		}
	}()
	return listener.Addr().String(), func() { generation.Add(1) }
}

// Guards against a silent connection that is never given up because each request on it ends before enough probes are unanswered. A coordinator
// would not reach a node with its polls, and would take it for lost after 2.2 s.
func TestSilentConnectionIsReplacedBetweenShortRequests(t *testing.T) {
	const timeout, gap, unresponsive = 800 * time.Millisecond, 200 * time.Millisecond, 2200 * time.Millisecond
	_, client, address := start(t, echo)
	via, silence := startSilencer(t, address)
	connect(t, client, via)
	silence()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		response, err := client.Do(ctx, via, request("", nil))
		if err != nil {
			time.Sleep(gap)
			return false
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err == nil && response.Body.Close() == nil
	}, unresponsive, time.Millisecond)
}
