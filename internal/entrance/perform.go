package entrance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/retry"
	"github.com/citronvane/citronvane/internal/routing"
)

const (
	// maxAttempts bounds one request's part of the retry budget.
	maxAttempts = 8
	// maxUnknown bounds the attempts at an idempotent request that may have run, because a request
	// that crashes targets must not visit all of them.
	maxUnknown = 2
	// changeWait bounds the wait for another owner after a refusal. A takeover takes about 0.6 s.
	changeWait = time.Second
	// ownerWait bounds the wait while no owner is known.
	ownerWait = 3 * time.Second
	// maxWaiting bounds the requests that wait for an owner. With 64 KiB bodies they hold 128 MiB.
	maxWaiting = 2000
	// ownerRetryAfter is the time after which a caller may ask again for an owner.
	ownerRetryAfter = time.Second
	// lateMargin is how much before the deadline a failure counts as caused by it. Nodes count the
	// remaining time in whole milliseconds and so end a little earlier.
	lateMargin = 5 * time.Millisecond
)

// outcome is what came of one attempt: an answer of a node, an error, or a refusal of this entrance.
type outcome struct {
	attempt
	// kind is the kind of the answer, empty for the target's own.
	kind answer.Kind
	// refusal is set if the request was not sent because no node can serve it.
	refusal *answer.Refusal
	// notRun says that the attempt certainly did not run.
	notRun bool
	// retry says that the request may be sent again.
	retry bool
	// assigned is the assignment by which the node was chosen.
	assigned assignment
}

// session is the work on one request.
type session struct {
	*Handler
	request *request
	tried   map[string]bool // names of pooled nodes
	sent    int
	unknown int
	// unreachable says that no owner could be reached for an attempt while there was time left.
	unreachable bool
	started     time.Time
}

// perform sends the request until it has an answer for the caller. The result must be closed.
func (h *Handler) perform(ctx context.Context, q *request) *outcome {
	s := &session{Handler: h, request: q, tried: map[string]bool{}, started: time.Now()}
	for {
		o := s.attempt(ctx, h.opts.Table.Load())
		s.judge(ctx, o)
		if !o.retry || !s.again(ctx, o) {
			return s.final(ctx, o)
		}
		o.close()
	}
}

func (s *session) attempt(ctx context.Context, snapshot *routing.Snapshot) *outcome {
	if s.request.keyed() {
		return s.attemptKeyed(ctx, snapshot)
	}
	return s.attemptPooled(ctx, snapshot)
}

func (s *session) attemptKeyed(ctx context.Context, snapshot *routing.Snapshot) *outcome {
	assigned := assignmentOf(snapshot.View, s.request.slice)
	if assigned.node == nil {
		refusal := answer.Refuse(answer.NoOwner, "slice %s has no live owner", s.request.slice).WithRetryAfter(ownerRetryAfter)
		return &outcome{refusal: refusal, assigned: assigned}
	}
	if !s.suspects.allow(assigned.owner, s.opts.Clock.Now()) {
		refusal := answer.Refuse(answer.NoOwner, "the owner of slice %s can't serve", s.request.slice).WithRetryAfter(ownerRetryAfter)
		return &outcome{refusal: refusal, assigned: assigned}
	}
	s.sent++
	o := s.send(ctx, snapshot, assigned.node, assigned.epoch)
	o.assigned = assigned
	s.suspects.record(snapshot.View, assigned.owner, o, ctx.Err() != nil, s.opts.Clock.Now())
	return o
}

// judge says what the outcome proves and whether section 7.3 of the design allows another attempt.
func (s *session) judge(ctx context.Context, o *outcome) {
	properties, _ := answer.PropertiesOf(o.kind)
	switch {
	case o.refusal != nil:
		o.notRun = true
		o.retry = s.request.keyed()
		s.unreachable = true
	case o.err != nil:
		o.notRun = o.notSent()
		s.unreachable = s.unreachable || o.notRun && ctx.Err() == nil
		o.retry = o.notRun || s.request.idempotent
	case o.kind != "":
		o.notRun = properties.NotRun
		o.retry = o.notRun && properties.Retryable || s.request.idempotent && o.kind == answer.OutcomeUnknown
	}
	if (o.err != nil || o.kind != "") && !o.notRun {
		s.unknown++
	}
	if ctx.Err() != nil || s.unknown >= maxUnknown {
		o.retry = false
	}
}

