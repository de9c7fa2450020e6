package peer

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/citronvane/citronvane/internal/errs"
)

const (
	// idleLimit closes the connections that elections, handovers and notifications have left behind.
	idleLimit = time.Minute
	// connectTimeout lets a vote fail over to another grantor while the 1 s of a takeover lasts.
	connectTimeout = 300 * time.Millisecond
)

// pool keeps one connection for each control address.
type pool struct {
	token token

	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
}

type conn struct {
	cc        *grpc.ClientConn
	calls     int
	idleSince time.Time
}

func newPool(t token) *pool { return &pool{token: t, conns: map[string]*conn{}} }

// acquire returns the connection to the address. It has to be released.
func (p *pool) acquire(address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errs.New(errs.Unavailable, "", "the client for calls to other nodes is closed")
	}
	p.closeIdle(time.Now())
	c := p.conns[address]
	if c == nil {
		cc, err := p.dial(address)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "Check the control address in the settings of that node.", "connect to %q", address)
		}
		c = &conn{cc: cc}
		p.conns[address] = c
	}
	c.calls++
	return c, nil
}

func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.idleSince = time.Now()
}

func (p *pool) closeIdle(now time.Time) {
	for address, c := range p.conns {
		if c.calls == 0 && now.Sub(c.idleSince) >= idleLimit {
			c.cc.Close()
			delete(p.conns, address)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.cc.Close()
	}
	p.conns = map[string]*conn{}
}

// dial prepares a connection; gRPC opens it at the first call, and closes it when it is idle even if
// no later call lets closeIdle run.
func (p *pool) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithPerRPCCredentials(p.token),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(idleLimit),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.5, MaxDelay: time.Second},
			MinConnectTimeout: connectTimeout,
		}),
	)
}
