package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cost"
	"github.com/citronvane/citronvane/internal/demand"
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/memory"
	"github.com/citronvane/citronvane/internal/nested"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
)

const (
	// evacuateMargin is how long before the platform's evacuation deadline the target gets its last request.
	evacuateMargin = 2 * time.Second
	// zoneReturnColdTime is how long a target counts as cold after its zone returned to service, unless a heartbeat reports
	// otherwise.
	zoneReturnColdTime = 1500 * time.Millisecond
	// grantSlack is added to the expected time of the next heartbeat, whose response carries a new grant.
	grantSlack = 60 * time.Millisecond
	// keyWaitShare is the share of its latency objective that a request may wait for its key to be granted.
	keyWaitShare = 0.6
	// minRemaining is the minimum time left to the deadline for a request to start.
	minRemaining = 5 * time.Millisecond
)

// refusal is citronvane's own response to a request that has not run.
type refusal struct {
	kind       answer.Kind
	retryAfter time.Duration
	reason     string
}

// job is a request that waits for the host's target or runs there.
type job struct {
	head         *wire.RequestHead
	key          int
	deadline     clock.Instant
	softDeadline clock.Instant // end of the latency objective
	arrived      clock.Instant
	body         heldBody
	stream       io.Reader
	fingerprint  uint64
}

// objective returns the latency objective of the request's route.
func (j *job) objective() time.Duration { return time.Duration(j.head.ObjectiveMs) * time.Millisecond }

// gate admits requests to the host's target and proxies them. Every request to the target passes through it.
type gate struct {
	*node
	dispatch      *dispatch.Controller
	link          *dispatch.Link
	linkScheduler *dispatch.ChunkScheduler
	demand        demand.Meter
	// calls tracks the requests that the target makes while it runs others.
	calls *nested.Tracker
	costs *cost.Predictor // nil if costs are not predicted; guarded by dispatch
	// overloaded counts requests refused for overload since the last control tick.
	overloaded atomic.Int64
}

func newGate(n *node) *gate {
	g := &gate{node: n, link: dispatch.NewLink(n.settings.LinkMbps), calls: nested.NewTracker()}
	g.dispatch = dispatch.NewController(n.clock, 1, g.probeTarget)
	g.linkScheduler = dispatch.NewChunkScheduler(n.clock, g.link.BytesPerSecond())
	g.startCostPrediction()
	return g
}

// applyConfig applies a new configuration.
func (g *gate) applyConfig(c *ingress.Config) {
	names := c.RouteNames()
	g.link.RetainRoutes(names)
	g.calls.Retain(names, c.MostUrgentRank())
	own, stated := c.Services[g.settings.Service]
	g.dispatch.Update(func(_ clock.Instant, core *dispatch.Scheduler) {
		core.RetainRoutes(names)
		if stated {
			core.SetColdRate(own.ColdPerSecond)
		}
	})
}

// zoneReturned treats the target as cold after its zone returned to service, because it may have gone cold meanwhile.
func (g *gate) zoneReturned() {
	g.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) { core.SetColdUntil(now, now.Add(zoneReturnColdTime)) })
}

// ServeRelay serves requests and control messages from other nodes.
func (g *gate) ServeRelay(ctx context.Context, r *relay.Request, w relay.ResponseWriter) error {
	control := r.Head.Service == "" // A caller's request names a service and may have any method.
	if control && r.Head.Method == methodQuota {
		return g.quotas.serveMessage(r.Body, w)
	}
	if control && (r.Head.Method == methodPoll || r.Head.Method == methodReport || r.Head.Method == methodOperatorState) {
		data, err := g.handleMessage(ctx, r.Head, r.Body)
		if err != nil {
			return err
		}
		if err := w.WriteHead(&wire.ResponseHead{Status: http.StatusOK, ContentLength: int64(len(data))}); err != nil {
			return err
		}
		_, err = w.Write(data)
		return err
	}
	softDeadline := g.clock.Now().Add(time.Duration(r.Head.ObjectiveMs-r.Head.ElapsedMs) * time.Millisecond)
	hold := memory.Hold{Account: g.account}
	defer hold.Release()
	body, refused := g.holdBody(ctx, r.Head, r.Body, &hold)
	var a *upstream.Answer
	var err error
	if refused == nil {
		a, refused, err = g.serve(memory.WithHold(ctx, &hold), r.Head, body)
	} else {
		g.metrics.countRefusal("gate", refused.reason)
	}
	if err != nil {
		return err
	}
	if refused != nil {
		return &relay.NotRun{Head: &wire.ResponseHead{Status: http.StatusServiceUnavailable, Headers: refused.headers(g.loadHeader())}}
	}
	return g.writeResponse(r.Head.Route, a, &scheduledWriter{w, g.linkScheduler, func(n int) error { return g.linkScheduler.Wait(ctx, n, softDeadline) }})
}

