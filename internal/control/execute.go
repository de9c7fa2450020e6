package control

import (
	"context"
	"time"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/lease"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// platformTimeout bounds a call to a platform that is slow but not down.
	platformTimeout = 5 * time.Second

	// voteTimeout lets a lost call be repeated within the time budget of a takeover.
	voteTimeout = 200 * time.Millisecond

	// peerTimeout bounds calls that carry data.
	peerTimeout = 2 * time.Second

	// inFlightPoll is the resolution at which the end of the running requests of a slice is noticed.
	inFlightPoll = 2 * time.Millisecond
)

// execute carries out an action without blocking.
func (c *Control) execute(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Publish:
		c.options.Table.Publish(a.Snapshot)
	case SetLease:
		c.options.Lease.Set(a.End)
	case Renew:
		a.Renewal.RetryPermille = c.retryPermille()
		// A renewal that can't be sent is repeated like one that gets lost.
		_ = c.sender.Send(a.Address, a.Renewal)
		c.metrics.sent()
	case Read:
		c.start(func() { c.read(ctx, a) })
	case Write:
		c.start(func() { c.write(ctx, a) })
	case RequestVote:
		c.start(func() { c.requestVote(ctx, a) })
	case StartHandover:
		c.startHandover(ctx, a)
	case StopHandover:
		c.stopHandover(a.Slice)
	case Feed:
		c.options.Replica.Feed(a.Change)
	case Notify:
		c.notify(ctx, a)
	case Log:
		c.log(a)
	case Finished:
		close(c.left)
	}
}

func (c *Control) start(call func()) { c.calls.Go(call) }

func (c *Control) read(ctx context.Context, a Read) {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	object, err := c.options.Store.Get(callCtx, a.Key.Kind, a.Key.Name)
	c.post(ctx, ReadDone{Key: a.Key, Object: object, Err: err})
}

func (c *Control) write(ctx context.Context, a Write) {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	done := WriteDone{Write: a}
	if a.Value == nil {
		done.Err = c.options.Store.Delete(callCtx, a.Kind, a.Name, a.Expect)
	} else {
		done.Version, done.Err = c.options.Store.Put(callCtx, a.Kind, a.Name, a.Value, a.Expect)
	}
	c.post(ctx, done)
}

func (c *Control) requestVote(ctx context.Context, a RequestVote) {
	callCtx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	response, err := c.options.Peers.Vote(callCtx, a.Address, &wire.VoteRequest{
		Holder: toWire(a.Holder), Candidate: toWire(a.Candidate), Grantor: toWire(a.Grantor),
	})
	if err != nil || fromWire(response.GetGrantor()) != a.Grantor {
		return
	}
	c.post(ctx, VoteReceived{Holder: a.Holder, Grantor: a.Grantor, Vote: lease.Vote{
		Promised:  response.GetPromised(),
		Remaining: time.Duration(response.GetRemainingUs()) * time.Microsecond,
	}})
}

func (c *Control) notify(ctx context.Context, a Notify) {
	for _, address := range a.Addresses {
		c.start(func() {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			// A notification only saves time; the replica of the peer follows anyway.
			_ = c.options.Peers.Notify(callCtx, address, a.Change)
		})
	}
}

func (c *Control) startHandover(ctx context.Context, a StartHandover) {
	c.stopHandover(a.Move.Slice)
	moveCtx, cancel := context.WithCancel(ctx)
	c.handovers[a.Move.Slice] = cancel
	c.start(func() {
		defer cancel()
		err := c.handOver(moveCtx, a)
		c.post(ctx, HandoverSent{Move: a.Move, Err: err})
	})
}

func (c *Control) stopHandover(slice cluster.SliceID) {
	if cancel := c.handovers[slice]; cancel != nil {
		cancel()
		delete(c.handovers, slice)
	}
}

// handOver waits until nothing runs in the slice and sends its records to the next owner.
func (c *Control) handOver(ctx context.Context, a StartHandover) error {
	if err := c.awaitIdle(ctx, a.Move.Slice); err != nil {
		return err
	}
	return c.options.Peers.ImportIdentities(ctx, a.Address, &wire.IdentityBatch{
		Service:       a.Move.Slice.Service,
		Slice:         int32(a.Move.Slice.Index),
		Epoch:         a.Move.Epoch,
		TakeoverAgeMs: a.TakeoverAge.Milliseconds(),
		Identities:    c.options.Gate.ExportIdentities(a.Move.Slice),
	})
}

func (c *Control) awaitIdle(ctx context.Context, slice cluster.SliceID) error {
	poll := time.NewTicker(inFlightPoll)
	defer poll.Stop()
	for c.options.Gate.InFlight(slice) > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (c *Control) log(a Log) {
	line := a.Event.On(c.options.Log).Str("subject", a.Subject)
	if a.Err != nil {
		line = line.Err(a.Err)
	}
	line.Send()
}

func (c *Control) logVote(r *wire.VoteRequest, promised bool) {
	if promised {
		event.LeaseVotePromised.On(c.options.Log).Str("subject", fromWire(r.GetHolder()).String()).
			Str("candidate", fromWire(r.GetCandidate()).String()).Send()
	}
}
