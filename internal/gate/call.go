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

// refusalPause is the pause that callers are asked for when the target is busy.
const refusalPause = time.Second

// guardEvery is how often a request in hand is checked besides the fixed points. A change of the lease or a handover
// reaches it within this time.
const guardEvery = 25 * time.Millisecond

// call is one request on its way through the gate.
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
	// record is set for a non-idempotent keyed request from its admission by the identity store on.
	record *identity.Record
	// buffered says that the whole body is in data.
	buffered    bool
	data        []byte
	length      int64 // of the body, -1 if it is unknown
	fingerprint uint64

	cancel context.CancelCauseFunc
	// detach ends the influence of the caller's context.
	detach func() bool

	mu sync.Mutex
	// started is set before the request is passed to the target. From then on only the end of the lease, the
	// deadline and the caller end it.
	started bool
}

// serve takes the request through the checks to the target.
func (c *call) serve(caller context.Context) error {
	if refusal := c.admit(); refusal != nil {
		return c.refuse(refusal)
	}
	if c.keyed && c.head.GetMethod() == TokenMethod {
		return c.writeToken()
	}
	ctx, end := c.context(caller)
	defer end()
	reserved, refusal := c.bufferBody()
	defer func() { c.gate.bodies.Release(reserved) }()
	if refusal != nil {
		return c.refuse(refusal)
	}
	c.fingerprint = c.poisonRequest().Fingerprint()
	if done, err := c.identify(); done {
		return err
	}
	if refusal := c.prepare(); refusal != nil {
		return c.refuseNotRun(ctx, refusal)
	}
	permit, refusal := c.gate.acquire(ctx, c)
	if refusal != nil {
		return c.refuseNotRun(ctx, refusal)
	}
	return c.run(ctx, permit)
}

// prepare makes the checks that a repeat of an earlier request doesn't need.
func (c *call) prepare() *answer.Refusal {
	if refusal := c.gate.check(c); refusal != nil {
		return refusal
	}
	return c.checkPoison()
}

