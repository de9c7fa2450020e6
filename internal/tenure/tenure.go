// Package tenure decides what the target on a host may be granted, and for how long. It performs no I/O and takes the
// time as an argument. A Holder is not safe for concurrent use.
//
// Invariants: a grant names only rows of the current term, and ends within the lease term of the sending of the last
// check that showed the term unrevoked. A new term begins only after all grants of earlier ones have ended.
package tenure

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// clockDrift is how much slower the target's clock may run, from the platform's protocol: a hold of 1 s may last 1.02 s.
	maxClockDrift = 0.02
	// minHold is the shortest hold worth granting. A shorter one would run out before the next heartbeat.
	minHoldDuration = 100 * time.Millisecond
	// lifeSilence is how long late heartbeats of earlier lives are told from those of a new one. Heartbeats come
	// about once a second, and a late one is seconds old.
	lateHeartbeatWindow = 5 * time.Second
	// deathMargin is added to the end of the last hold before the target counts as holding nothing. It covers the
	// resolution of the target's timers.
	holdEndMargin = 50 * time.Millisecond
)

// Heartbeat is what the target reports.
type Heartbeat struct {
	Instance string
	// StartTimeMs is the start of the target in Unix milliseconds.
	StartTimeMs int64
	// Sequence grows with each heartbeat of a life.
	Sequence uint64
	Service  string
	Slots    int
	Draining bool
	// ColdRemaining is how long the target stays cold.
	ColdRemaining time.Duration
	// HeldRanges lists the ranges that the target holds or still works on.
	HeldRanges []HeldRange
	// Released lists the ranges that the target has released since its last acknowledged heartbeat.
	Released []fleet.Release
}

// HeldRange is a range that the target holds.
type HeldRange struct {
	keyspace.Range
	Fence uint64
}

// Grant answers a heartbeat.
type Grant struct {
	// Renew is false if the answer says nothing about ranges; the target's holds then run out.
	Renew bool
	Rows  []keyspace.Row
	// OmittedRows is the number of rows for which the answer has no room.
	OmittedRows int
	// HoldDuration counts from when the target sent the heartbeat.
	HoldDuration time.Duration
}

// Options are the durations of a Holder.
type Options struct {
	// LeaseDuration is how long after a check grants may last.
	LeaseDuration time.Duration
	// HoldDuration is the usual length of a grant.
	HoldDuration time.Duration
	// RowSize returns what a row takes of an answer to a heartbeat, which has MaxSize at most. Without it nothing is bounded.
	RowSize     func(keyspace.Row) int
	MaxRowsSize int
}

// TargetLease is the state of one host's target.
type TargetLease struct {
	options         Options
	owner           keyspace.Owner
	startTimeMs     int64
	lastHeartbeat   Heartbeat
	lastHeartbeatAt clock.Instant
	// checked is when the last check was sent that showed the term unrevoked; valid says that there was one.
	confirmedAt clock.Instant
	valid       bool
	// ends is when the last grant of the term has certainly run out.
	grantsEnd clock.Instant
	// given holds the rows of the latest grant, and the sequence that it answered.
	grantedRows     []keyspace.Row
	grantedSequence uint64
	releases        []fleet.Release
	draining        bool
}

// NewTargetLease returns a holder without a term. It does not know what an earlier process granted, so that the target's
// holds last as long as a grant given now.
func NewTargetLease(now clock.Instant, options Options) *TargetLease {
	l := &TargetLease{options: options}
	l.grantsEnd = l.holdEnd(now, options.HoldDuration)
	return l
}

// end returns when a hold granted now has certainly run out.
func (l *TargetLease) holdEnd(now clock.Instant, hold time.Duration) clock.Instant {
	return now.Add(time.Duration(float64(hold)*(1+maxClockDrift)) + holdEndMargin)
}

