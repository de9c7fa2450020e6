package sidecar

import (
	"context"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/buildinfo"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/decision"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/memory"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/platform"
)

// Run runs the node until the context ends.
func Run(ctx context.Context, s *settings.Sidecar) error {
	bounds, err := platform.ReadBounds(s.Bounds)
	if err != nil {
		return err
	}
	out := newAsyncWriter(os.Stdout)
	defer out.close()
	l := newLogger(out, s.Node)
	n, err := newNode(s, bounds, l, out)
	if err != nil {
		return err
	}
	return n.run(ctx)
}

func newLogger(out io.Writer, name string) *logger {
	return &log.Logger{
		Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: log.IOWriter{Writer: out},
		Context: log.NewContext(nil).Str("node", name).Value(),
	}
}

func newNode(s *settings.Sidecar, bounds platform.Bounds, l *logger, out *asyncWriter) (*node, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	n := &node{
		settings: s, bounds: bounds, clock: clock.Boot{}, log: l, lines: newRequestLog(l, out), metrics: m, state: newState(), processIncarnation: rand.Uint64(), departures: departures{},
		upstream: upstream.NewClient(s.Target), relay: relay.NewClient(relay.ClientOptions{Secret: relaySecret}),
		controlEvents: make(chan func(clock.Instant), controlQueueSize), ctx: context.Background(),
	}
	n.memory = newMemoryGuard(s.MemoryMB)
	n.account = memory.NewAccount(int64(s.Callers.WithDefaults().MemoryShare * s.MemoryMB * bytesPerMB))
	n.callers = newConnTable(s, n.account)
	n.crashes = newCrashWatch(n.processIncarnation)
	n.store = platform.NewStore(s.Store.Address, n.observeStoreCall, n.observeRestore)
	n.quotas = newQuotas(n)
	n.gate = newGate(n)
	n.entrance = newEntrance(n)
	n.member = newMember(n)
	n.coordinator = newCoordinator(n)
	return n, nil
}

// servers are the HTTP servers of the node.
type servers struct {
	entrance, readiness, heartbeats, ownHeartbeats, metrics *http.Server
	entranceListener                                        *entranceListener
	failed                                                  chan error
	// cancelRequests cancels the pending requests of the entrance.
	cancelRequests context.CancelCauseFunc
}

// run serves until the context ends, and then shuts down gracefully.
func (n *node) run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.ctx = workCtx
	n.memory.limitCollector()
	event.SidecarStarted.On(n.log).Str("version", buildinfo.Version()).Str("host", n.settings.Host).Str("zone", n.settings.AvailabilityZone).
		Str("service", n.settings.Service).Str("relay", n.settings.Relay()).Send()
	relayServer, err := relay.Listen(relay.ServerOptions{Address: n.settings.Relay(), Secret: relaySecret, Handler: n.gate, Logger: n.log})
	if err != nil {
		return err
	}
	s, err := n.listen()
	if err != nil {
		return err
	}
	go n.controlLoop(workCtx)
	go n.supervise(workCtx, "initial view", n.loadInitialView)
	go n.lines.reportDropped(workCtx)
	go n.supervise(workCtx, "idle connections", n.entrance.idle.closeExpired)
	go n.supervise(workCtx, "callers", func(ctx context.Context) { n.callers.watchProgress(ctx, n.log, n.metrics) })
	go n.handleHangups(workCtx)
	select {
	case <-ctx.Done():
	case err := <-s.failed:
		return err
	}
	return n.stop(s, relayServer)
}

// listen starts the HTTP servers.
func (n *node) listen() (*servers, error) {
	s := &servers{failed: make(chan error, 4)}
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.state.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", n.metrics.Handler())
	metrics.HandleFunc("GET "+decision.Path, n.entrance.explainDecision)
	s.initEntrance(n.protectHandler("entrance", n.entrance))
	s.readiness = newHTTPServer(readiness)
	s.ownHeartbeats = newHTTPServer(n.protectHandler("heartbeats", platform.HeartbeatHandler(n.member, true)))
	s.ownHeartbeats.ErrorLog = stdlog.New(io.Discard, "", 0)
	s.heartbeats, s.metrics = newHTTPServer(n.protectHandler("heartbeats", platform.HeartbeatHandler(n.member, false))), newHTTPServer(n.protectHandler("metrics", metrics))
	trackIdle := trackHeads(n.entrance.idle.trackState)
	s.entrance.ConnState = func(c net.Conn, state http.ConnState) {
		trackIdle(c, state)
		n.callers.trackState(c, state)
	}
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{n.settings.Listen.Entrance, s.entrance},
		{n.settings.Listen.Readiness, s.readiness},
		{n.settings.Listen.Heartbeats, s.heartbeats},
		{n.settings.Listen.Metrics, s.metrics},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, "Free the address or set another one.", "listen on %s", l.address)
		}
		l.server.ErrorLog = stdlog.New(io.Discard, "", 0) // net/http logs dropped connections of callers, which the metrics count.
		if l.server == s.entrance {
			s.entranceListener = &entranceListener{Listener: listener}
			listener = callerListener{s.entranceListener, n.callers}
		}
		go func() {
			if err := l.server.Serve(credentialListener{sniffListener{listener, n.state.maxHead}, n.state.hasTenants}); err != http.ErrServerClosed {
				s.failed <- errs.Wrap(err, errs.Unavailable, "Start the node again.", "serve %s", l.address)
			}
		}()
	}
	n.listenForOwnHeartbeats(s.ownHeartbeats)
	return s, nil
}

// initEntrance creates the server of the entrance, whose pending requests can be cancelled.
func (s *servers) initEntrance(h http.Handler) {
	base, end := context.WithCancelCause(context.Background())
	s.entrance, s.cancelRequests = newHTTPServer(h), end
	s.entrance.BaseContext = func(net.Listener) context.Context { return base }
}

// handleHangups logs SIGHUP, which must not end the process. It reloads no settings: addresses can't change while the process runs,
// and there is nothing else to set.
func (n *node) handleHangups(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
			event.SidecarHangup.On(n.log).Send()
		case <-ctx.Done():
			return
		}
	}
}
