package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/settings"
)

// leaveTimeout bounds the write that the node has left; the grantors revoke the node otherwise.
const leaveTimeout = 3 * time.Second

// stop leaves the fleet: slices are handed over, running requests finish, and the last write says
// that this incarnation is gone.
func (n *Node) stop() error {
	event.NodeStopping.On(n.logger).Send()
	ctx, cancel := context.WithTimeout(context.Background(), settings.StopTimeout)
	defer cancel()
	err := n.control.Drain(ctx)
	n.connections.awaitNone(ctx)
	err = errors.Join(err, n.callers.Shutdown(ctx))
	err = errors.Join(err, n.relay.Close(ctx))
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	err = errors.Join(err, n.control.Leave(leaveCtx))
	n.end(ctx)
	if err != nil {
		event.NodeStopFailed.On(n.logger).Err(err).Send()
		return err
	}
	event.NodeStopped.On(n.logger).Send()
	return nil
}

// end stops what serves no request any more.
func (n *Node) end(ctx context.Context) {
	for _, server := range []*http.Server{n.announce, n.operators} {
		_ = server.Close() // Polls of the target and operators' calls are repeated elsewhere.
	}
	n.peerServer.Stop(ctx)
	_ = n.heartbeats.Stop(ctx)
	n.cancel()
	n.background.Wait()
	n.relayOut.Close()
	n.peers.Close()
	n.runner.Close()
	n.store.Close()
	_ = n.gate.Close()
	_ = n.telemetry.Stop(ctx)
}
