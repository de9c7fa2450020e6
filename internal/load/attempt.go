package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/target/standin"
)

// Outcome is the kind of a refusal (a value of answer.Kind), target_<status> for a target's own
// answer that is not a success, or one of the following.
type Outcome string

// The outcomes that are not refusals.
const (
	// OK is a whole answer of a target to this very request.
	OK Outcome = "ok"
	// Truncated is an answer that ended too early.
	Truncated Outcome = "truncated"
	// Foreign is an answer to another request.
	Foreign Outcome = "foreign"
	// Corrupt is a whole answer with another content than the target sent.
	Corrupt Outcome = "corrupt"
	// Malformed is a refusal that contradicts itself, or a success that can't be verified.
	Malformed Outcome = "malformed"
	// NoConnection means that nothing was sent.
	NoConnection Outcome = "no_connection"
	// NotSent means that the request was due but too many others were open.
	NotSent Outcome = "not_sent"
	// Timeout means that the attempt's time was over.
	Timeout Outcome = "timeout"
	// ConnectionLost means that the connection ended before an answer began.
	ConnectionLost Outcome = "connection_lost"
)

const (
	headerToken = "Citronvane-Token"
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 65 << 20
)

// attempt is one try of a request.
type attempt struct {
	method   string
	url      string
	id       string
	group    string // prefix of the identities of all attempts of the request
	identity string // Idempotency-Key, empty for idempotent methods
	body     []byte // nil for none
	size     int    // size of the generated answer if there is no body
}

// result is what the client saw of an attempt.
type result struct {
	outcome Outcome
	// notRun says that the answer claimed that no target ran the request.
	notRun bool
	// replayed says that the HTTP client sent the request again by itself, so that a claim about the
	// last transmission says nothing about the earlier ones.
	replayed bool
	target   string
	token    string
}

// send makes the attempt and classifies its answer.
func (a attempt) send(ctx context.Context, client *http.Client) result {
	var trace connectionTrace
	ctx = httptrace.WithClientTrace(ctx, trace.hooks())
	req, err := a.request(ctx)
	if err != nil {
		return result{outcome: Malformed}
	}
	resp, err := client.Do(req)
	if err != nil {
		return result{outcome: trace.outcome(ctx), replayed: trace.connections > 1}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	r := a.classify(resp, body)
	if err != nil {
		r.outcome = readOutcome(ctx)
	}
	r.replayed = trace.connections > 1
	return r
}

// connectionTrace counts the connections that the HTTP client used for a request.
type connectionTrace struct {
	connections int
}

func (t *connectionTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.connections++ }}
}

// outcome classifies a request that got no answer.
func (t *connectionTrace) outcome(ctx context.Context) Outcome {
	switch {
	case t.connections == 0:
		return NoConnection
	case ctx.Err() != nil:
		return Timeout
	default:
		return ConnectionLost
	}
}

// readOutcome classifies an answer whose body could not be read to its end.
func readOutcome(ctx context.Context) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Timeout
	}
	return Truncated
}

func (a attempt) request(ctx context.Context) (*http.Request, error) {
	url := a.url
	var body io.Reader
	if a.body != nil {
		body = bytes.NewReader(a.body)
	} else {
		url += fmt.Sprintf("?size=%d", a.size)
	}
	req, err := http.NewRequestWithContext(ctx, a.method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(standin.HeaderRequestID, a.id)
	if a.identity != "" {
		// The HTTP client repeats requests with an Idempotency-Key by itself on a lost connection, but
		// looks for the canonical spelling only. Repeats are to be made, and counted, here alone.
		req.Header[strings.ToLower(target.HeaderIdentity)] = []string{a.identity}
	}
	return req, nil
}

// classify judges an answer whose body was read without an error.
func (a attempt) classify(resp *http.Response, body []byte) result {
	r := result{target: resp.Header.Get(standin.HeaderTarget), token: resp.Header.Get(headerToken)}
	kind := answer.Kind(resp.Header.Get(answer.KindHeader))
	switch {
	case kind != "":
		r.outcome, r.notRun = classifyRefusal(kind, resp, body)
	case resp.Header.Get(answer.NotRunHeader) != "":
		// A target that is addressed without a node in between.
		r.outcome, r.notRun = Outcome("target_"+resp.Header.Get(answer.NotRunHeader)), true
	case resp.StatusCode/100 != 2:
		r.outcome = Outcome(fmt.Sprintf("target_%d", resp.StatusCode))
	default:
		r.outcome = a.verify(resp, body)
	}
	return r
}

// classifyRefusal checks a refusal against the table of kinds. The claim counts even if the rest of
// the refusal is wrong.
func classifyRefusal(kind answer.Kind, resp *http.Response, body []byte) (Outcome, bool) {
	properties, known := answer.PropertiesOf(kind)
	var problem answer.Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		return unlessWhole(resp, Malformed), properties.NotRun
	}
	consistent := known && resp.StatusCode == properties.Status && problem.Kind == kind && problem.NotRun == properties.NotRun
	if !consistent {
		return Malformed, properties.NotRun || problem.NotRun
	}
	return Outcome(kind), properties.NotRun
}

// verify decides whether a success is whole and belongs to this request. An answer to an earlier
// attempt of the same request is its own, because citronvane may repeat a stored answer.
func (a attempt) verify(resp *http.Response, body []byte) Outcome {
	id := resp.Header.Get(standin.HeaderRequestID)
	checksum := resp.Header.Get(standin.HeaderChecksum)
	switch {
	case id == "" || checksum == "":
		return Malformed
	case !strings.HasPrefix(id, a.group):
		return Foreign
	case checksum != standin.Checksum(body):
		return unlessWhole(resp, Corrupt)
	case !bytes.Equal(body, a.expected(id)):
		return Foreign
	default:
		return OK
	}
}

// expected returns the body that a target sends in answer to the attempt with the identity.
func (a attempt) expected(id string) []byte {
	if a.body != nil {
		return a.body
	}
	return standin.Generate(id, a.size)
}

// unlessWhole returns Truncated for an answer whose end was marked only by the end of the connection,
// and otherwise the given outcome.
func unlessWhole(resp *http.Response, otherwise Outcome) Outcome {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return Truncated
	}
	return otherwise
}
