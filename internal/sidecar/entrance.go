package sidecar

import (
	"bytes"
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
	"github.com/citronvane/citronvane/platform"
)

const (
	// maxBuffered is the size up to which bodies are held in memory, so that they can be sent again.
	maxBuffered = 1 << 20
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// returnSpread divides the time after which a caller may come back; the result is the random part added to it.
	returnSpread = 4
	// startingRetryAfter is for callers that come before the node knows a configuration.
	startingRetryAfter = 300 * time.Millisecond
	// answerMargin is how long before the caller's deadline an answer has to leave.
	answerMargin = 10 * time.Millisecond
	// minOffer is the part of its objective that a request needs to have left: with less it would be cut off at the target.
	minOffer = 0.1
)

var errDeadline = errors.New("the deadline has passed")

// entrance takes the requests of callers on the host.
type entrance struct {
	*node
	pool    *ingress.Balancer
	mu      sync.Mutex
	budgets map[string]*ingress.RetryBudget
	// patience is by route.
	patience map[string]*ingress.RequestAgeEstimator
	idle     *idleConns
}

func newEntrance(n *node) *entrance {
	return &entrance{node: n, pool: ingress.NewBalancer(n.settings.AvailabilityZone), budgets: map[string]*ingress.RetryBudget{}, patience: map[string]*ingress.RequestAgeEstimator{}, idle: newIdleConns()}
}

// configured takes a new configuration.
func (e *entrance) configured(c *ingress.Config) {
	e.idle.limit(c.Limits.IdleTimeout)
	names := c.RouteNames()
	e.pool.RetainRoutes(names)
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.patience, func(route string, _ *ingress.RequestAgeEstimator) bool { return !names[route] })
}

// patienceOf returns what is known of the callers of a route.
func (e *entrance) patienceOf(route string) *ingress.RequestAgeEstimator {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.patience[route]
	if p == nil {
		p = &ingress.RequestAgeEstimator{}
		e.patience[route] = p
	}
	return p
}

// budget returns the retry budget for a service.
func (e *entrance) budget(service string) *ingress.RetryBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = ingress.NewRetryBudget(e.bounds.RetryWindow, e.bounds.RetryRatio, e.bounds.RetrySlack)
		e.budgets[service] = b
	}
	b.SetNodes(len(e.state.view.Load().Targets))
	return b
}

// exchange is one request of a caller.
type exchange struct {
	route   *ingress.Route
	service string
	id      string
	key     int
	method  string
	path    string
	header  http.Header
	length  int64
	body    []byte
	stream  io.Reader // set instead of body if it is too large to be kept
	arrived clock.Instant
	// age is how long before that the caller began, as far as it is known to have come back after a refusal.
	age      time.Duration
	deadline clock.Instant
	// sent counts the targets that may have got the request.
	sent  int
	tries int
	// slow is the first target that passed the request on because it is slow at this moment. settled says that it gets the
	// request all the same, since no other one took it.
	slow    *fleet.Target
	settled bool
	// moveCost is what it costs to let another target run it than the chosen one, 0 if there is none.
	moveCost time.Duration
}

// ask returns what decides about the choice of a target.
func (x *exchange) ask() ingress.RequestInfo {
	return ingress.RequestInfo{Route: x.route.Name, LargeResponse: x.route.Kind == ingress.Download, Objective: x.route.Objective}
}

// repeatable reports whether the request may be sent to another target after one may have run it.
func (x *exchange) repeatable() bool {
	return x.route.Kind.Repeatable() && x.stream == nil && x.sent < x.route.MaxAttempts
}

// result is what the caller gets.
type result struct {
	status int
	header http.Header
	body   []byte
	rest   io.ReadCloser
	length int64
	host   string
	// refusal is set if the request has not run; err if its outcome is unknown.
	refusal *refusal
	err     error
}

// ServeHTTP serves one request.
func (e *entrance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := e.clock.Now()
	if e.state.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x, refused := e.read(now, w, r)
	if refused != nil {
		e.refuse(w, x, refused)
		return
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), x.deadline.Sub(now), errDeadline)
	defer cancel()
	if err := e.readBody(r, x); err != nil {
		e.refuse(w, x, &refusal{answer.BadRequest, 0, "body_unreadable"})
		return
	}
	e.budget(x.service).RecordRequest(now)
	e.finish(ctx, w, x, e.perform(ctx, x))
}

// read turns an HTTP request into an exchange.
func (e *entrance) read(now clock.Instant, w http.ResponseWriter, r *http.Request) (*exchange, *refusal) {
	x := &exchange{arrived: now, key: -1, method: r.Method, path: r.RequestURI, length: r.ContentLength}
	if ambiguous(r.Context()) {
		w.Header().Set("Connection", "close")
		return x, &refusal{answer.BadRequest, 0, "two_lengths"}
	}
	said, err := platform.ReadRequest(r.Header)
	x.id, x.key = said.ID, said.Key
	if err != nil {
		return x, &refusal{answer.BadRequest, 0, "malformed_header"}
	}
	config := e.state.config.Load()
	if config == nil {
		return x, &refusal{answer.NoOwner, startingRetryAfter, "no_configuration"}
	}
	x.route = config.Match(r.Host, r.URL.EscapedPath())
	if x.route == nil {
		return x, &refusal{answer.NoRule, 0, "no_route"}
	}
	if config.Limits.MaxBody > 0 && r.ContentLength > config.Limits.MaxBody {
		return x, &refusal{answer.TooLarge, 0, "body_too_large"}
	}
	left := x.route.Timeout
	if said.Timeout > 0 {
		left = min(left, said.Timeout)
	}
	if left < time.Duration(minOffer*float64(x.route.Objective)) {
		return x, &refusal{answer.Deadline, startingRetryAfter, "no_time_left"}
	}
	x.deadline = now.Add(max(left-answerMargin, minLeft))
	x.service = x.route.SelectService(x.id)
	if x.key >= 0 {
		x.age = e.patienceOf(x.route.Name).Age(said.Timeout) // Calls of targets carry no key; they end with their parents.
	}
	if !config.Services[x.service].Keyed {
		x.key = -1
	} else if x.key < 0 {
		return x, &refusal{answer.BadRequest, 0, "no_key"}
	}
	x.header = platform.ForwardRequestHeaders(r.Header, e.settings.Service)
	x.header["Host"] = []string{r.Host}
	return x, nil
}