// again waits until another attempt makes sense, and reports whether one may be made.
func (s *session) again(ctx context.Context, o *outcome) bool {
	if s.sent >= maxAttempts || !s.request.body.atHand() {
		return false
	}
	if !s.wait(ctx, o) {
		return false
	}
	if o.refusal != nil {
		return true // Nothing was sent, so the next attempt is the first one.
	}
	if !s.opts.Budget.Allow(s.opts.Clock.Now()) {
		return false
	}
	s.metrics.retry(ctx, s.request.routed.Service)
	return true
}

// wait returns false if the request's time ends first.
func (s *session) wait(ctx context.Context, o *outcome) bool {
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > maxWaiting {
		return false
	}
	left := time.Until(s.request.deadline)
	if o.refusal != nil {
		return s.awaitOwner(ctx, o, min(ownerWait-time.Since(s.started), left))
	}
	pause, ok := retry.Backoff(s.sent, left)
	if !ok {
		return false
	}
	if !s.request.keyed() {
		return clock.Sleep(ctx, pause)
	}
	// A node that is behind or was reached on a broken connection can serve in a moment. All other
	// outcomes last until the slice has another owner.
	soon := o.kind == answer.NotOwner || o.kind == answer.TargetRefused || o.kind == answer.OutcomeUnknown ||
		o.err != nil && s.sent == 1
	if !soon {
		pause = min(changeWait, left)
	}
	s.awaitChange(ctx, o.assigned, pause)
	return ctx.Err() == nil && time.Now().Before(s.request.deadline)
}

// awaitOwner waits for an owner that can serve. A suspected owner may also come back without a change.
func (s *session) awaitOwner(ctx context.Context, o *outcome, bound time.Duration) bool {
	if o.assigned.node == nil {
		return s.awaitChange(ctx, o.assigned, bound)
	}
	if bound <= 0 {
		return false
	}
	s.awaitChange(ctx, o.assigned, min(probeInterval, bound))
	return ctx.Err() == nil
}

// final turns the outcome into what the caller gets. An earlier attempt that may have run forbids
// the claim that the request did not run.
func (s *session) final(ctx context.Context, o *outcome) *outcome {
	late := ctx.Err() != nil || time.Until(s.request.deadline) < lateMargin
	switch {
	case o.notRun && s.unknown > 0:
		return o.replace(unknownRefusal(late, "an earlier attempt may have run"))
	case o.refusal != nil || o.err == nil:
		return o
	case o.notRun && late && !(s.unreachable && s.request.keyed()):
		return o.replace(answer.Refuse(answer.Deadline, "the deadline passed before a node was reached"))
	case o.notRun && s.request.keyed():
		return o.replace(answer.Refuse(answer.NoOwner, "the owner can't be reached").WithRetryAfter(ownerRetryAfter))
	case o.notRun:
		return o.replace(answer.Refuse(answer.TargetDown, "the node of the target can't be reached").WithRetryAfter(ownerRetryAfter))
	}
	return o.replace(unknownRefusal(late, "the answer was lost"))
}

func unknownRefusal(late bool, detail string) *answer.Refusal {
	if late {
		return answer.Refuse(answer.DeadlineRunning, "%s", detail)
	}
	return answer.Refuse(answer.OutcomeUnknown, "%s", detail)
}

func (o *outcome) replace(r *answer.Refusal) *outcome {
	o.close()
	return &outcome{refusal: r, notRun: o.notRun}
}

// assignment is what an attempt at a keyed request depends on. It is comparable.
type assignment struct {
	owner cluster.NodeID
	epoch uint64
	// node is nil if the owner is not known or will never serve again.
	node *cluster.Node
}

func assignmentOf(view *cluster.View, id cluster.SliceID) assignment {
	slice, ok := view.Slice(id)
	if !ok || slice.Owner.IsZero() {
		return assignment{}
	}
	a := assignment{owner: slice.Owner, epoch: slice.Epoch}
	if node := view.Node(slice.Owner); node != nil && !node.Gone() && node.Addresses.Relay != "" {
		a.node = node
	}
	return a
}

// serves reports whether another attempt by b can end differently from one by a.
func (a assignment) serves(b assignment) bool {
	return b.node != nil && (a.node == nil || a.owner != b.owner || a.epoch != b.epoch)
}

// awaitChange waits until the slice has another owner that can be reached. It returns false if the
// bound passes or the context ends first.
func (s *session) awaitChange(ctx context.Context, tried assignment, bound time.Duration) bool {
	timer := time.NewTimer(max(bound, 0))
	defer timer.Stop()
	for {
		changed := s.opts.Table.Changed()
		if tried.serves(assignmentOf(s.opts.Table.Load().View, s.request.slice)) {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// abandoned reports whether the caller has gone.
func abandoned(r *http.Request) bool { return errors.Is(r.Context().Err(), context.Canceled) }
