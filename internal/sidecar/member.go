package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/tenure"
	"github.com/citronvane/citronvane/platform"
)

const (
	// probeAfterIntervals is the number of heartbeat intervals without a heartbeat after which the node probes the target's port.
	probeAfterIntervals = 1.4
	// probeInterval is the minimum time between two probes.
	probeInterval = 150 * time.Millisecond
	// overloadReportThreshold is the number of requests refused for overload within a control tick at which the node reports at once.
	overloadReportThreshold = 4
	// overloadReportInterval is the minimum time between two such reports.
	overloadReportInterval = 450 * time.Millisecond
	// initialViewTimeout is how long a starting node waits for the list of all records before it reads its own one.
	initialViewTimeout = 600 * time.Millisecond
	// firstHeartbeatWait is how long a starting node without a record waits for its target's first heartbeat, which spares one of two
	// writes. Only nodes with a record are polled.
	firstHeartbeatWait = 400 * time.Millisecond
	// rewriteSpacing is the average time between the writes of two nodes that write their records again after the store came back from a copy.
	rewriteSpacing = 5 * time.Millisecond
	// drainMargin is how long before the platform's deadline a leaving target gets its last request.
	drainMargin = 300 * time.Millisecond
	// replyTimeout bounds how long a heartbeat waits for the control goroutine. The target times out after 1 s.
	replyTimeout = 700 * time.Millisecond
)

// member registers the host's target in the store, maintains its lease and answers its heartbeats. Its fields belong to the
// control goroutine.
type member struct {
	*node
	holder *tenure.TargetLease
	// record is the host's record as last read or written, nil if there is none. It is only valid if recordLoaded is set.
	record       *fleet.Target
	recordLoaded bool
	startedAt    clock.Instant
	// rewriteAt is when a record of an earlier era of the store is written again.
	rewriteAt clock.Instant
	// termFloor is the version of a list that lacked the host's record. Terms of deleted records are not above it.
	termFloor uint64
	// recordBusy is set while a read or write of the record is in flight.
	recordBusy     bool
	retryAt        clock.Instant
	leaseCheckedAt clock.Instant // send time of the last lease check
	// recordKnown is set once the host's record, or its absence, is known from the store or from the leader's view. Until then the
	// target may have left under an earlier process of the node.
	recordKnown bool
	// departed is the departure of the target, zero if it has not deregistered. departureHolders are the relay addresses of the nodes
	// that remember it, and departureWaits the calls that wait until it is kept.
	departed         fleet.Departure
	departureHolders map[string]bool
	// departingSince is when this process learnt that the target leaves.
	departingSince    clock.Instant
	departureWaits    []departureWait
	departureSpreadAt clock.Instant
	// departureLogged is the departure whose acknowledgement was logged last.
	departureLogged fleet.Departure
	pastDepartures  departureMemory
	// targetExited is set when the target's process is known to have exited.
	targetExited bool
	// connectionBroken is set when the connection to the target broke during a request.
	connectionBroken bool
	// exitUnproven is set while the target refuses connections and may still work.
	exitUnproven bool
	// ownAddress is where heartbeats arrive that the target sent after an answer of this process.
	ownAddress processAddress
	// earlierRunsEnd is when requests that an earlier process sent have ended with the holds that it granted.
	earlierRunsEnd     clock.Instant
	probing            bool
	probedAt           clock.Instant
	releasedCount      int
	overdueTicks       int
	overloadReportedAt clock.Instant
}

func newMember(n *node) *member {
	hold := max(defaultHold, time.Duration(2.5*float64(n.settings.HeartbeatInterval())))
	holder := tenure.NewTargetLease(n.clock.Now(), tenure.Options{
		LeaseDuration: leaseTerm, HoldDuration: min(hold, n.bounds.MaxHoldDuration), RowSize: platform.GrantRowSize, MaxRowsSize: platform.MaxGrantRowsSize,
	})
	return &member{node: n, startedAt: n.clock.Now(), earlierRunsEnd: holder.GrantsEnd(), pastDepartures: departureMemory{startedAtMs: time.Now().UnixMilli()}, holder: holder}
}