// readBody reads a body that fits the memory, so that it can be sent again.
func (e *entrance) readBody(r *http.Request, x *exchange) error {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		x.length = 0
		return nil
	}
	if r.ContentLength > maxBuffered {
		x.stream = r.Body
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBuffered+1))
	if err != nil {
		return err
	}
	if len(data) > maxBuffered {
		x.stream = io.MultiReader(bytes.NewReader(data), r.Body)
		return nil
	}
	x.body, x.length = data, int64(len(data))
	return nil
}

// finish gives the caller the result.
func (e *entrance) finish(ctx context.Context, w http.ResponseWriter, x *exchange, res *result) {
	took := e.clock.Now().Sub(x.arrived)
	switch {
	case res.refusal != nil:
		e.refuse(w, x, res.refusal)
	case res.err != nil && errors.Is(context.Cause(ctx), context.Canceled):
		e.metrics.request(x.route.Name, "caller_left", took)
		e.lines.success(func(l *logger) { e.line(event.RequestLeft.On(l), x, res).Send() })
	case res.err != nil:
		e.unknown(ctx, w, x, res, took)
	default:
		e.deliver(w, x, res, took)
	}
}

// unknown answers a request that may have run.
func (e *entrance) unknown(ctx context.Context, w http.ResponseWriter, x *exchange, res *result, took time.Duration) {
	status := http.StatusBadGateway
	if errors.Is(context.Cause(ctx), errDeadline) {
		status = http.StatusGatewayTimeout
	}
	e.metrics.request(x.route.Name, "unknown", took)
	e.lines.failure(func(l *logger) { e.line(event.RequestUnknown.On(l), x, res).Int("status", status).Err(res.err).Send() })
	platform.SetRequestID(w.Header(), x.id)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// deliver passes the target's answer on.
func (e *entrance) deliver(w http.ResponseWriter, x *exchange, res *result, took time.Duration) {
	header := w.Header()
	for name, values := range res.header {
		header[name] = values
	}
	if res.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(res.length, 10))
	}
	w.WriteHeader(res.status)
	if res.rest == nil {
		_, _ = w.Write(res.body) // A caller that is gone needs no answer.
	} else {
		defer res.rest.Close()
		if _, err := io.Copy(w, res.rest); err != nil {
			e.metrics.request(x.route.Name, "truncated", took)
			e.lines.failure(func(l *logger) { e.line(event.RequestTruncated.On(l), x, res).Err(err).Send() })
			panic(http.ErrAbortHandler) // The caller must not take the answer for a whole one.
		}
	}
	e.metrics.request(x.route.Name, "answered", took)
	write := e.lines.success
	if res.status >= http.StatusInternalServerError {
		write = e.lines.failure
	}
	write(func(l *logger) { e.line(event.RequestAnswered.On(l), x, res).Int("status", res.status).Send() })
}

// refuse answers a request that has not run.
func (e *entrance) refuse(w http.ResponseWriter, x *exchange, r *refusal) {
	properties, _ := answer.Of(r.kind)
	status, name := properties.Status, ""
	if r.kind == answer.Quarantined || r.kind == answer.Deadline {
		status = http.StatusServiceUnavailable // The platform's word for "not run".
	}
	if x.route != nil {
		name = x.route.Name
	}
	e.metrics.refused("entrance", r.reason)
	e.metrics.request(name, "refused", e.clock.Now().Sub(x.arrived))
	kind := event.RequestRefused
	if status < http.StatusInternalServerError {
		kind = event.RequestInvalid
	}
	e.lines.failure(func(l *logger) {
		e.line(kind.On(l), x, &result{}).Str("kind", string(r.kind)).Str("reason", r.reason).Int("status", status).
			Int("retry_after_ms", int(r.after.Milliseconds())).Send()
	})
	platform.SetRequestID(w.Header(), x.id)
	if status == http.StatusServiceUnavailable {
		// Callers that were refused together come back apart.
		after := max(r.after, minRetryAfter)
		platform.SetRetryAfter(w.Header(), after+time.Duration(rand.Int64N(int64(after)/returnSpread+1)))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// line adds what identifies a request and what decided.
func (e *entrance) line(l *event.Line, x *exchange, res *result) *event.Line {
	now := e.clock.Now()
	l.Str("id", x.id).Str("service", x.service).Int("key", x.key).Int("took_ms", int(now.Sub(x.arrived).Milliseconds())).
		Int("left_ms", int(x.deadline.Sub(now).Milliseconds())).Int("tries", x.tries).Int("sent", x.sent)
	if x.route != nil {
		l.Str("route", x.route.Name)
	}
	if res.host != "" {
		l.Str("host", res.host)
	}
	return l.Uint64("view", e.state.view.Load().Revision)
}
