package sidecar

import (
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
	// maxHostsPerRequest bounds the hosts to which one request is sent. Most of those that refuse do so before it reaches their target.
	maxHostsPerRequest = 4
	// ownerWaitFraction is the fraction of the latency objective that a request waits for its key to get an owner.
	ownerWaitFraction = 0.5
	// ownerRetryAfter is the Retry-After time for a key without an owner. A planned move takes about one heartbeat interval.
	ownerRetryAfter = 400 * time.Millisecond
	// unreachableAfter is the time within which a reachable host accepts a request, many round trips between zones. If the caller
	// gives up sooner, the host does not count as unreachable.
	unreachableAfter = 150 * time.Millisecond
	// refusedLoadFactor is the load that is assumed for a target that has just refused a request, in multiples of its slots.
	refusedLoadFactor = 2
	// maxHandoffs is the number of slow targets that may hand a request off to another one. Each costs a round trip between nodes.
	maxHandoffs = 2
)

// forward sends the request to a target, if necessary to several in turn. The result is the target's response, a refusal if the
// request has not run, or an error if its outcome is unknown.
func (e *entrance) forward(ctx context.Context, x *exchange) *result {
	tried := map[string]bool{}
	var last *result
	for x.tries = 1; x.tries <= maxHostsPerRequest; x.tries++ {
		t, refused := e.selectTarget(ctx, x, tried)
		if refused != nil {
			if last != nil {
				return last
			}
			return &result{refusal: refused}
		}
		res := e.send(ctx, x, t)
		res.host = t.Host
		if ctx.Err() != nil || !e.shouldRetry(ctx, x, t, res, tried) {
			return preferredResult(last, res).withRetryAfter()
		}
		last = preferredResult(last, res)
	}
	return last
}

// withRetryAfter sets the Retry-After time of a refusal that has none.
func (r *result) withRetryAfter() *result {
	if r.refusal != nil && r.refusal.retryAfter == 0 {
		r.refusal.retryAfter = ownerRetryAfter
	}
	return r
}

// preferredResult returns the better of two results: a response of the target before an unknown outcome, and that before a refusal,
// because a refusal is only true if no earlier attempt may have run the request.
func preferredResult(last, res *result) *result {
	if last == nil || res.status != 0 && (res.status < 500 || last.status == 0) {
		return res
	}
	if last.refusal != nil {
		return res
	}
	return last
}

// selectTarget selects the host to which the request is sent.
func (e *entrance) selectTarget(ctx context.Context, x *exchange, tried map[string]bool) (*fleet.Target, *refusal) {
	if x.key >= 0 {
		return e.selectOwner(ctx, x)
	}
	now := e.clock.Now()
	view := e.state.view.Load()
	candidates := e.pooledCandidates(view, x.service)
	i, moveCost := e.pool.Choose(now, candidates, x.selectionCriteria(), tried)
	x.moveCost = moveCost
	if x.slowTarget != nil && (i < 0 || x.tries == maxHostsPerRequest) {
		t := x.slowTarget
		x.slowTarget, x.mustRun = nil, true
		return t, nil
	}
	if i < 0 {
		return nil, &refusal{answer.NoOwner, ownerRetryAfter, "no_target"}
	}
	return view.Targets[candidates[i].Host], nil
}

// pooledCandidates returns the targets of the service that may get a request.
func (e *entrance) pooledCandidates(view *fleet.View, service string) []ingress.Candidate {
	var candidates []ingress.Candidate
	for _, t := range view.Targets {
		if t.Service != service || t.State != fleet.Serving && t.State != fleet.Revoked || t.Departing {
			continue
		}
		if _, out := e.state.evacuatedSince(t.Zone); !out {
			candidates = append(candidates, ingress.Candidate{Host: t.Host, Zone: t.Zone, Slots: t.Slots})
		}
	}
	return candidates
}

// selectOwner returns the host that owns the key. If the key is being moved, it waits until ownerWaitFraction of the objective is over.
func (e *entrance) selectOwner(ctx context.Context, x *exchange) (*fleet.Target, *refusal) {
	for {
		now := e.clock.Now()
		changed := e.state.nextChange()
		view := e.state.view.Load()
		row, ok := view.FindRow(x.service, x.key)
		if ok {
			if t := view.Targets[row.Owner.Host]; t != nil && t.Term == row.Owner.Term && t.State != fleet.Down && t.State != fleet.Revoked {
				if pause := e.pool.EjectedFor(now, t.Host); pause > 0 && t.Host != e.settings.Host {
					return nil, &refusal{answer.TargetDown, max(pause, minRetryAfter), "owner_unreachable"}
				}
				return t, nil
			}
		}
		wait := x.arrived.Add(time.Duration(ownerWaitFraction * float64(x.route.Objective))).Sub(now)
		if wait <= 0 {
			return nil, &refusal{answer.NoOwner, ownerRetryAfter, "no_owner"}
		}
		if refused := waitForChange(ctx, changed, wait); refused != nil {
			return nil, refused
		}
	}
}

