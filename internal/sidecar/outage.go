package sidecar

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// ownOutage is how long the store may leave the coordinator without an answer before it may yield: three failed reads in a
	// row, so that single lost answers don't cost a change of the coordinator.
	ownOutage = 3 * time.Second
	// storeAhead is how much later than the coordinator another node must have had an answer. It exceeds pollTimeout, by which a
	// report may be late.
	storeAhead = 1500 * time.Millisecond
	// askedNodes is the number of nodes that a silent coordinator asks about the store with each round of polls: a store that
	// refuses half of the hosts refuses all of them once in eight rounds.
	askedNodes = 3
)

// outage is what the coordinator knows of an outage of the store. A store that answers nobody leaves the lead where it is:
// no other node could take it, and owners go on by the coordinator's word. A store that answers others ends the lead.
type outage struct {
	// heard is when the store last answered the coordinator, elsewhere when it last answered another node.
	heard, elsewhere clock.Instant
}

// answered records an answer of the store to the coordinator.
func (o *outage) answered(now clock.Instant) { o.heard = max(o.heard, now) }

// reported records that the store answered another node so long ago. An age of 0 says nothing.
func (o *outage) reported(now clock.Instant, age time.Duration) {
	if age > 0 {
		o.elsewhere = max(o.elsewhere, now.Add(-age))
	}
}

// silent returns how long the store has not answered the coordinator, 0 while that is usual.
func (o *outage) silent(now clock.Instant) time.Duration {
	if d := now.Sub(o.heard); d > 2*refreshInterval {
		return d
	}
	return 0
}

// yield reports whether the coordinator should make room for one that reaches the store.
func (o *outage) yield(now clock.Instant) bool {
	return o.silent(now) > ownOutage && o.elsewhere.Sub(o.heard) > storeAhead
}
