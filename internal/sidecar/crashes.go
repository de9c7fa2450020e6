package sidecar

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/quarantine"
	"github.com/citronvane/citronvane/internal/store"
)

const (
	// crashAttributionWindow is how long after its connection broke a request counts as a suspect if the target ends, since the end
	// is detected later than the broken connection.
	crashAttributionWindow = 3 * time.Second
	// completedRetention is how long a request that has run to its end is no suspect. Popular requests run during most crashes.
	completedRetention = 30 * time.Second
	// maxCompleted bounds the requests that are remembered for that, maxBroken those whose connections broke.
	maxCompleted = 4096
	maxBroken    = 256
	// crashReportRetention is how long a node reports a crash to the leader, and maxCrashReports how many.
	crashReportRetention = 30 * time.Second
	maxCrashReports      = 64
)

// runOutcome says how a run of a request at the target ended.
type runOutcome int

const (
	// runEnded means that the end says nothing about the request: it was cancelled, refused, or its response is still on its way.
	runEnded runOutcome = iota
	// runCompleted means that the target answered in full.
	runCompleted
	// runBroken means that the connection broke.
	runBroken
)

// activeRuns are the runs of one request at the target.
type activeRuns struct {
	count int
	// started is the start of the latest run, request the hash of its ID.
	started clock.Instant
	request uint64
}

// brokenRun is a run whose connection broke.
type brokenRun struct {
	started, ended clock.Instant
	request        uint64
}

// crashWatch records which requests run when targets end, and which of them are quarantined. Requests are known by their fingerprints.
type crashWatch struct {
	process uint64

	mu        sync.Mutex
	running   map[uint64]activeRuns
	broken    map[uint64]brokenRun
	completed *simplelru.LRU[uint64, clock.Instant]
	tracker   *quarantine.Tracker
	// reports are the crashes that the leader may not know yet, cleared the suspects that have run to their ends since.
	reports []quarantine.Crash
	cleared map[uint64]clock.Instant
}

func newCrashWatch(process uint64) *crashWatch {
	completed, err := simplelru.NewLRU[uint64, clock.Instant](maxCompleted, nil)
	if err != nil {
		panic("sidecar: creating the list of completed requests: " + err.Error()) // The size is a positive constant.
	}
	return &crashWatch{
		process: process, running: map[uint64]activeRuns{}, broken: map[uint64]brokenRun{}, completed: completed,
		tracker: quarantine.NewTracker(), cleared: map[uint64]clock.Instant{},
	}
}

func (w *crashWatch) beginRun(now clock.Instant, fingerprint uint64, requestID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[fingerprint] = activeRuns{w.running[fingerprint].count + 1, now, xxhash.Sum64String(requestID)}
}

func (w *crashWatch) endRun(now clock.Instant, fingerprint uint64, outcome runOutcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[fingerprint]
	if r.count--; r.count <= 0 {
		delete(w.running, fingerprint)
	} else {
		w.running[fingerprint] = r
	}
	switch outcome {
	case runBroken:
		if len(w.broken) >= maxBroken {
			w.dropOldBroken(now)
		}
		if len(w.broken) < maxBroken {
			w.broken[fingerprint] = brokenRun{r.started, now, r.request}
		}
	case runCompleted:
		w.completed.Add(fingerprint, now)
		if w.tracker.Clear(fingerprint) && len(w.cleared) < maxCrashReports {
			w.cleared[fingerprint] = now
		}
	}
}

func (w *crashWatch) dropOldBroken(now clock.Instant) {
	for fingerprint, b := range w.broken {
		if now.Sub(b.ended) >= crashAttributionWindow {
			delete(w.broken, fingerprint)
		}
	}
}

// recordTargetEnd counts a crash against the requests that were running when the target ended, or had just lost their connection. It
// returns them, and those of them that are quarantined now.
func (w *crashWatch) recordTargetEnd(now clock.Instant) (suspects []quarantine.Crash, quarantined []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for fingerprint, r := range w.running {
		w.broken[fingerprint] = brokenRun{r.started, now, r.request}
	}
	id := uint64(now) ^ w.process
	for fingerprint, b := range w.broken {
		delete(w.broken, fingerprint)
		if completedAt, ok := w.completed.Peek(fingerprint); now.Sub(b.ended) >= crashAttributionWindow || ok && now.Sub(completedAt) < completedRetention {
			continue
		}
		c := quarantine.Crash{Fingerprint: fingerprint, ID: id, Request: b.request, Started: b.started, Ended: b.ended}
		suspects = append(suspects, c)
		if w.tracker.RecordCrash(now, time.Now(), c) {
			quarantined = append(quarantined, fingerprint)
		}
	}
	w.reports = append(w.reports, suspects...)
	w.reports = w.reports[max(0, len(w.reports)-maxCrashReports):]
	return suspects, quarantined
}

// report returns the crashes and the cleared suspects of the last crashReportRetention for the leader.
func (w *crashWatch) report(now clock.Instant) (runs []fleet.SuspectRun, cleared []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = slices.DeleteFunc(w.reports, func(c quarantine.Crash) bool { return now.Sub(c.Ended) >= crashReportRetention })
	for _, c := range w.reports {
		runs = append(runs, fleet.SuspectRun{Fingerprint: c.Fingerprint, CrashID: c.ID, Request: c.Request, StartedMsAgo: now.Sub(c.Started).Milliseconds(), EndedMsAgo: now.Sub(c.Ended).Milliseconds()})
	}
	for fingerprint, at := range w.cleared {
		if now.Sub(at) >= crashReportRetention {
			delete(w.cleared, fingerprint)
			continue
		}
		cleared = append(cleared, fingerprint)
	}
	slices.Sort(cleared)
	return runs, cleared
}

