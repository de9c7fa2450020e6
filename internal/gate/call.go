package gate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/citronvane/citronvane/internal/admission"
	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/identity"
	"github.com/citronvane/citronvane/internal/poison"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/wire"
)

// busyRetryAfter is the retry delay returned to callers when the target is busy.
const busyRetryAfter = time.Second

// recheckInterval is the interval of the periodic check of queued and running requests, in addition to the checks at
// fixed points. It bounds the delay until a lease change or a handover takes effect on them.
const recheckInterval = 25 * time.Millisecond

// call is the state of one request in the gate.
type call struct {
	gate  *Gate
	head  *wire.RequestHead
	body  io.Reader
	w     relay.ResponseWriter
	span  trace.Span
	spec  config.Service
	keyed bool
	id    cluster.SliceID
	owned routing.OwnedSlice
	// record is the idempotency record of a non-idempotent keyed request. It is nil until the identity store has
	// admitted the request.
	record *identity.Record
	// buffered reports whether data holds the whole body.
	buffered    bool
	data        []byte
	length      int64 // of the body in bytes, -1 if unknown
	fingerprint uint64

	cancel context.CancelCauseFunc
	// detachCaller stops the caller's context from cancelling the request. It returns false if that context has already
	// ended.
	detachCaller func() bool

	mu sync.Mutex
	// dispatched is set before the request is sent to the target. From then on only the expiry of the lease, the
	// deadline or the caller cancels it.
	dispatched bool
}

// serve checks the request and runs it at the target.
func (c *call) serve(caller context.Context) error {
	if refusal := c.checkSlice(); refusal != nil {
		return c.refuse(refusal)
	}
	if c.keyed && c.head.GetMethod() == TokenMethod {
		return c.writeToken()
	}
	ctx, end := c.requestContext(caller)
	defer end()
	reserved, refusal := c.bufferBody()
	defer func() { c.gate.bodyBudget.Release(reserved) }()
	if refusal != nil {
		return c.refuse(refusal)
	}
	c.fingerprint = c.poisonRequest().Fingerprint()
	if done, err := c.checkIdempotency(); done {
		return err
	}
	if refusal := c.checkBeforeAdmission(); refusal != nil {
		return c.refuseUnexecuted(ctx, refusal)
	}
	permit, refusal := c.gate.acquireSlot(ctx, c)
	if refusal != nil {
		return c.refuseUnexecuted(ctx, refusal)
	}
	return c.run(ctx, permit)
}

// checkBeforeAdmission runs the checks that are skipped when a stored response is replayed.
func (c *call) checkBeforeAdmission() *answer.Refusal {
	if refusal := c.gate.checkDispatch(c); refusal != nil {
		return refusal
	}
	return c.checkPoison()
}

// checkSlice checks the slice, its ownership and the lease, and records the owned slice with its epoch. Token requests
// and retries of a completed request need no further check; in particular they don't need a running target.
func (c *call) checkSlice() *answer.Refusal {
	if !c.keyed {
		if c.head.GetMethod() == TokenMethod {
			return answer.Refuse(answer.BadRequest, "service %q is not keyed and issues no tokens", c.head.GetService())
		}
		return nil
	}
	if slice := cluster.SliceOf(c.id.Service, c.head.GetKey(), max(1, c.spec.Slices)); slice != c.id {
		return answer.Refuse(answer.NotOwner, "the key belongs to slice %s, not %s", slice, c.id)
	}
	snapshot := c.gate.cfg.Table.Load()
	if refusal := c.gate.checkOwner(snapshot, c); refusal != nil {
		return refusal
	}
	c.owned = snapshot.Owned[c.id]
	return c.gate.checkLease()
}

// requestContext returns the context of the request. It is cancelled with the caller's context until the request is
// detached from it, at the deadline, and when a recheck fails.
func (c *call) requestContext(caller context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	c.cancel = cancel
	c.detachCaller = context.AfterFunc(caller, func() { cancel(context.Cause(caller)) })
	limit := c.spec.MaxRequest.Std()
	if asked := time.Duration(c.head.GetTimeoutMs()) * time.Millisecond; asked > 0 {
		limit = min(limit, asked)
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	c.scheduleRecheck(ctx)
	return ctx, func() {
		c.detachCaller()
		stop()
		cancel(nil)
	}
}

// checkIdempotency looks up the idempotency record of the request. It returns true if it has sent a stored response or a
// refusal.
func (c *call) checkIdempotency() (done bool, err error) {
	if !c.keyed || isIdempotent(c.head.GetMethod()) {
		return false, nil
	}
	if c.head.GetIdempotencyKey() == "" {
		return true, c.refuse(answer.Refuse(answer.IdentityRequired, "%s requests to service %q need an Idempotency-Key header", c.head.GetMethod(), c.id.Service))
	}
	d := c.gate.beginIdentity(c)
	switch d.Verdict {
	case identity.Admitted:
		c.record = d.Record
		return false, nil
	case identity.Completed:
		return true, c.replayStoredResponse(d)
	}
	return true, c.refuse(c.gate.identityRefusal(d))
}

func (g *Gate) identityRefusal(d identity.Decision) *answer.Refusal {
	switch d.Verdict {
	case identity.InProgress:
		return answer.Refuse(answer.RepeatRunning, "the first request with this Idempotency-Key is still running")
	case identity.StoreFull:
		g.logLimiter.Do(func() { event.IdentitiesFull.On(g.cfg.Logger).Send() })
		return answer.Refuse(answer.Shed, "the store of idempotency records of this node is full").WithRetryAfter(busyRetryAfter)
	case identity.MalformedKey:
		return answer.Refuse(answer.BadRequest, "%s", d.Detail)
	case identity.KeyReused:
		return answer.Refuse(answer.IdentityReused, "%s", d.Detail)
	case identity.EpochAhead:
		return answer.Refuse(answer.NotOwner, "the token was issued by a later owner of the slice")
	}
	return answer.Refuse(answer.RepeatUnknown, "%s", d.Detail)
}

func (g *Gate) beginIdentity(c *call) identity.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.identities.Begin(g.cfg.Clock.Now(), g.cfg.WallClock(), identity.Query{
		Ownership:      c.ownership(),
		Key:            c.head.GetKey(),
		IdempotencyKey: c.head.GetIdempotencyKey(),
		Fingerprint:    c.fingerprint,
	})
}

