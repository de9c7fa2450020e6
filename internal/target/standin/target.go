package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
)

const (
	headerTimeout = 5 * time.Second
	// shutdownTimeout exceeds the longest request that a service may allow (30 s).
	shutdownTimeout = 35 * time.Second
	// DefaultLeaveTimeout exceeds the node's own bound for a graceful stop (35 s).
	DefaultLeaveTimeout = 40 * time.Second
)

// Target is a stand-in target.
type Target struct {
	options Options
	grants  grants
	journal *journal
	slots   chan struct{}

	connections atomic.Int64
	waiting     atomic.Int64
	// leaving is closed when the target begins to leave.
	leaving     chan struct{}
	leavingOnce sync.Once
	// drained is closed when the node has said that no work is left.
	drained     chan struct{}
	drainedOnce sync.Once

	mu        sync.Mutex
	behaviour Behaviour
	warmth    warmth
	loads     loadHistory
	// straggleFactor multiplies the service time until straggleUntil.
	straggleFactor float64
	straggleUntil  clock.Instant
	frozenUntil    clock.Instant
	refuseUntil    clock.Instant
	// fallen is closed and replaced when the target falls over; running requests watch it.
	fallen chan struct{}
}

// New returns a target that does not run yet.
func New(o Options, b Behaviour) (*Target, error) {
	if err := b.Check(); err != nil {
		return nil, err
	}
	if o.Slots < 1 || o.Connections < 1 {
		return nil, invalid("the target has %d slots and %d connections", o.Slots, o.Connections)
	}
	if o.Fenced && o.Node == "" {
		return nil, errs.New(errs.Invalid, "Name the node.", "a fenced target needs a node that grants slices")
	}
	return &Target{
		options:        o,
		journal:        newJournal(o.JournalEntries),
		slots:          make(chan struct{}, o.Slots),
		leaving:        make(chan struct{}),
		drained:        make(chan struct{}),
		behaviour:      b,
		straggleFactor: 1,
		fallen:         make(chan struct{}),
	}, nil
}

// Run serves requests and the admin endpoint until the context ends, then leaves gracefully. It also
// returns after Leave.
func (t *Target) Run(ctx context.Context, requests, admin net.Listener) error {
	serving := &http.Server{Handler: t, ReadHeaderTimeout: headerTimeout, ConnState: t.limitConnections}
	administering := &http.Server{Handler: t.AdminHandler(), ReadHeaderTimeout: headerTimeout}
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	group.Go(func() error { return ignoreClosed(serving.Serve(requests)) })
	group.Go(func() error { return ignoreClosed(administering.Serve(admin)) })
	pollCtx, stopPolling := context.WithCancel(groupCtx)
	defer stopPolling()
	group.Go(func() error { t.poll(pollCtx); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			t.Leave()
		case <-t.leaving:
		case <-groupCtx.Done():
		}
		t.awaitDrained(groupCtx)
		stopPolling()
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		err := serving.Shutdown(stopCtx)
		_ = administering.Close() // Nothing depends on the answers of the admin endpoint.
		return err
	})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Leave tells the node that the target is about to stop. The target keeps working until the node says
// that no work is left.
func (t *Target) Leave() {
	t.leavingOnce.Do(func() { close(t.leaving) })
	if t.options.Node == "" {
		t.finishDraining()
	}
}

func (t *Target) isLeaving() bool {
	select {
	case <-t.leaving:
		return true
	default:
		return false
	}
}

func (t *Target) finishDraining() { t.drainedOnce.Do(func() { close(t.drained) }) }

func (t *Target) awaitDrained(ctx context.Context) {
	timer := time.NewTimer(t.options.LeaveTimeout)
	defer timer.Stop()
	select {
	case <-t.drained:
	case <-timer.C:
		t.finishDraining()
	case <-ctx.Done():
	}
}

// limitConnections closes connections above the limit before a request is read from them.
func (t *Target) limitConnections(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if t.connections.Add(1) > int64(t.options.Connections) {
			_ = c.Close() // The server reports the connection as closed in any case.
		}
	case http.StateClosed, http.StateHijacked:
		t.connections.Add(-1)
	}
}

// Behaviour returns the current behaviour.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// SetBehaviour replaces the behaviour.
func (t *Target) SetBehaviour(b Behaviour) error {
	if err := b.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
	return nil
}

// TurnCold makes the target cold without telling anybody.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmth.chill(t.options.Clock.Now())
}

// Straggle multiplies the service time for the given duration.
func (t *Target) Straggle(factor float64, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.straggleFactor, t.straggleUntil = factor, t.options.Clock.Now().Add(d)
}

// Freeze stops all handlers for the given duration. Polls go on.
func (t *Target) Freeze(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozenUntil = t.options.Clock.Now().Add(d)
}

// fallOver fails as the behaviour says. The caller holds the lock.
func (t *Target) fallOver(now clock.Instant) {
	if t.behaviour.FallOver == FallOverExit {
		t.options.Exit(ExitFellOver)
		return
	}
	t.refuseUntil = now.Add(t.behaviour.FallOverTime.Std())
	t.warmth.chill(now)
	close(t.fallen)
	t.fallen = make(chan struct{})
}
