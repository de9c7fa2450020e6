package sidecar

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// resignOutage is how long the store may not respond to the leader before the leader may resign: three failed reads in a
	// row, so that a single lost response does not cause a change of the leader.
	resignOutage = 3 * time.Second
	// minAnswerLead is how much later than to the leader the store must have responded to another node. It exceeds pollTimeout, by
	// which a report may be delayed.
	minAnswerLead = 1500 * time.Millisecond
	// storeProbesPerRound is the number of nodes that a leader without access to the store asks to probe it in each round of polls.
	// If the store refuses half of the hosts, it refuses all 3 probes in one of 8 rounds.
	storeProbesPerRound = 3
)

// storeOutage is what the leader knows about an outage of the store. If the store responds to nobody, the leader stays: no other
// node could acquire leadership, and the leader goes on renewing leases. If the store responds to other nodes, the leader resigns.
type storeOutage struct {
	// lastAnswer is when the store last responded to the leader, lastOtherAnswer when it last responded to another node.
	lastAnswer, lastOtherAnswer clock.Instant
}

// recordAnswer records a response of the store to the leader.
func (o *storeOutage) recordAnswer(now clock.Instant) { o.lastAnswer = max(o.lastAnswer, now) }

// recordOtherAnswer records that the store responded to another node this long ago. An age of 0 means unknown.
func (o *storeOutage) recordOtherAnswer(now clock.Instant, age time.Duration) {
	if age > 0 {
		o.lastOtherAnswer = max(o.lastOtherAnswer, now.Add(-age))
	}
}

// duration returns how long the store has not responded to the leader, or 0 if that is at most two refresh intervals.
func (o *storeOutage) duration(now clock.Instant) time.Duration {
	if d := now.Sub(o.lastAnswer); d > 2*refreshInterval {
		return d
	}
	return 0
}

// shouldResign reports whether the leader should resign in favour of a node that reaches the store.
func (o *storeOutage) shouldResign(now clock.Instant) bool {
	return o.duration(now) > resignOutage && o.lastOtherAnswer.Sub(o.lastAnswer) > minAnswerLead
}