// Heartbeat answers a heartbeat of the target.
func (m *member) Heartbeat(b *tenure.Heartbeat) (tenure.Grant, error) {
	reply := make(chan tenure.Grant, 1)
	ok := m.post(func(now clock.Instant) {
		grant := m.handleHeartbeat(now, b)
		grant.HeartbeatAddress = m.nextHeartbeatAddress(now, b)
		m.acknowledge(now, b, func() { reply <- grant })
	})
	if ok {
		select {
		case g := <-reply:
			return g, nil
		case <-time.After(replyTimeout):
		}
	}
	return tenure.Grant{}, errs.New(errs.Unavailable, "Send the next heartbeat.", "the node is busy or stopping")
}

// acknowledge answers a heartbeat. The answer to one that says that the target leaves is its acknowledgement, which waits until the
// departure is kept.
func (m *member) acknowledge(now clock.Instant, b *tenure.Heartbeat, answer func()) {
	if last, _ := m.holder.LastHeartbeat(); !b.Draining || last.StartTimeMs != b.StartTimeMs || last.Sequence != b.Sequence {
		answer()
		return
	}
	m.handleDeparture(now, fleet.Departure{Host: m.settings.Host, Instance: b.Instance, StartTimeMs: b.StartTimeMs}, func(err error) {
		if err == nil {
			answer()
		}
	})
}

// Malformed records a heartbeat that can't be decoded.
func (m *member) Malformed(err error) {
	m.metrics.countHeartbeat("malformed")
	event.HeartbeatMalformed.On(m.log).Err(err).Send()
}

func (m *member) handleHeartbeat(now clock.Instant, b *tenure.Heartbeat) tenure.Grant {
	if b.Service != m.settings.Service {
		m.Malformed(errs.New(errs.Invalid, "Check the settings of the target.", "heartbeat of %q names service %q", b.Instance, b.Service))
		return tenure.Grant{}
	}
	if m.holder.Stale(now, b) {
		m.metrics.countHeartbeat("stale")
		event.HeartbeatStale.On(m.log).Str("instance", b.Instance).Int("born", int(b.StartTimeMs)).Uint64("sequence", b.Sequence).Send()
		return tenure.Grant{}
	}
	m.metrics.countHeartbeat("taken")
	if last, _ := m.holder.LastHeartbeat(); last.StartTimeMs != b.StartTimeMs {
		if last.Instance != "" && !m.departed.Names(b.Instance, b.StartTimeMs) {
			m.departed = fleet.Departure{} // An instance may restart under the same identity.
		}
		m.upstream.Reset()
		m.gate.recordTargetEnd(now, last.Instance)
		m.gate.dispatch.Update(func(_ clock.Instant, core *dispatch.Scheduler) { core.ResetCold() })
	}
	if m.departed.StartTimeMs == 0 && m.departed.Names(b.Instance, b.StartTimeMs) {
		m.departed.StartTimeMs = b.StartTimeMs
		m.departures.add(now, []fleet.Departure{m.departed}, m.state.view.Load())
	}
	m.targetExited, m.connectionBroken, m.exitUnproven = false, false, false
	unlisted := m.holder.MayHoldUnlisted(now)
	m.holder.RecordHeartbeat(now, b)
	if unlisted && !m.holder.MayHoldUnlisted(now) {
		event.EarlierGrantsKnown.On(m.log).Str("instance", b.Instance).Int("ranges", len(b.HeldRanges)).Str("waited", now.Sub(m.startedAt).Round(time.Millisecond).String()).Send()
	}
	m.gate.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) {
		core.SetSlots(b.Slots)
		core.SetColdUntil(now, now.Add(b.ColdRemaining))
	})
	m.reconcile(now)
	if m.holdsUnknownRanges(b) {
		return tenure.Grant{}
	}
	grant := m.holder.Grant(now, m.ownRows())
	if grant.OmittedRows > 0 {
		event.GrantTruncated.On(m.log).Str("instance", b.Instance).Int("rows", len(grant.Rows)).Int("left", grant.OmittedRows).Send()
	}
	m.publishTarget(now)
	m.reportReleases(now)
	return grant
}

