package sidecar

import (
	"net/http"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
)

// identify sets the tenant and the rank of a request, or refuses a request that needs the key of a tenant.
func (x *exchange) identify(config *ingress.Config, r *http.Request) *refusal {
	if config.Tenants != nil {
		t, ok := config.Tenants.Identify(platform.Authorization(r.Header))
		if !ok {
			return &refusal{answer.Unauthorized, 0, "invalid_key"}
		}
		if t == nil && !x.route.Public {
			return &refusal{answer.Unauthorized, 0, "no_key_of_tenant"}
		}
		x.tenant = t
	}
	x.rank = config.Tenants.Rank(x.tenant, x.route.Priority)
	return nil
}

// tenantName returns the name of the request's tenant, "" if it has none.
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// respondBeforeBody makes the server send the response without waiting for the body of the request, of which net/http would otherwise
// read up to 256 KB first.
func respondBeforeBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).EnableFullDuplex() // A writer without this ability waits for no body.
}

// stripAuthorization removes the key from a request to the target. The entrance has removed it, unless its configuration is an earlier
// one without tenants.
func (g *gate) stripAuthorization(h http.Header) {
	if g.state.hasTenants() {
		platform.StripAuthorization(h)
	}
}

// tenantOf returns the name of the tenant of a relayed request, "" if it has none or the configuration does not know it.
func (g *gate) tenantOf(head *wire.RequestHead) string {
	config := g.state.config.Load()
	if config == nil || config.Tenants == nil {
		return ""
	}
	for _, h := range head.Headers {
		if h.Name == platform.HeaderTenant && config.Tenants.Find(h.Value) != nil {
			return h.Value
		}
	}
	return ""
}

// hasTenants reports whether the configuration has tenants.
func (s *state) hasTenants() bool {
	config := s.config.Load()
	return config != nil && config.Tenants != nil
}

// documentForNodes returns a configuration as nodes may send it to each other: it contains no keys of tenants.
func documentForNodes(version uint64, value []byte, hasTenants bool) *configDocument {
	if hasTenants {
		var err error
		if value, err = platform.WithoutKeys(value); err != nil {
			return nil // Polls then carry only the version, and each node reads the configuration from the store.
		}
	}
	return &configDocument{version, value}
}
