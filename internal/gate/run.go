package gate

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/admission"
	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/identity"
	"github.com/citronvane/citronvane/internal/poison"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/wire"
)

// copyBytes is the size of a body frame on the relay.
const copyBytes = 16 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// ending is how a run ended.
type ending struct {
	outcome admission.Outcome
	flight  poison.Outcome
	notRun  bool
	// head and body are the whole answer of a recorded request, if they are known.
	head *wire.ResponseHead
	body []byte
}

// run passes the request to the target and its answer to the caller.
func (c *call) run(ctx context.Context, permit *admission.Permit) error {
	if refusal := c.start(ctx); refusal != nil {
		permit.Release(admission.Outcome{Result: admission.Inconclusive})
		return c.refuseNotRun(ctx, refusal)
	}
	ctx, span := startTargetSpan(ctx, c.head)
	defer span.End()
	flight := c.gate.beginFlight(c)
	started := time.Now()
	resp, err := c.gate.cfg.Runner.Run(ctx, c.request(ctx))
	latency := time.Since(started)
	c.gate.metrics.ran(ctx, latency)
	e := ending{outcome: admission.Outcome{Latency: latency}}
	if err != nil {
		refusal := c.failed(ctx, err, &e)
		c.endRun(flight, permit, &e)
		span.SetAttributes(kindAttribute(refusal.Kind))
		return c.refuse(refusal)
	}
	err = c.stream(ctx, resp, &e)
	c.endRun(flight, permit, &e)
	return err
}

func (c *call) request(ctx context.Context) *target.Request {
	r := &target.Request{
		Method: c.head.GetMethod(), Path: c.head.GetPath(), Headers: c.head.GetHeaders(),
		Service: c.head.GetService(), Key: c.head.GetKey(), Slice: c.head.GetSlice(), Epoch: c.head.GetEpoch(),
		IdempotencyKey: c.head.GetIdempotencyKey(), Traceparent: traceparent(ctx),
		Body: c.body, ContentLength: c.length,
		Check: func() error {
			if refusal := c.gate.check(c); refusal != nil {
				return refusal
			}
			return nil
		},
	}
	if r.Body == nil {
		r.ContentLength = 0
	}
	return r
}

// failed classifies a run without an answer. Only the runner knows whether the request may have reached the target.
func (c *call) failed(ctx context.Context, err error, e *ending) *answer.Refusal {
	kind := answer.OutcomeUnknown
	var failure *target.RunError
	if errors.As(err, &failure) {
		kind = failure.Kind
	}
	properties, known := answer.PropertiesOf(kind)
	if known && properties.NotRun {
		e.notRun, e.flight, e.outcome.Result = true, poison.Cancelled, resultOf(kind)
		return c.notRun(ctx, kind, err)
	}
	e.flight = poison.ConnectionLost
	if ctx.Err() == nil {
		return answer.Refuse(answer.OutcomeUnknown, "the target did not answer: %v", err)
	}
	e.flight = poison.Cancelled
	cause := context.Cause(ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		return answer.Refuse(answer.DeadlineRunning, "the target did not answer before the deadline")
	}
	e.outcome.Result = admission.Inconclusive // The latency of a cancelled run says nothing.
	if errors.Is(cause, errLeaseEnded) {
		c.gate.logOnce.Do(func() { event.LeaseEndedInRun.On(c.gate.cfg.Logger).Str("slice", c.id.String()).Send() })
	}
	return answer.Refuse(answer.OutcomeUnknown, "the run was cancelled: %v", cause)
}

// notRun returns the refusal of a request that did not reach the target.
func (c *call) notRun(ctx context.Context, kind answer.Kind, err error) *answer.Refusal {
	if refusal := answer.As(err); refusal != nil {
		return refusal
	}
	if c.keyed && ctx.Err() != nil && errors.Is(context.Cause(ctx), errLeaseEnded) {
		return answer.Refuse(answer.LeaseLapsed, "the lease ended before the request was written")
	}
	refusal := answer.Refuse(kind, "%v", err)
	if kind == answer.Shed || kind == answer.Cold {
		return refusal.WithRetryAfter(refusalPause)
	}
	return refusal
}

// resultOf says what a refusal tells about the load of the target. A fenced or draining target isn't overloaded.
func resultOf(kind answer.Kind) admission.Result {
	switch kind {
	case answer.Shed:
		return admission.Refused
	case answer.Cold:
		return admission.RefusedCold
	}
	return admission.Inconclusive
}

// stream copies the answer to the caller and, for a recorded request, keeps it for repeats. When the caller is gone,
// a recorded answer is still read to its end.
func (c *call) stream(ctx context.Context, resp *target.Response, e *ending) error {
	defer resp.Body.Close()
	k := &keeper{on: c.record != nil}
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	writeErr := c.w.WriteHead(c.withToken(resp.Head))
	for writeErr == nil || k.on {
		n, err := resp.Body.Read(buffer[:])
		k.keep(buffer[:n])
		if n > 0 && writeErr == nil {
			_, writeErr = c.w.Write(buffer[:n])
		}
		if err == io.EOF {
			k.store(resp.Head, e)
			return writeErr
		}
		if err != nil {
			e.flight = poison.ConnectionLost
			if ctx.Err() != nil {
				e.flight = poison.Cancelled
			}
			return err
		}
	}
	e.flight = poison.Cancelled
	return writeErr
}

// keeper collects an answer up to the bound of stored answers.
type keeper struct {
	on   bool
	body []byte
}

func (k *keeper) keep(p []byte) {
	if !k.on {
		return
	}
	if len(k.body)+len(p) > identity.MaxAnswerBytes {
		k.on, k.body = false, nil
		return
	}
	k.body = append(k.body, p...)
}

func (k *keeper) store(head *wire.ResponseHead, e *ending) {
	if !k.on {
		return
	}
	e.head = &wire.ResponseHead{Status: head.GetStatus(), Headers: head.GetHeaders(), ContentLength: int64(len(k.body))}
	e.body = k.body
}

func (g *Gate) beginFlight(c *call) poison.InFlight {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Begin(c.fingerprint, g.target.Incarnation)
}

// endRun records the end of a run before the caller sees the end of the answer, so that a repeat finds it.
func (c *call) endRun(flight poison.InFlight, permit *admission.Permit, e *ending) {
	g := c.gate
	g.mu.Lock()
	now := g.cfg.Clock.Now()
	switch {
	case c.record == nil:
	case e.notRun:
		g.identities.Forget(c.record)
	case e.head != nil:
		g.identities.Finish(now, c.record, e.head, e.body)
	default:
		g.identities.FinishUnknown(now, c.record)
	}
	report := g.poison.Finish(now, flight, e.flight)
	g.mu.Unlock()
	permit.Release(e.outcome)
	g.share(report)
}
