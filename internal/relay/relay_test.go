package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

type handlerFunc func(ctx context.Context, req *Request, w ResponseWriter) error

func (f handlerFunc) ServeRelay(ctx context.Context, req *Request, w ResponseWriter) error {
	return f(ctx, req, w)
}

// echo answers with the key of the request in a header, and with its body.
func echo(_ context.Context, req *Request, w ResponseWriter) error {
	head := &wire.ResponseHead{Status: 200, Headers: []*wire.Header{{Name: "Key", Value: req.Head.Key}}, ContentLength: -1}
	if err := w.WriteHead(head); err != nil || req.Body == nil {
		return err
	}
	_, err := io.Copy(w, req.Body)
	return err
}

func start(t testing.TB, h handlerFunc) (*Server, *Client, string) {
	secret := []byte("secret")
	server, err := Listen(ServerOptions{Address: "127.0.0.1:0", Secret: secret, Handler: h,
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}})
	require.NoError(t, err)
	address, err := server.Address()
	require.NoError(t, err)
	client := NewClient(ClientOptions{Secret: secret})
	t.Cleanup(func() {
		client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = server.Close(ctx)
	})
	return server, client, address
}

// connect opens the first connection.
func connect(t *testing.T, client *Client, address string) {
	res, err := client.Do(context.Background(), address, request("", nil))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
}

// sendRaw proves the secret and sends a request without a body and the frames, in one write, without checking the server.
func sendRaw(t *testing.T, conn net.Conn, secret []byte, more ...frame) {
	challenge := make([]byte, headerSize+challengeSize)
	_, err := io.ReadFull(conn, challenge)
	require.NoError(t, err)
	hello, err := newHello(secret, challenge[headerSize:])
	require.NoError(t, err)
	data := frame{kindBodiless, 1, nil}.append(frame{kindHello, 0, hello}.append(nil))
	for _, f := range more {
		data = f.append(data)
	}
	_, err = conn.Write(data)
	require.NoError(t, err)
}

func request(key string, body []byte) *Request {
	req := &Request{Head: &wire.RequestHead{Key: key}}
	if body != nil {
		req.Body = bytes.NewReader(body)
	}
	return req
}

// Guards against answers that reach another caller when many of them cross, and against damaged bodies.
func TestCrossedAnswersReachTheirCallers(t *testing.T) {
	_, client, address := start(t, func(ctx context.Context, req *Request, w ResponseWriter) error {
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		return echo(ctx, req, w)
	})
	connect(t, client, address) // Not in dialTimeout beside 400 callers: those get ErrNotSent, which is not what is checked.
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
			key := fmt.Sprint("key-", i)
			body := bytes.Repeat([]byte(key+";"), rand.IntN(60_000))
			res, err := client.Do(context.Background(), address, request(key, body))
			if err != nil {
				t.Errorf("%s: %v", key, err)
				return
			}
			defer func() { _ = res.Body.Close() }()
			got, err := io.ReadAll(res.Body)
			if err != nil || !bytes.Equal(body, got) || res.Head.Headers[0].Value != key {
				t.Errorf("%s: got the answer of %s, %d of %d bytes, %v", key, res.Head.Headers[0].Value, len(got), len(body), err)
			}
		})
	}
	wg.Wait()
}

// Guards against late answers of cancelled requests that reach a later request.
func TestLateAnswersAreDropped(t *testing.T) {
	release := make(chan struct{})
	_, client, address := start(t, func(ctx context.Context, req *Request, w ResponseWriter) error {
		if req.Head.Key == "late" {
			<-release
		}
		return echo(ctx, req, w)
	})
	res, err := client.Do(context.Background(), address, request("first", nil))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, address, request("late", []byte("late body")))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, ErrNotSent)
	close(release)
	for range 20 {
		res, err := client.Do(context.Background(), address, request("next", []byte("next body")))
		require.NoError(t, err)
		got, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.Equal(t, "next body", string(got))
		require.Equal(t, "next", res.Head.Headers[0].Value)
		require.NoError(t, res.Body.Close())
	}
}