// holdsUnknownRanges reports whether the target holds ranges of a table that this process doesn't know. A grant without them would make the target
// release them; without a grant they expire.
func (m *member) holdsUnknownRanges(b *tenure.Heartbeat) bool {
	return len(b.HeldRanges) > 0 && m.state.view.Load().Tables[m.settings.Service] == nil && !m.isDeparting(b)
}

// ownRows returns the rows of the assignment table that this host owns.
func (m *member) ownRows() []keyspace.Row {
	table := m.state.view.Load().Tables[m.settings.Service]
	if table == nil {
		return nil
	}
	var rows []keyspace.Row
	for _, r := range table.Rows {
		if r.Owner.Host == m.settings.Host {
			rows = append(rows, r)
		}
	}
	return rows
}

// publishTarget updates the snapshot of the target that traffic reads.
func (m *member) publishTarget(now clock.Instant) {
	last, lastAt := m.holder.LastHeartbeat()
	o := &localTarget{
		instance:      last.Instance,
		rows:          m.holder.GrantedRows(),
		grantedUntil:  m.holder.GrantsEnd(),
		nextHeartbeat: lastAt.Add(m.settings.HeartbeatInterval()),
	}
	switch {
	case last.Sequence == 0 && last.Instance == "":
		o.notServingReason = "the target has not reported yet"
	case m.targetExited:
		o.notServingReason = "the target has ended"
	case m.isDeparting(last):
		o.notServingReason = "the target is leaving"
		o.lastRequestAt = m.departingSince.Add(m.bounds.DrainPeriod - drainMargin)
	case !m.recordKnown:
		o.notServingReason = "the record of the host has not been read"
	case m.mayHaveDeparted(now):
		o.notServingReason = "the target may have left in the outage in which the process started"
		o.lastRequestAt, o.usableAt = m.startedAt, m.departuresExpire()
	default:
		o.serving = true
	}
	m.state.localTarget.Store(o)
	m.quotas.updateAllotters(now)
	m.state.notify()
}

// reconcile reads or writes the host's record if it is unknown or differs from the desired record, and starts the recorded term.
func (m *member) reconcile(now clock.Instant) {
	if m.recordBusy || now < m.retryAt {
		return
	}
	last, _ := m.holder.LastHeartbeat()
	if !m.recordLoaded {
		if m.state.viewLoaded.Load() || now.Sub(m.startedAt) > initialViewTimeout {
			m.loadRecord(now)
		}
		return
	}
	if want := m.desiredRecord(now, last); want != nil {
		m.writeRecord(now, want)
		return
	}
	// Before the table is loaded, the grant would be empty and make the target release all of its ranges.
	if r := m.record; r != nil && r.State == fleet.Serving && m.holder.Owner() != r.Owner() && m.state.viewLoaded.Load() && !m.isOutdated(r) {
		m.beginTerm(now, m.leaseCheckedAt)
	}
}

// desiredRecord returns the record to write, or nil if the current one is right or the state of the target is not known yet.
func (m *member) desiredRecord(now clock.Instant, last *tenure.Heartbeat) *fleet.Target {
	want := m.describeTarget(now, last)
	if want == nil || !m.chooseTerm(now, want) {
		return nil
	}
	if m.record != nil {
		want.Version = m.record.Version
	}
	return want
}

// describeTarget returns a record of the target's state without a term, or nil if the state is not known yet.
func (m *member) describeTarget(now clock.Instant, last *tenure.Heartbeat) *fleet.Target {
	r := m.record
	want := &fleet.Target{
		Host: m.settings.Host, Node: m.settings.Node, Relay: m.settings.Relay(), Zone: m.settings.AvailabilityZone,
		Service: m.settings.Service, Instance: last.Instance, StartTimeMs: last.StartTimeMs, Slots: last.Slots,
		State: fleet.Serving, Departing: m.isDeparting(last),
	}
	if want.Departing {
		want.State = fleet.Leaving
	}
	if m.targetGone(now) {
		want.State = fleet.Down
	}
	switch {
	case m.isDeregistered() && !m.departed.Names(last.Instance, last.StartTimeMs): // It has not sent a heartbeat to this process.
		if r != nil && (m.departed.Names(r.Instance, r.StartTimeMs) && r.Leaves() || !m.departureFollows(r)) {
			return nil
		}
		want.State, want.Instance, want.StartTimeMs = fleet.Leaving, m.departed.Instance, m.departed.StartTimeMs
		if r != nil && m.departed.Names(r.Instance, r.StartTimeMs) {
			want.StartTimeMs, want.Slots = r.StartTimeMs, r.Slots
		}
	case last.Instance == "":
		if r != nil || now.Sub(m.startedAt) < firstHeartbeatWait {
			return nil // The record of an earlier process of the node stays until the target sends a heartbeat.
		}
		want.State = fleet.Down // The leader only polls nodes that have a record.
	}
	return want
}