// admit checks the slice and notes under which epoch the request is served. A repeat of an answered request and a
// request for a token need no more than that; in particular they don't need the target.
func (c *call) admit() *answer.Refusal {
	if !c.keyed {
		if c.head.GetMethod() == TokenMethod {
			return answer.Refuse(answer.BadRequest, "service %q has no keys, and so no tokens", c.head.GetService())
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

// context returns the context of the request. It ends with the caller's context until the run is detached from it,
// at the deadline, and when the guard finds that the request may not go on.
func (c *call) context(caller context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	c.cancel = cancel
	c.detach = context.AfterFunc(caller, func() { cancel(context.Cause(caller)) })
	limit := c.spec.MaxRequest.Std()
	if asked := time.Duration(c.head.GetTimeoutMs()) * time.Millisecond; asked > 0 {
		limit = min(limit, asked)
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	c.startGuard(ctx)
	return ctx, func() {
		c.detach()
		stop()
		cancel(nil)
	}
}

// identify consults the identity records. It reports true if the request has been answered.
func (c *call) identify() (done bool, err error) {
	if !c.keyed || isIdempotent(c.head.GetMethod()) {
		return false, nil
	}
	if c.head.GetIdempotencyKey() == "" {
		return true, c.refuse(answer.Refuse(answer.IdentityRequired, "%s to service %q needs an Idempotency-Key", c.head.GetMethod(), c.id.Service))
	}
	d := c.gate.beginIdentity(c)
	switch d.Verdict {
	case identity.Admitted:
		c.record = d.Record
		return false, nil
	case identity.Answered:
		return true, c.writeStored(d)
	}
	return true, c.refuse(c.gate.identityRefusal(d))
}

func (g *Gate) identityRefusal(d identity.Decision) *answer.Refusal {
	switch d.Verdict {
	case identity.Running:
		return answer.Refuse(answer.RepeatRunning, "the first request is still running")
	case identity.Full:
		g.logOnce.Do(func() { event.IdentitiesFull.On(g.cfg.Logger).Send() })
		return answer.Refuse(answer.Shed, "the identity records of the node are full").WithRetryAfter(refusalPause)
	case identity.Malformed:
		return answer.Refuse(answer.BadRequest, "%s", d.Detail)
	case identity.Reused:
		return answer.Refuse(answer.IdentityReused, "%s", d.Detail)
	case identity.Newer:
		return answer.Refuse(answer.NotOwner, "the token was issued by a later owner")
	}
	return answer.Refuse(answer.RepeatUnknown, "%s", d.Detail)
}

func (g *Gate) beginIdentity(c *call) identity.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.identities.Begin(g.cfg.Clock.Now(), g.cfg.Wall(), identity.Query{
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

// poisonRequest returns what identifies the request whoever sends it.
func (c *call) poisonRequest() *poison.Request {
	return &poison.Request{
		Service: c.head.GetService(), Method: c.head.GetMethod(), Path: c.head.GetPath(), Key: c.head.GetKey(),
		Body: c.data, Streamed: !c.buffered, ContentLength: c.length,
	}
}

// checkPoison refuses requests that have crashed targets.
func (c *call) checkPoison() *answer.Refusal {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if left := g.poison.QuarantineRemaining(g.cfg.Clock.Now(), c.fingerprint); left > 0 {
		return answer.Refuse(answer.Quarantined, "the fingerprint %016x has crashed targets", c.fingerprint).WithRetryAfter(left)
	}
	return nil
}

// acquire waits for a place at the target.
func (g *Gate) acquire(ctx context.Context, c *call) (*admission.Permit, *answer.Refusal) {
	cold := admission.ColdStart{Concurrency: c.spec.ColdStart.Concurrency, Ramp: c.spec.ColdStart.Ramp.Std()}
	if *g.cold.Load() != cold {
		g.cold.Store(&cold)
		g.admission.SetColdStart(cold)
	}
	return g.admission.Acquire(ctx, admission.ClassOf(config.Priority(c.head.GetPriority())))
}

// refuseNotRun refuses a request that certainly did not run and forgets its identity. If the guard ended the
// request, its reason is the more exact one.
func (c *call) refuseNotRun(ctx context.Context, refusal *answer.Refusal) error {
	c.forget()
	if ctx.Err() != nil {
		if cause := answer.As(context.Cause(ctx)); cause != nil {
			refusal = cause
		}
	}
	return c.refuse(refusal)
}

func (c *call) forget() {
	if c.record == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.identities.Forget(c.record)
}

// refuse answers in place of the target.
func (c *call) refuse(refusal *answer.Refusal) error {
	c.gate.metrics.refused(refusal.Kind)
	c.span.SetAttributes(kindAttribute(refusal.Kind))
	properties, _ := answer.PropertiesOf(refusal.Kind)
	return c.write(properties.Status, refusal.Headers(), refusal.Body())
}

// writeToken answers a request for a token.
func (c *call) writeToken() error {
	body, err := json.Marshal(struct {
		Token string `json:"token"`
		// ExpiresInMS is how long the token is accepted.
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

// writeStored repeats the answer to an earlier request.
func (c *call) writeStored(d identity.Decision) error {
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
	return identity.Issue(c.id, c.owned.Epoch, c.gate.cfg.Wall()).String()
}

// withToken returns the head with a new token if this node has owned the slice at the start of the request. It
// leaves the given head alone, because a stored head is shared.
func (c *call) withToken(head *wire.ResponseHead) *wire.ResponseHead {
	if c.owned.Epoch == 0 {
		return head
	}
	out := &wire.ResponseHead{Status: head.GetStatus(), ContentLength: head.GetContentLength()}
	out.Headers = append(out.Headers, head.GetHeaders()...)
	out.Headers = append(out.Headers, &wire.Header{Name: TokenHeader, Value: c.newToken()})
	return out
}
