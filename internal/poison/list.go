// Package poison finds requests that crash targets and keeps them from running
// again. It performs no I/O and takes the time as an argument. A List is not
// safe for concurrent use.
package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// crashesToQuarantine is 2, because every request that is in flight at a crash becomes a suspect.
	crashesToQuarantine = 2
	// quarantineTime is how long a fingerprint is refused, and how long a crash counts.
	quarantineTime = 10 * time.Minute
	// proofTime is how long a lost connection waits for the proof that the target crashed. Announcements stop for
	// 500 ms, or a new incarnation announces itself, well before.
	proofTime = 5 * time.Second
	// The bounds of the memory of one node; a crash has at most as many suspects as the target has slots.
	maxSuspects = 8192
	maxLosses   = 1024
	maxGone     = 16
	maxReport   = 1024
)

// InFlight is a request that was handed to the target.
type InFlight struct {
	fingerprint uint64
	incarnation string
}

// Outcome says how a flight ended.
type Outcome int

// The ends of a flight.
const (
	// Completed means that the target answered the request.
	Completed Outcome = iota
	// ConnectionLost means that the target closed the connection before it answered in full.
	ConnectionLost
	// Cancelled means that this node or the caller ended the request; it proves nothing.
	Cancelled
)

type loss struct {
	flight InFlight
	at     clock.Instant
}

type crash struct {
	reporter    string
	incarnation string
}

// suspicion is what is known about a fingerprint.
type suspicion struct {
	crashes []crash
	last    clock.Instant
}

// List holds the suspects that a node knows of.
type List struct {
	self     string
	suspects *simplelru.LRU[uint64, *suspicion]
	// losses are connections that were lost while it is not known whether the target crashed.
	losses []loss
	// gone are the incarnations that crashed or stopped announcing themselves.
	gone []string
}

// NewList returns an empty list for the node with the name.
func NewList(self string) *List {
	suspects, err := simplelru.NewLRU[uint64, *suspicion](maxSuspects, nil)
	if err != nil {
		panic("poison: the size of the list is wrong: " + err.Error())
	}
	return &List{self: self, suspects: suspects}
}

// QuarantineRemaining returns for how long requests with the fingerprint are refused, 0 if they may run.
func (l *List) QuarantineRemaining(now clock.Instant, fingerprint uint64) time.Duration {
	s, known := l.suspects.Peek(fingerprint)
	if !known || len(s.crashes) < crashesToQuarantine {
		return 0
	}
	return max(0, s.last.Add(quarantineTime).Sub(now))
}

// Begin records that a request is handed to an incarnation of the target.
func (l *List) Begin(fingerprint uint64, incarnation string) InFlight {
	return InFlight{fingerprint: fingerprint, incarnation: incarnation}
}

// Finish ends a flight. It returns a report to share with the other nodes, or nil.
func (l *List) Finish(now clock.Instant, f InFlight, end Outcome) *wire.PoisonReport {
	switch end {
	case Completed:
		l.clear(f.fingerprint)
		return nil
	case Cancelled:
		return nil
	}
	if slices.Contains(l.gone, f.incarnation) {
		return l.report(now, f.incarnation, []uint64{f.fingerprint})
	}
	l.losses = append(l.recentLosses(now), loss{flight: f, at: now})
	if len(l.losses) > maxLosses {
		l.losses = l.losses[1:]
	}
	return nil
}

// clear drops the suspicion against a request that has just been answered. Popular requests are in flight at most
// crashes, and would be quarantined for the fault of others. A request that crashes its targets is never answered.
func (l *List) clear(fingerprint uint64) {
	if s, known := l.suspects.Peek(fingerprint); known && len(s.crashes) < crashesToQuarantine {
		l.suspects.Remove(fingerprint)
	}
}

func (l *List) recentLosses(now clock.Instant) []loss {
	return slices.DeleteFunc(l.losses, func(x loss) bool { return now.Sub(x.at) > proofTime })
}

// TargetGone records that an incarnation was replaced or stopped announcing itself. The requests whose connections
// it lost become suspects. It returns a report to share with the other nodes, or nil.
func (l *List) TargetGone(now clock.Instant, incarnation string) *wire.PoisonReport {
	if !slices.Contains(l.gone, incarnation) {
		l.gone = append(l.gone, incarnation)
	}
	if len(l.gone) > maxGone {
		l.gone = l.gone[1:]
	}
	var fingerprints []uint64
	l.losses = slices.DeleteFunc(l.recentLosses(now), func(x loss) bool {
		if x.flight.incarnation != incarnation {
			return false
		}
		fingerprints = append(fingerprints, x.flight.fingerprint)
		return true
	})
	return l.report(now, incarnation, fingerprints)
}

// TargetReturned records that an incarnation announces itself again; it did not crash.
func (l *List) TargetReturned(incarnation string) {
	l.gone = slices.DeleteFunc(l.gone, func(g string) bool { return g == incarnation })
}

// report adds an own crash and returns it for the other nodes.
func (l *List) report(now clock.Instant, incarnation string, fingerprints []uint64) *wire.PoisonReport {
	if len(fingerprints) == 0 {
		return nil
	}
	r := &wire.PoisonReport{Reporter: l.self, TargetIncarnation: incarnation, Fingerprints: fingerprints}
	l.Add(now, r)
	return r
}

// Add takes a report. It returns the fingerprints that it put into quarantine, and false for a malformed report.
func (l *List) Add(now clock.Instant, r *wire.PoisonReport) (quarantined []uint64, ok bool) {
	if r.GetReporter() == "" || r.GetTargetIncarnation() == "" || len(r.GetFingerprints()) > maxReport {
		return nil, false
	}
	c := crash{reporter: r.GetReporter(), incarnation: r.GetTargetIncarnation()}
	for _, fingerprint := range r.GetFingerprints() {
		if l.suspect(now, fingerprint, c) {
			quarantined = append(quarantined, fingerprint)
		}
	}
	return quarantined, true
}

// suspect counts a crash once, and reports whether it led to the quarantine.
func (l *List) suspect(now clock.Instant, fingerprint uint64, c crash) bool {
	s, known := l.suspects.Get(fingerprint)
	if !known || now.Sub(s.last) > quarantineTime {
		s = &suspicion{}
		l.suspects.Add(fingerprint, s)
	}
	if len(s.crashes) >= crashesToQuarantine || slices.Contains(s.crashes, c) {
		return false
	}
	s.crashes = append(s.crashes, c)
	s.last = now
	return len(s.crashes) == crashesToQuarantine
}