// chooseTerm sets the term of the record to write. It reports false if the current record is right, or can't be replaced yet.
func (m *member) chooseTerm(now clock.Instant, want *fleet.Target) bool {
	r := m.record
	outdated := r != nil && m.isOutdated(r)
	switch {
	case r == nil:
		want.Term = m.termAfter(max(m.holder.Owner().Term, m.termFloor))
		return m.storeEra == 0 || m.holder.GrantsEnded(now) // The store may have lost the record under which an earlier process granted ranges.
	case r.StartTimeMs != want.StartTimeMs || r.Instance != want.Instance || r.Service != want.Service:
		// The earlier incarnation may still work, for example if the target was started again while the former process was stopping.
		want.Term = m.termAfter(r.Term)
		return m.grantsOver(now) || m.holder.FormerSilent(now, m.probeAfter())
	case want.State == fleet.Serving && (r.State != fleet.Serving || m.holder.Owner() == r.Owner() && !m.holder.Valid() || outdated && !m.continues(now, r)):
		// The term has ended. The next one starts when all of its grants have expired.
		want.Term = m.termAfter(r.Term)
		return m.holder.GrantsEnded(now)
	default:
		want.Term = r.Term
		if r.State == fleet.Revoked && want.State != fleet.Down {
			want.State = fleet.Revoked // The target's departure changes nothing about the end of the term.
			return want.Departing && !r.Departing || outdated && now >= m.rewriteAt
		}
		return outdated && now >= m.rewriteAt || r.State != want.State || r.Relay != want.Relay || r.Slots != want.Slots || r.Departing != want.Departing
	}
}

// grantsOver reports whether the host's target holds no ranges that were granted in earlier terms.
func (m *member) grantsOver(now clock.Instant) bool {
	config := m.state.config.Load()
	return m.holder.GrantsEnded(now) || config != nil && !config.Services[m.settings.Service].Keyed
}

// termAfter returns the number of a term that no process has used on this host before, given the last one that is known. Numbers of an era
// of the store begin above those of earlier ones, of which a copy of the store may lack the last.
func (m *member) termAfter(last uint64) uint64 { return max(last, store.FirstVersion(m.storeEra)) + 1 }

// isOutdated reports whether the record is of an earlier era of the store, so that the store may lack it and what was written after it.
func (m *member) isOutdated(r *fleet.Target) bool { return store.Era(r.Version) < m.storeEra }

// continues reports whether this process has held the lease of the record's term without a break. A record of an earlier era proves nothing more:
// the store may have lost its revocation.
func (m *member) continues(now clock.Instant, r *fleet.Target) bool {
	return m.holder.Owner() == r.Owner() && m.holder.Remaining(now) > 0
}

// followEra applies that the store came back from a copy. The host's record is written again, and a term that lapses ends for good.
func (m *member) followEra(now clock.Instant, era uint64) {
	if era <= m.storeEra {
		return
	}
	m.storeEra = era
	m.holder.RequireUnbroken(now)
	m.rewriteAt = now.Add(time.Duration(rand.Int64N(int64(rewriteSpacing) * int64(1+len(m.state.view.Load().Targets)))))
	m.recordLoaded = m.recordLoaded && m.record != nil // The absence of a record is to be read again.
}

// departureFollows reports whether the departure can be that of the incarnation in the record or of a later one. A call without a start
// time that names another instance may be a late one of an earlier incarnation.
func (m *member) departureFollows(r *fleet.Target) bool {
	return m.departed.Names(r.Instance, r.StartTimeMs) || m.departed.StartTimeMs > r.StartTimeMs
}

