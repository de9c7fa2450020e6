// Package tenant identifies the tenant of a request by its API key and ranks its requests. It performs no I/O.
package tenant

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/citronvane/citronvane/internal/errs"
)

const (
	// maxKeyLength is the longest API key in bytes. It bounds the work that a request without a valid key causes.
	maxKeyLength = 1024
	// scheme is the authentication scheme of API keys (RFC 6750).
	scheme = "bearer"
	// levels is the number of distinct tenant priorities, and of distinct route priorities, that ranks keep apart.
	levels = 8
	// Ranks is the number of ranks.
	Ranks = levels * levels

	remedy = "Correct the table tenants of the configuration."
)

// Tenant is a customer of the operator. Its requests carry one of its API keys.
type Tenant struct {
	Name string
	// Priority is the priority; 0 is the highest.
	Priority int
	// RatePerSecond and Burst are the usage cap. The tenant is not capped if RatePerSecond is 0.
	RatePerSecond, Burst float64
	// level is the position of the priority among those of all tenants.
	level int
}

// Capped reports whether the tenant has a usage cap.
func (t *Tenant) Capped() bool { return t.RatePerSecond > 0 }

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ValidKey reports whether a request can carry the key: it has from 1 to maxKeyLength bytes, all of them visible ASCII.
func ValidKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// Directory holds all tenants of a configuration. It does not change, so that it is read without locks. It keeps only the digests of
// keys: a lookup compares digests, whose timing reveals nothing of a key. A nil Directory is that of a configuration without tenants.
type Directory struct {
	tenants  []*Tenant
	byDigest map[Digest]*Tenant
	byName   map[string]*Tenant
	// routeLevels maps each priority of a route to its position among those of all routes.
	routeLevels map[int]int
}

// NewDirectory returns a directory of the tenants with the digests of their keys. A key must not belong to two tenants.
func NewDirectory(keys map[*Tenant][]Digest, routePriorities []int) (*Directory, error) {
	d := &Directory{byDigest: map[Digest]*Tenant{}, byName: map[string]*Tenant{}}
	var priorities []int
	for t, digests := range keys {
		d.tenants = append(d.tenants, t)
		d.byName[t.Name] = t
		priorities = append(priorities, t.Priority)
		for _, digest := range digests {
			if other := d.byDigest[digest]; other != nil && other != t {
				return nil, errs.New(errs.Invalid, remedy, "configuration: tenants %q and %q share an API key", other.Name, t.Name)
			}
			d.byDigest[digest] = t
		}
	}
	slices.SortFunc(d.tenants, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
	tenantLevels := positions(priorities)
	for _, t := range d.tenants {
		t.level = tenantLevels[t.Priority]
	}
	d.routeLevels = positions(routePriorities)
	return d, nil
}

// positions maps each of the numbers to its position in their order without repetitions, up to the last level.
func positions(numbers []int) map[int]int {
	numbers = slices.Clone(numbers)
	slices.Sort(numbers)
	p := map[int]int{}
	for i, n := range slices.Compact(numbers) {
		p[n] = min(i, levels-1)
	}
	return p
}

// Tenants returns all tenants, ordered by name.
func (d *Directory) Tenants() []*Tenant {
	if d == nil {
		return nil
	}
	return d.tenants
}

// Find returns the tenant with the name, or nil.
func (d *Directory) Find(name string) *Tenant {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Identify returns the tenant whose key the request carries in its Authorization fields, or nil if it carries none. ok is false if it
// carries anything else than the key of a tenant.
func (d *Directory) Identify(authorization []string) (t *Tenant, ok bool) {
	if len(authorization) == 0 {
		return nil, true
	}
	if len(authorization) > 1 {
		return nil, false
	}
	name, key, _ := strings.Cut(authorization[0], " ")
	if !strings.EqualFold(name, scheme) {
		return nil, false
	}
	key = strings.Trim(key, " ")
	if !ValidKey(key) {
		return nil, false
	}
	t = d.byDigest[DigestOf(key)]
	return t, t != nil
}

// Rank returns the rank of a request of the tenant on a route with the priority; 0 is the highest. The tenant's priority is compared
// first and the route's second. A request without a tenant is ranked as if it came from the tenant with the highest priority. Without
// tenants, the rank is the priority of the route, of which those beyond the last level are equal.
func (d *Directory) Rank(t *Tenant, routePriority int) int {
	switch {
	case d == nil:
		return min(routePriority, levels-1)
	case t == nil:
		return d.routeLevels[routePriority]
	}
	return t.level*levels + d.routeLevels[routePriority]
}
