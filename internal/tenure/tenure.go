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
	clockDrift = 0.02
	// minHold is the shortest hold worth granting. A shorter one would run out before the next heartbeat.
	minHold = 100 * time.Millisecond
	// lifeSilence is how long late heartbeats of earlier lives are told from those of a new one. Heartbeats come
	// about once a second, and a late one is seconds old.
	lifeSilence = 5 * time.Second
	// deathMargin is added to the end of the last hold before the target counts as holding nothing. It covers the
	// resolution of the target's timers.
	deathMargin = 50 * time.Millisecond
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
	options Options
	owner   keyspace.Owner
	born    int64
	last    Heartbeat
	lastAt  clock.Instant
	// checked is when the last check was sent that showed the term unrevoked; valid says that there was one.
	checked clock.Instant
	valid   bool
	// ends is when the last grant of the term has certainly run out.
	ends clock.Instant
	// given holds the rows of the latest grant, and the sequence that it answered.
	given    []keyspace.Row
	givenSeq uint64
	tokens   []fleet.Release
	leaving  bool
}

// NewTargetLease returns a holder without a term. It does not know what an earlier process granted, so that the target's
// holds last as long as a grant given now.
func NewTargetLease(now clock.Instant, options Options) *TargetLease {
	h := &TargetLease{options: options}
	h.ends = h.end(now, options.HoldDuration)
	return h
}

// end returns when a hold granted now has certainly run out.
func (h *TargetLease) end(now clock.Instant, hold time.Duration) clock.Instant {
	return now.Add(time.Duration(float64(hold)*(1+clockDrift)) + deathMargin)
}

// Begin starts or continues a term for a life of the target. The caller has made sure that the record in the store
// names it, and passes when it sent the call that showed so.
func (h *TargetLease) Begin(now clock.Instant, owner keyspace.Owner, born int64, checked clock.Instant) {
	if h.owner != owner {
		h.given, h.tokens, h.givenSeq, h.leaving = nil, nil, 0, false
		h.ends = max(h.ends, h.end(now, h.options.HoldDuration))
	}
	h.owner, h.born = owner, born
	h.checked, h.valid = checked, true
}

// Owner returns the current tenure.
func (h *TargetLease) Owner() keyspace.Owner { return h.owner }

// Confirm records that a call sent at the instant showed the term unrevoked.
func (h *TargetLease) Confirm(owner keyspace.Owner, sent clock.Instant) {
	if owner == h.owner && h.valid && sent > h.checked {
		h.checked = sent
	}
}

// ConfirmByCoordinator records that the coordinator said that the term is not revoked, after it had received a report that was sent at the
// instant. bound is how long after that the coordinator's own authority lasts at least, counted from the report.
func (h *TargetLease) ConfirmByCoordinator(owner keyspace.Owner, reported clock.Instant, bound time.Duration) {
	h.Confirm(owner, reported.Add(min(0, bound-h.options.LeaseDuration)))
}

// Revoke ends the term: nothing more is granted.
func (h *TargetLease) Revoke() { h.valid = false }

// Valid reports whether the term is neither revoked nor given up.
func (h *TargetLease) Valid() bool { return h.valid }

// StartDraining makes the target release everything.
func (h *TargetLease) StartDraining() { h.leaving = true }

// Remaining returns how long grants may still last.
func (h *TargetLease) Remaining(now clock.Instant) time.Duration {
	if !h.valid {
		return 0
	}
	return max(0, h.checked.Add(h.options.LeaseDuration).Sub(now))
}

// Stale reports whether the heartbeat is from an earlier life or was overtaken by a later one. An earlier start than
// that of a life which has been silent for lifeSilence is a new life after its clock went back.
func (h *TargetLease) Stale(now clock.Instant, b *Heartbeat) bool {
	if b.StartTimeMs != h.last.StartTimeMs {
		return b.StartTimeMs < h.last.StartTimeMs && now.Sub(h.lastAt) < lifeSilence
	}
	return b.Instance == h.last.Instance && b.Sequence <= h.last.Sequence && h.last.Sequence != 0
}

