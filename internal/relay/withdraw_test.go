package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/wire"
)

// stalledServer proves the secret and reads nothing more until resume is closed. Then it records the heads that it gets until the
// connection ends.
type stalledServer struct {
	address string
	resume  chan struct{}
	heads   chan []string
}

func newStalledServer(t *testing.T, secret []byte) *stalledServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &stalledServer{address: listener.Addr().String(), resume: make(chan struct{}), heads: make(chan []string, 1)}
	var group sync.WaitGroup
	t.Cleanup(func() { _ = listener.Close(); group.Wait() })
	group.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		s.heads <- s.serve(conn, secret)
	})
	return s
}

func (s *stalledServer) serve(conn net.Conn, secret []byte) (heads []string) {
	challenge := newChallenge()
	_, _ = conn.Write(frame{kindChallenge, 0, challenge}.append(nil))
	hello := make([]byte, headerSize+helloSize)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return nil
	}
	welcome, err := checkHello(secret, challenge, hello[headerSize:])
	if err != nil {
		return nil
	}
	_, _ = conn.Write(frame{kindWelcome, 0, welcome}.append(nil))
	<-s.resume
	var frames decoder
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			_ = frames.feed(buffer[:n], func(f frame) error {
				if f.kind == kindRequest || f.kind == kindBodiless {
					heads = append(heads, string(f.payload))
				}
				return nil
			})
		}
		if err != nil {
			return heads
		}
	}
}

// Guards against requests that wait for a full link, are given up by their callers, and reach the other node seconds later.
func TestRequestsThatWaitForTheLinkAreWithdrawn(t *testing.T) {
	secret := []byte("secret")
	server := newStalledServer(t, secret)
	client := NewClient(ClientOptions{Secret: secret})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	// Large requests fill the link until some of their bytes wait in the outbox, far fewer than make senders wait.
	body := make([]byte, 200<<10)
	size := func() int {
		p := client.pool(server.address)
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.conns) == 0 {
			return 0
		}
		return p.conns[0].out.size()
	}
	waiting := func() bool { // Bytes that move on wait for the writer only, which may get little processor time.
		before := size()
		if before == 0 {
			return false
		}
		time.Sleep(200 * time.Millisecond)
		return size() == before
	}
	// Each sends no more than InitialCredit. The link has to be full before probes find that the server does not answer.
	for full := false; !full; full = waiting() {
		for range window / InitialCredit {
			group.Go(func() {
				head := &wire.RequestHead{Key: "large", ContentLength: int64(len(body))}
				_, _ = client.Do(ctx, server.address, &Request{Head: head, Body: bytes.NewReader(body)})
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	gaveUp, leave := context.WithTimeout(ctx, 100*time.Millisecond)
	defer leave()
	for range 20 {
		group.Go(func() {
			_, err := client.Do(gaveUp, server.address, request("gave up", nil))
			require.ErrorIs(t, err, ErrNotSent)
			require.ErrorIs(t, err, context.DeadlineExceeded)
		})
	}
	<-gaveUp.Done()
	time.Sleep(50 * time.Millisecond)
	close(server.resume)
	time.Sleep(200 * time.Millisecond)
	cancel()
	group.Wait()
	client.Close()
	for _, head := range <-server.heads {
		require.NotContains(t, head, "gave up")
	}
}

// Guards against taking back only a part of a request, or one of which a part was sent.
func TestWithdrawalTakesWholeRequests(t *testing.T) {
	o := newOutbox(func() {})
	start := func() *stream {
		s := newStream(0, o)
		require.NoError(t, o.start(s, kindRequest, []byte("head"), func() error { return nil }))
		require.NoError(t, o.control(frame{kindData, s.id, []byte("data")}))
		return s
	}
	first := start()
	taken, err := o.take(1)
	require.NoError(t, err)
	require.Equal(t, frame{kindRequest, first.id, []byte("head")}.append(nil), taken, "a take ends with a whole frame")
	second, third, fourth := start(), start(), start()
	require.NoError(t, o.control(frame{kindEnd, third.id, nil}))
	require.False(t, o.withdraw(first.id), "its head has been taken")
	require.True(t, o.withdraw(third.id))
	require.False(t, o.withdraw(third.id))
	var kept []frame
	for range 10 {
		taken, err := o.take(1)
		require.NoError(t, err)
		require.NoError(t, new(decoder).feed(taken, func(f frame) error {
			kept = append(kept, frame{f.kind, f.stream, append([]byte(nil), f.payload...)})
			return nil
		}))
	}
	require.Equal(t, []frame{
		{kindData, first.id, []byte("data")},
		{kindRequest, second.id, []byte("head")}, {kindData, second.id, []byte("data")},
		{kindRequest, fourth.id, []byte("head")}, {kindData, fourth.id, []byte("data")},
	}, kept)
}