// waitForChange waits until the channel is closed, the time is over or the context ends, which it reports as a refusal.
func waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) *refusal {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return contextRefusal(ctx)
	}
	return nil
}

// contextRefusal returns the refusal of a request whose context ended before it was sent. The context of another node's request has
// the deadline that the relay set.
func contextRefusal(ctx context.Context) *refusal {
	reason := "caller_left"
	if cause := context.Cause(ctx); errors.Is(cause, errDeadline) || errors.Is(cause, context.DeadlineExceeded) {
		reason = "deadline"
	}
	return &refusal{answer.Deadline, 0, reason}
}

// shouldRetry decides whether the request is sent again after the result. If so, it draws on the retry budget and excludes the host.
func (e *entrance) shouldRetry(ctx context.Context, x *exchange, t *fleet.Target, res *result, tried map[string]bool) bool {
	now := e.clock.Now()
	reason := ""
	switch {
	case res.refusal != nil:
		return e.shouldRetryRefused(ctx, x, t, res.refusal, tried)
	case res.err != nil:
		reason = "broken"
	case res.status == http.StatusInternalServerError:
		reason = "failed"
	default:
		return false
	}
	if !x.retryable() || x.deadline.Sub(now) < x.route.Objective/4 || !e.retryBudget(x.service).Allow(now) {
		return false
	}
	tried[t.Host] = true
	e.recordRetry(x, t, reason)
	return true
}

// shouldRetryRefused decides whether a request that has not run is sent again.
func (e *entrance) shouldRetryRefused(ctx context.Context, x *exchange, t *fleet.Target, r *refusal, tried map[string]bool) bool {
	now := e.clock.Now()
	if x.stream != nil || now >= x.deadline {
		return false
	}
	if r.kind == answer.TargetRefused {
		// The target counts this request as an arrival, so another one draws on the retry budget.
		if x.dispatched >= x.route.MaxAttempts || !e.retryBudget(x.service).Allow(now) {
			return false
		}
		tried[t.Host] = x.key < 0
		e.recordRetry(x, t, "target_refused")
		return true
	}
	if x.key >= 0 {
		// Only the owner can serve the key, and the owner may have changed.
		if r.kind != answer.NotOwner && r.kind != answer.Draining || x.tries >= maxHostsPerRequest {
			return false
		}
		return e.waitForNewOwner(ctx, x, t)
	}
	if r.reason == reasonCallsRefused {
		return false // Its calls would be refused at another host, too.
	}
	tried[t.Host] = true
	if r.reason == reasonTargetSlow && x.slowTarget == nil {
		x.slowTarget = t
	}
	return r.kind != answer.Quarantined && r.kind != answer.Deadline
}

// waitForNewOwner waits for a view in which the key has another owner than the host that refused.
func (e *entrance) waitForNewOwner(ctx context.Context, x *exchange, t *fleet.Target) bool {
	limit := x.arrived.Add(time.Duration(ownerWaitFraction * float64(x.route.Objective)))
	for {
		changed := e.state.nextChange()
		if row, ok := e.state.view.Load().FindRow(x.service, x.key); ok && row.Owner.Host != t.Host {
			return true
		}
		wait := limit.Sub(e.clock.Now())
		if wait <= 0 || waitForChange(ctx, changed, wait) != nil {
			return false
		}
	}
}

func (e *entrance) recordRetry(x *exchange, t *fleet.Target, reason string) {
	e.metrics.countRetry(reason)
	e.lines.logLimited(func(l *logger) {
		e.addRequestFields(event.RequestRetried.On(l), x, &result{host: t.Host}).Str("reason", reason).Int("budget_left", e.retryBudget(x.service).Remaining(e.clock.Now())).Send()
	})
}

// send sends the request to a host.
func (e *entrance) send(ctx context.Context, x *exchange, t *fleet.Target) *result {
	now := e.clock.Now()
	head := e.requestHead(x, now)
	e.pool.RecordSent(t.Host)
	var res *result
	var load *ingress.Load
	if t.Host == e.settings.Host {
		res = e.sendLocal(ctx, x, head)
		if x.key < 0 && res.refusal == nil {
			load = parseLoad(e.gate.loadHeader().Value)
		}
	} else {
		res, load = e.sendRemote(ctx, x, t, head)
	}
	if errors.Is(res.err, relay.ErrWithdrawn) { // It waited for this host's link, which says nothing of the other host.
		e.pool.RecordResponse(e.clock.Now(), t.Host, nil)
		return &result{refusal: contextRefusal(ctx)}
	}
	if errors.Is(res.err, relay.ErrNotSent) {
		return &result{refusal: e.refuseNotSent(ctx, t, now)}
	}
	if res.refusal == nil || res.refusal.kind == answer.TargetRefused {
		x.dispatched++
	}
	e.pool.RecordResponse(e.clock.Now(), t.Host, load)
	return res
}

