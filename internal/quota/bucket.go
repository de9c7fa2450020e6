// Package quota limits the requests of a tenant over all nodes together. Allotters, each at one node, issue tokens from buckets; a node
// spends a token for each request. It performs no I/O and takes the time as an argument. docs/design/tenants.md states the bound and why
// it holds. The types are not safe for concurrent use.
package quota

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// Cap is a tenant's usage cap.
type Cap struct {
	// Rate is the number of requests per second, Burst the number that may come at once after a pause.
	Rate, Burst float64
}

// Share returns the part of the cap that one of n buckets gets. Each bucket can hold at least one token.
func (c Cap) Share(n int) Cap {
	return Cap{Rate: c.Rate / float64(n), Burst: max(1, c.Burst/float64(n))}
}

// Bucket is a token bucket. It starts empty: its holder may have followed another one that has issued all of its tokens.
type Bucket struct {
	cap     Cap
	tokens  float64
	updated clock.Instant
	// promised is the latest instant at which a node was told to come back.
	promised clock.Instant
}

// NewBucket returns an empty bucket.
func NewBucket(now clock.Instant, c Cap) *Bucket { return &Bucket{cap: c, updated: now} }

// SetCap changes the cap. Tokens above the new burst are lost.
func (b *Bucket) SetCap(now clock.Instant, c Cap) {
	b.fill(now)
	b.cap = c
	b.tokens = min(b.tokens, c.Burst)
}

func (b *Bucket) fill(now clock.Instant) {
	if now > b.updated {
		b.tokens = min(b.cap.Burst, b.tokens+b.cap.Rate*now.Sub(b.updated).Seconds())
		b.updated = now
	}
}

// Take takes tokens: as many as are needed now if there are enough, and of those that are expected to be needed soon at most half of
// the rest, which leaves some for other nodes. If it returns fewer than needed, next is the time until there is another token that no
// other node has been told to come for. Otherwise all nodes would ask for each token, and all but one in vain.
func (b *Bucket) Take(now clock.Instant, needed, expected int) (granted int, next time.Duration) {
	b.fill(now)
	available := int(b.tokens)
	granted = min(needed, available)
	granted += min(expected, (available-granted)/2)
	b.tokens -= float64(granted)
	if granted < needed {
		refilled := now.Add(max(minNext, time.Duration(math.Ceil((1-b.tokens)/b.cap.Rate*float64(time.Second)))))
		b.promised = min(max(refilled, b.promised.Add(seconds(1/b.cap.Rate))), refilled.Add(maxPromise))
		next = b.promised.Sub(now)
	}
	return granted, next
}

// maxPromise bounds the time by which a promised token comes after the next one. A node that does not come back leaves its token to
// others, which should not wait long for it.
const maxPromise = 250 * time.Millisecond

// minNext is the shortest time until the next token that is told. It bounds how often a node asks.
const minNext = time.Millisecond

// AllottersPerTenant is the number of allotters of a tenant. The loss of one costs its share of the cap.
const AllottersPerTenant = 4

// ID names an allotter.
type ID struct {
	Tenant string
	Index  int
}

// Key returns the key whose owner runs the allotter.
func (id ID) Key() int {
	return int(xxhash.Sum64String(id.Tenant+"\x00"+strconv.Itoa(id.Index)) % (keyspace.MaxKey + 1))
}

// Holding identifies a time for which one node owns a key without interruption by another owner.
type Holding struct {
	Term, Fence uint64
}

// Allotters are the allotters of all tenants that run at one node.
type Allotters struct {
	buckets map[ID]*heldBucket
	plan    []plannedAllotter
}

type heldBucket struct {
	Bucket
	holding Holding
}

type plannedAllotter struct {
	id  ID
	key int
	cap Cap
}

// NewAllotters returns a set without allotters.
func NewAllotters() *Allotters { return &Allotters{buckets: map[ID]*heldBucket{}} }

// Configure sets the caps of all tenants that have one. Buckets keep their tokens up to the new burst.
func (a *Allotters) Configure(now clock.Instant, caps map[string]Cap) {
	a.plan = a.plan[:0:0]
	for name, c := range caps {
		for i := range AllottersPerTenant {
			id := ID{name, i}
			share := c.Share(AllottersPerTenant)
			a.plan = append(a.plan, plannedAllotter{id, id.Key(), share})
			if b := a.buckets[id]; b != nil {
				b.SetCap(now, share)
			}
		}
	}
	for id := range a.buckets {
		if _, capped := caps[id.Tenant]; !capped {
			delete(a.buckets, id)
		}
	}
}

// Update starts the allotters whose keys this node holds now, and stops the others. A bucket begins to fill when this sees its key held.
func (a *Allotters) Update(now clock.Instant, find func(key int) (Holding, bool)) {
	for _, p := range a.plan {
		holding, held := find(p.key)
		old := a.buckets[p.id]
		switch {
		case !held:
			delete(a.buckets, p.id)
		case old == nil || old.holding != holding:
			a.buckets[p.id] = &heldBucket{*NewBucket(now, p.cap), holding}
		}
	}
}

// Take takes tokens from an allotter. ok is false if it does not run here. The caller has checked that this node holds the key now.
func (a *Allotters) Take(now clock.Instant, id ID, needed, expected int) (granted int, next time.Duration, ok bool) {
	b := a.buckets[id]
	if b == nil {
		return 0, 0, false
	}
	granted, next = b.Take(now, needed, expected)
	return granted, next, true
}
