package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
)

const (
	// maxTries bounds the hosts that are asked for one request. Most refuse without sending it to their target.
	maxTries = 4
	// ownerWaitShare is the part of the objective that a request waits for its key to get an owner.
	ownerWaitShare = 0.5
	// ownerRetryAfter is when a caller may come back whose key has no owner: a planned move takes about one heartbeat.
	ownerRetryAfter = 400 * time.Millisecond
	// connectPatience is the time within which a reachable host takes a request: many round trips between zones. A caller who
	// leaves sooner says nothing about the host.
	connectPatience = 150 * time.Millisecond
	// refusedLoad is the load that is assumed of a target that has just refused a request, in multiples of its slots.
	refusedLoad = 2
	// maxMoves is the number of slow targets that may pass a request on: each costs a round trip between nodes.
	maxMoves = 2
)

// perform finds a target for the request and returns its answer, or says that it has not run, or that this is unknown.
func (e *entrance) perform(ctx context.Context, x *exchange) *result {
	tried := map[string]bool{}
	var last *result
	for x.tries = 1; x.tries <= maxTries; x.tries++ {
		t, refused := e.target(ctx, x, tried)
		if refused != nil {
			if last != nil {
				return last
			}
			return &result{refusal: refused}
		}
		res := e.send(ctx, x, t)
		res.host = t.Host
		if ctx.Err() != nil || !e.again(ctx, x, t, res, tried) {
			return better(last, res).comeBack()
		}
		last = better(last, res)
	}
	return last
}

// comeBack adds the time after which the caller may come back where the refusing host could not say it.
func (r *result) comeBack() *result {
	if r.refusal != nil && r.refusal.after == 0 {
		r.refusal.after = ownerRetryAfter
	}
	return r
}

// better prefers an answer of the target to an unknown outcome, and that to a refusal, which is only true if no earlier
// try may have run the request.
func better(last, res *result) *result {
	if last == nil || res.status != 0 && (res.status < 500 || last.status == 0) {
		return res
	}
	if last.refusal != nil {
		return res
	}
	return last
}

// target chooses the host to send the request to.
func (e *entrance) target(ctx context.Context, x *exchange, tried map[string]bool) (*fleet.Target, *refusal) {
	if x.key >= 0 {
		return e.owner(ctx, x)
	}
	now := e.clock.Now()
	view := e.state.view.Load()
	var candidates []ingress.Candidate
	for _, t := range view.Targets {
		if t.Service != x.service || t.State != fleet.Serving && t.State != fleet.Revoked {
			continue
		}
		if _, out := e.state.zoneOut(t.Zone); !out {
			candidates = append(candidates, ingress.Candidate{Host: t.Host, Zone: t.Zone, Slots: t.Slots})
		}
	}
	i, moveCost := e.pool.Choose(now, candidates, x.ask(), tried)
	x.moveCost = moveCost
	if x.slow != nil && (i < 0 || x.tries == maxTries) {
		t := x.slow
		x.slow, x.settled = nil, true
		return t, nil
	}
	if i < 0 {
		return nil, &refusal{answer.NoOwner, ownerRetryAfter, "no_target"}
	}
	return view.Targets[candidates[i].Host], nil
}

// owner returns the host that owns the key, and waits a moment for a key on the move.
func (e *entrance) owner(ctx context.Context, x *exchange) (*fleet.Target, *refusal) {
	for {
		now := e.clock.Now()
		changed := e.state.waiting()
		view := e.state.view.Load()
		row, ok := view.Tables[x.service].Find(x.key)
		if ok {
			if t := view.Targets[row.Owner.Host]; t != nil && t.Term == row.Owner.Term && t.State != fleet.Down && t.State != fleet.Revoked {
				if pause := e.pool.EjectedFor(now, t.Host); pause > 0 && t.Host != e.settings.Host {
					return nil, &refusal{answer.TargetDown, max(pause, minRetryAfter), "owner_unreachable"}
				}
				return t, nil
			}
		}
		wait := x.arrived.Add(time.Duration(ownerWaitShare * float64(x.route.Objective))).Sub(now)
		if wait <= 0 {
			return nil, &refusal{answer.NoOwner, ownerRetryAfter, "no_owner"}
		}
		if refused := await(ctx, changed, wait); refused != nil {
			return nil, refused
		}
	}
}

// await waits for a change.
func await(ctx context.Context, changed <-chan struct{}, wait time.Duration) *refusal {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return gaveUp(ctx)
	}
	return nil
}

