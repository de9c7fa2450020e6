package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/platform"
)

const (
	// probeTimeout bounds a request to the target's health path, which responds immediately.
	probeTimeout = 200 * time.Millisecond
	// minMoveGain is the share of the latency objective that a move has to save beyond its cost, since the other target may be just
	// as slow.
	minMoveGain = 0.1
	// reasonTargetSlow means that the target is temporarily slow or busy and another one may run the request.
	reasonTargetSlow = "slow_now"
)

// probeTarget requests the target's health path in the background. The response reports the pace, how long work currently takes, and
// for how long the target is cold.
func (g *gate) probeTarget() {
	config := g.state.config.Load()
	if config == nil || config.Services[g.settings.Service].HealthPath == "" {
		return
	}
	request := &upstream.Request{
		Method: http.MethodGet, Path: config.Services[g.settings.Service].HealthPath, Header: http.Header{}, Host: g.settings.Target,
		Belongs: platform.IsHealthResponse,
	}
	instance := g.state.localTarget.Load().instance
	go g.protect("target probe", func() {
		ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
		defer cancel()
		sent := g.clock.Now()
		a, err := g.upstream.Do(ctx, request)
		g.metrics.countPaceProbe(err)
		if err != nil {
			g.log.Debug().Err(err).Msg("target did not report its state; its next response or heartbeat does")
			return
		}
		closeBody(a)
		response := platform.ReadResponse(a.Status, a.Header)
		g.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) {
			core.ObservePace(now, response.ServiceTimeRatio)
			if g.state.localTarget.Load().instance == instance {
				core.ObserveColdProbe(now, sent, response.ColdRemaining)
			}
		})
	})
}

// shouldMove reports whether another target is expected to respond sooner, even if this one could respond in time.
func (g *gate) shouldMove(j *job) bool {
	request := dispatch.Request{Route: j.head.Route, Tenant: g.tenantOf(j.head), Priority: int(j.head.Rank), Objective: j.objective(), SoftDeadline: j.softDeadline, Deadline: j.deadline, Features: g.features(j)}
	cost := time.Duration(j.head.MoveCostUs)*time.Microsecond + seconds(minMoveGain*j.objective().Seconds())
	return g.dispatch.ExpectedDelay(request) > cost
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
