package sidecar

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/tenure"
)

const (
	// departureCopies is the number of other nodes that must remember a departure before it is acknowledged while the store can't
	// record it. In a fleet with fewer other nodes, all of them must.
	departureCopies = 2
	// departureReceivers is the number of nodes that are asked at a time to remember a departure.
	departureReceivers = 4
	// departureRetention bounds how long a node remembers a departure that no record confirms, for example that of a lost host.
	departureRetention = 10 * time.Minute
	// maxDepartures bounds the departures that a node remembers.
	maxDepartures = 1024
	// maxDepartureWaits bounds the calls that wait for their acknowledgement. A target sends few at a time.
	maxDepartureWaits = 32
)

// departures is the set of leaving targets, by host, whose records in the store don't say so yet. Nodes exchange it with polls and reports, so that
// a departure that was acknowledged while the store is away outlasts the process that acknowledged it. It belongs to the control
// goroutine.
type departures map[string]rememberedDeparture

type rememberedDeparture struct {
	fleet.Departure
	since clock.Instant
}

// add remembers the departures, except for those that are older than what is known of their host. It returns the new ones.
func (d departures) add(now clock.Instant, list []fleet.Departure, v *fleet.View) (added []fleet.Departure) {
	for _, next := range list {
		known, ok := d[next.Host]
		if next.IsZero() || ok && next.StartTimeMs <= known.StartTimeMs || recordSettles(v.Targets[next.Host], next) {
			continue
		}
		if ok || len(d) < maxDepartures {
			d[next.Host] = rememberedDeparture{next, now}
			added = append(added, next)
		}
	}
	return added
}

// prune forgets the departures that records have settled, or that are too old.
func (d departures) prune(now clock.Instant, v *fleet.View) {
	for host, known := range d {
		if recordSettles(v.Targets[host], known.Departure) || now.Sub(known.since) > departureRetention {
			delete(d, host)
		}
	}
}

// recordSettles reports whether the host's record makes it unnecessary to remember the departure: it states the departure itself, or a
// later incarnation of the target.
func recordSettles(t *fleet.Target, d fleet.Departure) bool {
	if t == nil {
		return false
	}
	if d.Names(t.Instance, t.StartTimeMs) {
		return t.Leaves()
	}
	return t.StartTimeMs > d.StartTimeMs && d.StartTimeMs != 0
}

