package config

import (
	"net/http"
	"strings"

	"github.com/citronvane/citronvane/internal/answer"
)

// MaxKeyBytes bounds the length of a key.
const MaxKeyBytes = 1024

// Routed is the outcome of matching a request to the rules.
type Routed struct {
	Service  string
	Spec     Service
	Key      string // empty for pooled services
	Priority Priority
}

// Route finds the service and the key of a request. The error is an *answer.Refusal.
func (d *Document) Route(r *http.Request) (Routed, error) {
	rule := d.match(r.URL.Path)
	if rule == nil {
		return Routed{}, answer.Refuse(answer.NoRule, "no rule matches the path %q", r.URL.Path)
	}
	routed := Routed{
		Service:  rule.Service,
		Spec:     d.Services[rule.Service],
		Priority: rule.Priority,
	}
	if routed.Spec.Kind != Keyed {
		return routed, nil
	}
	routed.Key = rule.Key.read(rule.Prefix, r)
	if routed.Key == "" {
		return Routed{}, answer.Refuse(answer.BadRequest, "the request has no key; service %q reads it from %s", rule.Service, rule.Key)
	}
	if len(routed.Key) > MaxKeyBytes {
		return Routed{}, answer.Refuse(answer.TooLarge, "the key has %d bytes, more than %d", len(routed.Key), MaxKeyBytes)
	}
	return routed, nil
}

// match returns the rule with the longest prefix of the path, or nil.
func (d *Document) match(path string) *Rule {
	var best *Rule
	for i := range d.Rules {
		rule := &d.Rules[i]
		if !hasPathPrefix(path, rule.Prefix) {
			continue
		}
		if best == nil || len(rule.Prefix) > len(best.Prefix) {
			best = rule
		}
	}
	return best
}

func hasPathPrefix(path, prefix string) bool {
	if prefix == "/" || path == prefix {
		return true
	}
	return strings.HasPrefix(path, prefix+"/")
}

func (k KeySource) read(prefix string, r *http.Request) string {
	switch {
	case k.Header != "":
		return r.Header.Get(k.Header)
	case k.Query != "":
		return r.URL.Query().Get(k.Query)
	default:
		return pathSegment(strings.TrimPrefix(r.URL.Path, prefix), k.PathSegment)
	}
}

// pathSegment returns the n-th segment of the path, counted from 1, or an empty string.
func pathSegment(path string, n int) string {
	segments := strings.Split(strings.Trim(path, "/"), "/")
	if n < 1 || n > len(segments) {
		return ""
	}
	return segments[n-1]
}

// String describes the source for error messages.
func (k KeySource) String() string {
	switch {
	case k.Header != "":
		return "the header " + k.Header
	case k.Query != "":
		return "the query parameter " + k.Query
	default:
		return "the path"
	}
}