// targetGone reports whether the target holds nothing for certain and its process will not return.
func (m *member) targetGone(now clock.Instant) bool {
	_, lastAt := m.holder.LastHeartbeat()
	silent := now.Sub(lastAt) > 3*m.settings.HeartbeatInterval()
	return m.targetExited || silent && m.holder.GrantsEnded(now)
}

// beginTerm starts or continues the term in the record.
func (m *member) beginTerm(now, checked clock.Instant) {
	r := m.record
	m.holder.Begin(now, r.Owner(), r.StartTimeMs, checked)
	event.TermBegan.On(m.log).Uint64("term", r.Term).Str("instance", r.Instance).Uint64("version", r.Version).Send()
}

// loadRecord reads the host's record. A read that shows the term unrevoked counts as a lease check.
func (m *member) loadRecord(now clock.Instant) {
	m.recordBusy = true
	m.runAsync(func(ctx context.Context) func(clock.Instant) {
		o, err := m.store.Get(ctx, fleet.Kind, fleet.TargetName(m.settings.Host))
		var listed uint64
		if errs.Is(err, errs.NotFound) {
			var listErr error
			if _, listed, listErr = m.store.List(ctx, fleet.Kind); listErr != nil {
				err = listErr
			}
		}
		return func(after clock.Instant) {
			m.termFloor = max(m.termFloor, listed)
			m.handleRead(after, now, o, err)
		}
	})
}

func (m *member) handleRead(now, sent clock.Instant, o store.Object, err error) {
	m.recordBusy = false
	m.followEra(now, m.store.Era())
	switch {
	case errs.Is(err, errs.NotFound) && m.record != nil && m.isOutdated(m.record):
		m.recordLoaded = true // It is written again.
	case errs.Is(err, errs.NotFound):
		if m.record != nil {
			m.markRevoked("the record was deleted")
		}
		m.record, m.recordLoaded, m.leaseCheckedAt = nil, true, sent
		m.markRecordKnown(now)
	case err != nil:
		m.retryAt = now.Add(storeRetryDelay)
		return
	default:
		t, err := fleet.DecodeTarget(o)
		if err != nil {
			event.ObjectInvalid.On(m.log).Str("object", o.Name).Err(err).Send()
			// Each term took a write of the record, so that no earlier term is above the version.
			t = &fleet.Target{Host: m.settings.Host, Term: max(m.holder.Owner().Term, o.Version), State: fleet.Revoked, Version: o.Version}
		}
		m.leaseCheckedAt, m.recordLoaded = sent, true
		m.observeRecord(t, sent)
	}
	m.reconcile(now)
	m.publishTarget(now)
	m.answerDepartures(now)
}

// adoptListedRecord takes the host's record from a list of all records that was sent at the instant, which saves a read at the start. An
// invalid record is missing in the view; creating it anew fails, and it is read.
func (m *member) adoptListedRecord(v *fleet.View, sent clock.Instant) {
	if m.recordLoaded || m.recordBusy {
		return
	}
	m.recordLoaded, m.leaseCheckedAt, m.termFloor = true, sent, max(m.termFloor, v.Revision)
	m.markRecordKnown(m.clock.Now())
	if own := v.Targets[m.settings.Host]; own != nil {
		m.observeRecord(own, sent)
	}
}

// markRecordKnown notes that the host's record, or its absence, is known. From then on the target may be used.
func (m *member) markRecordKnown(now clock.Instant) {
	if !m.recordKnown {
		m.recordKnown = true
		m.publishTarget(now)
	}
}

// observeRecord applies a record that was read from the store by a call sent at the instant.
func (m *member) observeRecord(t *fleet.Target, sent clock.Instant) {
	m.holder.ObserveIncarnation(m.clock.Now(), t.StartTimeMs, t.State == fleet.Down)
	if t.State == fleet.Down && m.storeEra == 0 { // After a drill the leader may have written an earlier record again.
		m.holder.EndEarlierGrants(m.clock.Now())
	}
	m.markRecordKnown(m.clock.Now())
	if t.Leaves() {
		m.adoptDeparture(m.clock.Now(), t.Departure())
	}
	if m.record == nil || t.Version >= m.record.Version {
		m.record = t
	}
	switch {
	case t.Owner() == m.holder.Owner() && (t.State == fleet.Serving || t.State == fleet.Leaving):
		m.holder.Confirm(t.Owner(), sent)
	case t.Term >= m.holder.Owner().Term && m.holder.Owner().Term != 0 && t.Owner() != m.holder.Owner() || t.State == fleet.Revoked:
		m.markRevoked("the record has state " + string(t.State))
	}
}

