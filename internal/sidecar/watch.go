package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
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
			listed, since, pause = true, max(since, revision), storeRetryDelay
		case errs.Is(err, errs.Compacted):
			listed = false
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

// followConfig applies each new configuration from the store.
func (n *node) followConfig(ctx context.Context) {
	n.followKind(ctx, platform.ConfigKind, func(changes []store.Change, _ uint64, _ bool) {
		for _, c := range changes {
			if c.Name == platform.ConfigName && !c.Deleted {
				n.applyConfig(c.Object)
			}
		}
	})
}

// fetchConfig reads the configuration without a watch.
func (n *node) fetchConfig(ctx context.Context) {
	if o, err := n.store.Get(ctx, platform.ConfigKind, platform.ConfigName); err == nil {
		n.applyConfig(o)
	}
}

// applyConfig applies a configuration unless it is older than the current one.
func (n *node) applyConfig(o store.Object) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if o.Version <= n.state.configVersion.Load() {
		return
	}
	next, err := platform.DecodeConfig(o.Value)
	if err != nil {
		event.ConfigInvalid.On(n.log).Uint64("revision", o.Version).Err(err).Send()
		return
	}
	old := n.state.config.Load()
	if old != nil && next.Version <= old.Version {
		return // Never return to an older version, even if the store object is newer.
	}
	n.state.config.Store(next)
	n.state.configBytes.Store(int64(len(o.Value)))
	n.state.configVersion.Store(o.Version)
	event.ConfigApplied.On(n.log).Uint64("version", next.Version).Uint64("revision", o.Version).Send()
	n.entrance.applyConfig(next)
	n.gate.applyConfig(next)
}

// followEvacuations applies changes of the set of evacuated zones.
func (n *node) followEvacuations(ctx context.Context) {
	n.followKind(ctx, platform.EvacuationKind, n.applyEvacuations)
}

// applyEvacuations changes the set of evacuated zones, unless the current set is from a later revision.
func (n *node) applyEvacuations(changes []store.Change, revision uint64, replace bool) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if revision < n.state.evacuatedRevision.Load() {
		return
	}
	now := n.clock.Now()
	old := *n.state.evacuated.Load()
	zones := map[string]clock.Instant{}
	if !replace {
		for zone, since := range old {
			zones[zone] = since
		}
	}
	for _, c := range changes {
		if c.Deleted {
			delete(zones, c.Name)
		} else if since, out := old[c.Name]; out {
			zones[c.Name] = since
		} else {
			zones[c.Name] = now
		}
	}
	n.state.evacuatedRevision.Store(revision)
	if maps.Equal(old, zones) {
		return
	}
	n.state.evacuated.Store(&zones)
	event.EvacuationsChanged.On(n.log).Any("zones", slices.Sorted(maps.Keys(zones))).Uint64("revision", revision).Send()
	if _, wasEvacuated := old[n.settings.AvailabilityZone]; wasEvacuated {
		if _, isEvacuated := zones[n.settings.AvailabilityZone]; !isEvacuated {
			n.gate.zoneReturned()
		}
	}
	go n.post(n.coordinator.tick)
}

// loadInitialView reads the view from the store at the start, so that the node can serve before the leader polls it.
func (n *node) loadInitialView(ctx context.Context) {
	sleep(ctx, time.Duration(rand.Int64N(int64(startJitter))))
	for ctx.Err() == nil {
		v, err := n.listView(ctx)
		if err == nil {
			n.post(func(now clock.Instant) {
				n.coordinator.installView(now, n.state.view.Load().Merge(v))
				n.state.viewLoaded.Store(true)
			})
			return
		}
		sleep(ctx, storeRetryDelay+time.Duration(rand.Int64N(int64(storeRetryDelay))))
	}
}
