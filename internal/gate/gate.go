// Package gate guards the target of this host. It checks each relayed request
// (slice ownership, lease, idempotency key, poison list, admission) and
// forwards it to the target or refuses it. It never chooses another node.
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

// TokenHeader carries a new idempotency token on each response to a keyed request.
const TokenHeader = "Citronvane-Token"

// TokenMethod is the method of a request for an idempotency token. It is never forwarded to the target.
const TokenMethod = "TOKEN"

const (
	// defaultMaxRequest applies to services that set no max_request. It is the highest value that the configuration
	// allows.
	defaultMaxRequest = 30 * time.Second
	// defaultIdentityRetention applies to services that set no identity_retention.
	defaultIdentityRetention = 15 * time.Minute
	// maxWaitingBodyBytes bounds the memory of request bodies that wait for the target: about 500 bodies of the
	// largest buffered size, far more than the admission queue of a target holds.
	maxWaitingBodyBytes = 32 << 20
)

// Config holds the dependencies of a Gate.
type Config struct {
	// Node is the name of this node.
	Node   string
	Table  *routing.Table
	Lease  *routing.Lease
	Clock  clock.Clock
	Runner target.Runner
	// SetRunnerTarget sets the target that Runner sends requests to. It may be nil.
	SetRunnerTarget func(cluster.TargetInfo)
	Logger          *log.Logger
	// WallClock returns the wall clock time, which idempotency tokens contain.
	WallClock func() time.Time
	// BroadcastPoisonReport sends a poison report of this node to the other nodes. It must not block. It may be nil.
	BroadcastPoisonReport func(*wire.PoisonReport)
}

// Gate implements relay.Handler, target.Listener and target.Work.
type Gate struct {
	cfg        Config
	admission  *admission.Controller
	bodyBudget *admission.BodyBudget
	coldStart  atomic.Pointer[admission.ColdStart]
	metrics    *metrics
	logLimiter rate.Sometimes

	mu              sync.Mutex
	identities      *identity.Store
	poison          *poison.List
	inFlightBySlice map[cluster.SliceID]int
	totalInFlight   int
	target          cluster.TargetInfo // Down while the target sends no announcements
	targetDraining  bool
}

var (
	_ relay.Handler   = (*Gate)(nil)
	_ target.Listener = (*Gate)(nil)
	_ target.Work     = (*Gate)(nil)
)

// New returns a gate without a target.
func New(cfg Config) (*Gate, error) {
	g := &Gate{
		cfg:             cfg,
		admission:       admission.NewController(cfg.Clock, admission.TargetCapacity{}),
		bodyBudget:      admission.NewBodyBudget(maxWaitingBodyBytes),
		logLimiter:      rate.Sometimes{Interval: time.Second},
		identities:      identity.NewStore(identity.DefaultLimits),
		poison:          poison.NewList(cfg.Node),
		inFlightBySlice: map[cluster.SliceID]int{},
		target:          cluster.TargetInfo{Down: true},
	}
	g.coldStart.Store(&admission.ColdStart{})
	m, err := newMetrics(g)
	if err != nil {
		return nil, err
	}
	g.metrics = m
	return g, nil
}

// Close unregisters the metrics.
func (g *Gate) Close() error { return g.metrics.close() }

// ServeRelay handles a relayed request for the target of this host.
func (g *Gate) ServeRelay(ctx context.Context, req *relay.Request, w relay.ResponseWriter) error {
	ctx, span := startSpan(ctx, req.Head)
	defer span.End()
	c := &call{gate: g, head: req.Head, body: req.Body, w: w, span: span}
	spec, refusal := g.serviceConfig(req.Head.GetService())
	if refusal != nil {
		return c.refuse(refusal)
	}
	c.spec = spec
	if req.Head.GetSlice() >= 0 {
		c.id = cluster.SliceID{Service: req.Head.GetService(), Index: int(req.Head.GetSlice())}
		c.keyed = true
	}
	g.beginCall(c)
	defer g.endCall(c)
	return c.serve(ctx)
}

// serviceConfig returns the configuration of a service with the defaults filled in.
func (g *Gate) serviceConfig(service string) (config.Service, *answer.Refusal) {
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
		spec.IdentityRetention = config.Duration(defaultIdentityRetention)
	}
	return spec
}

// beginCall counts the request before any check. A handover that publishes Moving and then reads a count of zero can
// thus rely on every later request seeing Moving.
func (g *Gate) beginCall(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.totalInFlight++
	if c.keyed {
		g.inFlightBySlice[c.id]++
	}
}

func (g *Gate) endCall(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.totalInFlight--
	if !c.keyed {
		return
	}
	g.inFlightBySlice[c.id]--
	if g.inFlightBySlice[c.id] == 0 {
		delete(g.inFlightBySlice, c.id)
	}
}

// checkDispatch returns the refusal of a request that may not be sent to the target now, or nil. It checks the lease
// last.
func (g *Gate) checkDispatch(c *call) *answer.Refusal {
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

// checkTarget returns a refusal if this host has no running target of the service.
func (g *Gate) checkTarget(c *call) *answer.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.target.Down && g.target.Service != c.head.GetService() {
		return answer.Refuse(answer.NotOwner, "the target of this host serves %q", g.target.Service)
	}
	if g.target.Down {
		return answer.Refuse(answer.TargetDown, "the target of this host sends no announcements")
	}
	return nil
}

// checkDraining refuses pooled requests while the node or its target drains. Keyed requests are accepted until their
// slice is handed over.
func (g *Gate) checkDraining(snapshot *routing.Snapshot) *answer.Refusal {
	g.mu.Lock()
	targetDraining := g.targetDraining
	g.mu.Unlock()
	if snapshot.Draining || targetDraining {
		return answer.Refuse(answer.Draining, "node %s is draining", g.cfg.Node)
	}
	return nil
}

func (g *Gate) checkZone(snapshot *routing.Snapshot) *answer.Refusal {
	if snapshot.ZoneOutAt != 0 && g.cfg.Clock.Now() >= snapshot.ZoneOutAt {
		return answer.Refuse(answer.ZoneOut, "the availability zone of node %s is out of service", g.cfg.Node)
	}
	return nil
}

// checkOwner checks slice ownership and epoch against the snapshot, but not the lease.
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
		return answer.Refuse(answer.NotOwner, "slice %s is not yet served by its new owner", c.id).WithRetryAfter(wait)
	}
	return nil
}

func (g *Gate) checkLease() *answer.Refusal {
	if !g.cfg.Lease.Valid(g.cfg.Clock.Now()) {
		return answer.Refuse(answer.LeaseLapsed, "node %s has lost its lease", g.cfg.Node)
	}
	return nil
}

// isIdempotent reports whether requests with the method may be executed more than once.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// identityRetention returns the identity retention of a service, or the default if the service is not in the
// configuration.
func (g *Gate) identityRetention(service string) time.Duration {
	spec := g.cfg.Table.Load().View.Configuration.Document.Services[service]
	return withDefaults(spec).IdentityRetention.Std()
}
