package sidecar

import (
	"context"
	"maps"
	"slices"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
)

// The evacuated zones that a node knows come from its own reads or from other nodes. Versions of the store, which order by era and then by
// revision, decide which are later.

// followEvacuations applies changes of the set of evacuated zones.
func (n *node) followEvacuations(ctx context.Context) {
	n.followKind(ctx, platform.EvacuationKind, n.applyEvacuations)
}

// fetchEvacuations reads the evacuated zones without a watch.
func (n *node) fetchEvacuations(ctx context.Context) error {
	changes, version, err := n.listKind(ctx, platform.EvacuationKind)
	if err == nil {
		n.applyEvacuations(changes, version, true)
	}
	return err
}

// evacuatedAt returns the era and the revision of the evacuated zones.
func (n *node) evacuatedAt() (era, revision uint64) {
	version := n.state.evacuatedVersion.Load()
	return store.Era(version), store.Revision(version)
}

// toldVersion returns the version of evacuated zones that another node has read at the revision. A node of an earlier release names no era.
func (n *node) toldVersion(era, revision uint64) uint64 {
	if era == 0 {
		era = store.Era(n.state.evacuatedVersion.Load())
	}
	version, _ := store.VersionIn(era, revision) // One that is out of range orders somewhere, and the next list replaces it.
	return version
}

// applyToldEvacuations applies the evacuated zones that another node has read at the revision, if that is later.
func (n *node) applyToldEvacuations(zones []string, era, revision uint64) {
	version := n.toldVersion(era, revision)
	if version <= n.state.evacuatedVersion.Load() {
		return
	}
	changes := make([]store.Change, len(zones))
	for i, zone := range zones {
		changes[i].Name = zone
	}
	n.applyEvacuations(changes, version, true)
}

// applyEvacuations changes the set of evacuated zones, unless the current set is from a later version.
func (n *node) applyEvacuations(changes []store.Change, version uint64, replace bool) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	held := n.state.evacuatedVersion.Load()
	if version < held {
		n.lines.logLimited(func(l *log.Logger) {
			event.StaleObject.On(l).Str("object", platform.EvacuationKind).Uint64("version", version).Uint64("held", held).Send()
		})
		return
	}
	if held > 0 && store.Era(version) > store.Era(held) {
		n.zonesKeptUntil = n.clock.Now().Add(restoredZoneRetention)
	}
	listed := map[string]bool{}
	if !replace {
		maps.Copy(listed, *n.state.listedZones.Load())
	}
	deleted := map[string]bool{}
	for _, c := range changes {
		if c.Deleted {
			delete(listed, c.Name)
			deleted[c.Name] = true
		} else {
			listed[c.Name] = true
		}
	}
	n.state.listedZones.Store(&listed)
	n.state.evacuatedVersion.Store(version)
	n.updateEvacuated(deleted)
}

// updateEvacuated puts the listed zones in force. After the store came back from a copy, a zone that the list lacks stays evacuated for a while,
// unless its entry was deleted since: the copy may be older than the entry, which the operator then writes again. The caller holds applyMu.
func (n *node) updateEvacuated(deleted map[string]bool) {
	now := n.clock.Now()
	old, listed := *n.state.evacuated.Load(), *n.state.listedZones.Load()
	zones := map[string]clock.Instant{}
	for zone := range listed {
		zones[zone] = now
	}
	for zone, since := range old {
		if listed[zone] || now < n.zonesKeptUntil && !deleted[zone] {
			zones[zone] = since
		}
	}
	if maps.Equal(old, zones) {
		return
	}
	n.state.evacuated.Store(&zones)
	event.EvacuationsChanged.On(n.log).Any("zones", slices.Sorted(maps.Keys(zones))).Uint64("version", n.state.evacuatedVersion.Load()).Send()
	if _, wasEvacuated := old[n.settings.AvailabilityZone]; wasEvacuated {
		if _, isEvacuated := zones[n.settings.AvailabilityZone]; !isEvacuated {
			n.gate.zoneReturned()
		}
	}
	go n.post(n.coordinator.tick)
}

// releaseKeptZones ends the evacuation of zones that were kept after the store came back from a copy and are still not listed.
func (n *node) releaseKeptZones(now clock.Instant) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if n.zonesKeptUntil > 0 && now >= n.zonesKeptUntil {
		n.zonesKeptUntil = 0
		n.updateEvacuated(nil)
	}
}