// writeResponse sends the target's response to the requesting node.
func (g *gate) writeResponse(route string, a *upstream.Answer, w relay.ResponseWriter) error {
	g.link.RecordSent(g.clock.Now(), route, max(a.Length, int64(len(a.Body))))
	head := &wire.ResponseHead{Status: int32(a.Status), ContentLength: a.Length}
	head.Headers = append(relay.FromHTTP(removeNodeHeaders(platform.ForwardResponseHeaders(a.Header))), g.loadHeader())
	if a.StatedLength != 0 {
		head.Headers = append(head.Headers, &wire.Header{Name: headerStatedLength, Value: strconv.FormatInt(a.StatedLength, 10)})
	}
	if err := w.WriteHead(head); err != nil {
		return err
	}
	if a.Rest == nil {
		_, err := w.Write(a.Body)
		return err
	}
	defer a.Rest.Close()
	n, err := io.Copy(w, a.Rest)
	if err == nil && a.Length >= 0 && n != a.Length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// Response headers between nodes.
const (
	headerRefusal = "Citronvane-Refusal"
	headerReason  = "Citronvane-Reason"
	headerAfter   = "Citronvane-After-Ms"
	headerLoad    = "Citronvane-Load"
	// headerStatedLength holds the length that the answer to a HEAD request states, -1 if it states none.
	headerStatedLength = "Citronvane-Stated-Length"
)

func (r *refusal) headers(load *wire.Header) []*wire.Header {
	return []*wire.Header{
		{Name: headerRefusal, Value: string(r.kind)},
		{Name: headerReason, Value: r.reason},
		{Name: headerAfter, Value: strconv.FormatInt(r.retryAfter.Milliseconds(), 10)},
		load,
	}
}

func (g *gate) loadHeader() *wire.Header {
	s, _ := g.dispatch.Stats()
	value := strconv.Itoa(s.Running + s.Waiting)
	for _, field := range []int64{int64(s.Slots), int64(s.MeanServiceTime * 1e6), g.link.QueueDelay(g.clock.Now()).Microseconds(), int64(g.link.BytesPerSecond()), int64(s.Slowdown * 1e3)} {
		value += "," + strconv.FormatInt(field, 10)
	}
	if s.WorkKnown {
		value += "," + strconv.FormatInt(int64(s.RemainingWork*1e6), 10)
	}
	return &wire.Header{Name: headerLoad, Value: value}
}

// serve runs a request at the target or refuses it. An error means that the outcome is unknown.
func (g *gate) serve(ctx context.Context, head *wire.RequestHead, body io.Reader) (*upstream.Answer, *refusal, error) {
	j, refused, err := g.newJob(head, body)
	if refused == nil && err == nil {
		refused = g.checkServable(ctx, j)
	}
	if refused != nil || err != nil {
		g.countRefusal(j, refused)
		return nil, refused, err
	}
	ticket, refused := g.admit(ctx, j)
	if refused != nil {
		g.countRefusal(j, refused)
		return nil, refused, nil
	}
	return g.run(ctx, j, ticket)
}

func (g *gate) countRefusal(j *job, r *refusal) {
	if r != nil && j != nil {
		g.metrics.countRefusal("gate", r.reason)
	}
}

// newJob parses a relayed request. A body that is not held in memory is streamed.
func (g *gate) newJob(head *wire.RequestHead, body io.Reader) (*job, *refusal, error) {
	now := g.clock.Now()
	elapsed := time.Duration(head.ElapsedMs) * time.Millisecond
	j := &job{
		head: head, key: -1, arrived: now,
		deadline:     now.Add(time.Duration(head.TimeoutMs) * time.Millisecond),
		softDeadline: now.Add(time.Duration(head.ObjectiveMs)*time.Millisecond - elapsed),
	}
	if head.Key != "" {
		key, err := strconv.Atoi(head.Key)
		if err != nil {
			return j, &refusal{answer.BadRequest, 0, "key"}, nil
		}
		j.key = key
	}
	if held, ok := body.(*heldReader); ok {
		j.body = *held.body
	} else {
		j.stream = body
	}
	// The caller's service is left out: it follows from the host that took the request, and a retry may come at another one.
	h := xxhash.New()
	for _, part := range []string{head.Service, head.Method, head.Path, head.Key} {
		_, _ = h.WriteString(part) // A hash.Hash never returns an error.
		_, _ = h.WriteString("\x00")
	}
	for _, piece := range j.body.pieces {
		_, _ = h.Write(piece)
	}
	j.fingerprint = h.Sum64()
	return j, nil, nil
}

// checkServable refuses requests that the target must not receive, and waits for a key that is about to be granted.
func (g *gate) checkServable(ctx context.Context, j *job) *refusal {
	for {
		now := g.clock.Now()
		o := g.state.localTarget.Load()
		quarantine := g.crashes.quarantineRemaining(now, j.fingerprint)
		switch {
		case j.head.Service != g.settings.Service:
			return &refusal{answer.NotOwner, 0, "other_service"}
		case quarantine > 0:
			return &refusal{answer.Quarantined, quarantine, "quarantined"}
		case now < o.usableAt:
			return &refusal{answer.Moving, o.usableAt.Sub(now), "departure_uncertain"}
		case !o.serving && !(j.key >= 0 && o.holdsKey(now, j.key) && !g.targetEnded(o)):
			return &refusal{answer.Draining, 0, "target_" + unavailableReason(o)}
		case !g.callerIsLocal(j) && g.endsBefore(now, j.deadline): // The entrance has checked those of local callers.
			return &refusal{answer.Draining, 0, "node_stops"}
		case g.zoneEvacuated(now):
			return &refusal{answer.ZoneOut, 0, "zone_out"}
		case j.head.MoveCostUs > 0 && g.shouldMove(j):
			return &refusal{answer.Shed, 0, reasonTargetSlow}
		case j.key < 0 || o.holdsKey(now, j.key):
			return nil
		}
		if refused := g.waitForKey(ctx, j, now, o); refused != nil {
			return refused
		}
	}
}

func unavailableReason(o *localTarget) string {
	switch o.notServingReason {
	case "the target has ended":
		return "ended"
	case "the target is leaving":
		return "leaving"
	}
	return "unknown"
}

func (g *gate) targetEnded(o *localTarget) bool { return o.notServingReason == "the target has ended" }

// keyWaitDeadline returns until when the request may wait for its key to be granted. A request that is past its objective may
// still wait half as long as a new one, since a waiting request delays no other.
func (j *job) keyWaitDeadline() clock.Instant {
	return j.arrived.Add(time.Duration(keyWaitShare * float64(max(j.softDeadline.Sub(j.arrived), j.objective()/2))))
}

// waitForKey waits for the key to be granted, if the grant is expected in time.
func (g *gate) waitForKey(ctx context.Context, j *job, now clock.Instant, o *localTarget) *refusal {
	row, ok := g.state.view.Load().FindRow(j.head.Service, j.key)
	if !ok || row.Owner.Host != g.settings.Host || !row.NextOwner.IsZero() {
		return &refusal{answer.NotOwner, 0, "not_owner"}
	}
	wait := max(o.nextHeartbeat.Sub(now), 0) + grantSlack
	limit := j.keyWaitDeadline()
	if now.Add(wait) > limit {
		return &refusal{answer.Moving, wait, "not_granted_yet"}
	}
	changed := g.state.nextChange()
	if g.state.localTarget.Load() != o {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
		if g.clock.Now() > limit {
			return &refusal{answer.Moving, wait, "not_granted_yet"}
		}
	case <-ctx.Done():
		return contextRefusal(ctx)
	}
	return nil
}

// zoneEvacuated reports whether the zone has been out of service for so long that no request may reach the target any more.
func (g *gate) zoneEvacuated(now clock.Instant) bool {
	since, out := g.state.evacuatedSince(g.settings.AvailabilityZone)
	return out && now.Sub(since) > g.bounds.EvacuationPeriod-evacuateMargin
}

// admit waits for a concurrency slot of the target.
func (g *gate) admit(ctx context.Context, j *job) (*dispatch.Ticket, *refusal) {
	if refused := g.refuseForCalls(j); refused != nil {
		return nil, refused
	}
	objective := j.objective()
	_, serviceTimes := g.dispatch.Stats()
	serviceTime, known := serviceTimes[j.head.Route]
	if !known {
		serviceTime = objective.Seconds() / 3
	}
	g.demand.Add(j.arrived, j.key, serviceTime)
	transferDelay := time.Duration(0) // of the response, over the host's link
	deadline := j.deadline
	if !g.callerIsLocal(j) {
		transferDelay = g.link.TransferDelay(j.arrived, j.head.Route, time.Duration(serviceTime*float64(time.Second)))
		deadline = deadline.Add(-transferDelay - returnTime)
	}
	ticket, refused, err := g.dispatch.Acquire(ctx, dispatch.Request{
		Route: j.head.Route, Tenant: g.tenantOf(j.head), Priority: int(j.head.Rank), Objective: objective, Deadline: deadline,
		SoftDeadline: min(j.softDeadline.Add(-transferDelay), deadline), // A caller may wait for less than the objective.
		Features:     g.features(j),
	})
	if err != nil {
		return nil, contextRefusal(ctx)
	}
	if refused != nil {
		kind := answer.Shed
		if refused.Reason == dispatch.Cold {
			kind = answer.Cold
		} else {
			g.overloaded.Add(1)
		}
		return nil, &refusal{kind, refused.RetryAfter, string(refused.Reason)}
	}
	// Checks again, because the process may have been suspended while the request waited.
	now := g.clock.Now()
	o := g.state.localTarget.Load()
	if now.Add(minRemaining) > j.deadline || ctx.Err() != nil || g.zoneEvacuated(now) || j.key >= 0 && !o.holdsKey(now, j.key) || j.key < 0 && !o.serving {
		g.dispatch.Release(ticket, false, 0)
		return nil, &refusal{answer.Deadline, 0, "changed_while_waiting"}
	}
	return ticket, nil
}

// callerIsLocal reports whether the request came from this host, so that its response does not use the host's link.
func (g *gate) callerIsLocal(j *job) bool { return j.head.Entrance == g.settings.Node }

// run sends the request to the target and returns its response.
func (g *gate) run(ctx context.Context, j *job, ticket *dispatch.Ticket) (*upstream.Answer, *refusal, error) {
	o := g.state.localTarget.Load()
	header := http.Header{}
	relay.ToHTTP(j.head.Headers, header)
	host := header.Get("Host")
	header.Del("Host")
	g.stripAuthorization(header)
	platform.SetTargetHeaders(header, o.instance, j.deadline.Sub(g.clock.Now()))
	request := &upstream.Request{
		Method: j.head.Method, Path: j.head.Path, Header: header, Host: host, Stream: j.stream, Length: j.head.ContentLength, Reserve: reserveAnswer(ctx),
		Once: !j.head.Repeatable, ID: j.head.RequestId, Fresh: j.head.RequestId == "", Deadline: time.Now().Add(j.deadline.Sub(g.clock.Now())), Belongs: platform.MatchRequestID(j.head.RequestId),
	}
	if body, ok := j.body.contiguous(); ok {
		request.Body = body
	} else {
		request.Stream = j.body.reader()
	}
	g.crashes.beginRun(g.clock.Now(), j.fingerprint, j.head.RequestId)
	if !g.callerIsLocal(j) {
		defer g.link.End(g.link.Begin(j.head.Route))
	}
	if j.stream != nil {
		var end func()
		ctx, end = g.guardSlot(ctx, j)
		request.Stream = j.stream
		defer end()
	}
	started := g.clock.Now()
	g.calls.Begin(j.head.RequestId, j.head.Route, int(j.head.Rank))
	a, err := g.upstream.Do(ctx, request)
	g.calls.End(g.clock.Now(), j.head.RequestId, j.head.Route, int(j.head.Rank))
	var meta platform.Response
	if err == nil {
		meta = platform.ReadResponse(a.Status, a.Header)
	}
	g.crashes.endRun(g.clock.Now(), j.fingerprint, outcomeOf(a, meta, err))
	g.dispatch.Release(ticket, err == nil && !meta.NotExecuted && !meta.Misdirected, meta.ServiceTimeRatio)
	g.metrics.recordRun(j.head.Route, g.clock.Now().Sub(started), err)
	if err != nil {
		if refused := g.classifyFailure(j, o, err); refused != nil {
			return nil, refused, nil
		}
		return nil, nil, err
	}
	switch {
	case meta.Misdirected:
		closeBody(a)
		return nil, &refusal{answer.NotOwner, 0, "target_not_owner"}, nil
	case meta.NotExecuted:
		closeBody(a)
		return nil, &refusal{answer.TargetRefused, minRetryAfter, "target_refused"}, nil
	case a.Status < 300 && (!meta.Signed || meta.Encoded):
		closeBody(a)
		return nil, nil, upstream.ErrBroken
	}
	return a, nil, nil
}

// outcomeOf returns what the end of a run says about the request.
func outcomeOf(a *upstream.Answer, meta platform.Response, err error) runOutcome {
	switch {
	case errors.Is(err, upstream.ErrBroken):
		return runBroken
	case err == nil && !meta.NotExecuted && meta.Signed && a.Rest == nil:
		return runCompleted
	}
	return runEnded
}

// classifyFailure returns a refusal if a request that failed has certainly not run, and nil if it may have run.
func (g *gate) classifyFailure(j *job, o *localTarget, err error) *refusal {
	g.lines.logLimited(func(l *logger) {
		event.TargetRequestFailed.On(l).Str("id", j.head.RequestId).Str("instance", o.instance).Int("key", j.key).Err(err).Send()
	})
	if errors.Is(err, upstream.ErrBroken) || errors.Is(err, upstream.ErrNotSent) {
		g.post(func(clock.Instant) { g.member.connectionBroken = true })
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return &refusal{answer.TargetDown, minRetryAfter, "target_down"}
	}
	return nil
}

func closeBody(a *upstream.Answer) {
	if a.Rest != nil {
		_ = a.Rest.Close() // The connection is discarded.
	}
}
