// Package gate is the last check in front of the host's own target. It decides
// whether a request may run here and now (ownership, lease, identity, poison,
// admission) and passes it on. It never chooses another node.
package gate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/citronvane/citronvane/internal/admission"
	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/identity"
	"github.com/citronvane/citronvane/internal/poison"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/wire"
)

// TokenHeader carries a new token on each answer to a keyed request.
const TokenHeader = "Citronvane-Token"

// TokenMethod is the method of a request for a token. It never reaches the target.
const TokenMethod = "TOKEN"

const (
	// defaultMaxRequest is the highest max_request that the configuration allows.
	defaultMaxRequest = 30 * time.Second
	// defaultRetention is the identity_retention of services that set none.
	defaultRetention = 15 * time.Minute
	// maxWaitingBodies bounds the memory of request bodies that wait for the target. It holds about 500 bodies of
	// the largest buffered size, far more than the queue of a target.
	maxWaitingBodies = 32 << 20
)

// Config holds what a Gate needs.
type Config struct {
	// Node is the name of this node.
	Node   string
	Table  *routing.Table
	Lease  *routing.Lease
	Clock  clock.Clock
	Runner target.Runner
	// UseTarget directs the runner to an announced target. It may be nil.
	UseTarget func(cluster.TargetInfo)
	Logger    *log.Logger
	// Wall returns the wall clock time, for tokens.
	Wall func() time.Time
	// SharePoison sends a report of this node to the others. It must not block. It may be nil.
	SharePoison func(*wire.PoisonReport)
}

// Gate implements relay.Handler, target.Listener and target.Work.
type Gate struct {
	cfg       Config
	admission *admission.Controller
	bodies    *admission.BodyBudget
	cold      atomic.Pointer[admission.ColdStart]
	metrics   *metrics
	logOnce   rate.Sometimes

	mu         sync.Mutex
	identities *identity.Store
	poison     *poison.List
	inFlight   map[cluster.SliceID]int
	total      int
	target     cluster.TargetInfo // Down while the target is lost
	leaving    bool
}

var (
	_ relay.Handler   = (*Gate)(nil)
	_ target.Listener = (*Gate)(nil)
	_ target.Work     = (*Gate)(nil)
)

// New returns a gate without a target.
func New(cfg Config) (*Gate, error) {
	g := &Gate{
		cfg:        cfg,
		admission:  admission.NewController(cfg.Clock, admission.TargetCapacity{}),
		bodies:     admission.NewBodyBudget(maxWaitingBodies),
		logOnce:    rate.Sometimes{Interval: time.Second},
		identities: identity.NewStore(identity.DefaultLimits),
		poison:     poison.NewList(cfg.Node),
		inFlight:   map[cluster.SliceID]int{},
		target:     cluster.TargetInfo{Down: true},
	}
	g.cold.Store(&admission.ColdStart{})
	m, err := newMetrics(g)
	if err != nil {
		return nil, err
	}
	g.metrics = m
	return g, nil
}

// Close ends the reporting of metrics.
func (g *Gate) Close() error { return g.metrics.close() }

// ServeRelay answers a request for the host's own target.
func (g *Gate) ServeRelay(ctx context.Context, req *relay.Request, w relay.ResponseWriter) error {
	ctx, span := startSpan(ctx, req.Head)
	defer span.End()
	c := &call{gate: g, head: req.Head, body: req.Body, w: w, span: span}
	spec, refusal := g.spec(req.Head.GetService())
	if refusal != nil {
		return c.refuse(refusal)
	}
	c.spec = spec
	if req.Head.GetSlice() >= 0 {
		c.id = cluster.SliceID{Service: req.Head.GetService(), Index: int(req.Head.GetSlice())}
		c.keyed = true
	}
	g.enter(c)
	defer g.leave(c)
	return c.serve(ctx)
}

// spec returns the configuration of a service with the defaults filled in.
func (g *Gate) spec(service string) (config.Service, *answer.Refusal) {
	spec, ok := g.cfg.Table.Load().View.Configuration.Document.Services[service]
	if !ok {
		return spec, answer.Refuse(answer.NoOwner, "service %q is not in the configuration of this node", service)
	}
	return withDefaults(spec), nil
}