// Begin starts or continues a term for a life of the target. The caller has made sure that the record in the store
// names it, and passes when it sent the call that showed so.
func (l *TargetLease) Begin(now clock.Instant, owner keyspace.Owner, startTimeMs int64, confirmedAt clock.Instant) {
	if l.owner != owner {
		l.grantedRows, l.releases, l.grantedSequence, l.draining = nil, nil, 0, false
		l.grantsEnd = max(l.grantsEnd, l.holdEnd(now, l.options.HoldDuration))
	}
	l.owner, l.startTimeMs = owner, startTimeMs
	l.confirmedAt, l.valid = confirmedAt, true
}

// Owner returns the current tenure.
func (l *TargetLease) Owner() keyspace.Owner { return l.owner }

// Confirm records that a call sent at the instant showed the term unrevoked.
func (l *TargetLease) Confirm(owner keyspace.Owner, sent clock.Instant) {
	if owner == l.owner && l.valid && sent > l.confirmedAt {
		l.confirmedAt = sent
	}
}

// ConfirmByCoordinator records that the coordinator said that the term is not revoked, after it had received a report that was sent at the
// instant. bound is how long after that the coordinator's own authority lasts at least, counted from the report.
func (l *TargetLease) ConfirmByCoordinator(owner keyspace.Owner, reported clock.Instant, bound time.Duration) {
	l.Confirm(owner, reported.Add(min(0, bound-l.options.LeaseDuration)))
}

// Revoke ends the term: nothing more is granted.
func (l *TargetLease) Revoke() { l.valid = false }

// Valid reports whether the term is neither revoked nor given up.
func (l *TargetLease) Valid() bool { return l.valid }

// StartDraining makes the target release everything.
func (l *TargetLease) StartDraining() { l.draining = true }

// Remaining returns how long grants may still last.
func (l *TargetLease) Remaining(now clock.Instant) time.Duration {
	if !l.valid {
		return 0
	}
	return max(0, l.confirmedAt.Add(l.options.LeaseDuration).Sub(now))
}

// Stale reports whether the heartbeat is from an earlier life or was overtaken by a later one. An earlier start than
// that of a life which has been silent for lifeSilence is a new life after its clock went back.
func (l *TargetLease) Stale(now clock.Instant, b *Heartbeat) bool {
	if b.StartTimeMs != l.lastHeartbeat.StartTimeMs {
		return b.StartTimeMs < l.lastHeartbeat.StartTimeMs && now.Sub(l.lastHeartbeatAt) < lateHeartbeatWindow
	}
	return b.Instance == l.lastHeartbeat.Instance && b.Sequence <= l.lastHeartbeat.Sequence && l.lastHeartbeat.Sequence != 0
}

// RecordHeartbeat records a heartbeat. Stale ones must not be passed.
func (l *TargetLease) RecordHeartbeat(now clock.Instant, b *Heartbeat) {
	if b.StartTimeMs != l.lastHeartbeat.StartTimeMs {
		l.releases = nil
	}
	l.lastHeartbeat, l.lastHeartbeatAt = *b, now
	if b.Draining {
		l.draining = true
	}
	l.releases = append(l.releases, b.Released...)
	if len(l.releases) > maxReleases {
		l.releases = l.releases[len(l.releases)-maxReleases:]
	}
	if len(b.HeldRanges) == 0 && (b.StartTimeMs == l.startTimeMs || l.owner.IsZero()) && b.Sequence > l.grantedSequence {
		l.grantsEnd = min(l.grantsEnd, now)
	}
}

// maxTokens bounds the released ranges that are remembered until their rows have moved.
const maxReleases = 256

