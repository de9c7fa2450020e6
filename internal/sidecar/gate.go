package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/demand"
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
)

const (
	// evacuateMargin is how long before the platform's bound an evacuated target gets its last request.
	evacuateMargin = 2 * time.Second
	// returnCold is how long a target whose zone has returned counts as cold until a heartbeat says otherwise.
	returnCold = 1500 * time.Millisecond
	// grantSlack is added to the time of the next heartbeat, which carries a new grant.
	grantSlack = 60 * time.Millisecond
	// parkShare is the part of its objective that a request waits for its key to be granted.
	parkShare = 0.6
	// crashMemory is how long a request counts as running after its connection broke, until the target's end is known.
	crashMemory = 3 * time.Second
	// quarantineTime is how long a node refuses a request that crashes targets.
	quarantineTime = 60 * time.Second
	// minLeft is the time below which a request is not worth starting.
	minLeft = 5 * time.Millisecond
)

// refusal is an answer of citronvane to a request that has not run.
type refusal struct {
	kind   answer.Kind
	after  time.Duration
	reason string
}

// job is a request in front of the target.
type job struct {
	head     *wire.RequestHead
	key      int
	deadline clock.Instant
	aim      clock.Instant
	arrived  clock.Instant
	body     []byte
	stream   io.Reader
	print    uint64
}

// objective returns the latency objective of the request's route.
func (j *job) objective() time.Duration { return time.Duration(j.head.ObjectiveMs) * time.Millisecond }

// gate is the only path to the host's target.
type gate struct {
	*node
	dispatch *dispatch.Controller
	link     *dispatch.Link
	lane     *dispatch.ChunkScheduler
	demand   demand.Meter
	// overloaded counts requests refused for overload since the last control tick.
	overloaded atomic.Int64

	mu sync.Mutex
	// running counts requests at the target by fingerprint; broken holds those whose connection broke lately.
	running map[uint64]int
	broken  map[uint64]clock.Instant
	crashed map[uint64]int
	// quarantine holds until when fingerprints are refused.
	quarantine map[uint64]clock.Instant
}

func newGate(n *node) *gate {
	g := &gate{
		node: n, link: dispatch.NewLink(n.settings.LinkMbps),
		running: map[uint64]int{}, broken: map[uint64]clock.Instant{}, crashed: map[uint64]int{}, quarantine: map[uint64]clock.Instant{},
	}
	g.dispatch = dispatch.NewController(n.clock, 1, g.askPace)
	g.lane = dispatch.NewChunkScheduler(n.clock, g.link.BytesPerSecond())
	return g
}

// configured takes a new configuration.
func (g *gate) configured(c *ingress.Config) {
	names := c.RouteNames()
	g.link.RetainRoutes(names)
	own, stated := c.Services[g.settings.Service]
	g.dispatch.Update(func(_ clock.Instant, core *dispatch.Scheduler) {
		core.RetainRoutes(names)
		if stated {
			core.SetColdRate(own.ColdPerSecond)
		}
	})
}

// returned treats the target as cold, because its zone has just returned and may have become cold meanwhile.
func (g *gate) returned() {
	g.dispatch.Update(func(now clock.Instant, core *dispatch.Scheduler) { core.SetColdUntil(now, now.Add(returnCold)) })
}

// ServeRelay serves requests and messages of other nodes.
func (g *gate) ServeRelay(ctx context.Context, r *relay.Request, w relay.ResponseWriter) error {
	if r.Head.Method == methodPoll || r.Head.Method == methodReport {
		data, err := g.message(ctx, r.Head, r.Body)
		if err != nil {
			return err
		}
		if err := w.WriteHead(&wire.ResponseHead{Status: http.StatusOK, ContentLength: int64(len(data))}); err != nil {
			return err
		}
		_, err = w.Write(data)
		return err
	}
	aim := g.clock.Now().Add(time.Duration(r.Head.ObjectiveMs-r.Head.ElapsedMs) * time.Millisecond)
	a, refused, err := g.serve(ctx, r.Head, r.Body)
	if err != nil {
		return err
	}
	if refused != nil {
		return w.WriteHead(&wire.ResponseHead{Status: http.StatusServiceUnavailable, Headers: refused.headers(g.loadHeader())})
	}
	return g.write(r.Head.Route, a, &lanedWriter{w, g.lane, func(n int) error { return g.lane.Wait(ctx, n, aim) }})
}

