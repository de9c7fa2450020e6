package entrance

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"go.opentelemetry.io/otel/propagation"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// TimeoutHeader carries the time that the caller is willing to wait, in milliseconds.
	TimeoutHeader = "Citronvane-Timeout-Ms"
	// MethodToken is the method of a request for a token. The gate answers it; callers can't send it.
	MethodToken = "TOKEN"
	// ownPrefix is the prefix of headers that only citronvane may give to targets.
	ownPrefix = "Citronvane-"
	// maxTimeout is the greatest max_request, so that a graceful stop cuts off no request.
	maxTimeout = 30 * time.Second
	// answerGrace lets the node's own answer about a passed deadline arrive; it says more than a guess.
	answerGrace = 50 * time.Millisecond
	// maxIdempotencyKey bounds what the gate keeps for each identity.
	maxIdempotencyKey = 256
	// maxHeaders bounds headers, path and key. It leaves room for the encoding in the 64 KiB of a head.
	maxHeaders = 60 << 10
	// headerOverhead is the most that the encoding of a header adds to its name and value.
	headerOverhead = 10
	// pooledSlice is the slice of requests to pooled services.
	pooledSlice = -1
	// defaultMaxBody bounds bodies of services that set no bound.
	defaultMaxBody = 16 << 20
)

// request is what the entrance knows about a request of a caller.
type request struct {
	routed         config.Routed
	slice          cluster.SliceID
	method         string
	path           string
	headers        []*wire.Header
	idempotencyKey string
	idempotent     bool
	deadline       time.Time
	body           *body
}

func (q *request) keyed() bool { return q.routed.Spec.Kind == config.Keyed }

// readRequest matches the request to a rule and checks it.
func readRequest(document *config.Document, w http.ResponseWriter, r *http.Request) (*request, *answer.Refusal) {
	routed, err := document.Route(r)
	if err != nil {
		return nil, refusalOf(err)
	}
	q := &request{
		routed:         routed,
		method:         r.Method,
		path:           r.URL.RequestURI(),
		idempotencyKey: r.Header.Get(target.HeaderIdentity),
		idempotent:     isIdempotent(r.Method),
	}
	if refusal := q.check(r); refusal != nil {
		return q, refusal
	}
	q.headers = endToEnd(r)
	if n := q.headBytes(); n > maxHeaders {
		return q, answer.Refuse(answer.TooLarge, "path, key and headers have %d bytes, more than %d", n, maxHeaders)
	}
	var refusal *answer.Refusal
	q.body, refusal = readBody(w, r, q.deadline, bodyBound(routed.Spec))
	return q, refusal
}

func (q *request) headBytes() int {
	n := len(q.path) + len(q.routed.Key)
	for _, h := range q.headers {
		n += len(h.GetName()) + len(h.GetValue()) + headerOverhead
	}
	return n
}

func refusalOf(err error) *answer.Refusal {
	if r := answer.As(err); r != nil {
		return r
	}
	return answer.Refuse(answer.BadRequest, "%v", err)
}

func (q *request) check(r *http.Request) *answer.Refusal {
	timeout, refusal := timeoutOf(r, q.routed.Spec)
	if refusal != nil {
		return refusal
	}
	q.deadline = time.Now().Add(timeout)
	if !r.ProtoAtLeast(1, 1) {
		// A caller of HTTP/1.0 can't tell a truncated body of unknown length from a whole one.
		return answer.Refuse(answer.BadRequest, "the protocol is %s; HTTP/1.1 is needed", r.Proto)
	}
	if q.method == MethodToken || q.method == http.MethodConnect {
		return answer.Refuse(answer.BadRequest, "the method %s can't be relayed", q.method)
	}
	if !utf8.ValidString(q.path) || !utf8.ValidString(q.routed.Key) || !utf8.ValidString(q.idempotencyKey) {
		return answer.Refuse(answer.BadRequest, "the path, the key or the Idempotency-Key is not valid UTF-8")
	}
	if len(q.idempotencyKey) > maxIdempotencyKey {
		return answer.Refuse(answer.BadRequest, "the Idempotency-Key has %d bytes, more than %d", len(q.idempotencyKey), maxIdempotencyKey)
	}
	if q.keyed() && !q.idempotent && q.idempotencyKey == "" {
		return answer.Refuse(answer.IdentityRequired, "%s to the keyed service %q has no Idempotency-Key", q.method, q.routed.Service)
	}
	if q.keyed() && q.routed.Spec.Slices <= 0 {
		return answer.Refuse(answer.NoOwner, "service %q has no slices", q.routed.Service)
	}
	if q.keyed() {
		q.slice = cluster.SliceOf(q.routed.Service, q.routed.Key, q.routed.Spec.Slices)
	}
	return nil
}

// timeoutOf returns what the caller asks for, else the bound of the service.
func timeoutOf(r *http.Request, spec config.Service) (time.Duration, *answer.Refusal) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		if d := spec.MaxRequest.Std(); d > 0 {
			return min(d, maxTimeout), nil
		}
		return maxTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, answer.Refuse(answer.BadRequest, "%s is %q, not a positive number of milliseconds", TimeoutHeader, text)
	}
	return time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond, nil
}

// isIdempotent lists the methods that may run twice. All others may not.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func bodyBound(spec config.Service) int64 {
	if spec.MaxBodyBytes > 0 {
		return min(spec.MaxBodyBytes, defaultMaxBody)
	}
	return defaultMaxBody
}

// hopByHop are the headers that belong to one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// endToEnd returns the headers of a caller that the target gets.
func endToEnd(r *http.Request) []*wire.Header {
	kept := http.Header{"Host": {r.Host}}
	for name, values := range r.Header {
		switch {
		case hopByHop[name], namedByConnection(r.Header, name), strings.HasPrefix(name, ownPrefix):
		case name == "Content-Length", name == "Traceparent":
			// The head has fields for them.
		default:
			kept[name] = values
		}
	}
	return relay.FromHTTP(kept)
}

// namedByConnection reports whether the Connection header declares the named one hop-by-hop.
func namedByConnection(h http.Header, name string) bool {
	for _, value := range h["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// copyAnswerHeaders adds the end-to-end headers of an answer.
func copyAnswerHeaders(head *wire.ResponseHead, to http.Header) {
	all := http.Header{}
	relay.ToHTTP(head.GetHeaders(), all)
	for name, values := range all {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if hopByHop[name] || namedByConnection(all, name) || name == "Content-Length" {
			continue
		}
		to[name] = append(to[name], values...)
	}
}

// head returns the head of one attempt.
func (q *request) head(entrance string, epoch uint64, carrier propagation.MapCarrier) *wire.RequestHead {
	slice := int32(pooledSlice)
	if q.keyed() {
		slice = int32(q.slice.Index)
	}
	return &wire.RequestHead{
		Service:        q.routed.Service,
		Key:            q.routed.Key,
		Slice:          slice,
		Epoch:          epoch,
		Method:         q.method,
		Path:           q.path,
		Headers:        q.headers,
		TimeoutMs:      max(time.Until(q.deadline).Milliseconds(), 1),
		Traceparent:    carrier.Get("traceparent"),
		Priority:       string(q.routed.Priority),
		IdempotencyKey: q.idempotencyKey,
		ContentLength:  q.body.length,
		Entrance:       entrance,
	}
}
