package sidecar

import (
	"context"
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
	// quietBeats is the number of heartbeat intervals after which the node looks whether the target still listens.
	quietBeats = 1.4
	// probeInterval is the time between two looks.
	probeInterval = 150 * time.Millisecond
	// complainFrom is the number of requests refused for overload within a tick from which the node reports at once.
	complainFrom = 4
	// complainInterval is the time between two such reports.
	complainInterval = 450 * time.Millisecond
	// replyTimeout bounds the wait of a heartbeat for the control goroutine; the target gives up after 1 s.
	replyTimeout = 700 * time.Millisecond
)

// member registers the host's target, keeps its lease and answers its heartbeats. Its fields belong to the control
// goroutine.
type member struct {
	*node
	holder *tenure.TargetLease
	// record is the host's record as last read or written; loaded says that this is known.
	record *fleet.Target
	loaded bool
	// busy says that a read or write of the record is under way.
	busy    bool
	retryAt clock.Instant
	checked clock.Instant // when the last lease check was sent
	// departed is the instance that has deregistered, as far as it is the current one or none is known yet.
	departed string
	// dead says that the target has ended.
	dead bool
	// suspect says that a request found the connection broken.
	suspect    bool
	probing    bool
	probedAt   clock.Instant
	released   int
	lateLogs   int
	complained clock.Instant
}

func newMember(n *node) *member {
	hold := max(usualHold, time.Duration(2.5*float64(n.settings.HeartbeatInterval())))
	return &member{node: n, holder: tenure.NewTargetLease(n.clock.Now(), tenure.Options{
		LeaseDuration: leaseTerm, HoldDuration: min(hold, n.bounds.MaxHoldDuration), RowSize: platform.GrantRowSize, MaxRowsSize: platform.MaxGrantRowsSize,
	})}
}

// Heartbeat answers a heartbeat of the target.
func (m *member) Heartbeat(b *tenure.Heartbeat) (tenure.Grant, error) {
	reply := make(chan tenure.Grant, 1)
	ok := m.post(func(now clock.Instant) { reply <- m.heartbeat(now, b) })
	if ok {
		select {
		case g := <-reply:
			return g, nil
		case <-time.After(replyTimeout):
		}
	}
	return tenure.Grant{}, errs.New(errs.Unavailable, "Send the next heartbeat.", "the node is busy or stopping")
}

// Deregister records that the target leaves.
func (m *member) Deregister(instance string) error {
	m.post(func(now clock.Instant) {
		// A process that has just started knows no instance yet; the target says its farewell only once.
		if last, _ := m.holder.LastHeartbeat(); last.Instance != "" && last.Instance != instance {
			event.HeartbeatStale.On(m.log).Str("instance", instance).Str("call", "deregister").Send()
			return
		}
		m.departed = instance
		m.holder.StartDraining()
		m.publish(now)
		m.reconcile(now)
	})
	return nil
}

// left reports whether the target has deregistered.
func (m *member) left() bool {
	last, _ := m.holder.LastHeartbeat()
	return m.departed != "" && (last.Instance == "" || last.Instance == m.departed)
}

// Malformed records a heartbeat that can't be read.
func (m *member) Malformed(err error) {
	m.metrics.heartbeats("malformed")
	event.HeartbeatUnread.On(m.log).Err(err).Send()
}