// list returns the departures in the order of their hosts.
func (d departures) list() []fleet.Departure {
	list := make([]fleet.Departure, 0, len(d))
	for _, known := range d {
		list = append(list, known.Departure)
	}
	slices.SortFunc(list, func(a, b fleet.Departure) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// departureWait is a call of the target that is acknowledged when its departure is kept.
type departureWait struct {
	departure fleet.Departure
	since     clock.Instant
	// answer acknowledges the call, or refuses it if the error is not nil.
	answer func(error)
}

// Deregister records that the target is leaving. It returns when the departure no longer depends on this process: when the host's record
// states it, or when other nodes remember it while the store is away.
func (m *member) Deregister(instance string, startTimeMs int64) error {
	d := fleet.Departure{Host: m.settings.Host, Instance: instance, StartTimeMs: startTimeMs}
	reply := make(chan error, 1)
	m.post(func(now clock.Instant) { m.handleDeparture(now, d, func(err error) { reply <- err }) })
	select {
	case err := <-reply:
		return err
	case <-time.After(replyTimeout):
		return errNotAcknowledged()
	}
}

func errNotAcknowledged() error {
	return errs.New(errs.Unavailable, "Repeat the call.", "the departure can't be kept: the store and the other nodes don't answer")
}

// handleDeparture applies a departure of the host's target and answers when it is kept. The target may not repeat the call, so the node
// stops using the target even if it can't acknowledge that.
func (m *member) handleDeparture(now clock.Instant, d fleet.Departure, answer func(error)) {
	last, _ := m.holder.LastHeartbeat()
	if d.StartTimeMs == 0 && last.Instance == d.Instance {
		d.StartTimeMs = last.StartTimeMs
	}
	if last.Instance != "" && !d.Names(last.Instance, last.StartTimeMs) && d.StartTimeMs <= last.StartTimeMs {
		event.HeartbeatStale.On(m.log).Str("instance", d.Instance).Int("born", int(d.StartTimeMs)).Str("call", "deregister").Send()
		if d.StartTimeMs == 0 { // It may be of a later incarnation whose heartbeats are late.
			answer(errs.New(errs.Invalid, "Send the start time of the instance.", "the instance %q is not the one that sends heartbeats", d.Instance))
			return
		}
		answer(nil) // The incarnation has ended and gets no requests.
		return
	}
	m.depart(now, d)
	m.awaitDeparture(now, d, answer)
}

// depart stops using the target of the departure and makes other nodes remember it.
func (m *member) depart(now clock.Instant, d fleet.Departure) {
	if m.departed != d {
		m.departed, m.departureHolders, m.departingSince = d, map[string]bool{}, now
	}
	m.departures.add(now, []fleet.Departure{d}, m.state.view.Load())
	m.holder.StartDraining()
	m.publishTarget(now)
	m.reconcile(now)
	m.spreadDeparture(now)
}

// awaitDeparture answers the call when the departure is kept.
func (m *member) awaitDeparture(now clock.Instant, d fleet.Departure, answer func(error)) {
	if len(m.departureWaits) >= maxDepartureWaits {
		m.departureWaits[0].answer(errNotAcknowledged())
		m.departureWaits = m.departureWaits[1:]
	}
	m.departureWaits = append(m.departureWaits, departureWait{d, now, answer})
	m.answerDepartures(now)
}

// answerDepartures answers the calls whose departure is kept, and those that waited too long.
func (m *member) answerDepartures(now clock.Instant) {
	m.departureWaits = slices.DeleteFunc(m.departureWaits, func(w departureWait) bool {
		keeper, waited := m.departureKeeper(w.departure), now.Sub(w.since)
		if keeper == "" && waited < replyTimeout {
			return false
		}
		var err error
		if keeper == "" {
			err = errNotAcknowledged()
		}
		if keeper == "" || m.departureLogged != w.departure { // A target repeats a heartbeat until it has released its ranges.
			m.departureLogged = w.departure
			event.DepartureAnswered.On(m.log).Str("instance", w.departure.Instance).Int("born", int(w.departure.StartTimeMs)).Str("kept_by", keeper).
				Int("copies", len(m.departureHolders)).Str("waited", waited.Round(time.Millisecond).String()).Send()
		}
		w.answer(err)
		return true
	})
}

// departureKeeper returns what keeps the departure besides this process, or the empty string if nothing does.
func (m *member) departureKeeper(d fleet.Departure) string {
	switch {
	case m.recordLoaded && recordSettles(m.record, d):
		return "store"
	case m.departed == d && len(m.departureHolders) > 0 && len(m.departureHolders) >= min(departureCopies, m.otherHosts()):
		return "nodes"
	}
	return ""
}

// otherHosts returns the number of other hosts in the view.
func (m *member) otherHosts() int {
	v := m.state.view.Load()
	if v.Targets[m.settings.Host] == nil {
		return len(v.Targets)
	}
	return len(v.Targets) - 1
}

// spreadDeparture asks the leader and some other nodes to remember the departure, unless enough of them or the store do.
func (m *member) spreadDeparture(now clock.Instant) {
	if m.departed.IsZero() || recordSettles(m.record, m.departed) || now < m.departureSpreadAt.Add(controlTick) {
		return
	}
	m.departureSpreadAt = now
	for _, relay := range m.departureCandidates() {
		m.sendDeparture(now, relay, m.departed)
	}
}

// departureCandidates returns the relay addresses of the nodes to ask next: the leader, and others that have not confirmed yet.
func (m *member) departureCandidates() []string {
	var relays []string
	leader := m.coordinator.lastPoll.Relay
	if leader != "" && !m.coordinator.isLeader && !m.departureHolders[leader] {
		relays = append(relays, leader)
	}
	if len(m.departureHolders) >= departureCopies {
		return relays
	}
	var others []string
	for host, t := range m.state.view.Load().Targets {
		if host != m.settings.Host && t.Relay != leader && !m.departureHolders[t.Relay] {
			others = append(others, t.Relay)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(relays, others[:min(len(others), departureReceivers)]...)
}

func (m *member) sendDeparture(now clock.Instant, relay string, d fleet.Departure) {
	report := m.buildReport(now)
	m.runAsync(func(ctx context.Context) func(clock.Instant) {
		r, err := m.sendMessage(ctx, relay, methodReport, report.Encode())
		return func(after clock.Instant) {
			if err != nil {
				event.DepartureUnconfirmed.On(m.log).Str("instance", d.Instance).Str("node", relay).Err(err).Send()
				return
			}
			if m.departed == d && slices.Contains(r.Departures, d) {
				m.departureHolders[relay] = true
				m.answerDepartures(after)
			}
		}
	})
}

// adoptDeparture takes over a departure that an earlier process of the node acknowledged, from the host's record or from another node.
// The target goes on sending heartbeats until it exits, which need not say that it is leaving.
func (m *member) adoptDeparture(now clock.Instant, d fleet.Departure) {
	last, _ := m.holder.LastHeartbeat()
	known := last.Instance != "" && !d.Names(last.Instance, last.StartTimeMs) && d.StartTimeMs <= last.StartTimeMs
	if known || !m.departed.IsZero() && d.StartTimeMs <= m.departed.StartTimeMs {
		return
	}
	m.departed, m.departureHolders, m.departingSince = d, map[string]bool{}, now
	m.holder.StartDraining()
	m.publishTarget(now)
}

// isDeparting reports whether the target has said that it leaves, in a deregistration or in a heartbeat.
func (m *member) isDeparting(last *tenure.Heartbeat) bool { return last.Draining || m.isDeregistered() }

// isDeregistered reports whether the target has deregistered. Until the target's first heartbeat it may be any incarnation.
func (m *member) isDeregistered() bool {
	last, _ := m.holder.LastHeartbeat()
	if m.departed.IsZero() || last.Instance == "" {
		return !m.departed.IsZero()
	}
	return m.departed.Names(last.Instance, last.StartTimeMs) || m.departed.StartTimeMs > last.StartTimeMs
}
