package replica

import (
	"context"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/store"
)

const (
	watchWait = 30 * time.Second
	// callSlack is the time that a call to the platform may take beyond the wait that it asks for.
	callSlack = 10 * time.Second
	// watchPause lets changes that come in a burst share one watch: 8 followers of the platform then
	// make at most 800 of its 2,000 reads a second.
	watchPause = 10 * time.Millisecond
)

// Peers opens follow streams.
type Peers interface {
	// Follow passes each batch after the revision to apply, until the stream ends or ctx is done.
	// The error is of kind Compacted if the peer can't continue from the revision.
	Follow(ctx context.Context, address, follower string, since uint64, apply func(Batch)) error
}

// followPlatform applies the changes of the platform until an error.
func (f *Follower) followPlatform(ctx context.Context) error {
	list := f.replica.Revision() == 0
	for {
		if list {
			if err := f.listPlatform(ctx); err != nil {
				return err
			}
		}
		err := f.watchPlatform(ctx, watchWait)
		list = errs.Is(err, errs.Compacted)
		if err != nil && !list {
			return err
		}
		if list {
			event.ReplicaRelisted.On(f.log).Err(err).Send()
		}
		if !clock.Sleep(ctx, watchPause) {
			return ctx.Err()
		}
	}
}

func (f *Follower) listPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	objects, revision, err := f.store.List(ctx)
	if err != nil {
		return err
	}
	f.replica.Replace(objects, revision)
	f.succeeded(Source{})
	f.caughtUp()
	return nil
}

func (f *Follower) watchPlatform(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	changes, revision, err := f.store.Watch(ctx, f.replica.Revision(), wait)
	if err != nil {
		return err
	}
	f.replica.Apply(Batch{Changes: changes, Revision: revision})
	f.succeeded(Source{})
	return nil
}

func (f *Follower) caughtUp() {
	f.syncOnce.Do(func() { close(f.synced) })
}

// followPeer applies the changes of a peer until the stream ends.
func (f *Follower) followPeer(ctx context.Context, s Source) error {
	since := f.replica.Revision()
	err := f.peers.Follow(ctx, s.Address, f.self, since, f.receiver(s, since))
	if !errs.Is(err, errs.Compacted) {
		return err
	}
	event.ReplicaRelisted.On(f.log).Err(err).Send()
	return f.peers.Follow(ctx, s.Address, f.self, 0, f.receiver(s, 0))
}

// receiver returns the function that applies the batches of one stream. A stream from revision 0
// starts with a complete list, which also tells what was deleted.
func (f *Follower) receiver(s Source, since uint64) func(Batch) {
	listing := since == 0
	var listed []store.Object
	return func(b Batch) {
		f.succeeded(s)
		if !listing {
			f.replica.Apply(b)
			return
		}
		f.replica.Feed(b.Changes...)
		for _, c := range b.Changes {
			if !c.Deleted {
				listed = append(listed, c.Object)
			}
		}
		if b.Revision != 0 {
			f.replica.Replace(listed, b.Revision)
			f.caughtUp()
			listing, listed = false, nil
		}
	}
}
