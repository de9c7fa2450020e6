package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/replica"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/wire"
)

// The deadlines of the calls; a caller's own deadline holds if it is earlier.
const (
	// voteTimeout leaves time for a second attempt before the 1 s of a takeover is over.
	voteTimeout   = 200 * time.Millisecond
	notifyTimeout = 500 * time.Millisecond
	poisonTimeout = 500 * time.Millisecond
	statusTimeout = time.Second
	// importTimeout covers one batch of 1 MiB on a busy host.
	importTimeout = 2 * time.Second
	// followSilence ends a follow stream that has missed three signs of life, as from a frozen host.
	followSilence = 3*signOfLife + 500*time.Millisecond
	// identityBatchBytes bounds one batch of a handover.
	identityBatchBytes = 1 << 20
)

// Client calls other nodes by control address. Connections are shared between calls.
type Client struct {
	pool    *pool
	encoder *encoder
}

// NewClient returns a client that proves the cluster secret. It has to be closed.
func NewClient(secret string) *Client {
	return &Client{pool: newPool(newToken(secret)), encoder: newEncoder()}
}

// Close ends all connections.
func (c *Client) Close() { c.pool.close() }

type method[Req, Res any] func(wire.PeerClient, context.Context, Req, ...grpc.CallOption) (Res, error)

// call makes one unary call with a deadline.
func call[Req, Res any](ctx context.Context, c *Client, address string, limit time.Duration, m method[Req, Res], req Req) (Res, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var none Res
	conn, err := c.pool.acquire(address)
	if err != nil {
		return none, err
	}
	defer c.pool.release(conn)
	res, err := m(wire.NewPeerClient(conn.cc), ctx, req)
	if err != nil {
		return none, fromStatus(err, address)
	}
	return res, nil
}

// Vote asks a grantor to promise not to grant to a holder again.
func (c *Client) Vote(ctx context.Context, address string, r *wire.VoteRequest) (*wire.VoteResponse, error) {
	return call(ctx, c, address, voteTimeout, wire.PeerClient.Vote, r)
}

// Status asks a node what it has in force.
func (c *Client) Status(ctx context.Context, address string) (*wire.StatusResponse, error) {
	return call(ctx, c, address, statusTimeout, wire.PeerClient.Status, &wire.StatusRequest{})
}

// ReportPoison shares the fingerprints that were in flight when a target crashed.
func (c *Client) ReportPoison(ctx context.Context, address string, r *wire.PoisonReport) error {
	_, err := call(ctx, c, address, poisonTimeout, wire.PeerClient.ReportPoison, r)
	return err
}

// Notify delivers changes that this node wrote.
func (c *Client) Notify(ctx context.Context, address string, changes ...store.Change) error {
	for _, b := range replica.Split(changes) {
		if _, err := call(ctx, c, address, notifyTimeout, wire.PeerClient.Notify, c.encoder.encode(b)); err != nil {
			return err
		}
	}
	return nil
}

// ImportIdentities hands identity records to the next owner of a slice. Without an error, the next
// owner has accepted all of them. A batch without records is sent too, because it announces the handover.
func (c *Client) ImportIdentities(ctx context.Context, address string, b *wire.IdentityBatch) error {
	for _, part := range splitIdentities(b) {
		res, err := call(ctx, c, address, importTimeout, wire.PeerClient.ImportIdentities, part)
		if err != nil {
			return err
		}
		if !res.GetAccepted() {
			return errs.New(errs.Conflict, "Read the slice again before the next attempt.",
				"the node at %s did not accept the records of slice %s/%d", address, b.GetService(), b.GetSlice())
		}
	}
	return nil
}

func splitIdentities(b *wire.IdentityBatch) []*wire.IdentityBatch {
	part := func() *wire.IdentityBatch {
		return &wire.IdentityBatch{
			Service: b.GetService(), Slice: b.GetSlice(), Epoch: b.GetEpoch(), TakeoverAgeMs: b.GetTakeoverAgeMs(),
		}
	}
	parts := []*wire.IdentityBatch{part()}
	size := 0
	for _, identity := range b.GetIdentities() {
		bytes := proto.Size(identity)
		if size > 0 && size+bytes > identityBatchBytes {
			parts = append(parts, part())
			size = 0
		}
		last := parts[len(parts)-1]
		last.Identities = append(last.Identities, identity)
		size += bytes
	}
	return parts
}

// Follow passes each batch of a peer to apply until the stream ends, ctx is done or the peer is silent.
func (c *Client) Follow(ctx context.Context, address, follower string, since uint64, apply func(replica.Batch)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := c.pool.acquire(address)
	if err != nil {
		return err
	}
	defer c.pool.release(conn)
	silence := time.AfterFunc(followSilence, func() {
		cancel(errs.New(errs.Unavailable, "", "the node at %s sent nothing for %v", address, followSilence))
	})
	defer silence.Stop()
	stream, err := wire.NewPeerClient(conn.cc).Follow(ctx, &wire.FollowRequest{Since: since, Follower: follower})
	if err != nil {
		return fromStatus(err, address)
	}
	for {
		message, err := stream.Recv()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			return fromStatus(err, address)
		}
		silence.Reset(followSilence)
		batch, err := decode(message)
		if err != nil {
			return err
		}
		apply(batch)
	}
}
