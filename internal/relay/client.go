package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronvane/citronvane/internal/errs"
)

// cancelWait is how long a request waits for the answer to its cancellation: a round trip between zones, up to 2.8 ms, and the
// scheduling of the server. The entrance has 10 ms left to its caller's deadline.
const cancelWait = 5 * time.Millisecond

// ClientOptions configures a Client.
type ClientOptions struct {
	// Secret is the cluster secret that servers have to prove.
	Secret []byte
}

// Client sends requests over pooled connections, many at a time on each.
type Client struct {
	opts   ClientOptions
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client without connections.
func NewClient(opts ClientOptions) *Client {
	c := &Client{opts: opts, pools: map[string]*pool{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close closes all connections and ends their streams with ErrTruncated.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	pools := c.pools
	c.pools = map[string]*pool{}
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
	c.wg.Wait()
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = newPool(c, address)
		c.pools[address] = p
	}
	return p
}

// Do sends the request and returns when the head of the answer has arrived.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	head, err := proto.Marshal(req.Head)
	if err != nil {
		return nil, notSent(err)
	}
	if len(head) > maxHead {
		return nil, notSent(errs.New(errs.TooLarge, "Send fewer or shorter headers.",
			"relay: the head of the request has %d bytes, more than %d", len(head), maxHead))
	}
	call, err := c.start(ctx, address, head, req.Body != nil)
	if err != nil {
		return nil, notSent(err)
	}
	if req.Body != nil {
		call.sendBody(req.Body)
	}
	response, err := call.stream.awaitHead()
	if err != nil {
		call.stop()
		call.abort(err)
		if call.withdrawn.Load() {
			return nil, notSent(fmt.Errorf("%w: %w", ErrWithdrawn, err))
		}
		if ctx.Err() != nil && !errors.Is(err, context.Cause(ctx)) { // The server answered the cancellation.
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, fmt.Errorf("relay: no answer from %s: %w", address, err)
	}
	return &Response{Head: response, Body: call}, nil
}

// start hands the head to a connection unless the context has ended. After an error no connection got a byte of it.
func (c *Client) start(ctx context.Context, address string, head []byte, body bool) (*call, error) {
	first := kindBodiless
	if body {
		first = kindRequest
	}
	p := c.pool(address)
	for {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		conn, s, err := p.open(ctx)
		if err != nil {
			return nil, err
		}
		call := &call{conn: conn, stream: s}
		call.stop = context.AfterFunc(ctx, func() { call.cancel(context.Cause(ctx)) })
		if err = conn.start(s, first, head); err == nil {
			return call, nil
		}
		call.stop()
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		// The connection was lost in between; another one may work.
	}
}

func notSent(err error) error { return fmt.Errorf("relay: %w: %w", ErrNotSent, err) }

// call is a request that is under way, and the body of its answer.
type call struct {
	conn   *clientConn
	stream *stream
	stop   func() bool // only for the goroutine that called Do
	once   sync.Once
	told   sync.Once
	// withdrawn is set if the request was taken back before its head was sent.
	withdrawn atomic.Bool
}

// Read returns bytes of the answer.
func (c *call) Read(p []byte) (int, error) {
	n, err := c.stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("relay: %w", err)
	}
	return n, err
}

// Close gives the answer up if it is not whole.
func (c *call) Close() error {
	c.stop()
	c.abort(io.ErrClosedPipe)
	c.stream.discard()
	return nil
}

// abort ends the stream and tells the server unless the stream has ended already.
func (c *call) abort(err error) {
	c.once.Do(func() {
		// The identity is settled after fail, which passes the lock that start holds.
		c.stream.fail(err)
		if c.conn.remove(c.stream.id) {
			c.takeBack()
		}
	})
}

// takeBack takes the request out of the connection if its head has not been sent yet, and otherwise tells the server that no answer is
// wanted.
func (c *call) takeBack() {
	c.told.Do(func() {
		withdrawn := c.conn.out.withdraw(c.stream.id)
		c.withdrawn.Store(withdrawn)
		if !withdrawn {
			_ = c.conn.out.control(frame{kindCancel, c.stream.id, nil}) // A lost connection cancels by itself.
		}
	})
}

// cancel ends the request because its context has ended. If the deadline has passed, the server has cancelWait to answer that the
// request has not run.
func (c *call) cancel(cause error) {
	c.stream.stopSending(cause) // Settles the identity, as fail does.
	if !errors.Is(cause, context.Canceled) && !c.stream.hasHead() && c.conn.isOpen(c.stream.id) {
		c.takeBack()
		if !c.withdrawn.Load() {
			time.AfterFunc(cancelWait, func() { c.abort(cause) })
			return
		}
	}
	c.abort(cause)
}

// sendBody sends a body that is in memory at once, and any other one from a goroutine, because the
// answer may arrive before the body ends.
func (c *call) sendBody(body io.Reader) {
	if b, ok := body.(*bytes.Reader); ok && b.Len() <= window {
		_, err := b.WriteTo(c.stream)
		c.endBody(err)
		return
	}
	go func() {
		buffer := chunks.Get().(*chunk)
		defer chunks.Put(buffer)
		_, err := io.CopyBuffer(struct{ io.Writer }{c.stream}, struct{ io.Reader }{body}, buffer.buf[:])
		c.endBody(err)
	}()
}

func (c *call) endBody(err error) {
	if c.stream.stopped.Load() {
		return
	}
	if err != nil {
		_ = c.stream.out.control(frame{kindReset, c.stream.id, nil})
		c.abort(fmt.Errorf("read the body of the request: %w", err))
		return
	}
	_ = c.stream.out.send(c.stream, frame{kindEnd, c.stream.id, nil}) // A lost connection ends the stream by itself.
}
