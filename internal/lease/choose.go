package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/citronvane/citronvane/internal/cluster"
)

// Costs of a set of grantors. In a set of three, each cost outweighs the sum of all lower ones.
const (
	// costRegion applies to each grantor by which the set misses the wanted number in the node's region.
	costRegion = 1000
	// costSameZone applies to each pair of grantors that fails together with an availability zone.
	costSameZone = 100
	// costSameRack applies to each pair of hosts, including the node itself, that fails together with a rack.
	costSameRack = 10
	// costOwnZone applies to each grantor in the node's own availability zone, so that the failure of
	// this zone leaves as many grantors as possible.
	costOwnZone = 1
)

// ChooseGrantors returns the set of grantors for the node self. Nodes for which avoid returns true, such
// as nodes that don't answer, are chosen only if there are no others. Current grantors stay unless they
// are ineligible or another set has a lower cost, so that a membership change replaces few grantors.
func ChooseGrantors(self *cluster.Node, nodes []*cluster.Node, avoid func(cluster.NodeID) bool) []cluster.NodeID {
	candidates := eligibleNodes(self, nodes, avoid)
	chosen := currentCandidates(self, candidates)
	for len(chosen) < MaxGrantors {
		best := cheapestCandidate(self, chosen, candidates)
		if best == nil {
			break
		}
		chosen = append(chosen, best)
	}
	improve(self, chosen, candidates)
	ids := make([]cluster.NodeID, 0, len(chosen))
	for _, n := range chosen {
		ids = append(ids, n.ID)
	}
	return ids
}

// eligibleNodes returns the live nodes other than self. Nodes to avoid are included only if there are no others.
func eligibleNodes(self *cluster.Node, nodes []*cluster.Node, avoid func(cluster.NodeID) bool) []*cluster.Node {
	var preferred, avoided []*cluster.Node
	for _, n := range nodes {
		switch {
		case n.State != cluster.Live || n.ID.Name == self.ID.Name:
		case avoid(n.ID):
			avoided = append(avoided, n)
		default:
			preferred = append(preferred, n)
		}
	}
	if len(preferred) == 0 {
		preferred = avoided
	}
	// Sorting by a hash of both names spreads the holders evenly over the grantors.
	hash := func(n *cluster.Node) uint64 { return xxhash.Sum64String(self.ID.Name + "/" + n.ID.Name) }
	slices.SortFunc(preferred, func(a, b *cluster.Node) int {
		if hash(a) < hash(b) {
			return -1
		}
		return 1
	})
	return preferred
}

// currentCandidates returns the current grantors that are still candidates, in the order of the node record.
func currentCandidates(self *cluster.Node, candidates []*cluster.Node) []*cluster.Node {
	var kept []*cluster.Node
	for _, id := range self.Grantors {
		i := slices.IndexFunc(candidates, func(n *cluster.Node) bool { return n.ID == id })
		if i >= 0 && len(kept) < MaxGrantors {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}

// cheapestCandidate returns the candidate that adds the least cost, the first one in case of a tie.
func cheapestCandidate(self *cluster.Node, chosen, candidates []*cluster.Node) *cluster.Node {
	var best *cluster.Node
	bestCost := 0
	for _, c := range candidates {
		if slices.Contains(chosen, c) {
			continue
		}
		if total := cost(self, append(slices.Clone(chosen), c)); best == nil || total < bestCost {
			best, bestCost = c, total
		}
	}
	return best
}

// improve replaces one grantor at a time for as long as this lowers the cost.
func improve(self *cluster.Node, chosen, candidates []*cluster.Node) {
	for i := 0; i < len(chosen); i++ {
		before := cost(self, chosen)
		others := slices.Delete(slices.Clone(chosen), i, i+1)
		best := cheapestCandidate(self, others, candidates)
		if best == nil || cost(self, append(slices.Clone(others), best)) >= before {
			continue
		}
		chosen[i] = best
		i = -1
	}
}

// cost returns the cost of the locations of a set of grantors; lower is better.
func cost(self *cluster.Node, set []*cluster.Node) int {
	total, inOwnRegion := 0, 0
	for i, n := range set {
		if n.Location.Region == self.Location.Region {
			inOwnRegion++
		}
		if sameZone(n, self) {
			total += costOwnZone
		}
		if sameRack(n, self) {
			total += costSameRack
		}
		for _, m := range set[:i] {
			if sameZone(n, m) {
				total += costSameZone
			}
			if sameRack(n, m) {
				total += costSameRack
			}
		}
	}
	// With two grantors in the node's own region, a network partition between regions leaves the
	// node a majority of its grantors.
	return total + costRegion*max(inOwnRegion-2, min(len(set), 2)-inOwnRegion, 0)
}

func sameZone(a, b *cluster.Node) bool {
	return a.Location.Region == b.Location.Region && a.Location.AvailabilityZone == b.Location.AvailabilityZone
}

func sameRack(a, b *cluster.Node) bool {
	return sameZone(a, b) && a.Location.Rack == b.Location.Rack
}