// gaveUp refuses a request whose context ended before it was sent. The context of another node's request has the deadline of
// the relay.
func gaveUp(ctx context.Context) *refusal {
	reason := "caller_left"
	if cause := context.Cause(ctx); errors.Is(cause, errDeadline) || errors.Is(cause, context.DeadlineExceeded) {
		reason = "deadline"
	}
	return &refusal{answer.Deadline, 0, reason}
}

// again decides whether the request goes out once more after the result, and prepares for it.
func (e *entrance) again(ctx context.Context, x *exchange, t *fleet.Target, res *result, tried map[string]bool) bool {
	now := e.clock.Now()
	reason := ""
	switch {
	case res.refusal != nil:
		return e.elsewhere(ctx, x, t, res.refusal, tried)
	case res.err != nil:
		reason = "broken"
	case res.status == http.StatusInternalServerError:
		reason = "failed"
	default:
		return false
	}
	if !x.repeatable() || x.deadline.Sub(now) < x.route.Objective/4 || !e.budget(x.service).Allow(now) {
		return false
	}
	tried[t.Host] = true
	e.repeat(x, t, reason)
	return true
}

// elsewhere decides whether a request that has not run is offered once more.
func (e *entrance) elsewhere(ctx context.Context, x *exchange, t *fleet.Target, r *refusal, tried map[string]bool) bool {
	now := e.clock.Now()
	if x.stream != nil || now >= x.deadline {
		return false
	}
	if r.kind == answer.TargetRefused {
		// The target counts this as an arrival, so that another one draws on the budget.
		if x.sent >= x.route.MaxAttempts || !e.budget(x.service).Allow(now) {
			return false
		}
		tried[t.Host] = x.key < 0
		e.repeat(x, t, "target_refused")
		return true
	}
	if x.key >= 0 {
		// Only the owner can serve the key. It may have changed.
		if r.kind != answer.NotOwner && r.kind != answer.Draining || x.tries >= maxTries {
			return false
		}
		return e.ownerChanged(ctx, x, t)
	}
	tried[t.Host] = true
	if r.reason == reasonSlow && x.slow == nil {
		x.slow = t
	}
	return r.kind != answer.Quarantined && r.kind != answer.Deadline
}

// ownerChanged waits for a view that names another owner than the one that refused.
func (e *entrance) ownerChanged(ctx context.Context, x *exchange, t *fleet.Target) bool {
	limit := x.arrived.Add(time.Duration(ownerWaitShare * float64(x.route.Objective)))
	for {
		changed := e.state.waiting()
		if row, ok := e.state.view.Load().Tables[x.service].Find(x.key); ok && row.Owner.Host != t.Host {
			return true
		}
		wait := limit.Sub(e.clock.Now())
		if wait <= 0 || await(ctx, changed, wait) != nil {
			return false
		}
	}
}

func (e *entrance) repeat(x *exchange, t *fleet.Target, reason string) {
	e.metrics.repeated(reason)
	e.lines.failure(func(l *logger) {
		e.line(event.RequestRepeated.On(l), x, &result{host: t.Host}).Str("reason", reason).Int("budget_left", e.budget(x.service).Remaining(e.clock.Now())).Send()
	})
}

// send offers the request to a host.
func (e *entrance) send(ctx context.Context, x *exchange, t *fleet.Target) *result {
	now := e.clock.Now()
	head := e.head(x, now)
	e.pool.RecordSent(t.Host)
	var res *result
	var load *ingress.Load
	if t.Host == e.settings.Host {
		res = e.local(ctx, x, head)
	} else {
		res, load = e.remote(ctx, x, t, head)
	}
	if errors.Is(res.err, relay.ErrNotSent) {
		return &result{refusal: e.notSent(ctx, t, now)}
	}
	if res.refusal == nil || res.refusal.kind == answer.TargetRefused {
		x.sent++
	}
	e.pool.RecordResponse(e.clock.Now(), t.Host, load)
	return res
}

// notSent ends a request that the host has not got, though it was offered from the instant on.
func (e *entrance) notSent(ctx context.Context, t *fleet.Target, since clock.Instant) *refusal {
	now := e.clock.Now()
	if ctx.Err() != nil && now.Sub(since) < connectPatience {
		e.pool.RecordResponse(now, t.Host, nil)
		return gaveUp(ctx)
	}
	pause := e.pool.RecordUnreachable(now, t.Host)
	return &refusal{answer.TargetDown, max(pause, minRetryAfter), "host_unreachable"}
}

