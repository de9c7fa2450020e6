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

// copyBufferSize is the size of a relay body frame in bytes.
const copyBufferSize = 16 << 10

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// runResult holds the outcome of a request that was dispatched to the target.
type runResult struct {
	admissionOutcome admission.Outcome
	poisonOutcome    poison.Outcome
	notRun           bool
	// head and body are the complete response to a request with an idempotency record. The head is nil if the response
	// is incomplete or too large to store.
	head *wire.ResponseHead
	body []byte
}

// run sends the request to the target and the response to the caller.
func (c *call) run(ctx context.Context, permit *admission.Permit) error {
	if refusal := c.markDispatched(ctx); refusal != nil {
		permit.Release(admission.Outcome{Result: admission.Inconclusive})
		return c.refuseUnexecuted(ctx, refusal)
	}
	ctx, span := startTargetSpan(ctx, c.head)
	defer span.End()
	inFlight := c.gate.beginPoisonTracking(c)
	started := time.Now()
	resp, err := c.gate.cfg.Runner.Run(ctx, c.targetRequest(ctx))
	latency := time.Since(started)
	c.gate.metrics.recordTargetLatency(ctx, latency)
	result := runResult{admissionOutcome: admission.Outcome{Latency: latency}}
	if err != nil {
		refusal := c.classifyRunError(ctx, err, &result)
		c.endRun(inFlight, permit, &result)
		span.SetAttributes(kindAttribute(refusal.Kind))
		return c.refuse(refusal)
	}
	err = c.streamResponse(ctx, resp, &result)
	c.endRun(inFlight, permit, &result)
	return err
}

func (c *call) targetRequest(ctx context.Context) *target.Request {
	r := &target.Request{
		Method: c.head.GetMethod(), Path: c.head.GetPath(), Headers: c.head.GetHeaders(),
		Service: c.head.GetService(), Key: c.head.GetKey(), Slice: c.head.GetSlice(), Epoch: c.head.GetEpoch(),
		IdempotencyKey: c.head.GetIdempotencyKey(), Traceparent: traceparent(ctx),
		Body: c.body, ContentLength: c.length,
		Check: func() error {
			if refusal := c.gate.checkDispatch(c); refusal != nil {
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

// classifyRunError sets the result and returns the refusal of a request without a response. Only the runner knows
// whether the request may have reached the target.
func (c *call) classifyRunError(ctx context.Context, err error, result *runResult) *answer.Refusal {
	kind := answer.OutcomeUnknown
	var failure *target.RunError
	if errors.As(err, &failure) {
		kind = failure.Kind
	}
	properties, known := answer.PropertiesOf(kind)
	if known && properties.NotRun {
		result.notRun, result.poisonOutcome, result.admissionOutcome.Result = true, poison.Cancelled, admissionResult(kind)
		return c.unexecutedRefusal(ctx, kind, err)
	}
	result.poisonOutcome = poison.ConnectionLost
	if ctx.Err() == nil {
		return answer.Refuse(answer.OutcomeUnknown, "the target sent no response: %v", err)
	}
	result.poisonOutcome = poison.Cancelled
	cause := context.Cause(ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		return answer.Refuse(answer.DeadlineRunning, "the target sent no response before the deadline")
	}
	result.admissionOutcome.Result = admission.Inconclusive // The latency of a cancelled request is no load signal.
	if errors.Is(cause, errLeaseExpired) {
		c.gate.logLimiter.Do(func() { event.LeaseEndedInRun.On(c.gate.cfg.Logger).Str("slice", c.id.String()).Send() })
	}
	return answer.Refuse(answer.OutcomeUnknown, "the running request was cancelled: %v", cause)
}

// unexecutedRefusal returns the refusal of a request that did not reach the target.
func (c *call) unexecutedRefusal(ctx context.Context, kind answer.Kind, err error) *answer.Refusal {
	if refusal := answer.As(err); refusal != nil {
		return refusal
	}
	if c.keyed && ctx.Err() != nil && errors.Is(context.Cause(ctx), errLeaseExpired) {
		return answer.Refuse(answer.LeaseLapsed, "the lease expired before the request was written to the target")
	}
	refusal := answer.Refuse(kind, "%v", err)
	if kind == answer.Shed || kind == answer.Cold {
		return refusal.WithRetryAfter(busyRetryAfter)
	}
	return refusal
}

// admissionResult maps a refusal of the target to the load signal for the admission controller. A fenced or draining
// target isn't overloaded.
func admissionResult(kind answer.Kind) admission.Result {
	switch kind {
	case answer.Shed:
		return admission.Refused
	case answer.Cold:
		return admission.RefusedCold
	}
	return admission.Inconclusive
}

// streamResponse copies the response to the caller. If the request has an idempotency record, it also captures the
// response for retries, and reads it to the end even if writing to the caller fails.
func (c *call) streamResponse(ctx context.Context, resp *target.Response, result *runResult) error {
	defer resp.Body.Close()
	capture := &responseCapture{active: c.record != nil}
	buffer := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buffer)
	writeErr := c.w.WriteHead(c.withToken(resp.Head))
	for writeErr == nil || capture.active {
		n, err := resp.Body.Read(buffer[:])
		capture.add(buffer[:n])
		if n > 0 && writeErr == nil {
			_, writeErr = c.w.Write(buffer[:n])
		}
		if err == io.EOF {
			capture.saveTo(resp.Head, result)
			return writeErr
		}
		if err != nil {
			result.poisonOutcome = poison.ConnectionLost
			if ctx.Err() != nil {
				result.poisonOutcome = poison.Cancelled
			}
			return err
		}
	}
	result.poisonOutcome = poison.Cancelled
	return writeErr
}

// responseCapture buffers a response for the idempotency record. It gives up on a body over identity.MaxAnswerBytes.
type responseCapture struct {
	active bool
	body   []byte
}

func (rc *responseCapture) add(p []byte) {
	if !rc.active {
		return
	}
	if len(rc.body)+len(p) > identity.MaxResponseBytes {
		rc.active, rc.body = false, nil
		return
	}
	rc.body = append(rc.body, p...)
}

func (rc *responseCapture) saveTo(head *wire.ResponseHead, result *runResult) {
	if !rc.active {
		return
	}
	result.head = &wire.ResponseHead{Status: head.GetStatus(), Headers: head.GetHeaders(), ContentLength: int64(len(rc.body))}
	result.body = rc.body
}

func (g *Gate) beginPoisonTracking(c *call) poison.InFlight {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Begin(c.fingerprint, g.target.Incarnation)
}

// endRun records the result before the caller sees the end of the response, so that a retry finds it.
func (c *call) endRun(inFlight poison.InFlight, permit *admission.Permit, result *runResult) {
	g := c.gate
	g.mu.Lock()
	now := g.cfg.Clock.Now()
	switch {
	case c.record == nil:
	case result.notRun:
		g.identities.Forget(c.record)
	case result.head != nil:
		g.identities.Finish(now, c.record, result.head, result.body)
	default:
		g.identities.FinishWithoutResponse(now, c.record)
	}
	report := g.poison.Finish(now, inFlight, result.poisonOutcome)
	g.mu.Unlock()
	permit.Release(result.admissionOutcome)
	g.publishPoisonReport(report)
}
