// Package sidecar implements the citronvane process that runs beside one target on the users' platform. One goroutine owns the
// control state (member.go, coordinator.go) and publishes immutable snapshots, which request handlers read without locks.
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

// Durations of the node. docs/settings.md lists them with their reasons.
const (
	// leaseTerm is how long grants may last after a lease check, or after the report to which the leader's lease renewal responds.
	// The ranges of an unresponsive host are reassigned after unresponsiveTimeout and leaseTerm.
	leaseTerm = 4 * time.Second
	// leadershipLease is how long a leader renews leases after the last confirmation of its leadership, and how long a new leader
	// waits for the lease of the previous one to expire. A store outage of up to leadershipLease less refreshInterval has no effect.
	leadershipLease = 10 * time.Second
	// leadershipMargin covers timer resolution and clock drift over leadershipLease.
	leadershipMargin = 300 * time.Millisecond
	// defaultHold is how long a target may hold its ranges without a new grant. It covers a node restart (about 1 s) and two lost
	// heartbeats.
	defaultHold = 3500 * time.Millisecond
	// leaseCheckThreshold is the remaining lease below which the node reads its record itself. So little remains only if a renewal
	// by the leader is missing: one arrives each second, counts from the report of the second before, and is seen at the next tick.
	leaseCheckThreshold = 1450 * time.Millisecond
	// leaseCheckInterval is the minimum time between two such reads.
	leaseCheckInterval = 700 * time.Millisecond
	// controlTick is the interval of the time-driven decisions.
	controlTick = 250 * time.Millisecond
	// pollInterval is the time between two polls of a node.
	pollInterval = time.Second
	// pollTimeout bounds a message between nodes, such as a poll.
	pollTimeout = 800 * time.Millisecond
	// unresponsiveTimeout is how long a node may not respond to polls before the term of its target is revoked.
	unresponsiveTimeout = 2200 * time.Millisecond
	// refreshInterval is how often the leader reads the operator's objects, because a watch may miss a change for seconds.
	refreshInterval = 900 * time.Millisecond
	// configFetchTimeout is how long a node receives no poll before it reads the operator's objects itself. Polls arrive at most
	// pollInterval and controlTick apart, and a configuration has to be applied within 2 s.
	configFetchTimeout = 1450 * time.Millisecond
	// evacuationRefreshRounds is the number of such reads for one of the evacuated zones, which has 5 s to take effect.
	evacuationRefreshRounds = 2
	// refreshTimeout bounds the leader's reads of the operator's objects. After that it asks some nodes to read them.
	refreshTimeout = 600 * time.Millisecond
	// operatorFetchInterval is the time between two such reads of a node, and operatorFetchBackoff that after a failed one.
	operatorFetchInterval = time.Second
	operatorFetchBackoff  = 2 * time.Second
	// restoredZoneRetention is how long a zone stays evacuated that the store no longer lists after it came back from a copy. The operator
	// writes lost entries again in that time.
	restoredZoneRetention = 10 * time.Second
	// operatorAskInterval is the time between two rounds of questions to other nodes, while a node has to read the operator's objects
	// itself and has not succeeded.
	operatorAskInterval = 400 * time.Millisecond
	// operatorAskNodes is the number of nodes that it asks at once. If the store refuses a third of the hosts, all 3 are among these in one
	// of 27 rounds.
	operatorAskNodes = 3
	// configFetchSpacing is the time between two reads of announced configurations. Of configurations that follow each other faster,
	// a node reads only some.
	configFetchSpacing = 400 * time.Millisecond
	// maxPolledConfigBytes is the size of a configuration up to which polls carry it. The leader sends it to all nodes at once.
	maxPolledConfigBytes = 32 << 10
	// electionTimeout is how long a node receives no poll before it campaigns to become the leader.
	electionTimeout = 2500 * time.Millisecond
	// electionJitter is the maximum random delay added to electionTimeout, so that nodes do not campaign at the same time.
	electionJitter = 800 * time.Millisecond
	// firstPollWait is how long after its start a node of a new fleet waits for its first poll, which carries the configuration.
	firstPollWait = 3 * time.Second
	// firstElectionSpread multiplies electionJitter while the fleet has no targets: all nodes start at once, and most hear from the
	// first leader before they ask the store for it.
	firstElectionSpread = 3
	// smallLinkMbps is the link rate at which the polls of a large fleet take up a large part of the bandwidth. A node with such a
	// link waits electionJitter longer.
	smallLinkMbps = 15
	// registrationWait is how long the first assignment of ranges waits for targets to register.
	registrationWait = 4 * time.Second
	// watchWait is the long-poll timeout of a watch of the operator's objects, the maximum that the platform allows.
	watchWait = 30 * time.Second
	// coordinatorWatchWait is the long-poll timeout of the leader's watch. It is short so that the leader detects a dead connection
	// soon.
	coordinatorWatchWait = 5 * time.Second
	// storeRetryDelay is the delay after a failed call. It doubles up to maxStoreRetryDelay for watches and lists that fail in a row,
	// which add a random delay of up to the same length. After an outage a configuration has to be applied within 2 s.
	storeRetryDelay    = 300 * time.Millisecond
	maxStoreRetryDelay = 600 * time.Millisecond
	// watchBatchInterval is how long the leader waits between two watches of the fleet, so that one response carries several changes.
	// It knows its own writes, which are most of them, and nodes report theirs with the next poll.
	watchBatchInterval = 200 * time.Millisecond
)

