// Package poison detects requests that crash targets and quarantines them, so
// that they don't run again. It performs no I/O and takes the time as an
// argument. A List is not safe for concurrent use.
package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// quarantineThreshold is the number of crashes that lead to quarantine. One is not enough, because every request
	// in flight at a crash becomes a suspect.
	quarantineThreshold = 2
	// quarantineDuration is how long requests with a fingerprint are refused, and how long a crash counts.
	quarantineDuration = 10 * time.Minute
	// crashConfirmationTimeout is how long a lost connection waits for the confirmation that the target crashed. A
	// crashed target is detected well before, when its announcements have stopped for 500 ms or when a new
	// incarnation announces itself.
	crashConfirmationTimeout = 5 * time.Second
	// The limits of memory use per node. A crash has at most as many suspects as the target has slots.
	maxSuspects           = 8192
	maxLostConnections    = 1024
	maxGoneIncarnations   = 16
	maxReportFingerprints = 1024
)

// InFlight is a request that was sent to the target.
type InFlight struct {
	fingerprint uint64
	incarnation string
}

// Outcome describes how an in-flight request ended.
type Outcome int

// The outcomes of a request.
const (
	// Completed means that the target answered the request.
	Completed Outcome = iota
	// ConnectionLost means that the target closed the connection before it answered in full.
	ConnectionLost
	// Cancelled means that this node or the caller ended the request. It provides no evidence about the request.
	Cancelled
)

// lostConnection is a request whose connection to the target was lost.
type lostConnection struct {
	request InFlight
	at      clock.Instant
}

// crash identifies a crash of a target as reported by a node.
type crash struct {
	reporter    string
	incarnation string
}

// suspect holds the crashes during which requests with a fingerprint were in flight.
type suspect struct {
	crashes   []crash
	lastCrash clock.Instant
}

// List holds the suspects known to a node.
type List struct {
	self     string
	suspects *simplelru.LRU[uint64, *suspect]
	// lostConnections are the lost connections for which a crash of the target is not confirmed yet.
	lostConnections []lostConnection
	// goneIncarnations are the incarnations that crashed or stopped announcing themselves.
	goneIncarnations []string
}

// NewList returns an empty list for the node with the given name.
func NewList(self string) *List {
	suspects, err := simplelru.NewLRU[uint64, *suspect](maxSuspects, nil)
	if err != nil {
		panic("poison: creating the LRU list of suspects: " + err.Error())
	}
	return &List{self: self, suspects: suspects}
}

// QuarantineRemaining returns how much longer requests with the fingerprint are refused, or 0 if they may run.
func (l *List) QuarantineRemaining(now clock.Instant, fingerprint uint64) time.Duration {
	s, known := l.suspects.Peek(fingerprint)
	if !known || len(s.crashes) < quarantineThreshold {
		return 0
	}
	return max(0, s.lastCrash.Add(quarantineDuration).Sub(now))
}

// Begin returns the in-flight state of a request that is about to be sent to an incarnation of the target.
func (l *List) Begin(fingerprint uint64, incarnation string) InFlight {
	return InFlight{fingerprint: fingerprint, incarnation: incarnation}
}

// Finish records the outcome of an in-flight request. It returns a report to share with the other nodes, or nil.
func (l *List) Finish(now clock.Instant, f InFlight, outcome Outcome) *wire.PoisonReport {
	switch outcome {
	case Completed:
		l.clearSuspect(f.fingerprint)
		return nil
	case Cancelled:
		return nil
	}
	if slices.Contains(l.goneIncarnations, f.incarnation) {
		return l.reportCrash(now, f.incarnation, []uint64{f.fingerprint})
	}
	l.lostConnections = append(l.recentLostConnections(now), lostConnection{request: f, at: now})
	if len(l.lostConnections) > maxLostConnections {
		l.lostConnections = l.lostConnections[1:]
	}
	return nil
}

// clearSuspect removes the suspect for a request that has just been answered, unless it is in quarantine. Popular
// requests are in flight during most crashes and would otherwise be quarantined for crashes that other requests cause.
// A request that crashes its targets is never answered.
func (l *List) clearSuspect(fingerprint uint64) {
	if s, known := l.suspects.Peek(fingerprint); known && len(s.crashes) < quarantineThreshold {
		l.suspects.Remove(fingerprint)
	}
}

// recentLostConnections returns the lost connections that are not older than crashConfirmationTimeout.
func (l *List) recentLostConnections(now clock.Instant) []lostConnection {
	return slices.DeleteFunc(l.lostConnections, func(x lostConnection) bool { return now.Sub(x.at) > crashConfirmationTimeout })
}

// TargetGone records that an incarnation was replaced or stopped announcing itself. Requests whose connections to it
// were lost become suspects. It returns a report to share with the other nodes, or nil.
func (l *List) TargetGone(now clock.Instant, incarnation string) *wire.PoisonReport {
	if !slices.Contains(l.goneIncarnations, incarnation) {
		l.goneIncarnations = append(l.goneIncarnations, incarnation)
	}
	if len(l.goneIncarnations) > maxGoneIncarnations {
		l.goneIncarnations = l.goneIncarnations[1:]
	}
	var fingerprints []uint64
	l.lostConnections = slices.DeleteFunc(l.recentLostConnections(now), func(x lostConnection) bool {
		if x.request.incarnation != incarnation {
			return false
		}
		fingerprints = append(fingerprints, x.request.fingerprint)
		return true
	})
	return l.reportCrash(now, incarnation, fingerprints)
}

// TargetReturned records that an incarnation announces itself again and thus has not crashed.
func (l *List) TargetReturned(incarnation string) {
	l.goneIncarnations = slices.DeleteFunc(l.goneIncarnations, func(g string) bool { return g == incarnation })
}

// reportCrash adds a crash of this node's target and returns the report to share with the other nodes.
func (l *List) reportCrash(now clock.Instant, incarnation string, fingerprints []uint64) *wire.PoisonReport {
	if len(fingerprints) == 0 {
		return nil
	}
	r := &wire.PoisonReport{Reporter: l.self, TargetIncarnation: incarnation, Fingerprints: fingerprints}
	l.Add(now, r)
	return r
}

// Add handles a report. It returns the fingerprints that are quarantined because of it, and false for a malformed
// report.
func (l *List) Add(now clock.Instant, r *wire.PoisonReport) (quarantined []uint64, ok bool) {
	if r.GetReporter() == "" || r.GetTargetIncarnation() == "" || len(r.GetFingerprints()) > maxReportFingerprints {
		return nil, false
	}
	c := crash{reporter: r.GetReporter(), incarnation: r.GetTargetIncarnation()}
	for _, fingerprint := range r.GetFingerprints() {
		if l.addCrash(now, fingerprint, c) {
			quarantined = append(quarantined, fingerprint)
		}
	}
	return quarantined, true
}

// addCrash counts a crash for a fingerprint, ignoring repeated reports, and reports whether it leads to quarantine.
func (l *List) addCrash(now clock.Instant, fingerprint uint64, c crash) bool {
	s, known := l.suspects.Get(fingerprint)
	if !known || now.Sub(s.lastCrash) > quarantineDuration {
		s = &suspect{}
		l.suspects.Add(fingerprint, s)
	}
	if len(s.crashes) >= quarantineThreshold || slices.Contains(s.crashes, c) {
		return false
	}
	s.crashes = append(s.crashes, c)
	s.lastCrash = now
	return len(s.crashes) == quarantineThreshold
}
