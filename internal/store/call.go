package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

const (
	remedyUnreachable = "Check that the platform runs and that its address is right; the call may be repeated."
	remedyReadBack    = "Read the object back and compare its version and content."
	remedyAnswer      = "Check that the address is that of the platform."
	remedyRate        = "Try again later, or raise this client's share of the rate limit."
)

// operation is the class of a call for rate limits, metrics and errors.
type operation int

const (
	opRead operation = iota
	opWrite
	opWatch
)

// call is one HTTP call.
type call struct {
	op     operation
	method string
	path   string
	header http.Header
	body   []byte
	// bound is the largest body of a successful answer.
	bound int64
	// wait is how long the platform may hold the answer back.
	wait time.Duration
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do makes the call and counts it.
func (s *HTTPStore) do(ctx context.Context, c call) (reply, error) {
	r, err := s.attempt(ctx, c)
	s.meters.count(ctx, c.op, err)
	return r, err
}

func (s *HTTPStore) attempt(ctx context.Context, c call) (reply, error) {
	limiter := s.reads
	if c.op == opWrite {
		limiter = s.writes
	}
	if err := limiter.Wait(ctx); err != nil {
		return reply{}, errs.Wrap(err, errs.RateLimited, remedyRate, "%s %s waits for this client's rate limit", c.method, c.path)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout+c.wait)
	defer cancel()
	sent := false
	ctx = httptrace.WithClientTrace(ctx, traceSent(&sent))
	req, err := s.newRequest(ctx, c)
	if err != nil {
		return reply{}, err
	}
	r, err := s.exchange(req, c.bound)
	if err != nil {
		return reply{}, transportError(c, sent, err)
	}
	if r.status/100 != 2 {
		return reply{}, statusError(c, r)
	}
	return r, nil
}

// traceSent sets *sent while the request has a connection on which it may have been written. The
// transport asks for another connection only if it has written nothing of a PUT or DELETE to the
// previous one, so GetConn clears the flag.
func traceSent(sent *bool) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { *sent = false },
		GotConn: func(httptrace.GotConnInfo) { *sent = true },
	}
}

func (s *HTTPStore) exchange(req *http.Request, bound int64) (reply, error) {
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		bound = maxErrorBytes
	}
	body, err := readBounded(resp.Body, resp.ContentLength, bound)
	if err != nil {
		return reply{}, err
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// readBounded reads a body of at most bound bytes.
func readBounded(body io.Reader, announced, bound int64) ([]byte, error) {
	if announced > bound {
		return nil, errTooLarge(bound)
	}
	data, err := io.ReadAll(io.LimitReader(body, bound+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > bound {
		return nil, errTooLarge(bound)
	}
	return data, nil
}

func errTooLarge(bound int64) error {
	return errs.New(errs.TooLarge, remedyAnswer, "the answer exceeds %d bytes", bound)
}

// transportError classifies a call that got no whole answer.
func transportError(c call, sent bool, err error) error {
	switch {
	case sent && c.op == opWrite:
		return errs.Wrap(err, errs.OutcomeUnknown, remedyReadBack, "no answer to %s %s", c.method, c.path)
	case errs.Is(err, errs.TooLarge):
		return errs.Wrap(err, errs.TooLarge, remedyAnswer, "%s %s", c.method, c.path)
	default:
		return errs.Wrap(err, errs.Unavailable, remedyUnreachable, "%s %s", c.method, c.path)
	}
}

// statusError classifies an answer with an error status.
func statusError(c call, r reply) error {
	kind := KindOf(r.status)
	if kind == errs.OutcomeUnknown && c.op != opWrite {
		kind = errs.Unavailable
	}
	var answer ErrorAnswer
	if json.Unmarshal(r.body, &answer) != nil || answer.Detail == "" {
		answer.Detail = http.StatusText(r.status)
	}
	if answer.Remedy == "" {
		answer.Remedy = statusRemedies[kind]
	}
	return errs.New(kind, answer.Remedy, "%s %s: the platform answered %d: %s", c.method, c.path, r.status, answer.Detail)
}

var statusRemedies = map[errs.Kind]string{
	errs.Conflict:       "Read the object again and decide anew.",
	errs.Compacted:      "List all objects and continue from the revision of the list.",
	errs.RateLimited:    remedyRate,
	errs.Unavailable:    remedyUnreachable,
	errs.OutcomeUnknown: remedyReadBack,
}

// KindOf returns what an error status of a store says of a call, OutcomeUnknown if it says nothing.
func KindOf(status int) errs.Kind {
	switch status {
	case http.StatusNotFound:
		return errs.NotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return errs.Conflict
	case http.StatusGone:
		return errs.Compacted
	case http.StatusRequestEntityTooLarge:
		return errs.TooLarge
	case http.StatusTooManyRequests:
		return errs.RateLimited
	case http.StatusUnauthorized, http.StatusForbidden:
		return errs.Denied
	case http.StatusServiceUnavailable:
		return errs.Unavailable
	}
	if status/100 == 4 {
		return errs.Invalid
	}
	// Any other status may come from a part of the platform that does not know what became of the call.
	return errs.OutcomeUnknown
}

// StatusOf returns the HTTP status for an error of the kind. It is the inverse of KindOf.
func StatusOf(kind errs.Kind) int {
	switch kind {
	case errs.NotFound:
		return http.StatusNotFound
	case errs.Conflict:
		return http.StatusPreconditionFailed
	case errs.Compacted:
		return http.StatusGone
	case errs.TooLarge:
		return http.StatusRequestEntityTooLarge
	case errs.RateLimited:
		return http.StatusTooManyRequests
	case errs.Denied:
		return http.StatusForbidden
	case errs.Unavailable:
		return http.StatusServiceUnavailable
	case errs.Invalid:
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}
