package sidecar

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/memory"
	"github.com/citronvane/citronvane/internal/quota"
	"github.com/citronvane/citronvane/internal/tenant"
	"github.com/citronvane/citronvane/platform"
)

const (
	// maxBufferedBody is the largest request body in bytes that is buffered in memory, so that the request can be retried.
	maxBufferedBody = 1 << 20
	// minRetryAfter is the lower bound of Retry-After.
	minRetryAfter = 50 * time.Millisecond
	// memoryRetryAfter is the Retry-After time while the node lacks memory.
	memoryRetryAfter = time.Second
	// retryAfterJitterDivisor sets the jitter of Retry-After: up to 1/retryAfterJitterDivisor of the value is added at random.
	retryAfterJitterDivisor = 4
	// startupRetryAfter is the Retry-After of requests that arrive before the node has a configuration or with too little
	// time left.
	startupRetryAfter = 300 * time.Millisecond
	// responseMargin is how long before the caller's deadline the response has to be sent.
	responseMargin = 10 * time.Millisecond
	// minRemainingShare is the share of the latency objective that a request must have left. With less it would time out at
	// the target.
	minRemainingShare = 0.1
)

var errDeadline = errors.New("request deadline exceeded")

// entrance is the HTTP handler for requests from callers on this host. It selects a target for each request and forwards it
// to the gate of that target's node.
type entrance struct {
	*node
	pool         *ingress.Balancer
	mu           sync.Mutex
	retryBudgets map[string]*ingress.RetryBudget
	// callerTimeouts estimates the timeouts of the callers of each route.
	callerTimeouts map[string]*ingress.RequestAgeEstimator
	idle           *idleConns
	tenantLabels   tenantLabels
}

func newEntrance(n *node) *entrance {
	return &entrance{node: n, pool: ingress.NewBalancer(n.settings.AvailabilityZone), retryBudgets: map[string]*ingress.RetryBudget{}, callerTimeouts: map[string]*ingress.RequestAgeEstimator{}, idle: newIdleConns()}
}

// applyConfig applies a new configuration and drops the state of routes that it no longer names.
func (e *entrance) applyConfig(c *ingress.Config) {
	e.idle.setTimeout(c.Limits.IdleTimeout)
	names := c.RouteNames()
	e.pool.RetainRoutes(names)
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.callerTimeouts, func(route string, _ *ingress.RequestAgeEstimator) bool { return !names[route] })
}

// callerTimeout returns the timeout estimator for the callers of a route.
func (e *entrance) callerTimeout(route string) *ingress.RequestAgeEstimator {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.callerTimeouts[route]
	if p == nil {
		p = &ingress.RequestAgeEstimator{}
		e.callerTimeouts[route] = p
	}
	return p
}

// retryBudget returns the retry budget for a service.
func (e *entrance) retryBudget(service string) *ingress.RetryBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.retryBudgets[service]
	if b == nil {
		b = ingress.NewRetryBudget(e.bounds.RetryWindow, e.bounds.RetryRatio, e.bounds.RetrySlack)
		e.retryBudgets[service] = b
	}
	b.SetNodes(len(e.state.view.Load().Targets))
	return b
}

// exchange is the state of one caller request, across all attempts to serve it.
type exchange struct {
	route *ingress.Route
	// tenant is the tenant of the request, nil if it has none.
	tenant *tenant.Tenant
	// rank is the priority of the request; 0 is the highest.
	rank int
	// quota and token are set if the request has taken a token of its tenant.
	quota   *tenantQuota
	token   quota.Token
	service string
	id      string
	key     int
	method  string
	path    string
	header  http.Header
	length  int64
	body    heldBody
	stream  io.Reader // set instead of body if the body is too large to buffer
	arrived clock.Instant
	// priorWait is the estimated time between the caller's first attempt and arrived, 0 unless the request looks like a retry.
	priorWait time.Duration
	deadline  clock.Instant
	// dispatched counts the targets that may have received the request.
	dispatched int
	tries      int
	// slowTarget is the first target that declined the request because it is temporarily slow. mustRun is set when that target gets
	// the request anyway, because no other target accepted it.
	slowTarget *fleet.Target
	mustRun    bool
	// nested says that the host's target may have made the request while it runs others; callRank is then the rank of that work.
	nested   bool
	callRank int
	// moveCost is the cost in time of moving the request from the selected target to another one, 0 if there is no other.
	moveCost time.Duration
	// conn is the caller's connection, nil if it is not tracked; hold is the memory that the request holds.
	conn *callerConn
	hold memory.Hold
	// source is the caller's body, nil if there is none.
	source *callerBody
}

