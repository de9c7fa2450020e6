package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
)

func nodeID(i int) cluster.NodeID { return cluster.NodeID{Name: fmt.Sprintf("n%d", i), Incarnation: 1} }

func nodeIDs(indexes ...int) []cluster.NodeID {
	var set []cluster.NodeID
	for _, i := range indexes {
		set = append(set, nodeID(i))
	}
	return set
}

// simulation runs a holder, five possible grantors and a candidate in virtual time. Each of them has a
// clock with its own drift.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	rates    []float64
	holder   *Holder
	grantors []*Grantor
	tally    *VoteTally
	renewals []Renewal
	grants   []Renewal
	votes    []func()
	// record is the node record stored in the platform; writes are the conditional writes in flight.
	record  cluster.Node
	writes  []cluster.Node
	revoked bool
}

const (
	holderClock    = 5
	candidateClock = 6
)

func (w *simulation) clockTime(i int) clock.Instant {
	return clock.Instant(float64(w.now) * w.rates[i])
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: time.Hour}
	for i := range 7 {
		// A drift of up to half a percent in either direction gives two clocks a relative drift of up to one percent.
		w.rates = append(w.rates, 1+float64(rapid.IntRange(-497, 497).Draw(t, "drift"))/1e5)
		if i < holderClock {
			w.grantors = append(w.grantors, NewGrantor())
			w.grantors[i].AddIncarnation(nodeID(i))
		}
	}
	first := nodeIDs(0, 1, 2)[:rapid.IntRange(1, 3).Draw(t, "grantors")]
	w.record = cluster.Node{ID: nodeID(9), Version: 1, Grantors: first}
	w.holder = NewHolder(1, GrantorSets{Current: first})
	return w
}

func (w *simulation) index(id cluster.NodeID) int { return int(id.Name[1] - '0') }

// takeMessage takes a random message from the queue, which reorders messages. It may leave the message in
// the queue, which duplicates it. It returns false if the queue is empty or the message is lost.
func takeMessage[T any](t *rapid.T, queue *[]T) (T, bool) {
	var none T
	if len(*queue) == 0 {
		return none, false
	}
	i := rapid.IntRange(0, len(*queue)-1).Draw(t, "message")
	m := (*queue)[i]
	if rapid.IntRange(0, 9).Draw(t, "duplicate") > 0 {
		*queue = slices.Delete(*queue, i, i+1)
	}
	return m, rapid.IntRange(0, 9).Draw(t, "lost") > 0
}

func (w *simulation) renew() {
	w.renewals = append(w.renewals, w.holder.Due(w.clockTime(holderClock))...)
}

func (w *simulation) receiveRenewal() {
	r, ok := takeMessage(w.t, &w.renewals)
	if !ok {
		return
	}
	if i := w.index(r.Grantor); w.grantors[i].HandleRenewal(r.Grantor, nodeID(9), w.clockTime(i)) {
		w.grants = append(w.grants, r)
	}
}

func (w *simulation) receiveGrant() {
	if g, ok := takeMessage(w.t, &w.grants); ok {
		w.holder.HandleGrant(g.Grantor, g.Sequence, w.clockTime(holderClock))
	}
}

func (w *simulation) advance() {
	w.now += time.Duration(rapid.IntRange(1, 200).Draw(w.t, "ms")) * time.Millisecond
}

func (w *simulation) pause() {
	w.now += time.Duration(rapid.IntRange(200, 900).Draw(w.t, "ms")) * time.Millisecond
}

// changeGrantors sends a write that changes the grantors. Its outcome is unknown until the record is read.
func (w *simulation) changeGrantors() {
	next := w.record.Clone()
	next.Version = w.holder.version
	if len(w.holder.confirmed.Next) > 0 {
		next.Grantors, next.NextGrantors = w.holder.confirmed.Next, nil
	} else {
		next.Grantors, next.NextGrantors = w.holder.confirmed.Current, nodeIDs(2, 3, 4)[:rapid.IntRange(1, 3).Draw(w.t, "next")]
	}
	w.holder.Propose(next.Version, GrantorSets{Current: next.Grantors, Next: next.NextGrantors})
	w.writes = append(w.writes, *next)
}

func (w *simulation) applyWrite() {
	if write, ok := takeMessage(w.t, &w.writes); ok && !w.revoked && write.Version == w.record.Version {
		write.Version++
		w.record = write
	}
}

func (w *simulation) readBack() {
	if !w.revoked {
		w.holder.Confirm(w.record.Version, GrantorSets{Current: w.record.Grantors, Next: w.record.NextGrantors})
	}
}

func (w *simulation) startTally() {
	w.tally = NewVoteTally(w.record.Clone())
}