// Guards against a truncated body that looks whole: after a handler's error, after a handler that
// ignored a failed write, after a panic, and after a lost connection.
func TestTruncatedBodyNeverLooksWhole(t *testing.T) {
	for name, end := range map[string]func(ctx context.Context, s **Server, w ResponseWriter) error{
		"error": func(context.Context, **Server, ResponseWriter) error { return errors.New("target broke off") },
		"panic": func(context.Context, **Server, ResponseWriter) error { panic("handler") },
		"ignored write error": func(ctx context.Context, _ **Server, w ResponseWriter) error {
			for range 2 * window / 1024 { // More than the reader has read.
				_, _ = w.Write(make([]byte, 1024))
			}
			return nil
		},
		"lost connection": func(_ context.Context, s **Server, w ResponseWriter) error {
			for _, c := range (*s).connections() {
				_ = c.gnet.Close()
				<-c.ctx.Done()
			}
			_, _ = w.Write([]byte("lost"))
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			var server *Server
			handled := make(chan struct{})
			server, client, address := start(t, func(ctx context.Context, _ *Request, w ResponseWriter) error {
				if err := w.WriteHead(&wire.ResponseHead{Status: 200}); err != nil {
					return err
				}
				_, _ = w.Write([]byte("half"))
				<-handled
				return end(ctx, &server, w)
			})
			res, err := client.Do(context.Background(), address, &Request{Head: &wire.RequestHead{TimeoutMs: 200}})
			require.NoError(t, err)
			close(handled)
			if name == "ignored write error" {
				time.Sleep(300 * time.Millisecond)
			}
			_, err = io.ReadAll(res.Body)
			require.ErrorIs(t, err, ErrTruncated)
			require.NoError(t, res.Body.Close())
		})
	}
}

// Guards against a receiver that does not read and makes the sender buffer without a bound, in both directions.
func TestSlowReceiverBlocksTheSender(t *testing.T) {
	const total = 8 << 20
	var sent atomic.Int64
	_, client, address := start(t, func(_ context.Context, req *Request, w ResponseWriter) error {
		if req.Body != nil {
			time.Sleep(50 * time.Millisecond)
			n, err := io.Copy(io.Discard, req.Body)
			sent.Store(n)
			return errors.Join(err, w.WriteHead(&wire.ResponseHead{Status: 200}))
		}
		if err := w.WriteHead(&wire.ResponseHead{Status: 200}); err != nil {
			return err
		}
		for range total / maxData {
			if _, err := w.Write(make([]byte, maxData)); err != nil {
				return err
			}
			sent.Add(maxData)
		}
		return nil
	})
	res, err := client.Do(context.Background(), address, request("down", nil))
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	require.LessOrEqual(t, sent.Load(), int64(window))
	n, err := io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	require.EqualValues(t, total, n)
	require.NoError(t, res.Body.Close())

	up := &countingReader{left: total}
	res, err = client.Do(context.Background(), address, &Request{Head: &wire.RequestHead{}, Body: up})
	require.NoError(t, err)
	require.LessOrEqual(t, up.early.Load(), int64(window+2*maxData))
	require.EqualValues(t, total, sent.Load())
	require.NoError(t, res.Body.Close())
}

// countingReader counts the bytes read in its first 40 ms.
type countingReader struct {
	left  int
	first time.Time
	early atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if r.first.IsZero() {
		r.first = time.Now()
	}
	n := min(len(p), r.left)
	r.left -= n
	if time.Since(r.first) < 40*time.Millisecond {
		r.early.Add(int64(n))
	}
	return n, nil
}

// Guards against work that goes on for nobody: after a cancelled call, a passed deadline and a lost connection.
func TestHandlerContextEnds(t *testing.T) {
	ended := make(chan error, 1)
	_, client, address := start(t, func(ctx context.Context, _ *Request, _ ResponseWriter) error {
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	})
	// The deadline comes first, because its request also waits for the connection.
	_, err := client.Do(context.Background(), address, &Request{Head: &wire.RequestHead{TimeoutMs: 10}})
	require.ErrorIs(t, err, ErrTruncated)
	require.ErrorIs(t, <-ended, context.DeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, address, request("", nil))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, <-ended, context.Canceled)
	time.AfterFunc(10*time.Millisecond, client.Close)
	_, err = client.Do(context.Background(), address, request("", nil))
	require.ErrorIs(t, err, ErrTruncated)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Error(t, <-ended)
}

// Guards against connections from processes that do not know the cluster secret, and against errors
// that hide that such a request did not run.
func TestWrongSecretIsRefusedAsNotSent(t *testing.T) {
	var runs atomic.Int32
	_, _, address := start(t, func(context.Context, *Request, ResponseWriter) error { runs.Add(1); return nil })
	stranger := NewClient(ClientOptions{Secret: []byte("other")})
	defer stranger.Close()
	_, err := stranger.Do(context.Background(), address, request("k", nil))
	require.ErrorIs(t, err, ErrNotSent)

	// A process that does not check the server must not get through either.
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	sendRaw(t, conn, []byte("other"))
	rest, _ := io.ReadAll(conn)
	require.Empty(t, rest)
	require.Zero(t, runs.Load())
}

