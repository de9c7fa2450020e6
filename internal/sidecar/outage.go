package sidecar

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// resignOutage is how long the store may leave the coordinator without an answer before it may yield: three failed reads in a
	// row, so that single lost answers don't cost a change of the coordinator.
	resignOutage = 3 * time.Second
	// minAnswerLead is how much later than the coordinator another node must have had an answer. It exceeds pollTimeout, by which a
	// report may be late.
	minAnswerLead = 1500 * time.Millisecond
	// storeProbesPerRound is the number of nodes that a silent coordinator asks about the store with each round of polls: a store that
	// refuses half of the hosts refuses all of them once in eight rounds.
	storeProbesPerRound = 3
)

// storeOutage is what the coordinator knows of an outage of the store. A store that answers nobody leaves the lead where it is:
// no other node could take it, and owners go on by the coordinator's word. A store that answers others ends the lead.
type storeOutage struct {
	// lastAnswer is when the store last answered the coordinator, elsewhere when it last answered another node.
	lastAnswer, lastOtherAnswer clock.Instant
}

// recordAnswer records an answer of the store to the coordinator.
func (o *storeOutage) recordAnswer(now clock.Instant) { o.lastAnswer = max(o.lastAnswer, now) }

// recordOtherAnswer records that the store answered another node so long ago. An age of 0 says nothing.
func (o *storeOutage) recordOtherAnswer(now clock.Instant, age time.Duration) {
	if age > 0 {
		o.lastOtherAnswer = max(o.lastOtherAnswer, now.Add(-age))
	}
}

// duration returns how long the store has not answered the coordinator, 0 while that is usual.
func (o *storeOutage) duration(now clock.Instant) time.Duration {
	if d := now.Sub(o.lastAnswer); d > 2*refreshInterval {
		return d
	}
	return 0
}

// shouldResign reports whether the coordinator should make room for one that reaches the store.
func (o *storeOutage) shouldResign(now clock.Instant) bool {
	return o.duration(now) > resignOutage && o.lastOtherAnswer.Sub(o.lastAnswer) > minAnswerLead
}
