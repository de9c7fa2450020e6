// Package sidecar is the process of citronvane beside one target on the users' platform. One goroutine owns the control
// state (member.go, coordinator.go) and publishes immutable snapshots, which traffic reads without locks.
package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// Durations of the node. docs/settings.md lists them with their sources.
const (
	// leaseTerm is how long after a lease check, or after the report that the coordinator's word answers, grants may last.
	// A silent host is taken over after pollSilence and leaseTerm.
	leaseTerm = 4 * time.Second
	// leadershipLease is how long after its last check of the lead a coordinator gives its word, and how long a new one
	// waits for the words of the last. An outage of the store of leadershipLease less refreshInterval goes unnoticed.
	leadershipLease = 10 * time.Second
	// leadershipMargin covers the resolution of timers and the drift of clocks over leadTerm.
	leadershipMargin = 300 * time.Millisecond
	// defaultHold bridges the restart of a node (about 1 s) and two lost heartbeats.
	defaultHold = 3500 * time.Millisecond
	// leaseCheckThreshold is the rest of the lease from which the node reads its record itself: the coordinator's word, which
	// comes each second for a report of the second before and is noticed at a tick, has failed to come.
	leaseCheckThreshold = 1450 * time.Millisecond
	// leaseCheckInterval is the time between two such reads.
	leaseCheckInterval = 700 * time.Millisecond
	// controlTick is how often time-driven decisions are made.
	controlTick = 250 * time.Millisecond
	// pollInterval is the time between two polls of a node.
	pollInterval = time.Second
	// pollTimeout bounds a poll.
	pollTimeout = 800 * time.Millisecond
	// unresponsiveTimeout is how long a node may leave polls unanswered before its term is revoked.
	unresponsiveTimeout = 2200 * time.Millisecond
	// refreshInterval is how often the coordinator reads the operator's objects: a watch may miss a change for seconds.
	refreshInterval = 900 * time.Millisecond
	// configFetchTimeout is how long a node goes without a poll before it reads the configuration by itself.
	configFetchTimeout = 1600 * time.Millisecond
	// electionTimeout is how long a node goes without a poll before it tries to become the coordinator.
	electionTimeout = 2500 * time.Millisecond
	// electionJitter is the random part added to leadSilence, so that nodes try one after the other.
	electionJitter = 800 * time.Millisecond
	// smallLinkMbps is the rate of a link on which polls of a large fleet take a good part; a node on one waits leadSpread longer.
	smallLinkMbps = 15
	// registrationWait is how long the first assignment waits for targets to register.
	registrationWait = 4 * time.Second
	// watchWait is how long a watch of the operator's objects waits, the platform's longest.
	watchWait = 30 * time.Second
	// configFetchDelay is how long a node waits for its own watch to bring a configuration that the coordinator has read, beside twice
	// the time that the last document takes on its link: reading one twice delays the next.
	configFetchDelay = 400 * time.Millisecond
	// maxConfigFetchDelay bounds both. Configurations have to be in force 2 s after the store has acknowledged them.
	maxConfigFetchDelay = time.Second
	// coordinatorWatchWait is the same for the coordinator, which notices a silent connection sooner.
	coordinatorWatchWait = 5 * time.Second
	// storeRetryDelay is the pause after a failed call. Watches and lists that fail in a row pause up to maxStoreRetry
	// and a random part as long; after an outage a configuration has to be in force within 2 s.
	storeRetryDelay    = 300 * time.Millisecond
	maxStoreRetryDelay = 600 * time.Millisecond
	// watchBatchInterval is how long the coordinator collects changes of the fleet for one answer of a watch. Its own writes, which are most
	// of them, are known, and nodes report theirs with the next poll.
	watchBatchInterval = 200 * time.Millisecond
)

// localTarget is what traffic knows of the host's own target.
type localTarget struct {
	instance string
	// serving says that the target may get requests.
	serving bool
	// notServingReason says why not.
	notServingReason string
	// rows are granted until the instant.
	rows         []keyspace.Row
	grantedUntil clock.Instant
	// nextHeartbeat is when the next heartbeat is expected, which is when a new row can be granted.
	nextHeartbeat clock.Instant
}

// holdsKey reports whether the target holds the key.
func (o *localTarget) holdsKey(now clock.Instant, key int) bool {
	if now >= o.grantedUntil {
		return false
	}
	for _, r := range o.rows {
		if r.Contains(key) {
			return true
		}
	}
	return false
}

// state holds the snapshots that traffic reads.
type state struct {
	view      atomic.Pointer[fleet.View]
	config    atomic.Pointer[ingress.Config]
	evacuated atomic.Pointer[map[string]clock.Instant]
	// configVersion is the store's version of the configuration in force, evacuatedAt the revision of the evacuated zones.
	configVersion     atomic.Uint64
	evacuatedRevision atomic.Uint64
	// configBytes is the size of the document in force.
	configBytes atomic.Int64
	localTarget atomic.Pointer[localTarget]
	draining    atomic.Bool
	// stopDeadline is the instant at which a stopping node ends, 0 before.
	stopDeadline atomic.Int64
	viewLoaded   atomic.Bool
	// storeAnsweredAt is the instant of the store's last answer.
	storeAnsweredAt atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
}

func newState() *state {
	s := &state{changed: make(chan struct{})}
	s.view.Store(fleet.NewView())
	s.evacuated.Store(&map[string]clock.Instant{})
	s.localTarget.Store(&localTarget{notServingReason: "the target has not reported yet"})
	return s
}

// nextChange returns a channel that is closed at the next change of the view or of the own target.
func (s *state) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify wakes those who wait for a change.
func (s *state) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ready reports whether the node takes callers.
func (s *state) ready() bool {
	return s.config.Load() != nil && s.viewLoaded.Load() && !s.draining.Load()
}

// evacuatedSince returns since when the zone is out of service.
func (s *state) evacuatedSince(zone string) (clock.Instant, bool) {
	since, evacuated := (*s.evacuated.Load())[zone]
	return since, evacuated
}