func (m *member) markRevoked(reason string) {
	if m.holder.Remaining(m.clock.Now()) > 0 {
		event.TermRevoked.On(m.log).Uint64("term", m.holder.Owner().Term).Str("why", reason).Send()
	}
	m.holder.Revoke()
}

// writeRecord writes the record to the store.
func (m *member) writeRecord(now clock.Instant, want *fleet.Target) {
	m.recordBusy = true
	if want.State == fleet.Down {
		m.holder.Revoke() // Nothing may be granted in a term whose record says that the target is down.
	}
	condition := m.condition(want.Version)
	createsTerm := m.record == nil || want.Term > m.record.Term
	m.runAsync(func(ctx context.Context) func(clock.Instant) {
		version, err := m.store.Put(ctx, fleet.Kind, fleet.TargetName(want.Host), want.Encode(), condition)
		return func(after clock.Instant) {
			if err == nil && createsTerm {
				m.holder.CreateTerm(want.Owner())
			}
			m.handleWritten(after, now, want, version, err)
		}
	})
}

func (m *member) handleWritten(now, sent clock.Instant, want *fleet.Target, version uint64, err error) {
	m.recordBusy = false
	m.followEra(now, m.store.Era())
	if err != nil {
		m.recordLoaded = false // The write may have taken effect, so read the record.
		if !errs.Is(err, errs.Conflict) {
			m.retryAt = now.Add(storeRetryDelay)
		}
		m.reconcile(now)
		return
	}
	want.Version = version
	m.record = want
	m.markRecordKnown(now)
	event.TargetStateWritten.On(m.log).Str("state", string(want.State)).Uint64("term", want.Term).Uint64("version", version).Send()
	if want.State == fleet.Serving && m.holder.Owner() != want.Owner() {
		m.leaseCheckedAt = sent // reconcile starts the term.
	} else if want.State != fleet.Down {
		m.holder.Confirm(want.Owner(), sent)
	}
	m.state.view.Store(m.state.view.Load().WithTarget(want))
	m.reconcile(now)
	m.publishTarget(now)
	m.answerDepartures(now)
	m.coordinator.sendReport(m.buildReport(now))
}

// tick makes the time-driven decisions of the control loop.
func (m *member) tick(now clock.Instant) {
	m.followEra(now, m.store.Era())
	m.probeTarget(now)
	m.reconcile(now)
	m.departures.prune(now, m.state.view.Load())
	m.spreadDeparture(now)
	m.answerDepartures(now)
	m.updateDepartureMemory(now)
	if m.recordLoaded && !m.recordBusy && now >= m.retryAt && m.record != nil && m.holder.Valid() && m.holder.Remaining(now) < leaseCheckThreshold && now.Sub(m.leaseCheckedAt) >= leaseCheckInterval {
		m.leaseCheckedAt = now
		m.loadRecord(now)
	}
	if lease := m.holder.Remaining(now); m.holder.Owner().Term != 0 && lease < leaseTerm/3 && lease > 0 {
		if m.overdueTicks++; m.overdueTicks%4 == 1 {
			event.LeaseCheckOverdue.On(m.log).Str("left", lease.Round(time.Millisecond).String()).Send()
		}
	}
	m.reportReleases(now)
	m.reportOverload(now)
}

// reportOverload reports to the leader at once when the target is overloaded, so that ranges move before the next poll.
func (m *member) reportOverload(now clock.Instant) {
	overloaded := m.gate.overloaded.Swap(0)
	if overloaded >= overloadReportThreshold && now.Sub(m.overloadReportedAt) >= overloadReportInterval {
		m.overloadReportedAt = now
		m.coordinator.sendReport(m.buildReport(now))
	}
}