// write sends the target's answer.
func (g *gate) write(route string, a *upstream.Answer, w relay.ResponseWriter) error {
	g.link.RecordSent(g.clock.Now(), route, max(a.Length, int64(len(a.Body))))
	head := &wire.ResponseHead{Status: int32(a.Status), ContentLength: a.Length}
	head.Headers = append(relay.FromHTTP(platform.ForwardResponseHeaders(a.Header)), g.loadHeader())
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

// Headers between nodes.
const (
	headerRefusal = "Citronvane-Refusal"
	headerReason  = "Citronvane-Reason"
	headerAfter   = "Citronvane-After-Ms"
	headerLoad    = "Citronvane-Load"
)

func (r *refusal) headers(load *wire.Header) []*wire.Header {
	return []*wire.Header{
		{Name: headerRefusal, Value: string(r.kind)},
		{Name: headerReason, Value: r.reason},
		{Name: headerAfter, Value: strconv.FormatInt(r.after.Milliseconds(), 10)},
		load,
	}
}

func (g *gate) loadHeader() *wire.Header {
	s, _ := g.dispatch.Stats()
	value := strconv.Itoa(s.Running + s.Waiting)
	for _, field := range []int64{int64(s.Slots), int64(s.MeanServiceTime * 1e6), g.link.QueueDelay(g.clock.Now()).Microseconds(), int64(g.link.BytesPerSecond()), int64(s.Slowdown * 1e3)} {
		value += "," + strconv.FormatInt(field, 10)
	}
	return &wire.Header{Name: headerLoad, Value: value}
}

// serve runs a request at the target, or refuses it. An error means that its outcome is unknown.
func (g *gate) serve(ctx context.Context, head *wire.RequestHead, body io.Reader) (*upstream.Answer, *refusal, error) {
	j, refused, err := g.accept(head, body)
	if refused == nil && err == nil {
		refused = g.check(ctx, j)
	}
	if refused != nil || err != nil {
		g.refused(j, refused)
		return nil, refused, err
	}
	ticket, refused := g.admit(ctx, j)
	if refused != nil {
		g.refused(j, refused)
		return nil, refused, nil
	}
	return g.run(ctx, j, ticket)
}

func (g *gate) refused(j *job, r *refusal) {
	if r != nil && j != nil {
		g.metrics.refused("gate", r.reason)
	}
}

// accept reads the request.
func (g *gate) accept(head *wire.RequestHead, body io.Reader) (*job, *refusal, error) {
	now := g.clock.Now()
	elapsed := time.Duration(head.ElapsedMs) * time.Millisecond
	j := &job{
		head: head, key: -1, arrived: now,
		deadline: now.Add(time.Duration(head.TimeoutMs) * time.Millisecond),
		aim:      now.Add(time.Duration(head.ObjectiveMs)*time.Millisecond - elapsed),
	}
	if head.Key != "" {
		key, err := strconv.Atoi(head.Key)
		if err != nil {
			return j, &refusal{answer.BadRequest, 0, "key"}, nil
		}
		j.key = key
	}
	switch {
	case body == nil:
	case head.ContentLength >= 0 && head.ContentLength <= maxBuffered:
		data, err := io.ReadAll(io.LimitReader(body, maxBuffered+1))
		if err != nil || int64(len(data)) != head.ContentLength {
			return j, &refusal{answer.Draining, 0, "body_lost"}, nil // The entrance gave up; nothing has run.
		}
		j.body = data
	default:
		j.stream = body
	}
	h := xxhash.New()
	for _, part := range []string{head.CallerService, head.Service, head.Method, head.Path, head.Key} {
		_, _ = h.WriteString(part) // It never returns an error.
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(j.body)
	j.print = h.Sum64()
	return j, nil, nil
}

// check refuses what the target must not get, and waits for a key that is about to be granted.
func (g *gate) check(ctx context.Context, j *job) *refusal {
	for {
		now := g.clock.Now()
		o := g.state.own.Load()
		switch {
		case j.head.Service != g.settings.Service:
			return &refusal{answer.NotOwner, 0, "other_service"}
		case g.quarantined(now, j.print):
			return &refusal{answer.Quarantined, maxRetryAfter, "quarantined"}
		case !o.serving && !(j.key >= 0 && o.grants(now, j.key) && !g.targetGone(o)):
			return &refusal{answer.Draining, 0, "target_" + reasonOf(o)}
		case g.endsBefore(j):
			return &refusal{answer.Draining, 0, "node_stops"}
		case g.evacuated(now):
			return &refusal{answer.ZoneOut, 0, "zone_out"}
		case j.head.MoveCostUs > 0 && g.passesOn(j):
			return &refusal{answer.Shed, 0, reasonSlow}
		case j.key < 0 || o.grants(now, j.key):
			return nil
		}
		if refused := g.park(ctx, j, now, o); refused != nil {
			return refused
		}
	}
}

func reasonOf(o *own) string {
	switch o.why {
	case "the target has ended":
		return "ended"
	case "the target is leaving":
		return "leaving"
	}
	return "unknown"
}

func (g *gate) targetGone(o *own) bool { return o.why == "the target has ended" }

// parkLimit returns until when the request may wait for its key to be granted. One that is late already may wait for half as long as
// a fresh one: it keeps nobody else waiting.
func (j *job) parkLimit() clock.Instant {
	return j.arrived.Add(time.Duration(parkShare * float64(max(j.aim.Sub(j.arrived), j.objective()/2))))
}

// park waits for the key to be granted, if that is expected in time.
func (g *gate) park(ctx context.Context, j *job, now clock.Instant, o *own) *refusal {
	row, ok := g.state.view.Load().Tables[j.head.Service].Find(j.key)
	if !ok || row.Owner.Host != g.settings.Host || !row.NextOwner.IsZero() {
		return &refusal{answer.NotOwner, 0, "not_owner"}
	}
	wait := max(o.nextBeat.Sub(now), 0) + grantSlack
	limit := j.parkLimit()
	if now.Add(wait) > limit {
		return &refusal{answer.Moving, wait, "not_granted_yet"}
	}
	changed := g.state.waiting()
	if g.state.own.Load() != o {
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
		return gaveUp(ctx)
	}
	return nil
}

// endsBefore reports whether this node is stopping and may end before another node's request does. Own callers are served to
// the end, since nobody else can answer them.
func (g *gate) endsBefore(j *job) bool {
	end := clock.Instant(g.state.stopEnd.Load())
	return end > 0 && j.deadline > end && !g.local(j)
}

// evacuated reports whether the zone is out of service for so long that nothing may reach the target any more.
func (g *gate) evacuated(now clock.Instant) bool {
	since, out := g.state.zoneOut(g.settings.AvailabilityZone)
	return out && now.Sub(since) > g.bounds.EvacuationPeriod-evacuateMargin
}

// admit waits for a slot.
func (g *gate) admit(ctx context.Context, j *job) (*dispatch.Ticket, *refusal) {
	objective := j.objective()
	_, times := g.dispatch.Stats()
	work, known := times[j.head.Route]
	if !known {
		work = objective.Seconds() / 3
	}
	g.demand.Add(j.arrived, j.key, work)
	way := time.Duration(0) // of the answer
	if !g.local(j) {
		way = g.link.TransferDelay(j.arrived, j.head.Route, time.Duration(work*float64(time.Second)))
	}
	ticket, refused, err := g.dispatch.Acquire(ctx, dispatch.Request{
		Route: j.head.Route, Priority: int(j.head.Rank), Objective: objective, SoftDeadline: j.aim.Add(-way), Deadline: j.deadline.Add(-way),
	})
	if err != nil {
		return nil, gaveUp(ctx)
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
	// The process may have stood still while the request waited.
	now := g.clock.Now()
	o := g.state.own.Load()
	if now.Add(minLeft) > j.deadline || ctx.Err() != nil || g.evacuated(now) || j.key >= 0 && !o.grants(now, j.key) || j.key < 0 && !o.serving {
		g.dispatch.Release(ticket, false, 0)
		return nil, &refusal{answer.Deadline, 0, "changed_while_waiting"}
	}
	return ticket, nil
}

// local reports whether the answer stays on the host.
func (g *gate) local(j *job) bool { return j.head.Entrance == g.settings.Node }

// run sends the request to the target.
func (g *gate) run(ctx context.Context, j *job, ticket *dispatch.Ticket) (*upstream.Answer, *refusal, error) {
	o := g.state.own.Load()
	header := http.Header{}
	relay.ToHTTP(j.head.Headers, header)
	host := header.Get("Host")
	header.Del("Host")
	platform.SetTargetHeaders(header, o.instance, j.deadline.Sub(g.clock.Now()))
	request := &upstream.Request{
		Method: j.head.Method, Path: j.head.Path, Header: header, Host: host, Body: j.body, Stream: j.stream, Length: j.head.ContentLength,
		Once: !j.head.Repeatable, Belongs: platform.MatchRequestID(j.head.RequestId),
	}
	g.begin(j.print)
	if !g.local(j) {
		defer g.link.End(g.link.Begin(j.head.Route))
	}
	started := g.clock.Now()
	a, err := g.upstream.Do(ctx, request)
	g.end(j.print, errors.Is(err, upstream.ErrBroken))
	var said platform.Response
	if err == nil {
		said = platform.ReadResponse(a.Status, a.Header)
	}
	g.dispatch.Release(ticket, err == nil, said.ServiceTimeRatio)
	g.metrics.run(j.head.Route, g.clock.Now().Sub(started), err)
	if err != nil {
		return nil, g.failed(j, o, err), err
	}
	switch {
	case said.Misdirected:
		closeRest(a)
		return nil, &refusal{answer.NotOwner, 0, "target_not_owner"}, nil
	case said.NotExecuted:
		closeRest(a)
		return nil, &refusal{answer.TargetRefused, minRetryAfter, "target_refused"}, nil
	case a.Status < 300 && (!said.Signed || said.Encoded):
		closeRest(a)
		return nil, nil, upstream.ErrBroken
	}
	return a, nil, nil
}

// failed says whether a request whose exchange failed has certainly not run.
func (g *gate) failed(j *job, o *own, err error) *refusal {
	g.lines.failure(func(l *logger) {
		event.RunFailed.On(l).Str("id", j.head.RequestId).Str("instance", o.instance).Int("key", j.key).Err(err).Send()
	})
	if errors.Is(err, upstream.ErrBroken) || errors.Is(err, upstream.ErrNotSent) {
		g.post(func(clock.Instant) { g.member.suspect = true })
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return &refusal{answer.TargetDown, minRetryAfter, "target_down"}
	}
	return nil
}

func closeRest(a *upstream.Answer) {
	if a.Rest != nil {
		_ = a.Rest.Close() // Its connection is given up.
	}
}

func (g *gate) begin(print uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[print]++
}

func (g *gate) end(print uint64, broken bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[print]--; g.running[print] <= 0 {
		delete(g.running, print)
	}
	if broken {
		g.broken[print] = now
	}
}

// lifeEnded counts the requests that were running when the target ended.
func (g *gate) lifeEnded(now clock.Instant, instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for print := range g.running {
		g.broken[print] = now
	}
	for print, at := range g.broken {
		if now.Sub(at) < crashMemory {
			g.crashed[print]++
			if g.crashed[print] >= crashLimit {
				g.quarantine[print] = now.Add(quarantineTime)
			}
			g.lines.failure(func(l *logger) {
				event.CrashSuspected.On(l).Str("instance", instance).Uint64("fingerprint", print).Int("crashes", g.crashed[print]).Send()
			})
		}
		delete(g.broken, print)
	}
	if len(g.crashed) > maxCrashed {
		g.crashed = map[uint64]int{}
	}
}

// maxCrashed bounds the fingerprints that are remembered.
const maxCrashed = 512

// crashes returns how often requests were running when the target ended.
func (g *gate) crashes(clock.Instant) map[uint64]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	crashes := make(map[uint64]int, len(g.crashed))
	for print, n := range g.crashed {
		crashes[print] = n
	}
	return crashes
}

// setQuarantine refuses the requests that the coordinator names.
func (g *gate) setQuarantine(prints []uint64) {
	if len(prints) == 0 {
		return
	}
	until := g.clock.Now().Add(quarantineTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, print := range prints {
		g.quarantine[print] = until
	}
}

func (g *gate) quarantined(now clock.Instant, print uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	until, ok := g.quarantine[print]
	if ok && now >= until {
		delete(g.quarantine, print)
		return false
	}
	return ok
}
