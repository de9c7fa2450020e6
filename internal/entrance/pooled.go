package entrance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/outlier"
	"github.com/citronvane/citronvane/internal/routing"
)

const (
	// equalShare is how close the scores of two nodes are when they count as equal. Latencies vary
	// by more than that from request to request.
	equalShare = 0.25
	// scoreFloor keeps a node without latencies from looking infinitely fast.
	scoreFloor = time.Millisecond
	// draws is the number of random draws before the choice falls back to a scan.
	draws = 8
	// lostFactor multiplies the time after which the loser of a hedge was cancelled. Its answer would
	// have come later, and hedges would else hide stragglers from ejection.
	lostFactor = 3
)

// errHedgeLost cancels the copy of a hedged request that did not win.
var errHedgeLost = errors.New("another copy of the request won")

// serviceState holds the statistics of a pooled service.
type serviceState struct {
	pool  *outlier.Detector
	hedge *outlier.Hedger
}

func (h *Handler) service(name string) *serviceState {
	if s, ok := h.services.Load(name); ok {
		return s.(*serviceState)
	}
	fresh := &serviceState{pool: outlier.NewDetector(), hedge: outlier.NewHedger(h.opts.Clock.Now())}
	s, _ := h.services.LoadOrStore(name, fresh)
	return s.(*serviceState)
}

// poolIndex lists the nodes of each service in one view.
type poolIndex struct {
	view *cluster.View
	// open holds the nodes that take new work; zoneOut says that others are in a zone that is out.
	open    map[string][]*cluster.Node
	zoneOut map[string]bool
}

// index returns the nodes by service, computed once for each view.
func (h *Handler) index(view *cluster.View) *poolIndex {
	if known := h.pools.Load(); known != nil && known.view == view {
		return known
	}
	index := &poolIndex{view: view, open: map[string][]*cluster.Node{}, zoneOut: map[string]bool{}}
	zones := view.Configuration.Document.AvailabilityZones
	for _, node := range view.SortedNodes() {
		service := node.Target.Service
		switch {
		case !node.Serves(service) || node.Addresses.Relay == "":
		case zones[node.Location.AvailabilityZone].State == config.ZoneOut:
			index.zoneOut[service] = true
		default:
			index.open[service] = append(index.open[service], node)
		}
	}
	h.pools.Store(index)
	return index
}

func (s *session) attemptPooled(ctx context.Context, snapshot *routing.Snapshot) *outcome {
	node := s.choose(snapshot)
	if node == nil {
		return &outcome{refusal: s.noTarget(snapshot)}
	}
	state := s.service(s.request.routed.Service)
	state.hedge.RecordRequest()
	delay, known := state.hedge.Delay(s.opts.Clock.Now())
	if known && s.request.routed.Spec.Hedge && s.request.idempotent && s.request.body.stream == nil {
		return s.sendHedged(ctx, snapshot, node, delay)
	}
	s.mark(node)
	return s.send(ctx, snapshot, node, 0)
}

func (s *session) mark(node *cluster.Node) {
	s.sent++
	s.tried[node.ID.Name] = true
}

func (s *session) noTarget(snapshot *routing.Snapshot) *answer.Refusal {
	service := s.request.routed.Service
	if s.index(snapshot.View).zoneOut[service] {
		return answer.Refuse(answer.ZoneOut, "all targets of service %q are in availability zones that are out", service).WithRetryAfter(ownerRetryAfter)
	}
	return answer.Refuse(answer.NoOwner, "service %q has no live target", service).WithRetryAfter(ownerRetryAfter)
}

// choose returns the better of two random nodes that were not tried and are not ejected. When there
// are none it takes ejected ones, then tried ones.
func (s *session) choose(snapshot *routing.Snapshot) *cluster.Node {
	nodes := s.index(snapshot.View).open[s.request.routed.Service]
	state := s.service(s.request.routed.Service)
	now := s.opts.Clock.Now()
	own := func(n *cluster.Node) bool { return snapshot.Draining && n.ID == snapshot.Self }
	tests := []func(n *cluster.Node) bool{
		func(n *cluster.Node) bool {
			return !own(n) && !s.tried[n.ID.Name] && !state.pool.Ejected(n.ID.Name, now)
		},
		func(n *cluster.Node) bool { return !own(n) && !s.tried[n.ID.Name] },
		func(n *cluster.Node) bool { return !own(n) },
	}
	for _, eligible := range tests {
		first := pick(nodes, nil, eligible)
		if first == nil {
			continue
		}
		second := pick(nodes, first, eligible)
		if second == nil {
			return first
		}
		return s.better(state, first, second)
	}
	return nil
}

