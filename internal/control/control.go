// Package control owns the control state of a node. One goroutine passes
// events to a decision function and executes the actions that it returns;
// calls to the platform and to other nodes run beside it. Traffic reads what
// it publishes through package routing.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/control/plan"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/wire"
)

// queueLength holds several seconds of events of a busy node.
const queueLength = 4096

// Gate is the gate in front of this host's target.
type Gate interface {
	// InFlight returns the number of requests of the slice that were admitted and have not ended. The
	// gate counts a request before it loads the snapshot that admits it, so that 0 after a snapshot
	// with Moving was published means that none will follow.
	InFlight(slice cluster.SliceID) int
	// ExportIdentities returns the identity records of the slice.
	ExportIdentities(slice cluster.SliceID) []*wire.Identity
	// ImportIdentities takes the records of a slice that this node is about to own.
	ImportIdentities(batch *wire.IdentityBatch) bool
}

// Peers calls other nodes at the control addresses of their records.
type Peers interface {
	Vote(ctx context.Context, address string, r *wire.VoteRequest) (*wire.VoteResponse, error)
	// ImportIdentities returns nil after the node has accepted all records.
	ImportIdentities(ctx context.Context, address string, batch *wire.IdentityBatch) error
	Notify(ctx context.Context, address string, changes ...store.Change) error
}

// Replica takes changes that this node wrote or read, ahead of the watch.
type Replica interface {
	// Feed must not block. It leads to a call of ViewChanged if anything is new.
	Feed(changes ...store.Change)
}

// Sender sends renewals. It must not block.
type Sender interface {
	Send(address string, r *wire.Renewal) error
}

// Options are what a Control needs. All fields are required unless they say otherwise.
type Options struct {
	Identity Identity
	Clock    clock.Clock
	Store    store.Store
	Planner  plan.Planner
	Gate     Gate
	Peers    Peers
	Replica  Replica
	Table    *routing.Table
	Lease    *routing.Lease
	Log      *log.Logger
	// Heard, if set, takes the revision and the retry ratio that a heartbeat carried. It must not block.
	Heard func(peer string, revision uint64, retryPermille uint32)
	// RetryPermille, if set, returns the retry ratio of this node for its heartbeats.
	RetryPermille func() uint32
}

// Control runs the control goroutine. Its methods may be called from any goroutine.
type Control struct {
	options Options
	state   *state
	metrics metrics
	events  chan Event
	// view is the newest view; viewSignal says that it has not been handled yet.
	view       atomic.Pointer[cluster.View]
	viewSignal chan struct{}
	// target is the newest state of this host's target; targetSignal says that it has not been handled yet.
	target       atomic.Pointer[TargetChanged]
	targetSignal chan struct{}
	left         chan struct{}
	calls        sync.WaitGroup
	// handovers holds the cancel functions of running handovers. Only the control goroutine uses it.
	handovers map[cluster.SliceID]context.CancelFunc
	sender    Sender
}

// New returns a control that does nothing before Run.
func New(o Options) *Control {
	c := &Control{
		options:      o,
		state:        newState(o.Identity, o.Planner, newSharedGrantor()),
		events:       make(chan Event, queueLength),
		viewSignal:   make(chan struct{}, 1),
		targetSignal: make(chan struct{}, 1),
		left:         make(chan struct{}),
		handovers:    map[cluster.SliceID]context.CancelFunc{},
	}
	c.metrics = newMetrics(o.Clock, o.Lease)
	return c
}

// Run is the control goroutine. It returns when the context ends.
func (c *Control) Run(ctx context.Context, heartbeats Sender) {
	c.sender = heartbeats
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	defer c.calls.Wait()
	defer c.options.Lease.Set(0)
	defer c.metrics.close()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.handle(ctx, e)
		case <-c.viewSignal:
			c.handle(ctx, ViewChanged{View: c.view.Load()})
		case <-c.targetSignal:
			c.handle(ctx, *c.target.Load())
		case due := <-ticker.C:
			c.metrics.lag(time.Since(due))
			c.handle(ctx, Tick{})
		}
	}
}

func (c *Control) handle(ctx context.Context, e Event) {
	actions := c.state.handle(e, c.options.Clock.Now())
	c.metrics.observe(e)
	for _, a := range actions {
		c.execute(ctx, a)
	}
}

// offer queues an event that will be repeated if it is lost.
func (c *Control) offer(e Event) {
	select {
	case c.events <- e:
	default:
		c.metrics.overflow()
	}
}

