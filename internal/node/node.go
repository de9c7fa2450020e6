// Package node assembles the parts of a node and stops them in order. It makes
// no decisions.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/buildinfo"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/control"
	"github.com/citronvane/citronvane/internal/coordinator"
	"github.com/citronvane/citronvane/internal/entrance"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/gate"
	"github.com/citronvane/citronvane/internal/heartbeat"
	"github.com/citronvane/citronvane/internal/peer"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/replica"
	"github.com/citronvane/citronvane/internal/retry"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/telemetry"
)

// platformCallTimeout bounds a call to the platform, which answers in milliseconds when it is well.
const platformCallTimeout = 2 * time.Second

// Node is a running node.
type Node struct {
	settings  *settings.Settings
	logger    *log.Logger
	telemetry *telemetry.Telemetry

	store    *store.HTTPStore
	table    *routing.Table
	lease    *routing.Lease
	replica  *replica.Replica
	follower *replica.Follower
	peers    *peer.Client
	runner   *target.HTTPRunner
	gate     *gate.Gate
	targets  *target.Server
	control  *control.Control

	heartbeats *heartbeat.Transport
	peerServer *peer.Server
	relay      *relay.Server
	relayOut   *relay.Client
	entrance   *entrance.Handler
	retries    *retry.Budget
	fleet      *retry.FleetRatio
	callers    *http.Server
	// connections are those of callers.
	connections connections
	operators   *http.Server
	announce    *http.Server

	// background counts the goroutines that run until cancel is called.
	background sync.WaitGroup
	cancel     context.CancelFunc
	failed     chan error
}

// Run runs a node until ctx ends, then stops it gracefully.
func Run(ctx context.Context, s *settings.Settings) error {
	logger := newLogger(s)
	t, err := telemetry.Start(ctx, s.Telemetry, "citronvane-node", s.Node.Name)
	if err != nil {
		return err
	}
	n := &Node{settings: s, logger: logger, telemetry: t, failed: make(chan error, 8)}
	if err := n.build(); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		n.cancel()
		return err
	}
	event.NodeStarted.On(logger).Str("version", buildinfo.Version()).Str("callers", s.Listen.Callers).Send()
	select {
	case err := <-n.failed:
		n.stop()
		return err
	case <-ctx.Done():
		return n.stop()
	}
}

func newLogger(s *settings.Settings) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(s.Log.Level),
		Writer:  &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("node", s.Node.Name).Value(),
	}
}

// build creates all parts without starting any.
func (n *Node) build() error {
	var err error
	n.store, err = store.NewHTTPStore(store.HTTPOptions{
		URL:             "http://" + n.settings.Platform.Address,
		ReadsPerSecond:  n.settings.Platform.ReadsPerSecond,
		WritesPerSecond: n.settings.Platform.WritesPerSecond,
		CallTimeout:     platformCallTimeout,
	})
	if err != nil {
		return err
	}
	n.table = routing.NewTable()
	n.lease = &routing.Lease{}
	n.replica = replica.New(n.logger)
	n.peers = peer.NewClient(n.settings.Cluster.Secret)
	n.follower = replica.NewFollower(replica.FollowerOptions{
		Replica: n.replica,
		Store:   n.store,
		Peers:   n.peers,
		Self:    n.settings.Node.Name,
		Seeds:   n.settings.Seeds,
		Log:     n.logger,
	})
	if err := n.buildGate(); err != nil {
		return err
	}
	n.buildControl()
	return n.buildEntrance()
}

func (n *Node) buildGate() error {
	n.runner = &target.HTTPRunner{}
	g, err := gate.New(gate.Config{
		Node:                  n.settings.Node.Name,
		Table:                 n.table,
		Lease:                 n.lease,
		Clock:                 clock.Boot{},
		Runner:                n.runner,
		SetRunnerTarget:       n.runner.Use,
		Logger:                n.logger,
		WallClock:             time.Now,
		BroadcastPoisonReport: n.sharePoison,
	})
	n.gate = g
	return err
}

func (n *Node) buildControl() {
	n.control = control.New(control.Options{
		Identity: control.Identity{
			Name:      n.settings.Node.Name,
			Location:  n.settings.Location(),
			Addresses: n.settings.Addresses(),
			Tag:       uint16(rand.Uint32()),
		},
		Clock:         clock.Boot{},
		Store:         n.store,
		Planner:       coordinator.New(),
		Gate:          n.gate,
		Peers:         n.peers,
		Replica:       n.replica,
		Table:         n.table,
		Lease:         n.lease,
		Log:           n.logger,
		Heard:         n.heard,
		RetryPermille: n.retryPermille,
	})
	n.targets = target.NewServer(target.ServerConfig{
		Table:     n.table,
		Lease:     n.lease,
		Clock:     clock.Boot{},
		Work:      n.gate,
		Logger:    n.logger,
		Load:      n.gate.ReportLoad,
		Listeners: []target.Listener{n.gate, n.control},
	})
}

func (n *Node) buildEntrance() error {
	n.relayOut = relay.NewClient(relay.ClientOptions{Secret: []byte(n.settings.Cluster.Secret)})
	n.fleet = retry.NewFleetRatio()
	n.retries = retry.NewBudget(clock.Boot{}.Now())
	var err error
	n.entrance, err = entrance.New(entrance.Options{
		Name:             n.settings.Node.Name,
		AvailabilityZone: n.settings.Node.AvailabilityZone,
		Table:            n.table,
		Relay:            n.relayOut,
		Gate:             n.gate,
		Clock:            clock.Boot{},
		Budget:           n.retries,
		Logger:           n.logger,
	})
	return err
}

// start binds all addresses and starts the goroutines.
func (n *Node) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var err error
	n.heartbeats, err = heartbeat.Start(n.settings.Listen.Heartbeat, []byte(n.settings.Cluster.Secret), n.control, n.logger)
	if err != nil {
		return err
	}
	n.relay, err = relay.Listen(relay.ServerOptions{
		Address: n.settings.Listen.Relay,
		Secret:  []byte(n.settings.Cluster.Secret),
		Handler: n.gate,
		Logger:  n.logger,
	})
	if err != nil {
		return err
	}
	if err := n.startPeerServer(); err != nil {
		return err
	}
	n.background.Go(func() { n.follower.Run(ctx) })
	n.background.Go(func() { n.forwardViews(ctx) })
	n.background.Go(func() { n.control.Run(ctx, n.heartbeats) })
	n.background.Go(func() { n.targets.Watch(ctx) })
	return n.startHTTP()
}

func (n *Node) startPeerServer() error {
	listener, err := net.Listen("tcp", n.settings.Listen.Control)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "Free the control address or set another one.", "listen for control calls")
	}
	n.peerServer = peer.NewServer(n.settings.Cluster.Secret, backend{n}, n.replica, n.logger)
	n.background.Go(func() { n.report(n.peerServer.Serve(listener)) })
	return nil
}

// report ends the node because a part of it failed; only the first failure counts.
func (n *Node) report(err error) {
	if err == nil {
		return
	}
	select {
	case n.failed <- err:
	default:
	}
}

// forwardViews hands each view of the replica to the control goroutine, from the first complete one on.
func (n *Node) forwardViews(ctx context.Context) {
	select {
	case <-n.follower.Synced():
	case <-ctx.Done():
		return
	}
	for {
		changed := n.replica.Changed()
		n.control.ViewChanged(n.replica.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
