package gate

import (
	"fmt"

	"github.com/citronvane/citronvane/internal/admission"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/wire"
)

// InFlight returns the number of queued and running requests of the slice. A handover must publish the snapshot that
// marks the slice as Moving before it calls InFlight.
func (g *Gate) InFlight(slice cluster.SliceID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlightBySlice[slice]
}

// Idle reports whether no request is queued or running.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.totalInFlight == 0
}

// ExportIdentities returns the idempotency records of a slice for its next owner. The slice must have no requests in
// flight.
func (g *Gate) ExportIdentities(slice cluster.SliceID) []*wire.Identity {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.identities.Export(g.cfg.Clock.Now(), slice)
}

// ImportIdentities stores the idempotency records that the owner of a slice has exported. It returns false and
// stores none if the batch is malformed or exceeds the capacity of the store.
func (g *Gate) ImportIdentities(batch *wire.IdentityBatch) bool {
	retention := g.identityRetention(batch.GetService())
	g.mu.Lock()
	accepted := g.identities.Import(g.cfg.Clock.Now(), batch, retention)
	g.mu.Unlock()
	if !accepted {
		event.IdentitiesRefused.On(g.cfg.Logger).Str("service", batch.GetService()).Int("slice", int(batch.GetSlice())).
			Int("records", len(batch.GetIdentities())).Send()
	}
	return accepted
}

// ReportPoison adds a poison report of another node.
func (g *Gate) ReportPoison(report *wire.PoisonReport) {
	g.mu.Lock()
	quarantined, ok := g.poison.Add(g.cfg.Clock.Now(), report)
	g.mu.Unlock()
	if !ok {
		g.logLimiter.Do(func() { event.PoisonReportBad.On(g.cfg.Logger).Str("reporter", report.GetReporter()).Send() })
	}
	g.logQuarantined(quarantined)
}

// TargetAnnounced starts sending requests to the target. A new incarnation begins with a cold start.
func (g *Gate) TargetAnnounced(info cluster.TargetInfo, leaving bool) {
	info.Down = false
	if g.cfg.SetRunnerTarget != nil {
		g.cfg.SetRunnerTarget(info)
	}
	g.mu.Lock()
	previous := g.target
	replaced := previous.Incarnation != info.Incarnation
	var report *wire.PoisonReport
	if replaced && previous.Incarnation != "" {
		report = g.poison.TargetGone(g.cfg.Clock.Now(), previous.Incarnation)
	}
	g.poison.TargetReturned(info.Incarnation)
	g.target, g.targetDraining = info, leaving
	g.mu.Unlock()
	if replaced || usableSlots(previous) != usableSlots(info) {
		g.admission.Restart(admission.TargetCapacity{Slots: usableSlots(info), ColdStart: *g.coldStart.Load()})
	}
	g.publishPoisonReport(report)
}

// usableSlots returns the number of requests that can run at once. It is limited by the connections to the target,
// because a request without a connection would only wait in the runner instead of the admission queue.
func usableSlots(info cluster.TargetInfo) int {
	if info.Connections > 0 {
		return min(info.Slots, info.Connections)
	}
	return info.Slots
}

// TargetLost refuses requests until the next announcement of the target.
func (g *Gate) TargetLost() {
	g.mu.Lock()
	g.target.Down = true
	report := g.poison.TargetGone(g.cfg.Clock.Now(), g.target.Incarnation)
	g.mu.Unlock()
	g.publishPoisonReport(report)
}

// ReportLoad passes the number of running requests that the target reports to the admission controller.
func (g *Gate) ReportLoad(running int) { g.admission.ReportRunning(running) }

// publishPoisonReport logs a poison report of this node and sends it to the other nodes.
func (g *Gate) publishPoisonReport(report *wire.PoisonReport) {
	if report == nil {
		return
	}
	event.TargetCrashed.On(g.cfg.Logger).Str("incarnation", report.GetTargetIncarnation()).
		Int("suspects", len(report.GetFingerprints())).Send()
	g.logQuarantined(g.filterQuarantined(report.GetFingerprints()))
	if g.cfg.BroadcastPoisonReport != nil {
		g.cfg.BroadcastPoisonReport(report)
	}
}

func (g *Gate) filterQuarantined(fingerprints []uint64) (quarantined []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, fingerprint := range fingerprints {
		if g.poison.QuarantineRemaining(g.cfg.Clock.Now(), fingerprint) > 0 {
			quarantined = append(quarantined, fingerprint)
		}
	}
	return quarantined
}

func (g *Gate) logQuarantined(fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		event.RequestQuarantined.On(g.cfg.Logger).Str("fingerprint", fmt.Sprintf("%016x", fingerprint)).Send()
	}
}