func (m *member) heartbeat(now clock.Instant, b *tenure.Heartbeat) tenure.Grant {
	if b.Service != m.settings.Service {
		m.Malformed(errs.New(errs.Invalid, "Check the settings of the target.", "heartbeat of %q names service %q", b.Instance, b.Service))
		return tenure.Grant{}
	}
	if m.holder.Stale(now, b) {
		m.metrics.heartbeats("stale")
		event.HeartbeatStale.On(m.log).Str("instance", b.Instance).Int("born", int(b.StartTimeMs)).Uint64("sequence", b.Sequence).Send()
		return tenure.Grant{}
	}
	m.metrics.heartbeats("taken")
	if last, _ := m.holder.LastHeartbeat(); last.StartTimeMs != b.StartTimeMs {
		if last.Instance != "" {
			m.departed = "" // An instance may start again under its identity.
		}
		m.upstream.Reset()
		m.gate.lifeEnded(now, last.Instance)
	}
	m.dead, m.suspect = false, false
	m.holder.RecordHeartbeat(now, b)
	m.gate.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) {
		core.SetSlots(b.Slots)
		core.SetColdUntil(now, now.Add(b.ColdRemaining))
	})
	m.reconcile(now)
	grant := m.holder.Grant(now, m.rows())
	if grant.OmittedRows > 0 {
		event.GrantCut.On(m.log).Str("instance", b.Instance).Int("rows", len(grant.Rows)).Int("left", grant.OmittedRows).Send()
	}
	m.publish(now)
	m.nudge(now)
	return grant
}

