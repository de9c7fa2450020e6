package node

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/coordinator"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/operator"
	"github.com/citronvane/citronvane/internal/target"
)

const (
	// headerTimeout ends connections that never send a request.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections of callers that keep them without use.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the bound of section 8 of the design page.
	maxHeaderBytes = 64 << 10
)

// startHTTP serves callers, operators and the target of this host.
func (n *Node) startHTTP() error {
	api := operator.New(operator.Options{
		Store:    n.store,
		Replica:  n.replica,
		Table:    n.table,
		Lease:    n.lease,
		Clock:    clock.Boot{},
		Peers:    n.peers,
		Capacity: zoneShortages,
		Token:    n.settings.Cluster.OperatorToken,
		Logger:   n.logger,
		Metrics:  n.telemetry.Handler(),
	})
	announcements := http.NewServeMux()
	announcements.Handle(target.AnnouncePath, n.targets)
	var err error
	if n.announce, err = n.serve("targets", n.settings.Listen.Targets, announcements, nil); err != nil {
		return err
	}
	if n.operators, err = n.serve("operators", n.settings.Listen.Operators, api, nil); err != nil {
		return err
	}
	n.callers, err = n.serve("callers", n.settings.Listen.Callers, n.entrance, n.connections.track)
	return err
}

func (n *Node) serve(name, address string, handler http.Handler, hook func(net.Conn, http.ConnState)) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "Free the address or set another one in listen."+name+".", "listen for %s", name)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         hook,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.report(errs.Wrap(err, errs.Internal, "Look at the log; start the node again.", "serve %s", name))
		}
	}()
	return server, nil
}

func zoneShortages(view *cluster.View, zone string) []operator.Shortage {
	var shortages []operator.Shortage
	for _, c := range coordinator.ZoneCapacity(view, zone) {
		if !c.Carried {
			shortages = append(shortages, operator.Shortage{Service: c.Service, Needed: c.Needed, Remaining: c.Remaining})
		}
	}
	return shortages
}
