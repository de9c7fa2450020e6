package config

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

// Defaults and bounds of service settings.
const (
	DefaultSlices            = 256
	MaxSlices                = 16384
	DefaultMaxRequest        = Duration(2 * time.Second)
	MaxMaxRequest            = Duration(30 * time.Second) // A graceful stop waits 35 s, so that it cuts off no request.
	DefaultMaxBodyBytes      = 1 << 20
	MaxMaxBodyBytes          = 16 << 20
	DefaultIdentityRetention = Duration(15 * time.Minute)
	MaxIdentityRetention     = Duration(24 * time.Hour)
	DefaultColdConcurrency   = 2
	DefaultColdRamp          = Duration(10 * time.Second)
	MaxColdRamp              = Duration(time.Hour)
)

// namePattern keeps names usable in URLs, object names and headers.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (d *Document) setDefaults() {
	for name, zone := range d.AvailabilityZones {
		if zone.State == "" {
			zone.State = ZoneIn
			d.AvailabilityZones[name] = zone
		}
	}
	for name, service := range d.Services {
		service.setDefaults()
		d.Services[name] = service
	}
	for i := range d.Rules {
		if d.Rules[i].Priority == "" {
			d.Rules[i].Priority = Interactive
		}
	}
}

func (s *Service) setDefaults() {
	if s.Kind == Keyed {
		setDefault(&s.Slices, DefaultSlices)
		setDefault(&s.IdentityRetention, DefaultIdentityRetention)
	}
	setDefault(&s.MaxRequest, DefaultMaxRequest)
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.ColdStart.Concurrency, DefaultColdConcurrency)
	setDefault(&s.ColdStart.Ramp, DefaultColdRamp)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// problems collects what is wrong with a document, each with the path of its field.
type problems []error

func (p *problems) add(field, format string, args ...any) {
	*p = append(*p, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// Validate checks the document as a whole: names, ranges, references and contradictions. It reports
// all problems at once.
func (d *Document) Validate() error {
	var p problems
	for _, name := range slices.Sorted(maps.Keys(d.AvailabilityZones)) {
		d.AvailabilityZones[name].validate("availability_zones."+name, name, &p)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		d.Services[name].validate("services."+name, name, &p)
	}
	seen := map[string]int{}
	for i, rule := range d.Rules {
		field := fmt.Sprintf("rules[%d]", i)
		rule.validate(field, d.Services, &p)
		if first, twice := seen[rule.Prefix]; twice {
			p.add(field+".prefix", "the prefix %q stands in rules[%d] already; remove one of them", rule.Prefix, first)
		}
		seen[rule.Prefix] = i
	}
	return errs.Join(errs.Invalid, "Correct the named fields; the configuration was not changed.", p...)
}

func (z AvailabilityZone) validate(field, name string, p *problems) {
	validateName(field, name, p)
	if z.State != ZoneIn && z.State != ZoneOut {
		p.add(field+".state", "must be %q or %q, not %q", ZoneIn, ZoneOut, z.State)
	}
}

func (s Service) validate(field, name string, p *problems) {
	validateName(field, name, p)
	switch s.Kind {
	case Keyed:
		validateRange(field+".slices", s.Slices, 1, MaxSlices, p)
		validateRange(field+".identity_retention", s.IdentityRetention.Std(), time.Second, MaxIdentityRetention.Std(), p)
		if s.Hedge {
			p.add(field+".hedge", "a keyed service can't be hedged; remove hedge or make the service pooled")
		}
	case Pooled:
		if s.Slices != 0 {
			p.add(field+".slices", "a pooled service has no slices; remove it")
		}
		if s.IdentityRetention != 0 {
			p.add(field+".identity_retention", "a pooled service keeps no identities; remove it")
		}
	default:
		p.add(field+".kind", "must be %q or %q, not %q", Keyed, Pooled, s.Kind)
	}
	validateRange(field+".max_request", s.MaxRequest.Std(), time.Millisecond, MaxMaxRequest.Std(), p)
	validateRange(field+".max_body_bytes", s.MaxBodyBytes, 1, MaxMaxBodyBytes, p)
	validateRange(field+".cold_start.concurrency", s.ColdStart.Concurrency, 1, 100000, p)
	validateRange(field+".cold_start.ramp", s.ColdStart.Ramp.Std(), 0, MaxColdRamp.Std(), p)
}

func (r Rule) validate(field string, services map[string]Service, p *problems) {
	if !strings.HasPrefix(r.Prefix, "/") || r.Prefix != "/" && strings.HasSuffix(r.Prefix, "/") {
		p.add(field+".prefix", "must start with a slash and not end with one, unlike %q", r.Prefix)
	}
	if hasPathPrefix(r.Prefix, "/v1/tokens") || r.Prefix == "/healthz" {
		p.add(field+".prefix", "%q is a path of citronvane itself; choose another prefix", r.Prefix)
	}
	switch r.Priority {
	case Internal, Interactive, Batch:
	default:
		p.add(field+".priority", "must be %q, %q or %q, not %q", Internal, Interactive, Batch, r.Priority)
	}
	service, known := services[r.Service]
	if !known {
		p.add(field+".service", "service %q does not exist; create it in the same patch or correct the name", r.Service)
		return
	}
	r.Key.validate(field+".key", service.Kind, p)
}

func (k KeySource) validate(field string, kind ServiceKind, p *problems) {
	if kind == Pooled {
		if !k.IsZero() {
			p.add(field, "a pooled service has no keys; remove it")
		}
		return
	}
	set := 0
	for _, isSet := range []bool{k.PathSegment != 0, k.Header != "", k.Query != ""} {
		if isSet {
			set++
		}
	}
	if set != 1 {
		p.add(field, "a keyed service needs exactly one of path_segment, header and query")
	}
	if k.PathSegment < 0 {
		p.add(field+".path_segment", "must be 1 or more, not %d", k.PathSegment)
	}
}

// ValidName reports whether a name can stand in URLs, object names and headers.
func ValidName(name string) bool { return namePattern.MatchString(name) }

func validateName(field, name string, p *problems) {
	if !ValidName(name) {
		p.add(field, "the name must have 1 to 63 small letters, digits and hyphens, and start and end with a letter or digit")
	}
}

func validateRange[T int | int64 | time.Duration](field string, value, low, high T, p *problems) {
	if value < low || value > high {
		p.add(field, "must be from %v to %v, not %v", low, high, value)
	}
}

// checkTransition refuses changes that would break the assignments of existing slices.
func checkTransition(old, next *Document) error {
	var p problems
	for _, name := range slices.Sorted(maps.Keys(old.Services)) {
		before := old.Services[name]
		after, kept := next.Services[name]
		if !kept {
			continue
		}
		if before.Kind != after.Kind {
			p.add("services."+name+".kind", "can't change from %q to %q; create another service and move the rules", before.Kind, after.Kind)
		}
		if before.Slices != after.Slices && before.Kind == after.Kind {
			p.add("services."+name+".slices", "can't change from %d to %d, because keys would change owners without a handover", before.Slices, after.Slices)
		}
	}
	return errs.Wrap(errors.Join(p...), errs.Invalid, "Correct the named fields; the configuration was not changed.", "change of an existing service")
}
