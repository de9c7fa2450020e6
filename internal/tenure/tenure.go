// Package tenure tracks the lease of the target on a host and decides which ranges it is granted and
// for how long. It performs no I/O and takes the time as an argument. A TargetLease is not safe for
// concurrent use.
//
// Invariants: a grant contains only rows of the current term. It expires within the lease duration
// after the last confirmation, counted from when the confirming call was sent. A new term begins only
// after all grants of earlier terms have expired.
package tenure

import (
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// maxClockDrift is the highest rate by which the target's clock may run slow, according to the
	// platform's protocol: a hold of 1 s may last 1.02 s.
	maxClockDrift = 0.02
	// minHoldDuration is the shortest hold that is granted. A shorter one would expire before the next
	// heartbeat.
	minHoldDuration = 100 * time.Millisecond
	// lateHeartbeatWindow is how long a heartbeat with an earlier start time counts as a late one of a
	// previous incarnation, unless the later incarnation is known to have exited. Heartbeats are sent
	// about once a second, and partitions hold them up for up to ten seconds.
	lateHeartbeatWindow = 12 * time.Second
	// holdEndMargin is added to the end of the last hold to cover the resolution of the target's
	// timers.
	holdEndMargin = 50 * time.Millisecond
)

// Heartbeat is the report of a target.
type Heartbeat struct {
	Instance string
	// StartTimeMs is when the target started, in Unix milliseconds. It identifies the incarnation of
	// the target.
	StartTimeMs int64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	Service  string
	Slots    int
	Draining bool
	// ColdRemaining is the remaining time of the cold start.
	ColdRemaining time.Duration
	// HeldRanges lists the ranges that the target holds or still processes requests for.
	HeldRanges []HeldRange
	// Released lists the ranges that the target has released since its last acknowledged heartbeat.
	Released []fleet.Release
	// AfterAnswer is set if the target sent the heartbeat after it had received an answer of this process. Then the heartbeat lists all that earlier
	// processes granted and the target still holds.
	AfterAnswer bool
}

// HeldRange is a range that the target holds, with its fencing token.
type HeldRange struct {
	keyspace.Range
	Fence uint64
}

// Grant is the response to a heartbeat.
type Grant struct {
	// Renew is false if the response says nothing about ranges; the holds of the target then expire.
	Renew bool
	Rows  []keyspace.Row
	// OmittedRows is the number of rows that exceed the size limit of the response.
	OmittedRows int
	// HoldDuration counts from when the target sent the heartbeat.
	HoldDuration time.Duration
	// HeartbeatAddress is where the target is to send its later heartbeats, empty if that does not change.
	HeartbeatAddress string
}

// Options configures a TargetLease.
type Options struct {
	// LeaseDuration is how long grants may last after a confirmation of the lease.
	LeaseDuration time.Duration
	// HoldDuration is the duration of a grant unless the lease ends earlier.
	HoldDuration time.Duration
	// RowSize returns the size of a row in the response to a heartbeat, where all rows together may
	// take MaxRowsSize. If it is nil, there is no limit.
	RowSize     func(keyspace.Row) int
	MaxRowsSize int
}

// TargetLease is the lease of the target on one host, with its term, its last heartbeat and its
// grants.
type TargetLease struct {
	options         Options
	owner           keyspace.Owner
	startTimeMs     int64
	lastHeartbeat   Heartbeat
	lastHeartbeatAt clock.Instant
	// knownStartTimeMs is the latest start time of the target that is known, from its heartbeats or from
	// the store, and knownAt when it was last learnt. exited is set when that incarnation has exited.
	knownStartTimeMs int64
	knownAt          clock.Instant
	exited           bool
	// formerHeardAt is when a heartbeat of an earlier incarnation than the known one arrived last, or the time from which on one would have been heard.
	formerHeardAt clock.Instant
	// confirmedAt is when the last call was sent that showed the term as not revoked. valid is false
	// before the first such call and after a revocation.
	confirmedAt clock.Instant
	valid       bool
	// unbroken is set if the term may not be confirmed any more once it has lapsed.
	unbroken bool
	// grantsEnd is when the last grant of the term has certainly expired, earlierGrantsEnd when those of earlier processes have.
	grantsEnd, earlierGrantsEnd clock.Instant
	// unlistedUntil is until when the target may hold ranges that its heartbeats don't list: an earlier process may have granted them after
	// the heartbeats were sent. It does not apply to createdTerm, the latest term that this process has created.
	unlistedUntil clock.Instant
	createdTerm   keyspace.Owner
	// grantedRows holds the rows of the latest grant, grantedSequence the sequence number of the
	// heartbeat that it answered.
	grantedRows     []keyspace.Row
	grantedSequence uint64
	// releases holds the ranges that the target has released and not been granted since, with their handover tokens. Until
	// lateHeartbeatsUntil they may be those of an earlier possession, if an earlier process granted the ranges again; then
	// unprovenReleases holds those of the last heartbeat.
	releases, unprovenReleases []fleet.Release
	lateHeartbeatsUntil        clock.Instant
	draining                   bool
}

