// Package quarantine decides which requests are refused because they crash targets on the users' platform, from the
// runs that were under way when targets ended. Nodes hand quarantines over to each other and keep them in the store.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// crashThreshold is the number of crashes that lead to quarantine. One is not enough, because every request that runs
	// at a crash becomes a suspect.
	crashThreshold = 2
	// firstQuarantine is the length of a request's first quarantine. Each further one is quarantineGrowth times as long, up
	// to maxQuarantine.
	firstQuarantine  = time.Minute
	quarantineGrowth = 10
	maxQuarantine    = 24 * time.Hour
	// suspectRetention is how long a suspect that is not quarantined is remembered after its last crash.
	suspectRetention = 10 * time.Minute
	// minRestart is the time after a counted crash from which another run counts. It covers the delays of reports.
	minRestart = 50 * time.Millisecond
	// maxCrashIDs is the number of crashes of a suspect whose repeated reports are recognised.
	maxCrashIDs = 16
	// maxTracked bounds the fingerprints of a Tracker, MaxEntries those that it lists.
	maxTracked = 512
	MaxEntries = 64
)

// Crash is the end of a target during a run of a request.
type Crash struct {
	Fingerprint uint64
	// ID identifies the end of the target among all that are reported.
	ID uint64
	// Request identifies the request among those with the fingerprint.
	Request uint64
	// Started is when the run began, Ended when the target ended or the connection broke.
	Started, Ended clock.Instant
}

// Entry is a quarantine, which nodes exchange and the store keeps.
type Entry struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Level is the number of quarantines so far. A request that ends its target again after a quarantine gets a longer one.
	Level int `json:"level"`
	// Until is the end of the quarantine.
	Until time.Time `json:"until"`
	// Cleared means that the request has run to its end, so that it crashes no targets.
	Cleared bool `json:"cleared,omitempty"`
}

// Tracker decides which requests are quarantined because they crash targets. It performs no I/O and takes the time as an
// argument. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]*tracked
}

type tracked struct {
	crashes   int
	lastCrash clock.Instant
	// lastRequest is the request that ran at the crash that was counted last.
	lastRequest uint64
	// lastIDs are the crashes that were reported last, whether they count or not.
	lastIDs []uint64
	level   int
	until   clock.Instant
	// untilWall is the end as a time of day, which other nodes are told.
	untilWall time.Time
	cleared   bool
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker { return &Tracker{suspects: map[uint64]*tracked{}} }

// RecordCrash counts a crash and reports whether it begins a quarantine. A run that began before the crash that was counted
// last proves nothing more, because targets may end together for another reason; a request is sent to a second target only
// after the first run has broken off. Reports may be repeated. wall is the time of day at now.
func (t *Tracker) RecordCrash(now clock.Instant, wall time.Time, c Crash) (quarantined bool) {
	s := t.suspect(now, c.Fingerprint)
	if slices.Contains(s.lastIDs, c.ID) {
		return false
	}
	s.lastIDs = append(s.lastIDs[max(0, len(s.lastIDs)-maxCrashIDs+1):], c.ID)
	if s.lastCrash > 0 && c.Started < s.lastCrash.Add(minRestart) && c.Request != s.lastRequest {
		return false
	}
	if s.cleared {
		s.cleared, s.level = false, 0
	}
	s.crashes++
	s.lastCrash, s.lastRequest = c.Ended, c.Request
	if s.crashes < crashThreshold || now < s.until {
		return false
	}
	s.level++
	length := quarantineLength(s.level)
	s.until, s.untilWall = now.Add(length), wall.Add(length).Truncate(time.Second)
	return true
}

func quarantineLength(level int) time.Duration {
	length := firstQuarantine
	for range level - 1 {
		if length = min(length*quarantineGrowth, maxQuarantine); length == maxQuarantine {
			break
		}
	}
	return length
}

// suspect returns the state of the fingerprint. It forgets old suspects, and if there are too many the one whose last crash
// is the oldest.
func (t *Tracker) suspect(now clock.Instant, fingerprint uint64) *tracked {
	if s, ok := t.suspects[fingerprint]; ok {
		return s
	}
	maps.DeleteFunc(t.suspects, func(_ uint64, s *tracked) bool {
		return now.Sub(max(s.lastCrash, s.until)) > max(suspectRetention, quarantineLength(s.level+1))
	})
	if len(t.suspects) >= maxTracked {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), func(a, b uint64) int {
			x, y := t.suspects[a], t.suspects[b]
			return cmp.Or(cmp.Compare(x.level, y.level), cmp.Compare(x.lastCrash, y.lastCrash))
		})
		delete(t.suspects, oldest)
	}
	s := &tracked{}
	t.suspects[fingerprint] = s
	return s
}

// Clear ends all suspicion against a request that has run to its end: one that crashes its targets never does. It reports
// whether the request was suspected.
func (t *Tracker) Clear(fingerprint uint64) bool {
	s, ok := t.suspects[fingerprint]
	if !ok || s.cleared {
		return false
	}
	s.crashes, s.until, s.cleared = 0, 0, true
	return true
}

// Remaining returns how much longer the request is quarantined, 0 if it may run.
func (t *Tracker) Remaining(now clock.Instant, fingerprint uint64) time.Duration {
	if s, ok := t.suspects[fingerprint]; ok {
		return max(0, s.until.Sub(now))
	}
	return 0
}

// Suspected reports whether the request was running at a crash and has not run to its end since.
func (t *Tracker) Suspected(fingerprint uint64) bool {
	s, ok := t.suspects[fingerprint]
	return ok && !s.cleared
}

// Entries returns the requests that are or were quarantined, those with the latest quarantines if there are more than
// MaxEntries, in the order of their fingerprints.
func (t *Tracker) Entries() []Entry {
	var entries []Entry
	for fingerprint, s := range t.suspects {
		if s.level > 0 {
			entries = append(entries, Entry{fingerprint, s.level, s.untilWall, s.cleared})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Level, a.Level), b.Until.Compare(a.Until)) })
	entries = entries[:min(len(entries), MaxEntries)]
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Adopt takes over what another node or the store knows. wall is the time of day at now; a quarantine never lasts longer
// than its level allows, whatever the clocks say.
func (t *Tracker) Adopt(now clock.Instant, wall time.Time, entries []Entry) {
	for _, e := range entries[:min(len(entries), MaxEntries)] {
		s := t.suspect(now, e.Fingerprint)
		if e.Level <= 0 || e.Level < s.level && !s.cleared && !e.Cleared {
			continue
		}
		s.level, s.untilWall, s.cleared = e.Level, e.Until, e.Cleared
		if e.Cleared {
			s.crashes, s.until = 0, 0
			continue
		}
		s.until = max(s.until, now.Add(min(e.Until.Sub(wall), quarantineLength(e.Level))))
		s.crashes = max(s.crashes, crashThreshold)
	}
}