// selectionCriteria returns the properties of the request that target selection depends on.
func (x *exchange) selectionCriteria() ingress.RequestInfo {
	return ingress.RequestInfo{Route: x.route.Name, LargeResponse: x.route.Kind == ingress.Download, Objective: x.route.Objective}
}

// retryable reports whether the request may be sent to another target although one may already have run it.
func (x *exchange) retryable() bool {
	return x.route.Kind.Repeatable() && x.stream == nil && x.dispatched < x.route.MaxAttempts
}

// result is the outcome of a request.
type result struct {
	status int
	header http.Header
	body   []byte
	stream io.ReadCloser
	length int64
	// statedLength is the length that the response to a HEAD request states, -1 if it states none.
	statedLength int64
	host         string
	// refusal is set if the request has not run, err if its outcome is unknown.
	refusal *refusal
	err     error
}

// ServeHTTP implements http.Handler.
func (e *entrance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := e.clock.Now()
	conn, sniffed := r.Context().Value(connKey{}).(*sniffConn)
	if sniffed {
		conn.handled.Add(1)
	}
	if e.state.draining.Load() {
		if sniffed {
			w = &lastResponseWriter{ResponseWriter: w, conn: conn}
		} else {
			w.Header().Set("Connection", "close")
		}
	}
	if callerLeft(r.Context()) { // The request waited to be read for longer than its caller waits.
		e.metrics.countRefusal("entrance", "caller_left")
		e.lines.logLimited(func(l *logger) {
			event.CallerDisconnected.On(l).Str("reason", "left before the request was read").Send()
		})
		panic(http.ErrAbortHandler)
	}
	expectBody(r)
	x, refused := e.parseRequest(now, w, r)
	if refused != nil {
		e.writeRefusal(w, x, refused)
		return
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), x.deadline.Sub(now), errDeadline)
	defer cancel()
	x.conn, x.hold.Account = callerConnOf(r.Context()), e.account
	defer x.release()
	if refused := e.quotas.acquire(ctx, x); refused != nil {
		e.writeRefusal(w, x, refused)
		return
	}
	if refused := e.readBody(r, x); refused != nil {
		e.quotas.release(x)
		x.closeUnread(w)
		e.writeRefusal(w, x, refused)
		return
	}
	e.retryBudget(x.service).RecordRequest(now)
	e.rankCall(x)
	res := e.forward(memory.WithHold(ctx, &x.hold), x)
	x.recordHold()
	if res.refusal != nil {
		e.quotas.release(x)
	}
	e.recordCall(x, res)
	if refused := x.streamFailure(w, res); refused != nil {
		res = &result{refusal: refused}
	}
	e.countTenantResult(x, res)
	e.writeResult(ctx, w, x, res)
}