func (e *entrance) head(x *exchange, now clock.Instant) *wire.RequestHead {
	head := &wire.RequestHead{
		Service: x.service, Method: x.method, Path: x.path, Headers: relay.FromHTTP(x.header),
		TimeoutMs:     max(1, x.deadline.Sub(now).Milliseconds()),
		ContentLength: x.length, Entrance: e.settings.Node, Route: x.route.Name, Rank: int32(x.route.Priority),
		ObjectiveMs: x.route.Objective.Milliseconds(), ElapsedMs: (now.Sub(x.arrived) + x.age).Milliseconds(),
		Repeatable: x.route.Kind.Repeatable(), CallerService: e.settings.Service, RequestId: x.id,
	}
	if x.key >= 0 {
		head.Key = strconv.Itoa(x.key)
	} else if x.stream == nil && x.tries <= maxMoves && !x.settled {
		head.MoveCostUs = x.moveCost.Microseconds()
	}
	return head
}

// reader returns the request's body for one try, or nil.
func (x *exchange) reader() io.Reader {
	switch {
	case x.stream != nil:
		return x.stream
	case len(x.body) > 0:
		return bytes.NewReader(x.body)
	}
	return nil
}

// local offers the request to the target on the own host.
func (e *entrance) local(ctx context.Context, x *exchange, head *wire.RequestHead) *result {
	a, refused, err := e.gate.serve(ctx, head, x.reader())
	if refused != nil || err != nil {
		return &result{refusal: refused, err: err}
	}
	return &result{status: a.Status, header: platform.ForwardResponseHeaders(a.Header), body: a.Body, rest: a.Rest, length: a.Length}
}

// remote offers the request to the target on another host.
func (e *entrance) remote(ctx context.Context, x *exchange, t *fleet.Target, head *wire.RequestHead) (*result, *ingress.Load) {
	response, err := e.relay.Do(ctx, t.Relay, &relay.Request{Head: head, Body: x.reader()})
	if err != nil {
		return &result{err: err}, nil
	}
	header := http.Header{}
	relay.ToHTTP(response.Head.Headers, header)
	load := readLoad(header.Get(headerLoad))
	header.Del(headerLoad)
	if kind := header.Get(headerRefusal); kind != "" {
		_ = response.Body.Close() // It is empty.
		ms, _ := strconv.Atoi(header.Get(headerAfter))
		r := &refusal{answer.Kind(kind), time.Duration(ms) * time.Millisecond, header.Get(headerReason)}
		if load != nil && r.kind != answer.NotOwner && r.reason != reasonSlow {
			load.Outstanding = max(load.Outstanding, refusedLoad*load.Slots)
		}
		return &result{refusal: r}, load
	}
	res := &result{status: int(response.Head.Status), header: header, length: response.Head.ContentLength}
	if x.key < 0 && res.status < http.StatusMultipleChoices && res.length >= 0 {
		e.pool.RecordResponseSize(x.ask(), res.length)
	}
	if res.length < 0 || res.length > upstream.MaxBuffered {
		res.rest = response.Body
		return res, load
	}
	defer response.Body.Close()
	res.body, err = readWhole(response.Body, res.length)
	if err != nil {
		return &result{err: err}, load
	}
	return res, load
}

// readWhole reads an answer, which must have exactly the stated length.
func readWhole(body io.Reader, length int64) ([]byte, error) {
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, fmt.Errorf("the answer is not whole: %w", err)
	}
	if n, err := body.Read(make([]byte, 1)); n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("the answer has another length than stated: %w", err)
	}
	return data, nil
}

// loadFields is the number of fields in headerLoad.
const loadFields = 6

// readLoad reads the load that a host states, or returns nil.
func readLoad(text string) *ingress.Load {
	parts := strings.Split(text, ",")
	if len(parts) != loadFields {
		return nil
	}
	var fields [loadFields]int
	for i, part := range parts {
		n, err := strconv.Atoi(part)
		if err != nil {
			return nil
		}
		fields[i] = n
	}
	return &ingress.Load{
		Outstanding: fields[0], Slots: fields[1], MeanServiceTime: time.Duration(fields[2]) * time.Microsecond,
		LinkQueueDelay: time.Duration(fields[3]) * time.Microsecond, LinkBytesPerSecond: float64(fields[4]), Slowdown: float64(fields[5]) / 1e3,
	}
}
