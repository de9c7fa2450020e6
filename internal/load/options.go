// Package load generates requests against citronvane, verifies each answer,
// and checks what callers were told against what targets ran.
package load

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

// maxBodyBytes bounds the bodies of requests; targets take no larger ones.
const maxBodyBytes = 16 << 20

// Options describes a run.
type Options struct {
	// Nodes are the host:port addresses of the entrances. Each attempt goes to a random one.
	Nodes []string
	// Rate is the number of requests started per second. If it is 0, Concurrency applies.
	Rate float64
	// Concurrency is the number of requests that are kept in flight.
	Concurrency int
	Duration    time.Duration
	// MaxRequests ends the run early; 0 means no bound.
	MaxRequests int
	// MaxInFlight bounds the open requests. A request that has to wait for others is measured from its
	// scheduled start all the same.
	MaxInFlight int
	// Timeout bounds each attempt.
	Timeout time.Duration
	// Retries is the number of further attempts for a request that failed.
	Retries    int
	RetryPause time.Duration

	Mix        Mix
	KeyedPath  string
	PooledPath string
	Keys       int
	// Zipf is the exponent of the distribution of keys, above 1; 0 means uniform.
	Zipf       float64
	AnswerSize int
	BodySize   int
	// Tokens makes non-idempotent requests use the tokens that answers carry as their identities.
	Tokens bool
	Seed   uint64

	// Journals are the host:port addresses of the admin endpoints of targets.
	Journals []string
	// Settle is the wait between the last answer and the last reading of the journals.
	Settle time.Duration
	Limits Limits
}

// Limits are the bounds whose violation fails the run. Negative values mean no bound.
type Limits struct {
	P99         time.Duration
	Unavailable time.Duration
	// FailedRatio bounds the share of requests without an own, whole answer of a target.
	FailedRatio float64
	Truncated   int
}

// NoLimits allows everything but truncated answers.
var NoLimits = Limits{P99: -1, Unavailable: -1, FailedRatio: -1}

// Class is a kind of request.
type Class struct {
	Name   string
	Keyed  bool
	Method string
	Weight int
}

// idempotent reports whether the class may be repeated without an identity.
func (c Class) idempotent() bool { return c.Method != http.MethodPost && c.Method != http.MethodPatch }

// hasBody reports whether requests of the class carry a body, which the target echoes.
func (c Class) hasBody() bool { return c.Method != http.MethodGet && c.Method != http.MethodDelete }

// Mix is a weighted set of classes.
type Mix []Class

var methods = []string{http.MethodGet, http.MethodPut, http.MethodDelete, http.MethodPost, http.MethodPatch}

// ParseMix reads a mix such as keyed-get=6,keyed-post=3,pooled-get=1.
func ParseMix(text string) (Mix, error) {
	var mix Mix
	for part := range strings.SplitSeq(text, ",") {
		name, weightText, _ := strings.Cut(strings.TrimSpace(part), "=")
		kind, method, _ := strings.Cut(name, "-")
		weight, err := strconv.Atoi(weightText)
		method = strings.ToUpper(method)
		if err != nil || weight < 0 || kind != "keyed" && kind != "pooled" || !slices.Contains(methods, method) {
			return nil, invalid("mix has %q; write keyed-get=6,keyed-post=3,pooled-get=1", part)
		}
		if weight > 0 {
			mix = append(mix, Class{Name: name, Keyed: kind == "keyed", Method: method, Weight: weight})
		}
	}
	if len(mix) == 0 {
		return nil, invalid("mix %q has no class with a weight", text)
	}
	return mix, nil
}

func (m Mix) weights() int {
	total := 0
	for _, c := range m {
		total += c.Weight
	}
	return total
}

// pick returns the class for a number below the sum of the weights.
func (m Mix) pick(n int) Class {
	for _, c := range m {
		if n < c.Weight {
			return c
		}
		n -= c.Weight
	}
	return m[len(m)-1]
}

// Check refuses options that describe no bounded run.
func (o Options) Check() error {
	switch {
	case len(o.Nodes) == 0:
		return invalid("there is no node")
	case o.Rate < 0 || o.Rate == 0 && o.Concurrency < 1:
		return invalid("there is neither a rate nor a concurrency")
	case o.Duration <= 0 || o.Timeout <= 0:
		return invalid("the duration or the time-out is not positive")
	case o.MaxInFlight < 1 || o.Retries < 0 || o.RetryPause < 0 || o.MaxRequests < 0:
		return invalid("a bound on requests is out of range")
	case o.Keys < 1 || o.Zipf != 0 && o.Zipf <= 1:
		return invalid("there are no keys, or the Zipf exponent is not above 1")
	case o.BodySize < 0 || o.BodySize > maxBodyBytes || o.AnswerSize < 0:
		return invalid("the size of bodies is out of range")
	case len(o.Mix) == 0:
		return invalid("the mix is empty")
	}
	return nil
}

func invalid(format string, args ...any) error {
	return errs.New(errs.Invalid, "See docs/citronload.md.", format, args...)
}