// post queues an event that must not be lost.
func (c *Control) post(ctx context.Context, e Event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// ViewChanged hands over a newer view. The first view must not be older than the start of the process,
// because the node chooses its grantors and its incarnation from it.
func (c *Control) ViewChanged(v *cluster.View) {
	c.view.Store(v)
	select {
	case c.viewSignal <- struct{}{}:
	default:
	}
}

// TargetAnnounced takes a target that is new, changed, leaving or back after a loss. Together with
// TargetLost it implements target.Listener, which makes one call at a time.
func (c *Control) TargetAnnounced(info cluster.TargetInfo, leaving bool) {
	c.setTarget(&TargetChanged{Target: info, Leaving: leaving})
}

// TargetLost takes the loss of the target.
func (c *Control) TargetLost() {
	lost := TargetChanged{}
	if last := c.target.Load(); last != nil {
		lost = *last
	}
	lost.Target.Down = true
	c.setTarget(&lost)
}

func (c *Control) setTarget(t *TargetChanged) {
	c.target.Store(t)
	select {
	case c.targetSignal <- struct{}{}:
	default:
	}
}

// Renewal answers a renewal. It implements heartbeat.Handler.
func (c *Control) Renewal(r *wire.Renewal) *wire.Grant {
	holder, grantor := fromWire(r.GetHolder()), fromWire(r.GetGrantor())
	c.heard(holder.Name, r.GetRevision(), r.GetRetryPermille())
	if !c.state.grantor.answer(grantor, holder, c.options.Clock.Now()) {
		return nil
	}
	return &wire.Grant{
		Holder: r.GetHolder(), Grantor: r.GetGrantor(), Sequence: r.GetSequence(),
		Revision: c.revision(), RetryPermille: c.retryPermille(),
	}
}

// Grant takes the answer to a renewal. It implements heartbeat.Handler.
func (c *Control) Grant(g *wire.Grant) {
	grantor := fromWire(g.GetGrantor())
	c.heard(grantor.Name, g.GetRevision(), g.GetRetryPermille())
	c.metrics.answered()
	c.offer(GrantReceived{Holder: fromWire(g.GetHolder()), Grantor: grantor, Sequence: g.GetSequence()})
}

func (c *Control) heard(peer string, revision uint64, retryPermille uint32) {
	if c.options.Heard != nil {
		c.options.Heard(peer, revision, retryPermille)
	}
}

func (c *Control) revision() uint64 { return c.options.Table.Load().View.Revision }

func (c *Control) retryPermille() uint32 {
	if c.options.RetryPermille == nil {
		return 0
	}
	return c.options.RetryPermille()
}

// Vote answers a candidate that wants to revoke a holder.
func (c *Control) Vote(r *wire.VoteRequest) *wire.VoteResponse {
	vote := c.state.grantor.vote(fromWire(r.GetGrantor()), fromWire(r.GetHolder()), fromWire(r.GetCandidate()),
		c.options.Clock.Now())
	c.logVote(r, vote.Promised)
	return &wire.VoteResponse{
		Promised: vote.Promised, Grantor: r.GetGrantor(),
		// Rounded up, so that the vote never counts too early.
		RemainingUs: vote.Remaining.Microseconds() + 1,
	}
}

// ImportIdentities takes the identity records of a slice that is being handed to this node.
func (c *Control) ImportIdentities(batch *wire.IdentityBatch) bool {
	if !c.options.Gate.ImportIdentities(batch) {
		return false
	}
	c.offer(IdentitiesImported{
		Slice:       cluster.SliceID{Service: batch.GetService(), Index: int(batch.GetSlice())},
		Epoch:       batch.GetEpoch(),
		TakeoverAge: time.Duration(batch.GetTakeoverAgeMs()) * time.Millisecond,
	})
	return true
}

// Status reports what this node has in force.
func (c *Control) Status() *wire.StatusResponse {
	snapshot := c.options.Table.Load()
	return &wire.StatusResponse{
		Node:          toWire(snapshot.Self),
		Revision:      snapshot.View.Revision,
		Configuration: snapshot.View.Configuration.Number,
		LeaseValid:    c.options.Lease.Valid(c.options.Clock.Now()),
		Slices:        int32(len(snapshot.Owned)),
	}
}

// Leave ends the lease, sets the node's state to left and returns when the platform has stored it.
// Call it when no request is running any more.
func (c *Control) Leave(ctx context.Context) error {
	c.post(ctx, LeaveRequested{})
	select {
	case <-c.left:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Unavailable, "Check the platform; the grantors revoke the node instead.",
			"write that the node left")
	}
}
