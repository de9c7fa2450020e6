package node

import (
	"context"
	"time"

	"github.com/citronvane/citronvane/internal/buildinfo"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/peer"
	"github.com/citronvane/citronvane/internal/wire"
)

// permille converts a ratio to the unit of heartbeats.
const permille = 1000

// backend carries out the control calls of other nodes.
type backend struct{ n *Node }

// Vote answers a candidate that wants to revoke a holder.
func (b backend) Vote(_ context.Context, r *wire.VoteRequest) (*wire.VoteResponse, error) {
	return b.n.control.Vote(r), nil
}

// ImportIdentities takes the records of a slice that is handed to this node.
func (b backend) ImportIdentities(_ context.Context, batch *wire.IdentityBatch) (*wire.ImportResponse, error) {
	return &wire.ImportResponse{Accepted: b.n.control.ImportIdentities(batch)}, nil
}

// ReportPoison takes the suspects of a crash elsewhere.
func (b backend) ReportPoison(_ context.Context, r *wire.PoisonReport) (*wire.PoisonResponse, error) {
	b.n.gate.ReportPoison(r)
	return &wire.PoisonResponse{}, nil
}

// Status says what this node has in force.
func (b backend) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	status := b.n.control.Status()
	status.Version = buildinfo.Version()
	return status, nil
}

var _ peer.Backend = backend{}

// heard takes what a heartbeat says about its sender.
func (n *Node) heard(name string, revision uint64, retryPermille uint32) {
	n.follower.HeardRevision(name, revision)
	n.fleet.RecordPeer(name, float64(retryPermille)/permille, clock.Boot{}.Now())
}

// retryPermille returns this node's estimate of the fleet's retry ratio for its heartbeats, and
// adjusts its own budget to it.
func (n *Node) retryPermille() uint32 {
	now := clock.Boot{}.Now()
	ratio := n.fleet.Estimate(n.retries.Ratio(now), now)
	n.retries.SetFleetRatio(ratio)
	return uint32(ratio * permille)
}

// sharePoison sends a report of this node to all nodes of the same service. Crashes are rare, so that
// the calls need no tree.
func (n *Node) sharePoison(report *wire.PoisonReport) {
	snapshot := n.table.Load()
	for _, node := range snapshot.View.Nodes {
		if node.Gone() || node.ID.Name == n.settings.Node.Name || node.Target.Service != snapshot.Target.Service {
			continue
		}
		address := node.Addresses.Control
		n.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = n.peers.ReportPoison(ctx, address, report) // A node that is not reached learns by its own crash.
		})
	}
}
