package sidecar

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/buildinfo"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/platform"
)

const (
	// leaveTime is how long a stopping node goes on serving. The platform asks for readiness once a second and sends no
	// new callers after two misses.
	leaveTime = 2200 * time.Millisecond
	// ownShare is the part of the time after leaveTime in which the own callers get their answers. The rest is for
	// other nodes' requests at the host's target.
	ownShare = 0.5
	// lastAnswerTime is how long the last answers may take to leave; it is a part of stopMargin.
	lastAnswerTime = 200 * time.Millisecond
	// stopMargin is the rest of the platform's grace that is left unused.
	stopMargin = 700 * time.Millisecond
)

// Run runs the node until the context ends.
func Run(ctx context.Context, s *settings.Sidecar) error {
	bounds, err := platform.ReadBounds(s.Bounds)
	if err != nil {
		return err
	}
	out := newOutput(os.Stdout)
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

func newNode(s *settings.Sidecar, bounds platform.Bounds, l *logger, out *output) (*node, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	n := &node{
		settings: s, bounds: bounds, clock: clock.Boot{}, log: l, lines: newLines(l, out), metrics: m, state: newState(), process: rand.Uint64(),
		upstream: upstream.NewClient(s.Target), relay: relay.NewClient(relay.ClientOptions{Secret: relaySecret}),
		control: make(chan func(clock.Instant), controlQueue), ctx: context.Background(),
	}
	n.store = platform.NewStore(s.Store.Address, n.observeStore)
	n.gate = newGate(n)
	n.entrance = newEntrance(n)
	n.member = newMember(n)
	n.coordinator = newCoordinator(n)
	return n, nil
}

// servers are the addresses that the node serves over HTTP.
type servers struct {
	entrance, readiness, heartbeats, metrics *http.Server
	failed                                   chan error
	// end ends the requests at the entrance.
	end context.CancelCauseFunc
}

// run serves until the context ends, and then stops without cutting off a request.
func (n *node) run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.ctx = work
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
	go n.loop(work)
	go n.listOnce(work)
	go n.followConfig(work)
	go n.followEvacuations(work)
	go n.lines.report(work)
	go n.entrance.idle.run(work)
	go n.reload(work)
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
	s.serveEntrance(n.entrance)
	s.readiness = serverFor(readiness)
	s.heartbeats, s.metrics = serverFor(platform.HeartbeatHandler(n.member)), serverFor(metrics)
	s.entrance.ConnState = n.entrance.idle.observe
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
		l.server.ErrorLog = stdlog.New(io.Discard, "", 0) // net/http reports callers that break off, which are counted.
		go func() {
			if err := l.server.Serve(sniffListener{listener}); err != http.ErrServerClosed {
				s.failed <- errs.Wrap(err, errs.Unavailable, "Start the node again.", "serve %s", l.address)
			}
		}()
	}
	return s, nil
}

// serveEntrance makes the server of the entrance, whose requests can be ended.
func (s *servers) serveEntrance(h http.Handler) {
	base, end := context.WithCancelCause(context.Background())
	s.entrance, s.end = serverFor(h), end
	s.entrance.BaseContext = func(net.Listener) context.Context { return base }
}

// errStopping ends requests that have no answer when the node has to end.
var errStopping = errors.New("the node ends")

// stop leaves: no new callers, then the end of what runs, then the end.
func (n *node) stop(s *servers, r *relay.Server) error {
	event.SidecarStopping.On(n.log).Send()
	end := n.clock.Now().Add(n.bounds.TerminationGracePeriod - stopMargin)
	n.state.stopEnd.Store(int64(end))
	n.state.draining.Store(true)
	n.post(n.coordinator.leave)
	time.Sleep(leaveTime)
	left := end.Sub(n.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	// Other nodes' requests for the host's target are taken until the own callers have their answers. Shutdown also
	// waits for connections that never sent a request.
	own, cancelOwn := context.WithTimeout(ctx, time.Duration(ownShare*float64(left)))
	defer cancelOwn()
	err1 := s.entrance.Shutdown(own)
	err2 := r.Close(ctx)
	if err1 != nil {
		err1 = n.lastAnswers(ctx, s)
	}
	for _, server := range []*http.Server{s.heartbeats, s.readiness, s.metrics} {
		_ = server.Close() // Their callers ask again.
	}
	line := event.SidecarStopped.On(n.log)
	if err1 != nil || err2 != nil {
		line.Any("entrance", err1).Any("relay", err2)
	}
	line.Send()
	return nil
}

// lastAnswers waits for the own callers' answers as long as the platform allows, and answers the rest that their outcome is
// unknown: a closed connection would say even less.
func (n *node) lastAnswers(ctx context.Context, s *servers) error {
	err := s.entrance.Shutdown(ctx)
	if err == nil {
		return nil
	}
	s.end(errStopping)
	last, cancel := context.WithTimeout(context.Background(), lastAnswerTime)
	defer cancel()
	return errs.Wrap(s.entrance.Shutdown(last), errs.Unavailable, "Look for events 6042 before it.", "requests were ended without an answer")
}

// reload reads the settings again at SIGHUP. Addresses can't change while the process runs, and nothing else is set.
func (n *node) reload(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
			event.SidecarReload.On(n.log).Send()
		case <-ctx.Done():
			return
		}
	}
}