func withDefaults(spec config.Service) config.Service {
	if spec.MaxRequest <= 0 {
		spec.MaxRequest = config.Duration(defaultMaxRequest)
	}
	if spec.IdentityRetention <= 0 {
		spec.IdentityRetention = config.Duration(defaultRetention)
	}
	return spec
}

// enter counts the request before it is checked: a handover that publishes Moving and then reads a zero count knows
// that every later request sees Moving.
func (g *Gate) enter(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total++
	if c.keyed {
		g.inFlight[c.id]++
	}
}

func (g *Gate) leave(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	if !c.keyed {
		return
	}
	g.inFlight[c.id]--
	if g.inFlight[c.id] == 0 {
		delete(g.inFlight, c.id)
	}
}

// check reports why the request may not be passed to the target now, or nil. The lease is read last.
func (g *Gate) check(c *call) *answer.Refusal {
	snapshot := g.cfg.Table.Load()
	if refusal := g.checkZone(snapshot); refusal != nil {
		return refusal
	}
	if refusal := g.checkTarget(c); refusal != nil {
		return refusal
	}
	if !c.keyed {
		return g.checkDraining(snapshot)
	}
	if refusal := g.checkOwner(snapshot, c); refusal != nil {
		return refusal
	}
	return g.checkLease()
}

// checkTarget returns a refusal if no target of the service is there.
func (g *Gate) checkTarget(c *call) *answer.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.target.Down && g.target.Service != c.head.GetService() {
		return answer.Refuse(answer.NotOwner, "the target of this host serves %q", g.target.Service)
	}
	if g.target.Down {
		return answer.Refuse(answer.TargetDown, "the target of this host does not announce itself")
	}
	return nil
}

// checkDraining stops pooled requests. Keyed ones go on until their slices are handed over.
func (g *Gate) checkDraining(snapshot *routing.Snapshot) *answer.Refusal {
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	if snapshot.Draining || leaving {
		return answer.Refuse(answer.Draining, "node %s is leaving", g.cfg.Node)
	}
	return nil
}

func (g *Gate) checkZone(snapshot *routing.Snapshot) *answer.Refusal {
	if snapshot.ZoneOutAt != 0 && g.cfg.Clock.Now() >= snapshot.ZoneOutAt {
		return answer.Refuse(answer.ZoneOut, "the availability zone of node %s is out of service", g.cfg.Node)
	}
	return nil
}

// checkOwner checks the ownership by the snapshot, without the lease.
func (g *Gate) checkOwner(snapshot *routing.Snapshot, c *call) *answer.Refusal {
	owned, ok := snapshot.Owned[c.id]
	if !ok {
		return answer.Refuse(answer.NotOwner, "node %s does not own slice %s", g.cfg.Node, c.id)
	}
	if owned.Epoch != c.head.GetEpoch() {
		return answer.Refuse(answer.NotOwner, "node %s owns slice %s at epoch %d, not %d", g.cfg.Node, c.id, owned.Epoch, c.head.GetEpoch())
	}
	if owned.Moving {
		return answer.Refuse(answer.Moving, "slice %s is being handed over", c.id)
	}
	if wait := owned.ReadyAt.Sub(g.cfg.Clock.Now()); wait > 0 {
		return answer.Refuse(answer.NotOwner, "slice %s is not ready at its new owner", c.id).WithRetryAfter(wait)
	}
	return nil
}

func (g *Gate) checkLease() *answer.Refusal {
	if !g.cfg.Lease.Valid(g.cfg.Clock.Now()) {
		return answer.Refuse(answer.LeaseLapsed, "node %s has lost its lease", g.cfg.Node)
	}
	return nil
}

// isIdempotent reports whether a method may run more than once.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// retention returns the identity retention of a service, also of one that is not in the configuration.
func (g *Gate) retention(service string) time.Duration {
	spec := g.cfg.Table.Load().View.Configuration.Document.Services[service]
	return withDefaults(spec).IdentityRetention.Std()
}