func (c *call) ownership() identity.Ownership {
	return identity.Ownership{
		Slice: c.id, Epoch: c.owned.Epoch, RecordEpoch: c.owned.RecordEpoch,
		TakenOverAt: c.owned.TakenOverAt, Retention: c.spec.IdentityRetention.Std(),
	}
}

// poisonRequest returns the parts of the request that its fingerprint covers. They don't depend on the caller.
func (c *call) poisonRequest() *poison.Request {
	return &poison.Request{
		Service: c.head.GetService(), Method: c.head.GetMethod(), Path: c.head.GetPath(), Key: c.head.GetKey(),
		Body: c.data, Streamed: !c.buffered, ContentLength: c.length,
	}
}

// checkPoison refuses requests whose fingerprint is quarantined because such requests have crashed targets.
func (c *call) checkPoison() *answer.Refusal {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if left := g.poison.QuarantineRemaining(g.cfg.Clock.Now(), c.fingerprint); left > 0 {
		return answer.Refuse(answer.Quarantined, "requests with the fingerprint %016x have crashed targets", c.fingerprint).WithRetryAfter(left)
	}
	return nil
}

// acquireSlot waits until the admission controller grants a slot at the target.
func (g *Gate) acquireSlot(ctx context.Context, c *call) (*admission.Permit, *answer.Refusal) {
	cold := admission.ColdStart{Concurrency: c.spec.ColdStart.Concurrency, Ramp: c.spec.ColdStart.Ramp.Std()}
	if *g.coldStart.Load() != cold {
		g.coldStart.Store(&cold)
		g.admission.SetColdStart(cold)
	}
	return g.admission.Acquire(ctx, admission.ClassOf(config.Priority(c.head.GetPriority())))
}

// refuseUnexecuted refuses a request that was certainly not executed and removes its idempotency record. If a recheck
// cancelled the request, its refusal is sent because it is more exact.
func (c *call) refuseUnexecuted(ctx context.Context, refusal *answer.Refusal) error {
	c.forgetIdentity()
	if ctx.Err() != nil {
		if cause := answer.As(context.Cause(ctx)); cause != nil {
			refusal = cause
		}
	}
	return c.refuse(refusal)
}

func (c *call) forgetIdentity() {
	if c.record == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.identities.Forget(c.record)
}

// refuse sends a refusal as the response.
func (c *call) refuse(refusal *answer.Refusal) error {
	c.gate.metrics.recordRefusal(refusal.Kind)
	c.span.SetAttributes(kindAttribute(refusal.Kind))
	properties, _ := answer.PropertiesOf(refusal.Kind)
	return c.write(properties.Status, refusal.Headers(), refusal.Body())
}

// writeToken responds to a token request with a new idempotency token.
func (c *call) writeToken() error {
	body, err := json.Marshal(struct {
		Token string `json:"token"`
		// ExpiresInMS is the time in milliseconds for which the token is accepted.
		ExpiresInMS int64 `json:"expires_in_ms"`
	}{c.newToken(), c.spec.IdentityRetention.Std().Milliseconds()})
	if err != nil {
		return err
	}
	return c.write(http.StatusOK, http.Header{"Content-Type": {"application/json"}, "Cache-Control": {"no-store"}}, body)
}

func (c *call) write(status int, headers http.Header, body []byte) error {
	head := &wire.ResponseHead{Status: int32(status), ContentLength: int64(len(body))}
	for name, values := range headers {
		head.Headers = append(head.Headers, &wire.Header{Name: name, Value: values[0]})
	}
	if err := c.w.WriteHead(c.withToken(head)); err != nil {
		return err
	}
	_, err := c.w.Write(body)
	return err
}

// replayStoredResponse sends the stored response of an earlier request with the same idempotency key.
func (c *call) replayStoredResponse(d identity.Decision) error {
	if err := c.w.WriteHead(c.withToken(d.Head)); err != nil {
		return err
	}
	if len(d.Body) == 0 {
		return nil
	}
	_, err := c.w.Write(d.Body)
	return err
}

func (c *call) newToken() string {
	return identity.IssueToken(c.id, c.owned.Epoch, c.gate.cfg.WallClock()).String()
}

// withToken returns a copy of the head with a new token if this node owned the slice at the start of the request, or
// else the head itself. It doesn't modify the head, because a stored head is shared.
func (c *call) withToken(head *wire.ResponseHead) *wire.ResponseHead {
	if c.owned.Epoch == 0 {
		return head
	}
	out := &wire.ResponseHead{Status: head.GetStatus(), ContentLength: head.GetContentLength()}
	out.Headers = append(out.Headers, head.GetHeaders()...)
	out.Headers = append(out.Headers, &wire.Header{Name: TokenHeader, Value: c.newToken()})
	return out
}
