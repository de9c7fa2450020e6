package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

// startJitter bounds the random delay of a node's first calls, so that nodes that start together do not call at once.
const startJitter = 200 * time.Millisecond

// followKind calls apply with all objects of a kind, and then with each change. replace is set if changes is the complete list at
// the revision.
func (n *node) followKind(ctx context.Context, kind string, apply func(changes []store.Change, revision uint64, replace bool)) {
	if !sleep(ctx, time.Duration(rand.Int64N(int64(startJitter)))) {
		return
	}
	var since uint64
	var listedAt time.Time
	listed := false
	pause := storeRetryDelay
	for ctx.Err() == nil {
		var changes []store.Change
		var revision uint64
		var err error
		if listed {
			changes, revision, err = n.store.Watch(ctx, kind, since, watchWait)
		} else {
			changes, revision, err = n.listKind(ctx, kind)
		}
		switch {
		case err == nil:
			if !listed || len(changes) > 0 {
				apply(changes, revision, !listed)
			}
			if !listed {
				listedAt = time.Now()
			}
			listed, since, pause = true, max(since, revision), storeRetryDelay
		case errs.Is(err, errs.Compacted):
			listed = false
			sleep(ctx, storeRetryDelay-time.Since(listedAt)) // A list from which no watch can start must not be repeated at once.
		default:
			// The failed watch may have missed changes. A list brings the state up to date with one call.
			listed = false
			sleep(ctx, pause+time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, maxStoreRetryDelay)
		}
	}
}

func (n *node) listKind(ctx context.Context, kind string) ([]store.Change, uint64, error) {
	objects, revision, err := n.store.List(ctx, kind)
	changes := make([]store.Change, len(objects))
	for i, o := range objects {
		changes[i] = store.Change{Object: o}
	}
	return changes, revision, err
}

// loadInitialView reads the view from the store at the start, so that the node can serve before the leader polls it.
func (n *node) loadInitialView(ctx context.Context) {
	sleep(ctx, time.Duration(rand.Int64N(int64(startJitter))))
	for ctx.Err() == nil {
		sent := n.clock.Now()
		v, err := n.listView(ctx)
		if err != nil {
			n.post(n.member.recordOutageAtStart)
		}
		if err == nil && len(v.Tables) > 0 {
			// The fleet has run before: callers may come at once, and a zone may be evacuated. The first poll makes up for a failed read,
			// which observeStoreCall logs.
			_, _ = n.fetchConfig(ctx), n.fetchEvacuations(ctx)
		}
		if err == nil {
			n.state.fleetRan.Store(len(v.Tables) > 0 || v.Targets[n.settings.Host] != nil)
			n.post(func(now clock.Instant) {
				n.member.followEra(now, store.Era(v.Revision))
				n.member.adoptListedRecord(v, sent)
				n.coordinator.installView(now, n.state.view.Load().Merge(v))
				n.state.viewLoaded.Store(true)
				n.coordinator.jitter = n.coordinator.newElectionJitter() // It depends on whether the fleet has run before.
			})
			return
		}
		sleep(ctx, storeRetryDelay+time.Duration(rand.Int64N(int64(storeRetryDelay))))
	}
}