// NewTargetLease returns a lease without a term. Grants of an earlier process are not known, so the
// target is assumed to have holds that last as long as one granted now.
func NewTargetLease(now clock.Instant, options Options) *TargetLease {
	l := &TargetLease{options: options, formerHeardAt: now}
	l.earlierGrantsEnd = l.holdEnd(now, options.HoldDuration)
	l.grantsEnd, l.unlistedUntil, l.lateHeartbeatsUntil = l.earlierGrantsEnd, l.earlierGrantsEnd, now.Add(lateHeartbeatWindow)
	return l
}

// holdEnd returns when a hold granted now has certainly expired, including clock drift and margin.
func (l *TargetLease) holdEnd(now clock.Instant, hold time.Duration) clock.Instant {
	return now.Add(time.Duration(float64(hold)*(1+maxClockDrift)) + holdEndMargin)
}

// CreateTerm records that this process has created the term in the store. Earlier processes have granted nothing under it.
func (l *TargetLease) CreateTerm(owner keyspace.Owner) { l.createdTerm = owner }

// EndEarlierGrants records that the store shows that earlier processes have no grants left: the record was read after the start of this
// process and says that the target is down.
func (l *TargetLease) EndEarlierGrants(now clock.Instant) {
	if !l.owner.IsZero() {
		return
	}
	l.grantsEnd, l.unlistedUntil = min(l.grantsEnd, now), min(l.unlistedUntil, now)
}

// MayHoldUnlisted reports whether the target may hold ranges that its heartbeats don't list. A heartbeat that arrives first in a new process,
// or with a higher sequence number than another one, may have been sent before the last grant of the earlier process.
func (l *TargetLease) MayHoldUnlisted(now clock.Instant) bool {
	return (l.owner.IsZero() || l.owner != l.createdTerm) && now < l.unlistedUntil
}

// Begin starts or continues a term for an incarnation of the target. The caller must have verified
// that the record in the store names the term; confirmedAt is when it sent the call that showed this.
func (l *TargetLease) Begin(now clock.Instant, owner keyspace.Owner, startTimeMs int64, confirmedAt clock.Instant) {
	if l.owner != owner {
		l.grantedRows, l.releases, l.unprovenReleases, l.grantedSequence, l.draining = nil, nil, nil, 0, false
		l.grantsEnd = max(l.grantsEnd, l.holdEnd(now, l.options.HoldDuration))
	}
	l.owner, l.startTimeMs = owner, startTimeMs
	l.confirmedAt, l.valid, l.unbroken = confirmedAt, true, false
}

// RequireUnbroken makes the term end when it lapses, because the store may have lost a revocation of it: an owner whose keys were given to
// others has lapsed before, and later confirmations of the term prove nothing.
func (l *TargetLease) RequireUnbroken(now clock.Instant) {
	l.unbroken = true
	if l.Remaining(now) == 0 {
		l.Revoke()
	}
}

// Owner returns the host and the current term.
func (l *TargetLease) Owner() keyspace.Owner { return l.owner }

// Confirm records that a call sent at the given time showed the term as not revoked.
func (l *TargetLease) Confirm(owner keyspace.Owner, sent clock.Instant) {
	if owner != l.owner || !l.valid || sent <= l.confirmedAt {
		return
	}
	if l.unbroken && sent.Sub(l.confirmedAt) >= l.options.LeaseDuration {
		l.Revoke()
		return
	}
	l.confirmedAt = sent
}