// pick returns a random eligible node other than the given one, or nil.
func pick(nodes []*cluster.Node, other *cluster.Node, eligible func(*cluster.Node) bool) *cluster.Node {
	if len(nodes) == 0 {
		return nil
	}
	for range draws {
		if n := nodes[rand.IntN(len(nodes))]; n != other && eligible(n) {
			return n
		}
	}
	start := rand.IntN(len(nodes))
	for i := range nodes {
		if n := nodes[(start+i)%len(nodes)]; n != other && eligible(n) {
			return n
		}
	}
	return nil
}

// better compares the expected wait, and prefers the own availability zone when it is about equal.
func (s *session) better(state *serviceState, a, b *cluster.Node) *cluster.Node {
	scoreA, scoreB := s.score(state, a), s.score(state, b)
	if max(scoreA, scoreB)*(1-equalShare) <= min(scoreA, scoreB) {
		ownA := a.Location.AvailabilityZone == s.opts.AvailabilityZone
		ownB := b.Location.AvailabilityZone == s.opts.AvailabilityZone
		if ownA != ownB {
			if ownA {
				return a
			}
			return b
		}
	}
	if scoreA <= scoreB {
		return a
	}
	return b
}

func (s *session) score(state *serviceState, n *cluster.Node) float64 {
	latency := max(state.pool.Latency(n.ID.Name), scoreFloor)
	return float64(s.counter(n.ID.Name).Load()+1) * float64(latency)
}

// observe records the latency of a target's answer. A lost or cancelled request only shows that the
// target was at least that slow, so it counts if that is news. Refusals say nothing about the target's speed.
func (s *session) observe(ctx context.Context, node string, o *outcome, elapsed time.Duration) {
	if o.kind != "" || o.notSent() {
		return
	}
	state := s.service(s.request.routed.Service)
	now := s.opts.Clock.Now()
	if errors.Is(context.Cause(ctx), errHedgeLost) {
		elapsed *= lostFactor
	}
	if o.err != nil && elapsed <= state.pool.Latency(node) {
		return
	}
	state.pool.Observe(node, elapsed, now)
	if o.err == nil {
		state.hedge.Observe(elapsed, now)
	}
}

// sendHedged sends a second copy after the delay. The first good answer wins and the other copy is cancelled.
func (s *session) sendHedged(ctx context.Context, snapshot *routing.Snapshot, node *cluster.Node, delay time.Duration) *outcome {
	outcomes := make(chan *outcome, 2)
	start := func(n *cluster.Node) context.CancelCauseFunc {
		s.mark(n)
		copyCtx, cancel := context.WithCancelCause(ctx)
		go func() {
			o := s.send(copyCtx, snapshot, n, 0)
			release := o.release
			o.release = func() { release(); cancel(nil) }
			o.node = n
			outcomes <- o
		}()
		return cancel
	}
	cancelFirst := start(node)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case o := <-outcomes:
		return o
	case <-timer.C:
	}
	other := s.choose(snapshot)
	if other == nil || s.tried[other.ID.Name] || !s.service(s.request.routed.Service).hedge.Allow() {
		return <-outcomes
	}
	s.metrics.hedge(ctx, s.request.routed.Service)
	cancelSecond := start(other)
	o := <-outcomes
	if o.err == nil && o.kind == "" {
		if o.node == node {
			cancelSecond(errHedgeLost)
		} else {
			cancelFirst(errHedgeLost)
		}
		go func() { (<-outcomes).close() }()
		return o
	}
	return s.settle(o, <-outcomes)
}

// settle takes the second outcome of a hedged request after the first one failed.
func (s *session) settle(failed, o *outcome) *outcome {
	properties, _ := answer.PropertiesOf(failed.kind)
	if !failed.notSent() && !properties.NotRun {
		s.unknown++
	}
	failed.close()
	return o
}
