package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
)

// startSpread spreads the first calls of nodes that start together.
const startSpread = 200 * time.Millisecond

// follow keeps apply informed of all objects of a kind: first with the whole list, then with each change. replace says
// that the objects are all that there are.
func (n *node) follow(ctx context.Context, kind string, apply func(changes []store.Change, replace bool)) {
	if !sleep(ctx, time.Duration(rand.Int64N(int64(startSpread)))) {
		return
	}
	var since uint64
	listed := false
	for ctx.Err() == nil {
		var changes []store.Change
		var err error
		if !listed {
			var objects []store.Object
			objects, since, err = n.store.List(ctx, kind)
			for _, o := range objects {
				changes = append(changes, store.Change{Object: o})
			}
		} else {
			var revision uint64
			changes, revision, err = n.store.Watch(ctx, kind, since, watchWait)
			if err == nil {
				since = max(since, revision)
			}
		}
		switch {
		case err == nil:
			if !listed || len(changes) > 0 {
				apply(changes, !listed)
			}
			listed = true
		case errs.Is(err, errs.Compacted):
			listed = false
		default:
			// A watch that failed may have missed nothing, but a list settles it for the price of one call.
			listed = false
			sleep(ctx, storeRetry+time.Duration(rand.Int64N(int64(storeRetry))))
		}
	}
}

// followConfig keeps the newest configuration in force.
func (n *node) followConfig(ctx context.Context) {
	n.follow(ctx, platform.ConfigKind, func(changes []store.Change, _ bool) {
		for _, c := range changes {
			if c.Name == platform.ConfigName && !c.Deleted {
				n.applyConfig(c)
			}
		}
	})
}

func (n *node) applyConfig(c store.Change) {
	next, err := platform.DecodeConfig(c.Value)
	if err != nil {
		event.ConfigUnread.On(n.log).Uint64("revision", c.Version).Err(err).Send()
		return
	}
	old := n.state.config.Load()
	if old != nil && next.Version <= old.Version {
		return // Never back to an older version.
	}
	n.state.config.Store(next)
	event.ConfigInForce.On(n.log).Uint64("version", next.Version).Uint64("revision", c.Version).Send()
	n.entrance.configured(next)
	n.gate.configured(next)
}

// followEvacuations keeps the set of zones that are out of service.
func (n *node) followEvacuations(ctx context.Context) {
	n.follow(ctx, platform.EvacuationKind, func(changes []store.Change, replace bool) {
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
		n.state.evacuated.Store(&zones)
		event.EvacuationsSeen.On(n.log).Any("zones", zoneNames(zones)).Send()
		if _, was := old[n.settings.AvailabilityZone]; was {
			if _, out := zones[n.settings.AvailabilityZone]; !out {
				n.gate.returned(now)
			}
		}
		n.post(n.coordinator.tick)
	})
}

func zoneNames(zones map[string]clock.Instant) []string {
	names := make([]string, 0, len(zones))
	for zone := range zones {
		names = append(names, zone)
	}
	return names
}

// listOnce reads the view at the start, so that the node can serve before a coordinator polls it.
func (n *node) listOnce(ctx context.Context) {
	sleep(ctx, time.Duration(rand.Int64N(int64(startSpread))))
	for ctx.Err() == nil {
		v, err := n.list(ctx)
		if err == nil {
			n.post(func(now clock.Instant) {
				n.coordinator.take(now, n.state.view.Load().Merge(v))
				n.state.listed.Store(true)
			})
			return
		}
		sleep(ctx, storeRetry+time.Duration(rand.Int64N(int64(storeRetry))))
	}
}