// ConfirmByCoordinator records that the coordinator confirmed the term in answer to a report sent at
// the time reported. bound is the minimum remaining duration of the coordinator's own authority,
// counted from the report. If it is shorter than the lease duration, it limits the lease.
func (l *TargetLease) ConfirmByCoordinator(owner keyspace.Owner, reported clock.Instant, bound time.Duration) {
	l.Confirm(owner, reported.Add(min(0, bound-l.options.LeaseDuration)))
}

// Revoke ends the term. Nothing more is granted under it.
func (l *TargetLease) Revoke() { l.valid = false }

// Valid reports whether the term has been confirmed and not revoked since.
func (l *TargetLease) Valid() bool { return l.valid }

// StartDraining makes the target release all ranges.
func (l *TargetLease) StartDraining() { l.draining = true }

// Remaining returns the remaining duration of the lease, 0 if the term is not valid.
func (l *TargetLease) Remaining(now clock.Instant) time.Duration {
	if !l.valid {
		return 0
	}
	return max(0, l.confirmedAt.Add(l.options.LeaseDuration).Sub(now))
}

// ObserveIncarnation records that the store names an incarnation of the target, which an earlier process
// of the node has heard of, and whether that has exited. A heartbeat of an earlier one that came before is
// a late one and is forgotten. What a later one holds says nothing of the incarnation in the store.
func (l *TargetLease) ObserveIncarnation(now clock.Instant, startTimeMs int64, exited bool) {
	if !exited && l.owner.IsZero() && startTimeMs < l.knownStartTimeMs {
		l.grantsEnd = max(l.grantsEnd, l.earlierGrantsEnd)
	}
	if startTimeMs <= l.knownStartTimeMs {
		return
	}
	l.knownStartTimeMs, l.knownAt, l.exited = startTimeMs, now, exited
	if !exited && l.lastHeartbeat.StartTimeMs < startTimeMs {
		l.lastHeartbeat, l.lastHeartbeatAt, l.releases, l.unprovenReleases = Heartbeat{}, 0, nil, nil
	}
}

// Stale reports whether the heartbeat is from a previous incarnation or was overtaken by a later one. An
// earlier start time means a new incarnation after the clock was set back only if the later incarnation
// has exited, or has not been heard of for lateHeartbeatWindow.
func (l *TargetLease) Stale(now clock.Instant, b *Heartbeat) bool {
	if b.StartTimeMs < l.knownStartTimeMs {
		l.formerHeardAt = max(l.formerHeardAt, now)
		return !l.exited && now.Sub(l.knownAt) < lateHeartbeatWindow
	}
	return b.StartTimeMs == l.lastHeartbeat.StartTimeMs && b.Instance == l.lastHeartbeat.Instance && b.Sequence <= l.lastHeartbeat.Sequence && l.lastHeartbeat.Sequence != 0
}

// RecordHeartbeat records a heartbeat. The caller must discard stale ones.
func (l *TargetLease) RecordHeartbeat(now clock.Instant, b *Heartbeat) {
	if b.StartTimeMs != l.lastHeartbeat.StartTimeMs {
		l.formerHeardAt = max(l.formerHeardAt, l.lastHeartbeatAt)
	}
	onlyIncarnation := l.knownStartTimeMs == 0 || l.knownStartTimeMs == b.StartTimeMs || l.exited
	if b.StartTimeMs != l.lastHeartbeat.StartTimeMs {
		l.releases, l.unprovenReleases = nil, nil
	}
	if b.AfterAnswer {
		l.unlistedUntil, l.lateHeartbeatsUntil = min(l.unlistedUntil, now), min(l.lateHeartbeatsUntil, now)
	}
	l.lastHeartbeat, l.lastHeartbeatAt = *b, now
	l.knownStartTimeMs, l.knownAt, l.exited = b.StartTimeMs, now, false
	if b.Draining {
		l.draining = true
	}
	l.recordReleases(now, b)
	if len(b.HeldRanges) == 0 && (b.StartTimeMs == l.startTimeMs || l.owner.IsZero() && onlyIncarnation) && b.Sequence > l.grantedSequence && !l.MayHoldUnlisted(now) {
		l.grantsEnd = min(l.grantsEnd, now)
	}
}

// recordReleases records the ranges that the target has released. The heartbeat before the first one that follows an answer of this process is the
// one that was answered in time, so that its releases are as recent.
func (l *TargetLease) recordReleases(now clock.Instant, b *Heartbeat) {
	if l.owner != l.createdTerm && now < l.lateHeartbeatsUntil {
		l.unprovenReleases = lastReleases(b.Released)
		return
	}
	if b.AfterAnswer {
		l.releases = append(l.releases, l.unprovenReleases...)
	}
	l.unprovenReleases = nil
	l.releases = lastReleases(append(l.releases, b.Released...))
}

