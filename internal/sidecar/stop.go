package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/relay"
)

const (
	// drainDelay is how long a stopping node goes on accepting requests. The platform checks readiness once a second and routes no
	// new callers to the node after two failed checks.
	drainDelay = 2200 * time.Millisecond
	// localCallerShare is the fraction of the time after drainDelay in which requests of the host's callers complete. The rest is
	// for other nodes' requests to the host's target.
	localCallerShare = 0.5
	// finalResponseTimeout bounds the sending of the final responses. It is a part of gracePeriodMargin.
	finalResponseTimeout = 200 * time.Millisecond
	// gracePeriodMargin is the end of the platform's grace period that is reserved for the exit.
	gracePeriodMargin = 700 * time.Millisecond
	// minStopTime is the time that a request needs before the node's end if its deadline lies behind that. A target that is four times
	// slower than usual responds within it.
	minStopTime = 3 * time.Second
	// restartTime is how long a node takes to be back after its end, the Retry-After of requests that it can't finish.
	restartTime = time.Second
)

// endsBefore reports whether this node is stopping and may exit before a request finishes that arrives now. Until callers turn to other
// nodes, it takes requests with later deadlines too, because most finish long before theirs.
func (n *node) endsBefore(now, deadline clock.Instant) bool {
	end := clock.Instant(n.state.stopDeadline.Load())
	if end == 0 || deadline <= end {
		return false
	}
	return now.Sub(clock.Instant(n.state.stopBegan.Load())) > drainDelay || end.Sub(now) < minStopTime
}

// errStopping cancels requests that have no response when the node has to exit.
var errStopping = errors.New("the node is exiting")

// stop shuts down within the platform's grace period: it turns readiness off, completes the pending requests and closes the servers.
func (n *node) stop(s *servers, r *relay.Server) error {
	event.SidecarStopping.On(n.log).Send()
	began := n.clock.Now()
	end := began.Add(n.bounds.TerminationGracePeriod - gracePeriodMargin)
	n.state.stopBegan.Store(int64(began))
	n.state.stopDeadline.Store(int64(end))
	n.state.draining.Store(true)
	n.post(n.coordinator.releaseLeadership)
	time.Sleep(drainDelay)
	remaining := end.Sub(n.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	// The relay accepts other nodes' requests until the requests of the host's callers are done. Shutdown also waits for
	// connections that never sent a request.
	localCtx, cancelLocal := context.WithTimeout(ctx, time.Duration(localCallerShare*float64(remaining)))
	defer cancelLocal()
	n.drainEntrance(localCtx, s)
	entranceErr := s.entrance.Shutdown(localCtx)
	relayErr := r.Close(ctx)
	if entranceErr != nil {
		entranceErr = n.finishRequests(ctx, s)
	}
	for _, server := range []*http.Server{s.heartbeats, s.ownHeartbeats, s.readiness, s.metrics} {
		_ = server.Close() // Their clients retry.
	}
	line := event.SidecarStopped.On(n.log)
	if entranceErr != nil || relayErr != nil {
		line.Any("entrance", entranceErr).Any("relay", relayErr)
	}
	line.Send()
	return nil
}

// drainEntrance accepts no more callers and answers those whom it has accepted. Shutdown alone would close connections without an answer
// whose request it has read after its beginning, and a server without keep-alives those whose next request it has read with the last one.
func (n *node) drainEntrance(ctx context.Context, s *servers) {
	if err := s.entranceListener.Close(); err != nil {
		event.SidecarStopping.On(n.log).Str("step", "close the entrance").Err(err).Send()
	}
	n.entrance.idle.closeIdle()
	n.entrance.idle.waitForRequests(ctx)
	s.entrance.SetKeepAlivesEnabled(false)
}

// lastResponseWriter closes the connection after the response unless a byte of a further request was read.
type lastResponseWriter struct {
	http.ResponseWriter
	conn    *sniffConn
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *lastResponseWriter) WriteHeader(status int) {
	if !w.started && status >= http.StatusOK {
		w.started = true
		if !w.conn.requestFollows() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *lastResponseWriter) Write(data []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the writer for http.ResponseController.
func (w *lastResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// finishRequests waits for the pending requests of the host's callers as long as the platform allows, and then responds that their
// outcome is unknown, because a closed connection would tell the caller even less.
func (n *node) finishRequests(ctx context.Context, s *servers) error {
	err := s.entrance.Shutdown(ctx)
	if err == nil {
		return nil
	}
	s.cancelRequests(errStopping)
	finalCtx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
	defer cancel()
	return errs.Wrap(s.entrance.Shutdown(finalCtx), errs.Unavailable, "Look for events 6042 before this one.", "connections were closed before the final responses were sent")
}
