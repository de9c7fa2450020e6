package replica

import (
	"github.com/cespare/xxhash/v2"

	"github.com/citronvane/citronvane/internal/cluster"
)

// Source is what a replica follows: the platform if it is zero, else a peer.
type Source struct {
	// Peer is the name of the peer, empty for a seed peer.
	Peer string
	// Address is the control address of the peer.
	Address string
}

// Platform reports whether the source is the platform.
func (s Source) Platform() bool { return s == Source{} }

// String names the source in logs.
func (s Source) String() string {
	if s.Platform() {
		return "platform"
	}
	return s.Peer + "@" + s.Address
}

// Health is what a node knows about its possible sources.
type Health struct {
	// PlatformFailed says that the last call to the platform failed.
	PlatformFailed bool
	// Failed holds the control addresses that failed recently.
	Failed map[string]bool
	// Revisions holds the revisions of peers by name, as heard in heartbeats.
	Revisions map[string]uint64
	// Current is the name of the peer that the node follows now, or empty.
	Current string
	// Ahead is the name of a peer that has held a newer revision for too long, or empty.
	Ahead string
	// Seeds are control addresses from the settings, for a start while the platform is down.
	Seeds []string
}

// SelectSource returns what the node should follow.
func SelectSource(view *cluster.View, self string, h Health) Source {
	if s, ok := usablePeer(view, self, h.Ahead, h); ok {
		return s
	}
	if s, ok := zoneSource(view, self, h); ok {
		return s
	}
	if !h.PlatformFailed {
		return Source{}
	}
	if s, ok := newestPeer(view, self, h); ok {
		return s
	}
	for _, address := range h.Seeds {
		if !h.Failed[address] {
			return Source{Address: address}
		}
	}
	return Source{}
}

// zoneSource returns a peer of the own availability zone that follows the platform. It returns false
// if the node itself has to follow the platform.
func zoneSource(view *cluster.View, self string, h Health) (Source, bool) {
	own := view.Nodes[self]
	if own == nil || own.Gone() {
		return Source{}, false
	}
	first, second := platformFollowers(view, own.Location.AvailabilityZone)
	if self == first || self == second {
		return Source{}, false
	}
	// Half of the followers prefer each of the two.
	if xxhash.Sum64String(self)%2 == 1 {
		first, second = second, first
	}
	if s, ok := usablePeer(view, self, first, h); ok {
		return s, true
	}
	return usablePeer(view, self, second, h)
}

// platformFollowers returns the two lowest live node names of the zone, empty where there is none.
func platformFollowers(view *cluster.View, zone string) (first, second string) {
	for name, n := range view.Nodes {
		if n.Gone() || n.Location.AvailabilityZone != zone {
			continue
		}
		switch {
		case first == "" || name < first:
			first, second = name, first
		case second == "" || name < second:
			second = name
		}
	}
	return first, second
}

func usablePeer(view *cluster.View, self, name string, h Health) (Source, bool) {
	n := view.Nodes[name]
	if n == nil || n.Gone() || name == self {
		return Source{}, false
	}
	address := n.Addresses.Control
	if address == "" || h.Failed[address] {
		return Source{}, false
	}
	return Source{Peer: name, Address: address}, true
}

// newestPeer returns the peer with the highest revision above the view's; the lowest name among
// equals. A peer that is followed already stays, also when the node has caught up with it.
func newestPeer(view *cluster.View, self string, h Health) (Source, bool) {
	if s, ok := usablePeer(view, self, h.Current, h); ok {
		return s, true
	}
	var best Source
	bestRevision := view.Revision
	for name, revision := range h.Revisions {
		s, ok := usablePeer(view, self, name, h)
		if !ok || revision <= view.Revision || revision < bestRevision {
			continue
		}
		if revision > bestRevision || name < best.Peer {
			best, bestRevision = s, revision
		}
	}
	return best, !best.Platform()
}
