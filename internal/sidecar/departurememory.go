package sidecar

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
)

// A departure that is acknowledged while the store is away is only in the memory of nodes. A process that starts in an outage has no such memory,
// and its target may go on to send heartbeats that say that it is ready. The process does not use the target until a leader has told it the
// departures of enough nodes that have gone on, or until a leaving target will have exited.

// recoveryMargin is how long before the platform's bound on recovery a target is used again whose departure may have been forgotten.
const recoveryMargin = 3 * time.Second

// departureMemory says whether a process knows the departures that were acknowledged before its start.
type departureMemory struct {
	// startedInOutage is set if a call to the store failed before the process had read the fleet's records.
	startedInOutage bool
	// told is set once a leader has told all departures that may have been acknowledged.
	told bool
	// startedAtMs is the time of day of the process's start in Unix milliseconds.
	startedAtMs int64
	// logged is set while the target is not used for this reason.
	logged bool
}

// recordOutageAtStart records that the store did not answer before the process had read the fleet's records.
func (m *member) recordOutageAtStart(now clock.Instant) {
	m.pastDepartures.startedInOutage = true
	m.publishTarget(now)
}

// recordToldDepartures records that the departures of a leader's poll include all that may have been acknowledged before.
func (m *member) recordToldDepartures(now clock.Instant) {
	if m.lacksDepartures(now) {
		m.pastDepartures.told = true
		m.publishTarget(now)
	}
}

// lacksDepartures reports whether departures may have been acknowledged that this process does not know.
func (m *member) lacksDepartures(now clock.Instant) bool {
	return m.pastDepartures.startedInOutage && !m.pastDepartures.told && now < m.departuresExpire()
}

// departuresExpire returns when a target will have exited whose departure was acknowledged before the start of the process.
func (m *member) departuresExpire() clock.Instant {
	return m.startedAt.Add(m.bounds.RecoveryPeriod - recoveryMargin)
}

// mayHaveDeparted reports whether the departure of the target may have been acknowledged and forgotten.
func (m *member) mayHaveDeparted(now clock.Instant) bool {
	last, _ := m.holder.LastHeartbeat()
	return m.lacksDepartures(now) && last.StartTimeMs <= m.pastDepartures.startedAtMs
}

// updateDepartureMemory uses the target again once its departure can't have been forgotten any more.
func (m *member) updateDepartureMemory(now clock.Instant) {
	uncertain := m.mayHaveDeparted(now)
	if uncertain == m.pastDepartures.logged {
		return
	}
	m.pastDepartures.logged = uncertain
	if uncertain {
		event.DepartureUncertain.On(m.log).Send()
	} else {
		event.DepartureCertain.On(m.log).Bool("told", m.pastDepartures.told).Str("waited", now.Sub(m.startedAt).Round(time.Millisecond).String()).Send()
	}
	m.publishTarget(now)
}

// knowsDeparturesOf reports whether this leader knows the departure of the host's target, if one was acknowledged: fewer nodes lack a memory of it
// than keep it.
func (c *coordinator) knowsDeparturesOf(now clock.Instant, host string) bool {
	others, lacking := 0, 0
	for other := range c.state.view.Load().Targets {
		if other == host {
			continue
		}
		others++
		if c.lacksMemory(now, other) {
			lacking++
		}
	}
	return lacking < min(departureCopies, others) || others == 0
}

// lacksMemory reports whether the node may have lost departures that it kept, or has not told them to this leader.
func (c *coordinator) lacksMemory(now clock.Instant, host string) bool {
	if host == c.settings.Host {
		return c.member.lacksDepartures(now)
	}
	n := c.polledNodes[host]
	return n == nil || !n.answered || n.Report == nil || n.Report.MemoryIncomplete
}

// tellsDepartures reports whether the next poll tells the node that it knows all departures, which it still lacks.
func (c *coordinator) tellsDepartures(now clock.Instant, n *polledNode, t *fleet.Target) bool {
	return n.Report != nil && n.Report.MemoryIncomplete && c.knowsDeparturesOf(now, t.Host)
}
