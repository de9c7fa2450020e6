// Package ingress decides where a request goes: its route, the service that gets it, the target of a pooled service,
// and whether it may be sent once more. It performs no I/O and takes the time as an argument.
package ingress

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what of a route's requests may be repeated.
type Kind int

// The kinds.
const (
	// Unsafe requests may run once at most.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Download requests are safe and have large answers.
	Download
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != Unsafe }

// WeightedService is a service's share of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one entry of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	Services    []WeightedService
	totalWeight int
}

// Service is what the configuration says of a service.
type Service struct {
	// Keyed services run a request only where its key is held.
	Keyed bool
	// ColdPerSecond is how many requests a second a cold target bears.
	ColdPerSecond float64
	// HealthPath is where a target says how it is, empty if it does not.
	HealthPath string
}

// Limits bound what callers may send.
type Limits struct {
	MaxBody     int64
	IdleTimeout time.Duration
}

// Config is a configuration in force.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route // longest prefix first
}

// NewConfig indexes the routes.
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

// RouteNames returns the names of all routes.
func (c *Config) RouteNames() map[string]bool {
	names := map[string]bool{}
	for _, routes := range c.hosts {
		for _, r := range routes {
			names[r.Name] = true
		}
	}
	return names
}

// SelectService returns the service that gets the request. A request with the same identity always goes to the same one.
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