// RecordHeartbeat records a heartbeat. Stale ones must not be passed.
func (h *TargetLease) RecordHeartbeat(now clock.Instant, b *Heartbeat) {
	if b.StartTimeMs != h.last.StartTimeMs {
		h.tokens = nil
	}
	h.last, h.lastAt = *b, now
	if b.Draining {
		h.leaving = true
	}
	h.tokens = append(h.tokens, b.Released...)
	if len(h.tokens) > maxTokens {
		h.tokens = h.tokens[len(h.tokens)-maxTokens:]
	}
	if len(b.HeldRanges) == 0 && (b.StartTimeMs == h.born || h.owner.IsZero()) && b.Sequence > h.givenSeq {
		h.ends = min(h.ends, now)
	}
}

// maxTokens bounds the released ranges that are remembered until their rows have moved.
const maxTokens = 256

// Grant answers the last heartbeat. rows are the rows of the newest known table that name the holder's host.
func (h *TargetLease) Grant(now clock.Instant, rows []keyspace.Row) Grant {
	if h.last.StartTimeMs != h.born || h.owner.IsZero() {
		return Grant{}
	}
	if !h.valid || h.leaving {
		h.given, h.givenSeq = nil, h.last.Sequence
		return Grant{Renew: true}
	}
	lease := h.Remaining(now)
	hold := time.Duration(float64(min(h.options.HoldDuration, lease)) / (1 + clockDrift))
	if hold < minHold {
		return Grant{}
	}
	grant := Grant{Renew: true, HoldDuration: hold}
	size := 0
	for _, r := range rows {
		if r.Owner != h.owner || !r.NextOwner.IsZero() {
			continue
		}
		if h.warm(r) {
			r.Handover = "" // The token has done its work, and answers are bounded.
		}
		if h.options.RowSize != nil {
			if size += h.options.RowSize(r); size > h.options.MaxRowsSize {
				grant.OmittedRows++
				continue
			}
		}
		grant.Rows = append(grant.Rows, r)
	}
	h.given, h.givenSeq = grant.Rows, h.last.Sequence
	if len(grant.Rows) > 0 {
		h.ends = max(h.ends, h.end(now, hold))
	}
	return grant
}

// warm reports whether the target held the whole row under its fencing token in the last heartbeat.
func (h *TargetLease) warm(r keyspace.Row) bool {
	for _, held := range h.last.HeldRanges {
		if held.Fence == r.Fence && held.Covers(r.Range) {
			return true
		}
	}
	return false
}

// GrantsEnded reports whether all grants have certainly ended.
func (h *TargetLease) GrantsEnded(now clock.Instant) bool { return now >= h.ends }

// RecordExit records that the target has ended, which ends its holds.
func (h *TargetLease) RecordExit(now clock.Instant) {
	h.ends = min(h.ends, now)
	h.given = nil
}

// GrantsEnd returns when the grants have certainly ended.
func (h *TargetLease) GrantsEnd() clock.Instant { return h.ends }

// GrantedRows returns the rows of the latest grant. They must not be changed.
func (h *TargetLease) GrantedRows() []keyspace.Row { return h.given }

// LastHeartbeat returns the last heartbeat and when it came.
func (h *TargetLease) LastHeartbeat() (*Heartbeat, clock.Instant) { return &h.last, h.lastAt }

// Released returns the rows of this owner that the target holds nothing of any more, though the table still names it:
// rows on the move, and all rows if the target leaves or the term is over.
func (h *TargetLease) Released(now clock.Instant, rows []keyspace.Row) []fleet.Release {
	var released []fleet.Release
	for _, r := range rows {
		if r.Owner != h.owner || h.valid && !h.leaving && r.NextOwner.IsZero() {
			continue
		}
		if h.holds(now, r.Range) {
			continue
		}
		released = append(released, fleet.Release{Range: r.Range, Fence: r.Fence, Handover: h.token(r.Range)})
	}
	return released
}

// holds reports whether the target may still hold keys of the range.
func (h *TargetLease) holds(now clock.Instant, r keyspace.Range) bool {
	if now >= h.ends {
		return false
	}
	for _, g := range h.given {
		if g.Overlaps(r) {
			return true
		}
	}
	if h.last.StartTimeMs != h.born {
		return true // No heartbeat of the term's life has arrived yet.
	}
	for _, held := range h.last.HeldRanges {
		if held.Overlaps(r) {
			return true
		}
	}
	return false
}

// token returns the handover token for the range, or an empty one.
func (h *TargetLease) token(r keyspace.Range) string {
	for i := len(h.tokens) - 1; i >= 0; i-- {
		if h.tokens[i].Covers(r) {
			return h.tokens[i].Handover
		}
	}
	return ""
}