// parseRequest validates an HTTP request and returns its exchange, or a refusal.
func (e *entrance) parseRequest(now clock.Instant, w http.ResponseWriter, r *http.Request) (*exchange, *refusal) {
	x := &exchange{arrived: now, key: -1, method: r.Method, path: r.RequestURI, length: r.ContentLength}
	switch framingFault(r.Context()) {
	case ambiguousFraming:
		w.Header().Set("Connection", "close")
		return x, &refusal{answer.BadRequest, 0, "two_lengths"}
	case headTooLarge:
		w.Header().Set("Connection", "close")
		return x, &refusal{answer.HeadTooLarge, 0, "head_size"}
	}
	meta, err := platform.ReadRequest(r.Header)
	x.id, x.key = meta.ID, meta.Key
	if err != nil {
		return x, &refusal{answer.BadRequest, 0, "malformed_header"}
	}
	config := e.state.config.Load()
	if config == nil {
		return x, &refusal{answer.NoOwner, startupRetryAfter, "no_configuration"}
	}
	if e.memory.shedding.Load() {
		return x, &refusal{answer.Shed, memoryRetryAfter, "memory"}
	}
	x.route = config.Match(r.Host, r.URL.EscapedPath())
	if x.route == nil {
		return x, &refusal{answer.NoRule, 0, "no_route"}
	}
	if refused := x.identify(config, r); refused != nil {
		return x, refused
	}
	if config.Limits.MaxBody > 0 && r.ContentLength > config.Limits.MaxBody {
		return x, &refusal{answer.TooLarge, 0, "body_too_large"}
	}
	remaining := x.route.Timeout
	if meta.Timeout > 0 {
		remaining = min(remaining, meta.Timeout)
	}
	if remaining < time.Duration(minRemainingShare*float64(x.route.Objective)) {
		return x, &refusal{answer.Deadline, startupRetryAfter, "no_time_left"}
	}
	x.deadline = now.Add(max(remaining-responseMargin, minRemaining))
	if e.endsBefore(now, x.deadline) {
		return x, &refusal{answer.Draining, restartTime, "node_stops"}
	}
	x.service = x.route.SelectService(x.id)
	x.nested = isNestedCall(r.Header, meta)
	if x.key >= 0 {
		x.priorWait = e.callerTimeout(x.route.Name).Age(meta.Timeout) // Requests from targets have no key and end with their parent.
	}
	if !config.Services[x.service].Keyed {
		x.key = -1
	} else if x.key < 0 {
		return x, &refusal{answer.BadRequest, 0, "no_key"}
	}
	x.header = platform.ForwardRequestHeaders(r.Header, e.settings.Service)
	if config.Tenants != nil {
		platform.SetTenant(x.header, x.tenantName())
	}
	x.header["Host"] = []string{r.Host}
	return x, nil
}

// writeResult sends the result to the caller.
func (e *entrance) writeResult(ctx context.Context, w http.ResponseWriter, x *exchange, res *result) {
	took := e.clock.Now().Sub(x.arrived)
	switch {
	case res.refusal != nil:
		e.writeRefusal(w, x, res.refusal)
	case res.err != nil && errors.Is(context.Cause(ctx), context.Canceled):
		e.metrics.recordRequest(x.route.Name, "caller_left", took)
		e.lines.logSampled(func(l *logger) { e.addRequestFields(event.CallerDisconnected.On(l), x, res).Send() })
		// Closes the connection. net/http would send a success for a handler that returns without an answer, and a caller that has
		// ended only its sending side would read it.
		panic(http.ErrAbortHandler)
	case res.err != nil:
		e.writeUnknownOutcome(ctx, w, x, res, took)
	default:
		e.writeResponse(w, x, res, took)
	}
}