// localTarget is the snapshot of the host's target that request handlers read.
type localTarget struct {
	instance string
	// serving is set if the target may receive requests.
	serving bool
	// notServingReason is set if serving is not.
	notServingReason string
	// rows are the rows of the latest grant, which expires at grantedUntil.
	rows         []keyspace.Row
	grantedUntil clock.Instant
	// lastRequestAt is the instant after which a leaving target gets no requests, 0 if it is not leaving.
	lastRequestAt clock.Instant
	// usableAt is when a target is used again whose departure may have been forgotten, 0 if that can't be.
	usableAt clock.Instant
	// nextHeartbeat is when the next heartbeat is due, which is the earliest time for a new grant.
	nextHeartbeat clock.Instant
}

// holdsKey reports whether the target holds a valid grant for the key and may still receive requests.
func (o *localTarget) holdsKey(now clock.Instant, key int) bool {
	_, held := o.heldRow(now, key)
	return held
}

// heldRow returns the row of a valid grant that has the key, if the target may still receive requests.
func (o *localTarget) heldRow(now clock.Instant, key int) (keyspace.Row, bool) {
	if now >= o.grantedUntil || o.lastRequestAt > 0 && now >= o.lastRequestAt {
		return keyspace.Row{}, false
	}
	for _, r := range o.rows {
		if r.Contains(key) {
			return r, true
		}
	}
	return keyspace.Row{}, false
}

// state holds the snapshots that request handlers read.
type state struct {
	view   atomic.Pointer[fleet.View]
	config atomic.Pointer[ingress.Config]
	// evacuated holds the evacuated zones and since when this node knows that they are, listedZones those that the store lists.
	evacuated   atomic.Pointer[map[string]clock.Instant]
	listedZones atomic.Pointer[map[string]bool]
	// configVersion is the operator's version of the current configuration, evacuatedVersion the store's version of
	// the evacuated zones.
	configVersion    atomic.Uint64
	evacuatedVersion atomic.Uint64
	// configDocument is the current configuration as nodes send it to each other.
	configDocument atomic.Pointer[configDocument]
	localTarget    atomic.Pointer[localTarget]
	draining       atomic.Bool
	// stopDeadline is the instant at which a stopping node exits, 0 while it is not stopping.
	stopDeadline atomic.Int64
	// stopBegan is when the node began to stop.
	stopBegan  atomic.Int64
	viewLoaded atomic.Bool
	// fleetRan is set if the store had a table or this host's record when the node started, so that the fleet has run before.
	fleetRan atomic.Bool
	// storeAnsweredAt is the instant of the store's last response.
	storeAnsweredAt atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
}

// configDocument is an encoded configuration with digests in place of tenants' keys.
type configDocument struct {
	version uint64 // the operator's version
	value   []byte
}

func newState() *state {
	s := &state{changed: make(chan struct{})}
	s.view.Store(fleet.NewView())
	s.evacuated.Store(&map[string]clock.Instant{})
	s.listedZones.Store(&map[string]bool{})
	s.localTarget.Store(&localTarget{notServingReason: "the target has not reported yet"})
	return s
}

// nextChange returns a channel that is closed at the next change of the view or of the local target.
func (s *state) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify wakes the goroutines that wait for a change.
func (s *state) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ready reports whether the node accepts requests of callers.
func (s *state) ready() bool {
	return s.config.Load() != nil && s.viewLoaded.Load() && !s.draining.Load()
}

// maxHead returns the configured limit of a request's head in bytes, 0 if there is none.
func (s *state) maxHead() int64 {
	if config := s.config.Load(); config != nil {
		return config.Limits.MaxHead
	}
	return 0
}

// startsFleet reports whether the fleet starts for the first time, as far as this node knows. The records of nodes that start at the same
// time don't count.
func (s *state) startsFleet() bool {
	return !s.fleetRan.Load() && len(s.view.Load().Tables) == 0
}

// evacuatedSince returns when this node learned that the zone is evacuated, and whether it is.
func (s *state) evacuatedSince(zone string) (clock.Instant, bool) {
	since, evacuated := (*s.evacuated.Load())[zone]
	return since, evacuated
}