func (w *simulation) vote() {
	if w.tally == nil {
		return
	}
	i := w.index(rapid.SampledFrom(w.tally.Grantors()).Draw(w.t, "voter"))
	v := w.grantors[i].Vote(nodeID(i), nodeID(9), nodeID(8), w.clockTime(i))
	tally := w.tally
	w.votes = append(w.votes, func() { tally.Add(nodeID(i), v, w.clockTime(candidateClock)) })
}

func (w *simulation) receiveVote() {
	if add, ok := takeMessage(w.t, &w.votes); ok {
		add()
	}
}

func (w *simulation) revoke() {
	if w.tally == nil || w.tally.Version != w.record.Version {
		return
	}
	if at, won := w.tally.QuorumAt(); won && at <= w.clockTime(candidateClock) {
		w.revoked = true
	}
}

// repeat returns a step that runs each of the given steps several times. It makes common sequences likely;
// the single steps cover unusual ones.
func repeat(times int, steps ...func()) func() {
	return func() {
		for _, step := range steps {
			for range times {
				step()
			}
		}
	}
}

// Guards against two owners of a slice at the same time: with lost, delayed, duplicated and reordered
// messages, process pauses, clock drift and grantor changes with an unknown outcome, no revocation succeeds
// while the holder considers its lease valid, and the lease never becomes valid again after a revocation.
func TestNoRevocationDuringLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		exchange := repeat(4, w.receiveRenewal, w.receiveGrant)
		collectVotes := repeat(4, w.vote, w.receiveVote)
		steps := []func(){w.renew, w.receiveRenewal, w.receiveGrant, w.advance, w.pause, w.changeGrantors, w.applyWrite,
			w.readBack, w.startTally, w.vote, w.receiveVote, w.revoke, w.revoke,
			repeat(1, w.renew, exchange), repeat(1, w.renew, exchange), repeat(1, w.startTally, collectVotes)}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			if w.revoked && w.clockTime(holderClock) < w.holder.End() {
				t.Fatalf("the lease was revoked, but the holder considers it valid until %v; now %v", w.holder.End(), w.clockTime(holderClock))
			}
		}
	})
}

// Guards against margins that are too small for a relative clock drift of one percent.
func TestMarginsCoverDrift(t *testing.T) {
	const slow, fast = 0.99503, 1.00497
	holderEnds := float64(GrantDuration) / slow
	require.Greater(t, float64(ExpiryWait)/fast, holderEnds)
	for spent := time.Duration(0); spent < ExpiryWait; spent += time.Millisecond {
		waited := float64(spent)/fast + float64(RemainingOnLocalClock(ExpiryWait-spent))/fast
		require.Greater(t, waited, holderEnds)
		require.Greater(t, float64(spent)/slow+float64(RemainingOnLocalClock(ExpiryWait-spent))/fast, holderEnds)
	}
}

// Guards against a lease that expires in normal operation, or that is valid longer than its grants, which
// count from the time when the renewal was sent.
func TestLeaseFollowsSendTimes(t *testing.T) {
	h := NewHolder(1, GrantorSets{Current: nodeIDs(0, 1, 2)})
	due := h.Due(1000)
	require.Len(t, due, 3)
	require.True(t, h.HandleGrant(due[0].Grantor, due[0].Sequence, 5000))
	require.Zero(t, h.End(), "one grant is not a majority")
	h.HandleGrant(due[2].Grantor, due[2].Sequence, 9000)
	require.Equal(t, clock.Instant(1000).Add(GrantDuration), h.End())
	h.Propose(1, GrantorSets{Current: nodeIDs(0, 1, 2), Next: nodeIDs(3)})
	require.Zero(t, h.End(), "the proposed set is required while the outcome of the write is unknown")
	h.Reject(1)
	require.NotZero(t, h.End())
	h.Confirm(2, GrantorSets{Current: nodeIDs(0, 1, 2), Next: nodeIDs(3)})
	require.Zero(t, h.End(), "the next set is required, because its promotion may take effect without a response")
	h.Stop()
	require.Zero(t, h.End())
	require.Equal(t, Unlimited, NewHolder(1, GrantorSets{}).End())
}

// Guards against votes to revoke a healthy holder that only the candidate can't reach, and against a grantor
// that revokes all its holders after it was paused itself.
func TestHealthyHoldersKeepTheirLease(t *testing.T) {
	g := NewGrantor()
	g.AddIncarnation(nodeID(0))
	start := clock.Instant(time.Hour)
	g.Tick(start)
	g.SetHolders(nodeIDs(9), func(cluster.NodeID) bool { return false }, start)
	require.True(t, g.HandleRenewal(nodeID(0), nodeID(9), start))
	require.False(t, g.HandleRenewal(nodeID(1), nodeID(9), start), "a renewal for another grantor")
	require.False(t, g.Vote(nodeID(0), nodeID(9), nodeID(8), start.Add(RenewalInterval)).Promised)
	returned := start.Add(time.Minute)
	g.Tick(returned)
	require.False(t, g.Silent(nodeID(9), 0, returned), "silence during a pause of the grantor")
	require.True(t, g.Silent(nodeID(9), 0, returned.Add(ExpiryWait)))
	require.True(t, g.Vote(nodeID(0), nodeID(9), nodeID(8), returned).Promised)
	require.False(t, g.HandleRenewal(nodeID(0), nodeID(9), returned), "no renewal is answered after a vote to revoke")
}

