package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/errs"
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

	// maxBatchBytes bounds a message with identity records.
	maxBatchBytes = 1 << 20
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
		c.options.Replica.Apply(changesOf(a.Change))
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
	changes := &wire.Changes{Revision: a.Change.Version, Changes: []*wire.Change{{
		Kind: a.Change.Kind, Name: a.Change.Name, Version: a.Change.Version, Value: a.Change.Value,
	}}}
	for _, address := range a.Addresses {
		c.start(func() {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			// A notification only saves time; the replica of the peer follows anyway.
			_ = c.options.Peers.Notify(callCtx, address, changes)
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
	for _, batch := range batches(a, c.options.Gate.ExportIdentities(a.Move.Slice)) {
		if err := c.sendBatch(ctx, a.Address, batch); err != nil {
			return err
		}
	}
	return nil
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

func (c *Control) sendBatch(ctx context.Context, address string, batch *wire.IdentityBatch) error {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := c.options.Peers.ImportIdentities(callCtx, address, batch)
	if err != nil {
		return err
	}
	if !response.GetAccepted() {
		return errs.New(errs.Unavailable, "Check the memory limits of the next owner.",
			"the next owner did not accept the identity records")
	}
	return nil
}

// batches splits the records into messages below the bound. There is always at least one, because the
// next owner learns the age of the last takeover from it.
func batches(a StartHandover, records []*wire.Identity) []*wire.IdentityBatch {
	newBatch := func() *wire.IdentityBatch {
		return &wire.IdentityBatch{
			Service: a.Move.Slice.Service, Slice: int32(a.Move.Slice.Index), Epoch: a.Move.Epoch,
			TakeoverAgeMs: a.TakeoverAge.Milliseconds(),
		}
	}
	batch, size := newBatch(), 0
	all := []*wire.IdentityBatch{batch}
	for _, record := range records {
		// Tag and length of the field take at most 5 bytes below the bound.
		bytes := proto.Size(record) + 5
		if size > 0 && size+bytes > maxBatchBytes {
			batch, size = newBatch(), 0
			all = append(all, batch)
		}
		batch.Identities = append(batch.Identities, record)
		size += bytes
	}
	return all
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