// probeTarget checks whether the target has exited if its heartbeat is overdue or its connection broke. A refused connection alone says only that
// nobody listens: a server that stops gracefully closes its listening socket first. It proves the exit if the target has also ended all
// requests and connections of this node, the only one that reaches it. A target that leaves is never taken for exited: its ranges are
// free when its heartbeats no longer list them, or when its holds have expired.
func (m *member) probeTarget(now clock.Instant) {
	last, lastAt := m.holder.LastHeartbeat()
	overdue := now.Sub(lastAt) > m.probeAfter()
	if last.Instance == "" || m.targetExited || m.probing || !overdue && !m.connectionBroken || m.isDeparting(last) || now.Sub(m.probedAt) < probeInterval || now < m.earlierRunsEnd {
		return
	}
	m.probing, m.probedAt = true, now
	m.runAsync(func(ctx context.Context) func(clock.Instant) {
		alive, err := m.upstream.Alive(ctx)
		ended := !alive && m.upstream.Ended()
		return func(after clock.Instant) {
			m.probing = false
			current, heard := m.holder.LastHeartbeat()
			if alive || current.StartTimeMs != last.StartTimeMs || heard > now || m.isDeparting(current) {
				m.connectionBroken = m.connectionBroken && err != nil
				return
			}
			if !ended {
				if !m.exitUnproven {
					event.TargetExitUnproven.On(m.log).Str("instance", last.Instance).Send()
				}
				m.exitUnproven = true
				return // The next probe asks again.
			}
			m.targetExited, m.connectionBroken, m.exitUnproven = true, false, false
			m.holder.RecordExit(after)
			m.upstream.Reset()
			m.gate.recordTargetEnd(after, last.Instance)
			event.TargetExited.On(m.log).Str("instance", last.Instance).Str("silent", after.Sub(lastAt).Round(time.Millisecond).String()).Send()
			m.publishTarget(after)
			m.reconcile(after)
		}
	})
}

// probeAfter returns how long after its last heartbeat a target is suspected to have exited.
func (m *member) probeAfter() time.Duration {
	return time.Duration(probeAfterIntervals * float64(m.settings.HeartbeatInterval()))
}

// buildReport returns the report of this node for the leader.
func (m *member) buildReport(now clock.Instant) *fleet.Report {
	rows := m.ownRows()
	_, lastAt := m.holder.LastHeartbeat()
	r := &fleet.Report{
		Host:          m.settings.Host,
		ProcessID:     m.processIncarnation,
		SentAt:        int64(now),
		ViewVersion:   m.state.view.Load().LatestVersion(),
		ViewSequence:  m.coordinator.viewSequence,
		ViewEpoch:     m.coordinator.viewRound,
		PreviousEpoch: m.coordinator.previousRound,

		MemoryIncomplete: m.lacksDepartures(now),
		LeaseMs:          m.holder.Remaining(now).Milliseconds(),
		NextHeartbeatMs:  lastAt.Add(m.settings.HeartbeatInterval()).Sub(now).Milliseconds(),
		ColdRemainingMs:  m.gate.dispatch.ColdRemaining().Milliseconds(),
		Released:         m.holder.Released(now, rows),
		Record:           m.record,
		Departures:       m.departures.list(),
	}
	r.SuspectRuns, r.Cleared = m.crashes.report(now)
	r.QuarantineVersion = m.coordinator.receivedQuarantine
	if at := clock.Instant(m.state.storeAnsweredAt.Load()); at > 0 {
		r.StoreAgeMs = max(1, now.Sub(at).Milliseconds())
	}
	if !m.state.viewLoaded.Load() || m.coordinator.needsFullView {
		r.ViewVersion, r.ViewSequence = 0, 0 // Makes the leader send what the view lacks.
	}
	if r.ViewSequence == 0 {
		r.Held = m.state.view.Load().HeldVersions()
	}
	m.coordinator.addOperatorState(r)
	_, r.ServiceTimes = m.gate.dispatch.Stats()
	r.Demand, r.RangeDemands = m.gate.demand.Report(now, rows)
	return r
}

// reportReleases reports to the leader at once when the target has released more ranges.
func (m *member) reportReleases(now clock.Instant) {
	released := len(m.holder.Released(now, m.ownRows()))
	if released > m.releasedCount {
		m.coordinator.sendReport(m.buildReport(now))
	}
	m.releasedCount = released
}
