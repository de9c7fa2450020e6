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
	// paceTimeout bounds the wait for the target's health path, which answers at once.
	paceTimeout = 200 * time.Millisecond
	// moveShare is the part of the objective that a move has to save beyond its cost: the other target may be no better.
	moveShare = 0.1
	// reasonSlow says that the target is slow or busy at this moment and another one may run the request.
	reasonSlow = "slow_now"
)

// askPace asks the target in the background how long work takes at this moment.
func (g *gate) askPace() {
	config := g.state.config.Load()
	if config == nil || config.Services[g.settings.Service].HealthPath == "" {
		return
	}
	request := &upstream.Request{
		Method: http.MethodGet, Path: config.Services[g.settings.Service].HealthPath, Header: http.Header{}, Host: g.settings.Target,
		Belongs: platform.IsHealthResponse,
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, paceTimeout)
		defer cancel()
		a, err := g.upstream.Do(ctx, request)
		g.metrics.pace(err)
		if err != nil {
			g.log.Debug().Err(err).Msg("the target does not state its pace; what waits for it starts when the last statement is old")
			return
		}
		closeRest(a)
		g.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) {
			core.ObservePace(now, platform.ReadResponse(a.Status, a.Header).ServiceTimeRatio)
		})
	}()
}

// passesOn reports whether another target is expected to answer sooner, although this one could answer in time.
func (g *gate) passesOn(j *job) bool {
	request := dispatch.Request{Route: j.head.Route, Priority: int(j.head.Rank), Objective: j.objective(), SoftDeadline: j.aim, Deadline: j.deadline}
	cost := time.Duration(j.head.MoveCostUs)*time.Microsecond + seconds(moveShare*j.objective().Seconds())
	return g.dispatch.ExpectedDelay(request) > cost
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
