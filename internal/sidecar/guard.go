package sidecar

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
)

// restartPause is the delay before a background task that panicked starts again.
const restartPause = time.Second

// protect runs f and reports whether it returned. A panic ends f only: it is logged and counted.
func (n *node) protect(task string, f func()) (returned bool) {
	defer func() {
		if p := recover(); p != nil {
			n.recordPanic(task, p)
		}
	}()
	f()
	return true
}

func (n *node) recordPanic(task string, p any) {
	n.metrics.countPanic(task)
	stack := string(debug.Stack())
	n.lines.logLimited(func(l *logger) {
		event.PanicContained.On(l).Str("task", task).Any("panic", p).Str("stack", stack).Send()
	})
}

// supervise runs a background task until the context ends, and starts it again if it panics.
func (n *node) supervise(ctx context.Context, task string, run func(context.Context)) {
	for !n.protect(task, func() { run(ctx) }) && sleep(ctx, restartPause) {
	}
}

// runControlEvent runs an event on the control goroutine. An event that panicked may have left half a change behind, so the control
// state is rebuilt from the store and from the other nodes.
func (n *node) runControlEvent(run func(now clock.Instant)) {
	now := n.clock.Now()
	if !n.protect("control", func() { run(now) }) {
		n.protect("control rebuild", func() { n.rebuildControl(now) })
	}
}

// rebuildControl gives up what this node knows only by itself: it resigns as the coordinator, reads the host's record again, and asks
// for a full view. Grants that were given stay valid until they expire, as the lease shows them.
func (n *node) rebuildControl(now clock.Instant) {
	c, m := n.coordinator, n.member
	if c.isLeader {
		c.resign("an event of the control loop panicked")
	}
	c.campaigning, c.fetchingConfig, c.needsFullView = false, false, true
	m.recordLoaded, m.recordBusy, m.probing, m.retryAt = false, false, false, now.Add(storeRetryDelay)
}

// protectHandler logs and counts a panic of the handler and closes the connection, which promises the caller nothing. net/http
// would close it without a log line.
func (n *node) protectHandler(task string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				n.recordPanic(task, p)
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