// recordReport counts what another node reports to the leader. It returns the requests that are quarantined now.
func (w *crashWatch) recordReport(now clock.Instant, r *fleet.Report) (quarantined []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range r.SuspectRuns {
		c := quarantine.Crash{Fingerprint: s.Fingerprint, ID: s.CrashID, Request: s.Request,
			Started: now.Add(-time.Duration(s.StartedMsAgo) * time.Millisecond), Ended: now.Add(-time.Duration(s.EndedMsAgo) * time.Millisecond)}
		if w.tracker.RecordCrash(now, time.Now(), c) {
			quarantined = append(quarantined, s.Fingerprint)
		}
	}
	for _, fingerprint := range r.Cleared {
		w.tracker.Clear(fingerprint)
	}
	return quarantined
}

// quarantineList returns the list of quarantines for other nodes and for the store.
func (w *crashWatch) quarantineList() fleet.QuarantineList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fleet.NewQuarantineList(w.tracker.Entries())
}

// adopt takes over the quarantines of the list.
func (w *crashWatch) adopt(now clock.Instant, list fleet.QuarantineList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Adopt(now, time.Now(), list.Entries)
}

// quarantineRemaining returns how much longer the request is refused, 0 if it may run.
func (w *crashWatch) quarantineRemaining(now clock.Instant, fingerprint uint64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Remaining(now, fingerprint)
}

// recordTargetEnd logs and reports the requests that ran when the target ended.
func (g *gate) recordTargetEnd(now clock.Instant, instance string) {
	suspects, quarantined := g.crashes.recordTargetEnd(now)
	for _, c := range suspects {
		g.lines.logLimited(func(l *logger) {
			event.CrashSuspected.On(l).Str("instance", instance).Uint64("fingerprint", c.Fingerprint).Uint64("crash", c.ID).
				Str("ran", c.Ended.Sub(c.Started).Round(time.Millisecond).String()).Send()
		})
	}
	g.logQuarantines(quarantined)
	if len(suspects) > 0 {
		go g.post(func(now clock.Instant) { g.coordinator.sendReport(g.member.buildReport(now)) })
	}
}

func (n *node) logQuarantines(fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		event.QuarantineBegan.On(n.log).Uint64("fingerprint", fingerprint).
			Str("for", n.crashes.quarantineRemaining(n.clock.Now(), fingerprint).Round(time.Second).String()).Send()
	}
}

// recordCrashes counts the crashes of a report, and hands quarantines over to the other nodes and the store.
func (c *coordinator) recordCrashes(now clock.Instant, r *fleet.Report) {
	if len(r.SuspectRuns) == 0 && len(r.Cleared) == 0 {
		return
	}
	c.logQuarantines(c.crashes.recordReport(now, r))
	c.quarantined = c.crashes.quarantineList()
	c.saveQuarantine()
}

// saveQuarantine writes the quarantines to the store unless it has them. Nodes that start read them there.
func (c *coordinator) saveQuarantine() {
	list := c.quarantined
	if !c.isLeader || !c.leadsEra() || list.Version == c.savedQuarantine || c.pendingWrites[fleet.QuarantineName] || c.clock.Now() < c.saveQuarantineAt {
		return
	}
	c.pendingWrites[fleet.QuarantineName] = true
	condition, round := c.condition(c.quarantineObject), c.round
	c.runAsync(func(ctx context.Context) func(clock.Instant) {
		written, err := c.store.Put(ctx, fleet.Kind, fleet.QuarantineName, list.Encode(), condition)
		var current store.Object
		if err != nil {
			event.StoreWriteFailed.On(c.log).Str("object", fleet.QuarantineName).Err(err).Send()
			if current, err = c.store.Get(ctx, fleet.Kind, fleet.QuarantineName); err != nil && !errs.Is(err, errs.NotFound) {
				event.StoreWriteFailed.On(c.log).Str("object", fleet.QuarantineName).Str("call", "get").Err(err).Send()
			}
		}
		return func(after clock.Instant) {
			if c.round != round || !c.isLeader {
				return
			}
			delete(c.pendingWrites, fleet.QuarantineName)
			if written > 0 {
				c.quarantineObject, c.savedQuarantine = written, list.Version
				return
			}
			c.adoptQuarantineObject(after, current)
			c.saveQuarantineAt = after.Add(storeRetryDelay)
		}
	})
}

// adoptQuarantineObject takes over the quarantines that the store keeps. A missing object has the version 0.
func (n *node) adoptQuarantineObject(now clock.Instant, o store.Object) {
	n.coordinator.quarantineObject = o.Version
	if o.Version == 0 {
		return
	}
	var list fleet.QuarantineList
	if err := json.Unmarshal(o.Value, &list); err != nil {
		event.ObjectInvalid.On(n.log).Str("object", o.Name).Err(err).Send() // The next quarantine overwrites it.
		return
	}
	n.crashes.adopt(now, list)
}