func lastReleases(releases []fleet.Release) []fleet.Release {
	return releases[max(0, len(releases)-maxReleases):]
}

// forgetReleases drops the releases of ranges that the target is granted again. Their tokens are those of the earlier possession.
func (l *TargetLease) forgetReleases(rows []keyspace.Row) {
	granted := func(r fleet.Release) bool {
		return slices.ContainsFunc(rows, func(row keyspace.Row) bool { return row.Overlaps(r.Range) })
	}
	l.releases, l.unprovenReleases = slices.DeleteFunc(l.releases, granted), slices.DeleteFunc(l.unprovenReleases, granted)
}

// maxReleases bounds the released ranges that are kept until their rows have moved.
const maxReleases = 256

// Grant answers the last heartbeat. rows are the rows of the newest known table whose owner is on this
// host.
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
			r.Handover = "" // The target has used the token; omitting it saves space in the response.
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
	l.forgetReleases(grant.Rows)
	if len(grant.Rows) > 0 {
		l.grantsEnd = max(l.grantsEnd, l.holdEnd(now, hold))
	}
	return grant
}

// holdsRow reports whether the target held the whole row under its fencing token in the last
// heartbeat.
func (l *TargetLease) holdsRow(r keyspace.Row) bool {
	for _, held := range l.lastHeartbeat.HeldRanges {
		if held.Fence == r.Fence && held.Covers(r.Range) {
			return true
		}
	}
	return false
}

// ListenFrom records that the process did not take heartbeats for some time until now, so that the silence of an earlier incarnation says nothing.
func (l *TargetLease) ListenFrom(now clock.Instant) { l.formerHeardAt = max(l.formerHeardAt, now) }

// FormerSilent reports whether no earlier incarnation than the known one has sent a heartbeat for the time. One that still works sends them.
func (l *TargetLease) FormerSilent(now clock.Instant, d time.Duration) bool {
	return now.Sub(l.formerHeardAt) >= d
}

// GrantsEnded reports whether all grants have certainly expired.
func (l *TargetLease) GrantsEnded(now clock.Instant) bool { return now >= l.grantsEnd }

// RecordExit records that the target's process has exited, which ends its holds.
func (l *TargetLease) RecordExit(now clock.Instant) {
	l.grantsEnd, l.unlistedUntil = min(l.grantsEnd, now), min(l.unlistedUntil, now)
	l.grantedRows = nil
	l.exited = true
}

// GrantsEnd returns when all grants have certainly expired.
func (l *TargetLease) GrantsEnd() clock.Instant { return l.grantsEnd }

// GrantedRows returns the rows of the latest grant. The caller must not modify them.
func (l *TargetLease) GrantedRows() []keyspace.Row { return l.grantedRows }

// LastHeartbeat returns the last heartbeat and when it arrived.
func (l *TargetLease) LastHeartbeat() (*Heartbeat, clock.Instant) {
	return &l.lastHeartbeat, l.lastHeartbeatAt
}

// Released returns the rows that the table still assigns to this owner, but of which the target holds
// nothing any more: moving rows, and all rows if the target is draining or the term has ended.
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

// mayHold reports whether the target may still hold keys of the range.
func (l *TargetLease) mayHold(now clock.Instant, r keyspace.Range) bool {
	if now >= l.grantsEnd {
		return false
	}
	if l.MayHoldUnlisted(now) {
		return true
	}
	for _, g := range l.grantedRows {
		if g.Overlaps(r) {
			return true
		}
	}
	if l.lastHeartbeat.StartTimeMs != l.startTimeMs {
		return true // No heartbeat of the current incarnation has arrived yet.
	}
	for _, held := range l.lastHeartbeat.HeldRanges {
		if held.Overlaps(r) {
			return true
		}
	}
	return false
}

// handoverToken returns the handover token for the range, or the empty string.
func (l *TargetLease) handoverToken(r keyspace.Range) string {
	for i := len(l.releases) - 1; i >= 0; i-- {
		if l.releases[i].Covers(r) {
			return l.releases[i].Handover
		}
	}
	return ""
}