// refuseNotSent returns the refusal of a request that could not be sent to the host since the instant. Unless the caller gave up
// early, the host counts as unreachable.
func (e *entrance) refuseNotSent(ctx context.Context, t *fleet.Target, since clock.Instant) *refusal {
	now := e.clock.Now()
	if ctx.Err() != nil && now.Sub(since) < unreachableAfter {
		e.pool.RecordResponse(now, t.Host, nil)
		return contextRefusal(ctx)
	}
	pause := e.pool.RecordUnreachable(now, t.Host)
	return &refusal{answer.TargetDown, max(pause, minRetryAfter), "host_unreachable"}
}

func (e *entrance) requestHead(x *exchange, now clock.Instant) *wire.RequestHead {
	head := &wire.RequestHead{
		Service: x.service, Method: x.method, Path: x.path, Headers: relay.FromHTTP(x.header),
		TimeoutMs:     max(1, x.deadline.Sub(now).Milliseconds()),
		ContentLength: x.length, Entrance: e.settings.Node, Route: x.route.Name, Rank: int32(max(x.rank, x.callRank)),
		ObjectiveMs: x.route.Objective.Milliseconds(), ElapsedMs: (now.Sub(x.arrived) + x.priorWait).Milliseconds(),
		Repeatable: x.route.Kind.Repeatable(), CallerService: e.settings.Service, RequestId: x.id,
	}
	if x.key >= 0 {
		head.Key = strconv.Itoa(x.key)
	} else if x.stream == nil && x.tries <= maxHandoffs && !x.mustRun {
		head.MoveCostUs = x.moveCost.Microseconds()
	}
	return head
}

// sendLocal sends the request to the target on the local host.
func (e *entrance) sendLocal(ctx context.Context, x *exchange, head *wire.RequestHead) *result {
	a, refused, err := e.gate.serve(ctx, head, x.localBodyReader())
	if refused != nil || err != nil {
		return &result{refusal: refused, err: err}
	}
	return &result{status: a.Status, header: platform.ForwardResponseHeaders(a.Header), body: a.Body, stream: a.Rest, length: a.Length, statedLength: a.StatedLength}
}

// sendRemote sends the request to the target on another host.
func (e *entrance) sendRemote(ctx context.Context, x *exchange, t *fleet.Target, head *wire.RequestHead) (*result, *ingress.Load) {
	response, err := e.relay.Do(ctx, t.Relay, &relay.Request{Head: head, Body: x.bodyReader()})
	if err != nil {
		return &result{err: err}, nil
	}
	header := http.Header{}
	relay.ToHTTP(response.Head.Headers, header)
	load := parseLoad(header.Get(headerLoad))
	header.Del(headerLoad)
	r, err := remoteRefusal(header)
	if err != nil {
		_ = response.Body.Close() // It is a problem description.
		return &result{err: err}, load
	}
	if r != nil {
		_ = response.Body.Close() // It is empty or a problem description.
		if load != nil && r.kind != answer.NotOwner && r.reason != reasonTargetSlow {
			load.Outstanding = max(load.Outstanding, refusedLoadFactor*load.Slots)
		}
		return &result{refusal: r}, load
	}
	res := &result{status: int(response.Head.Status), header: header, length: response.Head.ContentLength}
	if stated := header.Get(headerStatedLength); stated != "" {
		if res.statedLength, err = strconv.ParseInt(stated, 10, 64); err != nil {
			return &result{err: err}, load
		}
		header.Del(headerStatedLength)
	}
	if x.key < 0 && res.status < http.StatusMultipleChoices && res.length >= 0 {
		e.pool.RecordResponseSize(x.selectionCriteria(), res.length)
	}
	if res.length < 0 || res.length > upstream.MaxBuffered || !x.reserveResponse(res.length, relayWindowBytes) {
		res.stream = response.Body
		return res, load
	}
	defer response.Body.Close()
	res.body, err = readExact(response.Body, res.length)
	if err != nil {
		return &result{err: err}, load
	}
	return res, load
}

// readExact reads a response body, which must have exactly the stated length.
func readExact(body io.Reader, length int64) ([]byte, error) {
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, fmt.Errorf("response body ended early: %w", err)
	}
	if n, err := body.Read(make([]byte, 1)); n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("response body is longer than its stated length, or reading its end failed: %w", err)
	}
	return data, nil
}

// loadFieldCount is the largest number of comma-separated fields in headerLoad. The last one, the remaining work in microseconds,
// is left out by nodes that don't know it.
const loadFieldCount = 7

// parseLoad parses the value of headerLoad. It returns nil if the value is malformed. Fields beyond those known are ignored,
// so that later versions may add some.
func parseLoad(text string) *ingress.Load {
	parts := strings.Split(text, ",")
	if len(parts) < loadFieldCount-1 {
		return nil
	}
	parts = parts[:min(len(parts), loadFieldCount)]
	var fields [loadFieldCount]int
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
		RemainingWork: time.Duration(fields[6]) * time.Microsecond, WorkKnown: len(parts) == loadFieldCount,
	}
}