// writeUnknownOutcome responds to a request that may or may not have run.
func (e *entrance) writeUnknownOutcome(ctx context.Context, w http.ResponseWriter, x *exchange, res *result, took time.Duration) {
	status := http.StatusBadGateway
	if errors.Is(context.Cause(ctx), errDeadline) {
		status = http.StatusGatewayTimeout
	}
	e.metrics.recordRequest(x.route.Name, "unknown", took)
	e.lines.logLimited(func(l *logger) {
		e.addRequestFields(event.RequestOutcomeUnknown.On(l), x, res).Int("status", status).Err(res.err).Send()
	})
	platform.SetRequestID(w.Header(), x.id)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// writeResponse forwards the target's response.
func (e *entrance) writeResponse(w http.ResponseWriter, x *exchange, res *result, took time.Duration) {
	if res.stream == nil && x.conn != nil && x.conn.bodyPending.Load() {
		x.closeUnread(w) // Otherwise net/http waits for the read of the body, which lasts as long as the caller sends nothing.
	}
	header := w.Header()
	for name, values := range res.header {
		header[name] = values
	}
	length := res.length
	if x.method == http.MethodHead {
		length = res.statedLength
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(res.status)
	if res.stream == nil {
		_, _ = w.Write(res.body) // The caller may have disconnected.
	} else {
		defer res.stream.Close()
		if _, err := io.Copy(w, res.stream); err != nil {
			e.metrics.recordRequest(x.route.Name, "truncated", took)
			e.lines.logLimited(func(l *logger) { e.addRequestFields(event.ResponseTruncated.On(l), x, res).Err(err).Send() })
			panic(http.ErrAbortHandler) // Closes the connection, so that the caller detects the truncation.
		}
	}
	e.metrics.recordRequest(x.route.Name, "answered", took)
	write := e.lines.logSampled
	if res.status >= http.StatusInternalServerError {
		write = e.lines.logLimited
	}
	write(func(l *logger) {
		e.addRequestFields(event.RequestAnswered.On(l), x, res).Int("status", res.status).Send()
	})
}

// writeRefusal responds to a request that has not run.
func (e *entrance) writeRefusal(w http.ResponseWriter, x *exchange, r *refusal) {
	properties, _ := answer.PropertiesOf(r.kind)
	status, name := properties.Status, ""
	if status == 0 || r.kind == answer.Quarantined || r.kind == answer.Deadline {
		status = http.StatusServiceUnavailable // The platform's status for a request that has not run. A later version may know more kinds.
	}
	if x.route != nil {
		name = x.route.Name
	}
	e.metrics.countRefusal("entrance", r.reason)
	e.metrics.recordRequest(name, "refused", e.clock.Now().Sub(x.arrived))
	e.countTenantRefusal(x, r)
	kind := event.RequestRefused
	if status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		kind = event.RequestInvalid
	}
	e.lines.logLimited(func(l *logger) {
		e.addRequestFields(kind.On(l), x, &result{}).Str("kind", string(r.kind)).Str("reason", r.reason).Int("status", status).
			Int("retry_after_ms", int(r.retryAfter.Milliseconds())).Send()
	})
	platform.SetRequestID(w.Header(), x.id)
	switch status {
	case http.StatusUnauthorized:
		platform.SetAuthenticate(w.Header())
		respondBeforeBody(w)
	case http.StatusTooManyRequests:
		respondBeforeBody(w)
		fallthrough
	case http.StatusServiceUnavailable:
		// Jitter spreads the retries of callers that were refused at the same time.
		after := max(r.retryAfter, minRetryAfter)
		platform.SetRetryAfter(w.Header(), after+time.Duration(rand.Int64N(int64(after)/retryAfterJitterDivisor+1)))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// addRequestFields adds the fields that identify a request and explain its outcome.
func (e *entrance) addRequestFields(l *event.Line, x *exchange, res *result) *event.Line {
	now := e.clock.Now()
	l.Str("id", x.id).Str("service", x.service).Int("key", x.key).Int("took_ms", int(now.Sub(x.arrived).Milliseconds())).
		Int("left_ms", int(x.deadline.Sub(now).Milliseconds())).Int("tries", x.tries).Int("sent", x.dispatched)
	if x.route != nil {
		l.Str("route", x.route.Name)
	}
	if x.tenant != nil {
		l.Str("tenant", e.tenantLabels.label(x.tenant.Name))
	}
	if res.host != "" {
		l.Str("host", res.host)
	}
	return l.Uint64("view", e.state.view.Load().Revision)
}