// Guards against a holder that obtains its lease again after its record is gone, because the grantors
// dropped their promises together with the record.
func TestPromiseOutlivesTheRecord(t *testing.T) {
	old, next := nodeID(9), cluster.NodeID{Name: nodeID(9).Name, Incarnation: nodeID(9).Incarnation + 1}
	now := clock.Instant(time.Hour)
	for name, promised := range map[string]bool{"grantor that voted": true, "grantor that did not vote": false} {
		t.Run(name, func(t *testing.T) {
			g := NewGrantor()
			g.AddIncarnation(nodeID(0))
			g.SetHolders([]cluster.NodeID{old}, func(cluster.NodeID) bool { return false }, now)
			require.True(t, g.HandleRenewal(nodeID(0), old, now))
			if promised {
				require.True(t, g.Vote(nodeID(0), old, nodeID(8), now.Add(GrantDuration)).Promised)
			}
			g.SetHolders(nil, func(id cluster.NodeID) bool { return id == old }, now.Add(time.Second))
			require.False(t, g.HandleRenewal(nodeID(0), old, now.Add(3*time.Second)), "the record is gone")
			require.True(t, g.Vote(nodeID(0), old, nodeID(8), now.Add(3*time.Second)).Promised, "a late candidate")
			require.True(t, g.Promised(old))
			require.True(t, g.HandleRenewal(nodeID(0), next, now.Add(3*time.Second)), "the next incarnation gets a lease")
		})
	}
}

func randomFleet(t *rapid.T) []*cluster.Node {
	var nodes []*cluster.Node
	for i := range rapid.IntRange(1, 30).Draw(t, "nodes") {
		nodes = append(nodes, &cluster.Node{ID: nodeID(100 + i), State: cluster.Live, Location: cluster.Location{
			Region:           fmt.Sprint("r", i%2),
			AvailabilityZone: fmt.Sprint("z", i%4),
			Rack:             fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "rack")),
		}})
	}
	return nodes
}

// Guards against a majority of grantors that fails with one zone, rack or link between regions, and against
// membership changes that replace more grantors than necessary.
func TestGrantorsAreSpreadAndStable(t *testing.T) {
	nobody := func(cluster.NodeID) bool { return false }
	rapid.Check(t, func(t *rapid.T) {
		nodes := randomFleet(t)
		self := nodes[0]
		self.Grantors = ChooseGrantors(self, nodes, nobody)
		require.Len(t, self.Grantors, min(MaxGrantors, len(nodes)-1))
		zones, home := map[string]bool{}, 0
		for _, n := range nodes {
			if slices.Contains(self.Grantors, n.ID) {
				zones[n.Location.AvailabilityZone] = true
				if n.Location.Region == self.Location.Region {
					home++
				}
			}
		}
		if len(nodes) >= 8 {
			require.Len(t, zones, 3)
			require.Equal(t, 2, home)
		}
		lost := rapid.IntRange(1, max(1, len(nodes)-1)).Draw(t, "lost")
		if lost < len(nodes) {
			nodes[lost].State = cluster.Revoked
			kept := 0
			for _, id := range ChooseGrantors(self, nodes, nobody) {
				if slices.Contains(self.Grantors, id) {
					kept++
				}
			}
			require.GreaterOrEqual(t, kept, len(self.Grantors)-2)
			if !slices.Contains(self.Grantors, nodes[lost].ID) {
				require.Equal(t, len(self.Grantors), kept)
			}
		}
	})
}

// Guards against a lease that depends on a node that does not answer while other nodes are available.
func TestSilentNodesAreAvoided(t *testing.T) {
	self := &cluster.Node{ID: nodeID(0), State: cluster.Live}
	nodes := []*cluster.Node{self, {ID: nodeID(1), State: cluster.Live}, {ID: nodeID(2), State: cluster.Live}}
	avoid := func(id cluster.NodeID) bool { return id == nodeID(1) }
	require.Equal(t, nodeIDs(2), ChooseGrantors(self, nodes, avoid))
	require.Equal(t, nodeIDs(1), ChooseGrantors(self, nodes[:2], avoid))
	require.Empty(t, ChooseGrantors(self, nodes[:1], avoid))
}
