package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/citronvane/citronvane/internal/wire"
)

// halfDead is a connection whose first write works; later ones fail, and only then the answer can be read.
type halfDead struct {
	net.Conn
	answer io.Reader
	once   sync.Once
	writes int
	failed chan struct{}
}

func (h *halfDead) Write(p []byte) (int, error) {
	h.writes++
	if h.writes == 1 {
		return len(p), nil
	}
	h.once.Do(func() { close(h.failed) })
	return 0, errors.New("connection reset by peer")
}

func (h *halfDead) Read(p []byte) (int, error) {
	<-h.failed
	time.Sleep(20 * time.Millisecond) // The writer has met the error.
	return h.answer.Read(p)
}

func (h *halfDead) SetReadDeadline(time.Time) error { return nil }
func (h *halfDead) Close() error                    { h.once.Do(func() { close(h.failed) }); return nil }

// Guards against a whole answer that is thrown away because the server, which has closed, takes no more credit.
func TestFailedWriteKeepsWhatWasReceived(t *testing.T) {
	client := NewClient(ClientOptions{})
	defer client.Close()
	head, err := proto.Marshal(&wire.ResponseHead{Status: 200, ContentLength: -1})
	require.NoError(t, err)
	answer := frame{kindResponse, 1, head}.append(nil)
	answer = frame{kindData, 1, []byte("whole")}.append(answer)
	answer = frame{kindEnd, 1, nil}.append(answer)
	c := &clientConn{pool: newPool(client, "stopped:1"), net: &halfDead{answer: bytes.NewReader(answer), failed: make(chan struct{})},
		wake: make(chan struct{}, 1), done: make(chan struct{}), buffer: make([]byte, readBuffer), streams: map[uint32]*stream{}}
	c.out = newOutbox(c.kick)
	client.wg.Go(func() { c.run(false) })
	s := c.open()
	require.NotNil(t, s)
	require.NoError(t, c.start(s, kindBodiless, nil))
	require.Eventually(t, func() bool { return c.out.size() == 0 }, time.Second, time.Millisecond)
	require.NoError(t, c.out.control(creditFrame(1, 1)))
	require.Eventually(t, c.isRetired, time.Second, time.Millisecond, "new requests go over another connection")
	require.Nil(t, c.open())
	res, err := s.awaitHead()
	require.NoError(t, err)
	require.EqualValues(t, 200, res.Status)
	got, err := io.ReadAll(s)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
}

// Guards against a stop that resets connections whose clients still send, which makes the kernel drop the rest of the answers.
func TestCloseWaitsForTheClientToLeave(t *testing.T) {
	secret := []byte("secret")
	answered := make(chan struct{})
	server, _, address := start(t, func(_ context.Context, _ *Request, w ResponseWriter) error {
		defer close(answered)
		if err := w.WriteHead(&wire.ResponseHead{Status: 200, ContentLength: -1}); err != nil {
			return err
		}
		_, err := w.Write(bytes.Repeat([]byte("x"), window))
		return err
	})
	raw, err := net.Dial("tcp", address)
	require.NoError(t, err)
	conn := raw.(*net.TCPConn)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetReadBuffer(16<<10))
	sendRaw(t, conn, secret)
	_, err = conn.Write(creditFrame(1, window-InitialCredit).append(nil)) // So that the answer is larger than the buffers.
	require.NoError(t, err)
	<-answered
	go func() { _ = server.Close(context.Background()) }()
	time.Sleep(10 * drainPoll)
	_, err = conn.Write(frame{kind: kindPing}.append(nil))
	require.NoError(t, err)
	time.Sleep(10 * drainPoll)
	var data int
	var ended bool
	var frames decoder
	buffer := make([]byte, 16<<10)
	for !ended {
		n, err := conn.Read(buffer)
		require.NoError(t, err, "%d of %d bytes", data, window)
		require.NoError(t, frames.feed(buffer[:n], func(f frame) error {
			switch f.kind {
			case kindData:
				data += len(f.payload)
			case kindEnd:
				ended = true
			}
			return nil
		}))
	}
	require.Equal(t, window, data)
}

// Guards against a stop that waits for clients without requests, and for those that are told to leave while one ends.
func TestClientLeavesAServerThatStops(t *testing.T) {
	server, client, address := start(t, echo)
	res, err := client.Do(context.Background(), address, request("k", nil))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Len(t, server.connections(), 1)
	go func() { _ = server.Close(context.Background()) }()
	require.Eventually(t, func() bool { return len(server.connections()) == 0 }, farewell/2, time.Millisecond)
}