// Grant answers the last heartbeat. rows are the rows of the newest known table that name the holder's host.
func (l *TargetLease) Grant(now clock.Instant, rows []keyspace.Row) Grant {
	if l.lastHeartbeat.StartTimeMs != l.startTimeMs || l.owner.IsZero() {
		return Grant{}
	}
	if !l.valid || l.draining {
		l.grantedRows, l.grantedSequence = nil, l.lastHeartbeat.Sequence
		return Grant{Renew: true}
	}
	lease := l.Remaining(now)
	hold := time.Duration(float64(min(l.options.HoldDuration, lease)) / (1 + maxClockDrift))
	if hold < minHoldDuration {
		return Grant{}
	}
	grant := Grant{Renew: true, HoldDuration: hold}
	size := 0
	for _, r := range rows {
		if r.Owner != l.owner || !r.NextOwner.IsZero() {
			continue
		}
		if l.holdsRow(r) {
			r.Handover = "" // The token has done its work, and answers are bounded.
		}
		if l.options.RowSize != nil {
			if size += l.options.RowSize(r); size > l.options.MaxRowsSize {
				grant.OmittedRows++
				continue
			}
		}
		grant.Rows = append(grant.Rows, r)
	}
	l.grantedRows, l.grantedSequence = grant.Rows, l.lastHeartbeat.Sequence
	if len(grant.Rows) > 0 {
		l.grantsEnd = max(l.grantsEnd, l.holdEnd(now, hold))
	}
	return grant
}

// warm reports whether the target held the whole row under its fencing token in the last heartbeat.
func (l *TargetLease) holdsRow(r keyspace.Row) bool {
	for _, held := range l.lastHeartbeat.HeldRanges {
		if held.Fence == r.Fence && held.Covers(r.Range) {
			return true
		}
	}
	return false
}

// GrantsEnded reports whether all grants have certainly ended.
func (l *TargetLease) GrantsEnded(now clock.Instant) bool { return now >= l.grantsEnd }

// RecordExit records that the target has ended, which ends its holds.
func (l *TargetLease) RecordExit(now clock.Instant) {
	l.grantsEnd = min(l.grantsEnd, now)
	l.grantedRows = nil
}

// GrantsEnd returns when the grants have certainly ended.
func (l *TargetLease) GrantsEnd() clock.Instant { return l.grantsEnd }

// GrantedRows returns the rows of the latest grant. They must not be changed.
func (l *TargetLease) GrantedRows() []keyspace.Row { return l.grantedRows }

// LastHeartbeat returns the last heartbeat and when it came.
func (l *TargetLease) LastHeartbeat() (*Heartbeat, clock.Instant) {
	return &l.lastHeartbeat, l.lastHeartbeatAt
}

// Released returns the rows of this owner that the target holds nothing of any more, though the table still names it:
// rows on the move, and all rows if the target leaves or the term is over.
func (l *TargetLease) Released(now clock.Instant, rows []keyspace.Row) []fleet.Release {
	var released []fleet.Release
	for _, r := range rows {
		if r.Owner != l.owner || l.valid && !l.draining && r.NextOwner.IsZero() {
			continue
		}
		if l.mayHold(now, r.Range) {
			continue
		}
		released = append(released, fleet.Release{Range: r.Range, Fence: r.Fence, Handover: l.handoverToken(r.Range)})
	}
	return released
}

// holds reports whether the target may still hold keys of the range.
func (l *TargetLease) mayHold(now clock.Instant, r keyspace.Range) bool {
	if now >= l.grantsEnd {
		return false
	}
	for _, g := range l.grantedRows {
		if g.Overlaps(r) {
			return true
		}
	}
	if l.lastHeartbeat.StartTimeMs != l.startTimeMs {
		return true // No heartbeat of the term's life has arrived yet.
	}
	for _, held := range l.lastHeartbeat.HeldRanges {
		if held.Overlaps(r) {
			return true
		}
	}
	return false
}

// token returns the handover token for the range, or an empty one.
func (l *TargetLease) handoverToken(r keyspace.Range) string {
	for i := len(l.releases) - 1; i >= 0; i-- {
		if l.releases[i].Covers(r) {
			return l.releases[i].Handover
		}
	}
	return ""
}