// rows returns the rows that name this host.
func (m *member) rows() []keyspace.Row {
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

// publish updates what traffic knows of the target.
func (m *member) publish(now clock.Instant) {
	last, lastAt := m.holder.LastHeartbeat()
	o := &own{
		instance: last.Instance,
		rows:     m.holder.GrantedRows(),
		until:    m.holder.GrantsEnd(),
		nextBeat: lastAt.Add(m.settings.HeartbeatInterval()),
	}
	switch {
	case last.Sequence == 0 && last.Instance == "":
		o.why = "the target has not reported yet"
	case m.dead:
		o.why = "the target has ended"
	case m.left() || last.Draining:
		o.why = "the target is leaving"
	default:
		o.serving = true
	}
	m.state.own.Store(o)
	m.state.notify()
}

// reconcile writes or reads the host's record if it is not as it should be.
func (m *member) reconcile(now clock.Instant) {
	if m.busy || now < m.retryAt {
		return
	}
	last, _ := m.holder.LastHeartbeat()
	if !m.loaded {
		m.load(now)
		return
	}
	if want := m.wanted(now, last); want != nil {
		m.write(now, want)
		return
	}
	// Without the table nothing is known to belong to the target, and a grant of nothing would release everything.
	if r := m.record; r != nil && r.State == fleet.Serving && m.holder.Owner() != r.Owner() && m.state.listed.Load() {
		m.begin(now, m.checked)
	}
}

// wanted returns the record as it should be, or nil if it is or nothing can be said yet.
func (m *member) wanted(now clock.Instant, last *tenure.Heartbeat) *fleet.Target {
	state := fleet.Serving
	if last.Draining || m.left() {
		state = fleet.Leaving
	}
	if m.gone(now) {
		state = fleet.Down
	}
	if last.Instance == "" {
		if m.record != nil {
			return nil // What an earlier process wrote stands until the target reports.
		}
		state = fleet.Down // The coordinator polls the nodes that have a record.
	}
	r := m.record
	want := &fleet.Target{
		Host: m.settings.Host, Node: m.settings.Node, Relay: m.settings.Relay(), Zone: m.settings.AvailabilityZone,
		Service: m.settings.Service, Instance: last.Instance, Born: last.StartTimeMs, State: state, Slots: last.Slots,
	}
	switch {
	case r == nil:
		want.Term = m.holder.Owner().Term + 1
	case r.Born != last.StartTimeMs || r.Instance != last.Instance || r.Service != m.settings.Service:
		// One process at a time has the host's addresses, so that the earlier life has ended.
		want.Term = r.Term + 1
	case state == fleet.Serving && (r.State != fleet.Serving || m.holder.Owner() == r.Owner() && !m.holder.Valid()):
		// The term is over. The next one begins when nothing of it is held any more.
		if !m.holder.GrantsEnded(now) {
			return nil
		}
		want.Term = r.Term + 1
	case r.State == fleet.Revoked && state != fleet.Down:
		return nil
	default:
		want.Term = r.Term
		if r.State == state && r.Relay == want.Relay && r.Slots == want.Slots {
			return nil
		}
	}
	if r != nil {
		want.Version = r.Version
	}
	return want
}

// gone reports whether the target certainly holds nothing and does not come back under its life.
func (m *member) gone(now clock.Instant) bool {
	_, lastAt := m.holder.LastHeartbeat()
	silent := now.Sub(lastAt) > 3*m.settings.HeartbeatInterval()
	return m.dead || silent && m.holder.GrantsEnded(now)
}

// begin starts the term of the record.
func (m *member) begin(now, checked clock.Instant) {
	r := m.record
	m.holder.Begin(now, r.Owner(), r.Born, checked)
	event.TermBegan.On(m.log).Uint64("term", r.Term).Str("instance", r.Instance).Uint64("version", r.Version).Send()
}

// load reads the host's record; a read that shows the term unrevoked is a lease check.
func (m *member) load(now clock.Instant) {
	m.busy = true
	m.background(func(ctx context.Context) func(clock.Instant) {
		o, err := m.store.Get(ctx, fleet.Kind, fleet.TargetName(m.settings.Host))
		return func(after clock.Instant) { m.read(after, now, o, err) }
	})
}

func (m *member) read(now, sent clock.Instant, o store.Object, err error) {
	m.busy = false
	switch {
	case errs.Is(err, errs.NotFound):
		if m.record != nil {
			m.revoked("the record was deleted")
		}
		m.record, m.loaded, m.checked = nil, true, sent
	case err != nil:
		m.retryAt = now.Add(storeRetry)
		return
	default:
		t, err := fleet.DecodeTarget(o)
		if err != nil {
			event.ObjectUnread.On(m.log).Str("object", o.Name).Err(err).Send()
			t = &fleet.Target{Host: m.settings.Host, Term: m.holder.Owner().Term, State: fleet.Revoked, Version: o.Version}
		}
		m.checked, m.loaded = sent, true
		m.see(t, sent)
	}
	m.reconcile(now)
	m.publish(now)
}

// see takes the newest state of the host's record. sent is when the call was sent that showed it.
func (m *member) see(t *fleet.Target, sent clock.Instant) {
	if m.record == nil || t.Version >= m.record.Version {
		m.record = t
	}
	switch {
	case t.Owner() == m.holder.Owner() && (t.State == fleet.Serving || t.State == fleet.Leaving):
		m.holder.Confirm(t.Owner(), sent)
	case t.Term >= m.holder.Owner().Term && m.holder.Owner().Term != 0 && t.Owner() != m.holder.Owner() || t.State == fleet.Revoked:
		m.revoked("the record says " + string(t.State))
	}
}

func (m *member) revoked(why string) {
	if m.holder.Remaining(m.clock.Now()) > 0 {
		event.TermRevoked.On(m.log).Uint64("term", m.holder.Owner().Term).Str("why", why).Send()
	}
	m.holder.Revoke()
}

// write puts the record.
func (m *member) write(now clock.Instant, want *fleet.Target) {
	m.busy = true
	if want.State == fleet.Down {
		m.holder.Revoke() // Nothing may be granted under a term that is declared over.
	}
	m.background(func(ctx context.Context) func(clock.Instant) {
		version, err := m.store.Put(ctx, fleet.Kind, fleet.TargetName(want.Host), want.Encode(), want.Version)
		return func(after clock.Instant) { m.wrote(after, now, want, version, err) }
	})
}

func (m *member) wrote(now, sent clock.Instant, want *fleet.Target, version uint64, err error) {
	m.busy = false
	if err != nil {
		m.loaded = false // The write may have taken effect; the record tells.
		if !errs.Is(err, errs.Conflict) {
			m.retryAt = now.Add(storeRetry)
		}
		m.reconcile(now)
		return
	}
	want.Version = version
	m.record = want
	event.TargetStateWrote.On(m.log).Str("state", string(want.State)).Uint64("term", want.Term).Uint64("version", version).Send()
	if want.State == fleet.Serving && m.holder.Owner() != want.Owner() {
		m.checked = sent // reconcile begins the term.
	} else if want.State != fleet.Down {
		m.holder.Confirm(want.Owner(), sent)
	}
	m.state.view.Store(m.state.view.Load().With(want))
	m.reconcile(now)
	m.publish(now)
	m.coordinator.tell(m.report(now))
}

// tick makes the time-driven decisions.
func (m *member) tick(now clock.Instant) {
	m.watchTarget(now)
	m.reconcile(now)
	if m.loaded && !m.busy && now >= m.retryAt && m.record != nil && m.holder.Valid() && m.holder.Remaining(now) < checkBelow && now.Sub(m.checked) >= checkPause {
		m.checked = now
		m.load(now)
	}
	if lease := m.holder.Remaining(now); m.holder.Owner().Term != 0 && lease < leaseTerm/3 && lease > 0 {
		if m.lateLogs++; m.lateLogs%4 == 1 {
			event.LeaseShort.On(m.log).Str("left", lease.Round(time.Millisecond).String()).Send()
		}
	}
	m.nudge(now)
	m.complain(now)
}

// complain reports to the coordinator at once when the target is overloaded, so that ranges move before the next poll.
func (m *member) complain(now clock.Instant) {
	overloaded := m.gate.overloaded.Swap(0)
	if overloaded >= complainFrom && now.Sub(m.complained) >= complainInterval {
		m.complained = now
		m.coordinator.tell(m.report(now))
	}
}

// watchTarget looks whether the target still listens if it is silent or a request found its connection broken. A refused
// connection on the own host proves that the process has ended.
func (m *member) watchTarget(now clock.Instant) {
	last, lastAt := m.holder.LastHeartbeat()
	quiet := float64(now.Sub(lastAt)) > quietBeats*float64(m.settings.HeartbeatInterval())
	if last.Instance == "" || m.dead || m.probing || !(quiet || m.suspect || m.left()) || now.Sub(m.probedAt) < probeInterval {
		return
	}
	m.probing, m.probedAt = true, now
	m.background(func(ctx context.Context) func(clock.Instant) {
		alive, err := m.upstream.Alive(ctx)
		return func(after clock.Instant) {
			m.probing = false
			if current, heard := m.holder.LastHeartbeat(); alive || current.StartTimeMs != last.StartTimeMs || heard > now {
				m.suspect = m.suspect && err != nil
				return
			}
			m.dead, m.suspect = true, false
			m.holder.RecordExit(after)
			m.upstream.Reset()
			m.gate.lifeEnded(after, last.Instance)
			event.TargetDied.On(m.log).Str("instance", last.Instance).Str("silent", after.Sub(lastAt).Round(time.Millisecond).String()).Send()
			m.publish(after)
			m.reconcile(after)
		}
	})
}

// report answers a poll of the coordinator.
func (m *member) report(now clock.Instant) *fleet.Report {
	rows := m.rows()
	last, lastAt := m.holder.LastHeartbeat()
	r := &fleet.Report{
		Host:     m.settings.Host,
		Process:  m.process,
		Sent:     int64(now),
		Stamp:    m.state.view.Load().Stamp(),
		LeaseMs:  m.holder.Remaining(now).Milliseconds(),
		BeatMs:   lastAt.Add(m.settings.HeartbeatInterval()).Sub(now).Milliseconds(),
		ColdMs:   max(0, (last.ColdRemaining - now.Sub(lastAt)).Milliseconds()),
		Released: m.holder.Released(now, rows),
		Crashes:  m.gate.crashes(now),
		Record:   m.record,
	}
	if at := clock.Instant(m.state.storeHeard.Load()); at > 0 {
		r.StoreAgeMs = max(1, now.Sub(at).Milliseconds())
	}
	if !m.state.listed.Load() || m.coordinator.behind {
		r.Stamp = 0 // The coordinator sends the whole view.
	}
	_, r.Times = m.gate.dispatch.Stats()
	r.Demand, r.Segments = m.gate.demand.Report(now, rows)
	return r
}

// nudge reports to the coordinator at once when the target has released more ranges.
func (m *member) nudge(now clock.Instant) {
	released := len(m.holder.Released(now, m.rows()))
	if released > m.released {
		m.coordinator.tell(m.report(now))
	}
	m.released = released
}