// Guards against a stop that cuts off running requests, or that starts new ones.
func TestCloseLetsStreamsFinish(t *testing.T) {
	started := make(chan struct{}, 1)
	server, client, address := start(t, func(ctx context.Context, req *Request, w ResponseWriter) error {
		started <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		return echo(ctx, req, w)
	})
	closed := make(chan error, 1)
	go func() {
		<-started
		closed <- server.Close(context.Background())
	}()
	res, err := client.Do(context.Background(), address, request("k", bytes.Repeat([]byte("x"), 200_000)))
	require.NoError(t, err)
	got, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Len(t, got, 200_000)
	require.NoError(t, res.Body.Close())
	require.NoError(t, <-closed)
	_, err = client.Do(context.Background(), address, request("k", nil))
	require.ErrorIs(t, err, ErrNotSent)
}

// Guards against a client that can't be closed while a server that is stopping still answers.
func TestClientCloseEndsRetiredConnections(t *testing.T) {
	server, client, address := start(t, func(ctx context.Context, _ *Request, _ ResponseWriter) error {
		<-ctx.Done()
		return ctx.Err()
	})
	failed := make(chan error, 1)
	go func() {
		_, err := client.Do(context.Background(), address, request("k", nil))
		failed <- err
	}()
	running := func() bool { return len(server.connections()) == 1 && server.connections()[0].running.Load() == 1 }
	require.Eventually(t, running, time.Second, time.Millisecond)
	go func() { _ = server.Close(context.Background()) }()
	p := client.pool(address)
	require.Eventually(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.conns) == 0 }, time.Second, time.Millisecond)
	client.Close()
	require.ErrorIs(t, <-failed, ErrTruncated)
}

// Guards against refusals of the gate that lose their kind, also when the context has ended.
func TestRefusalIsAWholeAnswer(t *testing.T) {
	_, client, address := start(t, func(context.Context, *Request, ResponseWriter) error {
		return answer.Refuse(answer.Moving, "the slice moves")
	})
	res, err := client.Do(context.Background(), address, request("k", nil))
	require.NoError(t, err)
	require.EqualValues(t, 503, res.Head.Status)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), `"kind":"moving"`)
	require.NoError(t, res.Body.Close())
}

// Guards against one connection that starts streams without a bound.
func TestStreamsAreBounded(t *testing.T) {
	var most atomic.Int64
	release := make(chan struct{})
	server, client, address := start(t, func(context.Context, *Request, ResponseWriter) error {
		<-release
		return answer.Refuse(answer.Shed, "")
	})
	var wg sync.WaitGroup
	for range 1200 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			res, err := client.Do(ctx, address, request("k", nil))
			if err == nil {
				_ = res.Body.Close()
			}
		})
	}
	time.AfterFunc(300*time.Millisecond, func() {
		for _, c := range server.connections() {
			most.Store(max(most.Load(), int64(c.running.Load())))
		}
		close(release)
	})
	wg.Wait()
	require.Positive(t, most.Load())
	require.LessOrEqual(t, most.Load(), int64(maxStreams))
}

// Guards against an address in use that is reported as another error, so that nobody finds the cause.
func TestAddressInUseIsNamed(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	_, err = Listen(ServerOptions{Address: taken.Addr().String(), Logger: &log.Logger{Level: log.PanicLevel}})
	require.ErrorContains(t, err, "address already in use")
}

// Guards against a server that stood still and then runs requests whose clients have cancelled them meanwhile.
func TestCancelledBeforeItIsReadNeverRuns(t *testing.T) {
	var ran atomic.Int32
	_, _, address := start(t, func(context.Context, *Request, ResponseWriter) error {
		ran.Add(1)
		return nil
	})
	for range 50 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		sendRaw(t, conn, []byte("secret"), frame{kind: kindCancel, stream: 1})
		var frames decoder
		buffer := make([]byte, 1<<10)
		for ended := false; !ended; {
			n, err := conn.Read(buffer)
			require.NoError(t, err)
			require.NoError(t, frames.feed(buffer[:n], func(f frame) error {
				ended = ended || f.kind == kindReset || f.kind == kindEnd
				return nil
			}))
		}
		require.NoError(t, conn.Close())
	}
	require.Zero(t, ran.Load())
}
