// Package ingress decides where a request goes: its route, its service, the target of a pooled service, and whether it
// may be retried. It performs no I/O and takes the time as an argument.
package ingress

import (
	"math"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronvane/citronvane/internal/tenant"
)

// Kind says whether the requests of a route may be retried.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests may run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Download requests are safe and have large responses.
	Download
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != Unsafe }

// WeightedService is a service that gets a share of a route's requests in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is a route of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Priority is the priority; 0 is the highest.
	Priority int
	// MaxAttempts is the number of targets that a request may be sent to.
	MaxAttempts int
	Services    []WeightedService
	// Public routes serve requests without the key of a tenant.
	Public      bool
	totalWeight int
}

// Service is the configuration of a service.
type Service struct {
	// Keyed services run a request only on the target that owns its key.
	Keyed bool
	// ColdPerSecond is the number of requests per second that a cold target sustains.
	ColdPerSecond float64
	// HealthPath is the path at which a target reports its health, empty if it has none.
	HealthPath string
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	MaxBody int64
	// MaxHead is the limit of a request's head in bytes, 0 for the node's own.
	MaxHead     int64
	IdleTimeout time.Duration
}

// Config is an indexed configuration.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Tenants holds the tenants, nil if the configuration has none.
	Tenants *tenant.Directory
	hosts   map[string][]*Route // by host, longest prefix first
}

// NewConfig returns a configuration with its routes indexed by host.
func NewConfig(version uint64, routes []*Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, hosts: map[string][]*Route{}}
	for _, r := range routes {
		for _, p := range r.Services {
			r.totalWeight += p.Weight
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// Match returns the route of a request, or nil.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// KeyedServices returns the names of the keyed services in their order.
func (c *Config) KeyedServices() []string {
	var names []string
	for name, s := range c.Services {
		if s.Keyed {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// RouteNames returns the set of the names of all routes.
func (c *Config) RouteNames() map[string]bool {
	names := map[string]bool{}
	for _, routes := range c.hosts {
		for _, r := range routes {
			names[r.Name] = true
		}
	}
	return names
}

// MostUrgentRank returns the lowest priority number of all routes.
func (c *Config) MostUrgentRank() int {
	rank := math.MaxInt
	for _, routes := range c.hosts {
		for _, r := range routes {
			rank = min(rank, r.Priority)
		}
	}
	return rank
}

// SelectService returns the service that gets the request. Requests with the same id always go to the same service.
func (r *Route) SelectService(id string) string {
	if len(r.Services) == 1 || r.totalWeight <= 0 {
		return r.Services[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(r.totalWeight))
	for _, p := range r.Services {
		if n < p.Weight {
			return p.Service
		}
		n -= p.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
