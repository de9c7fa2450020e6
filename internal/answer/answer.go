// Package answer defines the responses that citronvane itself sends to callers, as opposed to the
// responses of targets. Whether a response claims that the request did not run is a property of its
// kind, so that no call site can make the claim by mistake.
package answer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// KindHeader is the response header with the kind of a response that is not the target's own.
const KindHeader = "Citronvane-Answer"

// NotRunHeader is the response header that a target sets if it refuses a request without
// running it.
const NotRunHeader = "Citronvane-Not-Run"

// Kind identifies the reason for a response.
type Kind string

// The kinds of response. The map kinds below describes each one.
const (
	NoRule           Kind = "no_rule"
	BadRequest       Kind = "bad_request"
	TooLarge         Kind = "too_large"
	HeadTooLarge     Kind = "head_too_large"
	BodyTimeout      Kind = "body_timeout"
	IdentityRequired Kind = "identity_required"
	NoOwner          Kind = "no_owner"
	NotOwner         Kind = "not_owner"
	Moving           Kind = "moving"
	LeaseLapsed      Kind = "lease_lapsed"
	Shed             Kind = "shed"
	Cold             Kind = "cold"
	Draining         Kind = "draining"
	ZoneOut          Kind = "zone_out"
	Quarantined      Kind = "quarantined"
	TargetRefused    Kind = "target_refused"
	TargetDown       Kind = "target_down"
	Deadline         Kind = "deadline"
	OutcomeUnknown   Kind = "outcome_unknown"
	DeadlineRunning  Kind = "deadline_running"
	RepeatRunning    Kind = "repeat_running"
	RepeatUnknown    Kind = "repeat_unknown"
	IdentityReused   Kind = "identity_reused"
	Unauthorized     Kind = "unauthorized"
	QuotaExceeded    Kind = "quota_exceeded"
)

// Properties describes a kind of response.
type Properties struct {
	Status int
	// NotRun means that no target ran the request.
	NotRun bool
	// Retryable means that the entrance may retry the request, later or on another node, before it
	// responds to the caller.
	Retryable bool
	Title     string
	Remedy    string
}

var kinds = map[Kind]Properties{
	NoRule:           {404, true, false, "No rule matches the request.", "Check the path, or ask the operator to add a rule."},
	BadRequest:       {400, true, false, "The request is malformed.", "Correct the request as the detail says."},
	TooLarge:         {413, true, false, "The request exceeds a size bound.", "Send a smaller request."},
	HeadTooLarge:     {431, true, false, "The header fields exceed a size bound.", "Send fewer or shorter header fields."},
	BodyTimeout:      {408, true, false, "The body of the request arrived too slowly.", "Send the whole body without pauses."},
	IdentityRequired: {428, true, false, "A non-idempotent request needs an identity.", "Send an Idempotency-Key header that is unique to this request."},
	NoOwner:          {503, true, true, "The key has no live owner.", "Try again after the stated time."},
	NotOwner:         {503, true, true, "The key has another owner.", "Try again after the stated time."},
	Moving:           {503, true, true, "The key is being handed over.", "Try again after the stated time."},
	LeaseLapsed:      {503, true, true, "The owner of the key has lost its lease.", "Try again after the stated time."},
	Shed:             {503, true, false, "The target is overloaded.", "Try again after the stated time."},
	Cold:             {503, true, false, "The target is in cold start.", "Try again after the stated time."},
	Draining:         {503, true, true, "The node or target is leaving.", "Try again after the stated time."},
	ZoneOut:          {503, true, true, "The availability zone is out of service.", "Try again after the stated time."},
	Quarantined:      {422, true, false, "Earlier copies of this request crashed targets.", "Do not send this request again; report it to the operator."},
	TargetRefused:    {503, true, true, "The target refused the request without running it.", "Try again after the stated time."},
	TargetDown:       {503, true, true, "The target can't be reached.", "Try again after the stated time."},
	Deadline:         {504, true, false, "The deadline passed before the request ran.", "Try again with a longer deadline."},
	OutcomeUnknown:   {502, false, false, "The request may have run.", "Read the state of the key before sending the request again; keep its Idempotency-Key."},
	DeadlineRunning:  {504, false, false, "The deadline passed while the request ran.", "Read the state of the key before sending the request again; keep its Idempotency-Key."},
	RepeatRunning:    {409, false, false, "A request with this identity is still running.", "Wait, then repeat with the same Idempotency-Key to get its answer."},
	RepeatUnknown:    {409, false, false, "A request with this identity may have run before.", "Read the state of the key. If this request was never sent before, get a token and use it as the Idempotency-Key."},
	IdentityReused:   {422, true, false, "The identity belongs to another request.", "Send a new Idempotency-Key with each new request; repeat a request with the same method, path and body."},
	Unauthorized:     {401, true, false, "The request has no valid API key.", "Send an API key of the tenant in the header Authorization: Bearer KEY."},
	QuotaExceeded:    {429, true, false, "The tenant's usage cap is reached.", "Try again after the stated time, or ask the operator for a higher cap."},
}

// PropertiesOf returns the properties of a kind, and whether the kind exists.
func PropertiesOf(kind Kind) (Properties, bool) {
	p, ok := kinds[kind]
	return p, ok
}

// Kinds returns all kinds with their properties.
func Kinds() map[Kind]Properties { return kinds }

// Refusal is a response of citronvane in place of the target's. It is an error.
type Refusal struct {
	Kind       Kind
	Detail     string
	RetryAfter time.Duration
}

// Refuse returns a refusal with a formatted detail.
func Refuse(kind Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time after which the caller may retry, and returns the refusal.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error returns the kind and the detail.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Detail }

// As returns the first refusal in the error chain of err, or nil.
func As(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

// Problem is the JSON body of a refusal, in the problem details format of RFC 9457.
type Problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Kind         Kind   `json:"kind"`
	NotRun       bool   `json:"not_run"`
	Detail       string `json:"detail,omitempty"`
	Remedy       string `json:"remedy"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Problem returns the problem details of the refusal.
func (r *Refusal) Problem() Problem {
	p := kinds[r.Kind]
	return Problem{
		Type:         "about:blank",
		Title:        p.Title,
		Status:       p.Status,
		Kind:         r.Kind,
		NotRun:       p.NotRun,
		Detail:       r.Detail,
		Remedy:       p.Remedy,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
}

// Body returns the JSON encoding of the problem details.
func (r *Refusal) Body() []byte {
	body, err := json.Marshal(r.Problem())
	if err != nil {
		panic("answer: the problem details can't be encoded: " + err.Error())
	}
	return body
}

// Headers returns the HTTP headers of the refusal. Retry-After is rounded up to whole seconds.
func (r *Refusal) Headers() http.Header {
	h := http.Header{}
	h.Set(KindHeader, string(r.Kind))
	h.Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return h
}

// Write writes the refusal as an HTTP response.
func (r *Refusal) Write(w http.ResponseWriter) {
	for name, values := range r.Headers() {
		w.Header()[name] = values
	}
	body := r.Body()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(kinds[r.Kind].Status)
	_, _ = w.Write(body) // A caller that has disconnected needs no response.
}
