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
	// paceProbeTimeout bounds a request to the target's health path, which responds immediately.
	paceProbeTimeout = 200 * time.Millisecond
	// minMoveGain is the share of the latency objective that a move has to save beyond its cost, since the other target may be just
	// as slow.
	minMoveGain = 0.1
	// reasonTargetSlow means that the target is temporarily slow or busy and another one may run the request.
	reasonTargetSlow = "slow_now"
)

// probePace requests the target's health path in the background. The response reports the pace: how long work currently takes.
func (g *gate) probePace() {
	config := g.state.config.Load()
	if config == nil || config.Services[g.settings.Service].HealthPath == "" {
		return
	}
	request := &upstream.Request{
		Method: http.MethodGet, Path: config.Services[g.settings.Service].HealthPath, Header: http.Header{}, Host: g.settings.Target,
		Belongs: platform.IsHealthResponse,
	}
	go g.protect("pace probe", func() {
		ctx, cancel := context.WithTimeout(g.ctx, paceProbeTimeout)
		defer cancel()
		a, err := g.upstream.Do(ctx, request)
		g.metrics.countPaceProbe(err)
		if err != nil {
			g.log.Debug().Err(err).Msg("target did not report its pace; requests held for it start when the last report expires")
			return
		}
		closeBody(a)
		g.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) {
			core.ObservePace(now, platform.ReadResponse(a.Status, a.Header).ServiceTimeRatio)
		})
	})
}

// shouldMove reports whether another target is expected to respond sooner, even if this one could respond in time.
func (g *gate) shouldMove(j *job) bool {
	request := dispatch.Request{Route: j.head.Route, Priority: int(j.head.Rank), Objective: j.objective(), SoftDeadline: j.softDeadline, Deadline: j.deadline}
	cost := time.Duration(j.head.MoveCostUs)*time.Microsecond + seconds(minMoveGain*j.objective().Seconds())
	return g.dispatch.ExpectedDelay(request) > cost
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
