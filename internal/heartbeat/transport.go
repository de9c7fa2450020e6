package heartbeat

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/wire"
)

// Handler takes the messages. Its methods run on the transport's event loop and must not block.
type Handler interface {
	// Renewal returns the grant to send back, or nil for none.
	Renewal(r *wire.Renewal) *wire.Grant
	// Grant takes the answer to a renewal of this node.
	Grant(g *wire.Grant)
}

// Transport sends and receives heartbeats on one UDP socket.
type Transport struct {
	gnet.BuiltinEventEngine
	codec   *Codec
	handler Handler
	log     *log.Logger
	metrics metrics
	engine  gnet.Engine
	booted  chan struct{}
	done    chan error
	// logged limits the log lines about bad datagrams; dropped counts them all.
	logged  *rate.Limiter
	dropped atomic.Uint64

	// mu guards the socket, a duplicate of the event loop's, against use after Stop.
	mu     sync.RWMutex
	socket int
	local  netip.AddrPort
}

// Start binds the host:port address and serves it until Stop.
func Start(address string, secret []byte, h Handler, l *log.Logger) (*Transport, error) {
	t := &Transport{
		codec:   NewCodec(secret),
		handler: h,
		log:     l,
		metrics: newMetrics(),
		booted:  make(chan struct{}),
		done:    make(chan error, 1),
		logged:  rate.NewLimiter(1, 1),
		socket:  -1,
	}
	go t.run(address)
	select {
	case err := <-t.done:
		return nil, errs.Wrap(err, errs.Unavailable, "Free the heartbeat address or set another one.",
			"listen for heartbeats on %s", address)
	case <-t.booted:
	}
	if err := t.openSocket(); err != nil {
		_ = t.Stop(context.Background())
		return nil, err
	}
	return t, nil
}

func (t *Transport) run(address string) {
	// One loop is enough: a grantor of many holders gets some hundred datagrams a second.
	t.done <- gnet.Run(t, "udp://"+address, gnet.WithNumEventLoop(1), gnet.WithLogLevel(logging.ErrorLevel))
}

// openSocket duplicates the listening socket. gnet sends to an address only from within a callback,
// while renewals are sent by a timer.
func (t *Transport) openSocket() error {
	fd, err := t.engine.Dup()
	if err != nil {
		return errs.Wrap(err, errs.Internal, "", "duplicate the heartbeat socket")
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "", "read the heartbeat address")
	}
	t.socket = fd
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		t.local = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		t.local = netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return nil
}

// OnBoot is called by gnet once the socket is bound.
func (t *Transport) OnBoot(e gnet.Engine) gnet.Action {
	t.engine = e
	close(t.booted)
	return gnet.None
}

// Address returns the bound host:port address.
func (t *Transport) Address() string { return t.local.String() }

// Dropped returns the number of bad datagrams so far.
func (t *Transport) Dropped() uint64 { return t.dropped.Load() }

// Send sends a renewal to the heartbeat address of a grantor. It does not block.
func (t *Transport) Send(address string, r *wire.Renewal) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "Set the heartbeat address to an IP address and a port.",
			"heartbeat address %q", address)
	}
	datagram, err := t.codec.Seal(make([]byte, 0, MaxDatagramBytes),
		&wire.Datagram{Body: &wire.Datagram_Renewal{Renewal: r}})
	if err != nil {
		return err
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.socket < 0 {
		return errs.New(errs.Unavailable, "", "heartbeat transport is stopped")
	}
	if err := unix.Sendto(t.socket, datagram, unix.MSG_DONTWAIT, t.sockaddr(to)); err != nil {
		return errs.Wrap(err, errs.Unavailable, "", "send a renewal to %s", address)
	}
	t.metrics.sent("renewal", len(datagram))
	return nil
}

func (t *Transport) sockaddr(to netip.AddrPort) unix.Sockaddr {
	if t.local.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	}
	return &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}

// OnTraffic is called by gnet for each datagram.
func (t *Transport) OnTraffic(c gnet.Conn) gnet.Action {
	datagram, _ := c.Next(-1)
	d, err := t.codec.Open(datagram)
	if err != nil {
		t.drop(c, err)
		return gnet.None
	}
	t.metrics.received(len(datagram))
	if r := d.GetRenewal(); r != nil {
		t.answer(c, r)
	} else {
		t.handler.Grant(d.GetGrant())
	}
	return gnet.None
}

func (t *Transport) answer(c gnet.Conn, r *wire.Renewal) {
	g := t.handler.Renewal(r)
	if g == nil {
		return
	}
	datagram, err := t.codec.Seal(make([]byte, 0, MaxDatagramBytes),
		&wire.Datagram{Body: &wire.Datagram_Grant{Grant: g}})
	if err != nil {
		t.drop(c, err)
		return
	}
	if _, err := c.Write(datagram); err == nil {
		t.metrics.sent("grant", len(datagram))
	}
}

func (t *Transport) drop(c gnet.Conn, err error) {
	total := t.dropped.Add(1)
	t.metrics.drop(errs.KindOf(err))
	if t.logged.Allow() {
		from := strings.TrimSpace(c.RemoteAddr().String())
		event.DatagramDropped.On(t.log).Str("from", from).Uint64("total", total).Err(err).Send()
	}
}

// Stop closes the socket and waits for the event loop.
func (t *Transport) Stop(ctx context.Context) error {
	t.mu.Lock()
	if t.socket >= 0 {
		_ = unix.Close(t.socket)
		t.socket = -1
	}
	t.mu.Unlock()
	if err := t.engine.Stop(ctx); err != nil {
		return errs.Wrap(err, errs.Internal, "", "stop the heartbeat transport")
	}
	return <-t.done
}
