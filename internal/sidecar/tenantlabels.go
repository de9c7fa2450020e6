package sidecar

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/citronvane/citronvane/internal/answer"
)

const (
	// maxNamedTenants bounds the tenants that metrics and log lines name. The metrics of a process keep each label until it ends.
	maxNamedTenants = 20
	// otherTenants stands for all tenants beyond them.
	otherTenants = "other"
)

// tenantLabels holds the tenants that metrics and log lines name: the first ones with a request at this node.
type tenantLabels struct {
	mu    sync.Mutex
	named atomic.Pointer[map[string]bool]
}

// label returns the name of the tenant, or otherTenants.
func (l *tenantLabels) label(tenant string) string {
	named := l.named.Load()
	if named != nil && (*named)[tenant] {
		return tenant
	}
	if named != nil && len(*named) >= maxNamedTenants {
		return otherTenants
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[string]bool{}
	if named = l.named.Load(); named != nil {
		next = maps.Clone(*named)
	}
	if !next[tenant] && len(next) >= maxNamedTenants {
		return otherTenants
	}
	next[tenant] = true
	l.named.Store(&next)
	return tenant
}

// countTenantResult counts the outcome of a request that has been sent to a target.
func (e *entrance) countTenantResult(x *exchange, res *result) {
	switch {
	case x.tenant == nil || res.refusal != nil: // Counted as a refusal.
	case res.err != nil:
		e.metrics.countTenantRequest(e.tenantLabels.label(x.tenant.Name), "unknown")
	default:
		e.metrics.countTenantRequest(e.tenantLabels.label(x.tenant.Name), "answered")
	}
}

// countTenantRefusal counts a request that has not run.
func (e *entrance) countTenantRefusal(x *exchange, r *refusal) {
	if x.tenant == nil {
		return
	}
	outcome := "refused"
	if r.kind == answer.QuotaExceeded {
		outcome = "over_cap"
	}
	e.metrics.countTenantRequest(e.tenantLabels.label(x.tenant.Name), outcome)
}
