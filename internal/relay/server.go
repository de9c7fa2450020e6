package relay

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
)

const (
	// eventLoops is the number of gnet loops. They only move bytes and decode heads; handlers run elsewhere.
	eventLoops = 2
	// keepAlive lets the kernel find peers that vanished without closing.
	keepAlive = 5 * time.Second
	// maxConnections bounds the connections. 600 nodes with 4 connections each use 2,400.
	maxConnections = 4096
	// trimInterval is how often the buffers of idle connections are freed.
	trimInterval = time.Second
	// farewell bounds how long Close waits for clients to leave. They close a connection with their last answer; one that
	// has not done so within the time in which probes find a lost server is stuck.
	farewell = (maxUnanswered + 1) * probeInterval
	// drainPoll is how often Close looks whether the streams have finished.
	drainPoll = 5 * time.Millisecond
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Address is the host:port to listen on.
	Address string
	// Secret is the cluster secret that clients have to prove.
	Secret  []byte
	Handler Handler
	Logger  *log.Logger
}

// Server takes request streams from other nodes.
type Server struct {
	gnet.BuiltinEventEngine
	opts    ServerOptions
	engine  gnet.Engine
	booted  chan struct{}
	stopped chan error
	limit   rate.Sometimes

	draining  atomic.Bool
	closeOnce sync.Once
	closeErr  error
	handlers  sync.WaitGroup

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// Listen starts a server. It returns after the address is bound.
func Listen(opts ServerOptions) (*Server, error) {
	if err := probe(opts.Address); err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "Free the relay address or set another one.", "relay: listen on %s", opts.Address)
	}
	s := &Server{
		opts:    opts,
		booted:  make(chan struct{}),
		stopped: make(chan error, 1),
		limit:   rate.Sometimes{Interval: time.Second},
		conns:   map[*serverConn]struct{}{},
	}
	go func() {
		s.stopped <- gnet.Run(s, "tcp://"+opts.Address,
			gnet.WithNumEventLoop(eventLoops),
			gnet.WithReuseAddr(true),
			gnet.WithTicker(true),
			gnet.WithTCPKeepAlive(keepAlive),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogger(engineLog{opts.Logger}))
	}()
	select {
	case <-s.booted:
		event.RelayListening.On(opts.Logger).Str("address", opts.Address).Send()
		return s, nil
	case err := <-s.stopped:
		return nil, errs.Wrap(err, errs.Unavailable, "Check that the relay address is free.", "relay: listen on %s", opts.Address)
	}
}

// probe reports why an address can't be bound. gnet hides that behind the error of a later call.
func probe(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return listener.Close()
}

// OnBoot keeps the engine for Close.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// Address returns the bound address.
func (s *Server) Address() (string, error) {
	fd, err := s.engine.Dup()
	if err != nil {
		return "", err
	}
	defer func() { _ = unix.Close(fd) }()
	name, err := unix.Getsockname(fd)
	if err != nil {
		return "", err
	}
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String(), nil
	case *unix.SockaddrInet6:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String(), nil
	}
	return "", errs.New(errs.Internal, "", "relay: the listener has an address of the unexpected type %T", name)
}

// OnOpen starts the handshake.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	full := len(s.conns) >= maxConnections
	s.mu.Unlock()
	if full || s.draining.Load() {
		return nil, gnet.Close
	}
	conn := newServerConn(s, c)
	c.SetContext(conn)
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	return frame{kindChallenge, 0, conn.challenge}.append(nil), gnet.None
}

// OnTraffic runs when bytes arrived and when a stream has something to send.
func (s *Server) OnTraffic(c gnet.Conn) (action gnet.Action) {
	defer func() {
		if p := recover(); p != nil { // gnet would end the process.
			event.RelayPanic.On(s.opts.Logger).Any("panic", p).Str("stack", string(debug.Stack())).Send()
			action = gnet.Close
		}
	}()
	conn, ok := c.Context().(*serverConn)
	if !ok {
		return gnet.Close
	}
	data, _ := c.Next(-1)
	err := conn.frames.feed(data, conn.receive)
	conn.begin()
	if err != nil {
		s.refused(c, err)
		return gnet.Close
	}
	if err := conn.flush(); err != nil {
		return gnet.Close
	}
	return gnet.None
}

// OnTick frees the buffers of idle connections.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	for _, conn := range s.connections() {
		conn.out.trim()
	}
	return trimInterval, gnet.None
}

// OnClose ends the streams of the connection.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	conn, ok := c.Context().(*serverConn)
	if !ok {
		return gnet.None
	}
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	conn.lost()
	return gnet.None
}

func (s *Server) refused(c gnet.Conn, err error) {
	s.limit.Do(func() {
		event.RelayRefused.On(s.opts.Logger).Str("peer", c.RemoteAddr().String()).Err(err).Send()
	})
}

// Close stops the server; later calls return the outcome of the first.
func (s *Server) Close(ctx context.Context) error {
	s.closeOnce.Do(func() { s.closeErr = s.close(ctx) })
	return s.closeErr
}

// close takes no new streams, waits until the running ones have finished or ctx ends and their clients have left, and
// closes the connections. It returns ctx.Err() if it cut streams off.
func (s *Server) close(ctx context.Context) error {
	s.draining.Store(true)
	for _, conn := range s.connections() {
		_ = conn.out.control(frame{kind: kindGoAway}) // A lost connection has no streams.
	}
	cut := s.drain(ctx)
	if cut != nil {
		event.RelayCut.On(s.opts.Logger).Err(cut).Send()
	} else {
		s.awaitClients(ctx)
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	err := s.engine.Stop(stop)
	for _, conn := range s.connections() {
		conn.lost()
	}
	s.awaitHandlers()
	<-s.stopped
	if cut != nil {
		return cut
	}
	return err
}

// awaitClients lets the clients close first: a connection that is closed while its client still sends is reset, and the
// kernel drops what it has not delivered.
func (s *Server) awaitClients(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, farewell)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for len(s.connections()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// awaitHandlers waits for handlers whose contexts have ended, but not for ones that ignore that.
func (s *Server) awaitHandlers() {
	done := make(chan struct{})
	go func() {
		s.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Second):
	}
}

// drain waits until no stream runs and all answers are with the kernel.
func (s *Server) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *Server) busy() bool {
	for _, conn := range s.connections() {
		if conn.running.Load() > 0 || conn.out.size() > 0 || conn.unsent.Load() > 0 {
			_ = conn.gnet.Wake(nil) // Measures unsent again.
			return true
		}
	}
	return false
}

func (s *Server) connections() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*serverConn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	return conns
}
