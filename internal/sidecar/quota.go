package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/ingress"
	"github.com/citronvane/citronvane/internal/quota"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/wire"
)

// maxQuotaMessageBytes bounds a message to an allotter and its answer.
const maxQuotaMessageBytes = 4 << 10

// quotas keeps the usage caps of tenants: it runs the allotters whose keys the host's target holds, and takes tokens for requests of
// callers on this host.
type quotas struct {
	*node
	// tenants holds the capped tenants by name, keyed the names of the keyed services in their order.
	tenants atomic.Pointer[map[string]*tenantQuota]
	keyed   atomic.Pointer[[]string]

	mu        sync.Mutex
	allotters *quota.Allotters
}

// tenantQuota is the balance of one tenant at this node.
type tenantQuota struct {
	keys [quota.AllottersPerTenant]int

	mu     sync.Mutex
	name   string
	cap    quota.Cap
	client *quota.Client
	// share is the node's own part of the cap, which applies while no keyed service has owners.
	share *quota.Bucket
}

func newQuotas(n *node) *quotas {
	q := &quotas{node: n, allotters: quota.NewAllotters()}
	q.tenants.Store(&map[string]*tenantQuota{})
	q.keyed.Store(&[]string{})
	return q
}

// service returns the service whose keys place the allotters: the first keyed one by name that has owners, "" if there is none. One that
// has just been configured has no owners until its first targets register.
func (q *quotas) service() string {
	view := q.state.view.Load()
	for _, name := range *q.keyed.Load() {
		if table := view.Tables[name]; table != nil && len(table.Rows) > 0 {
			return name
		}
	}
	return ""
}

func (q *quotas) tolerance() quota.Tolerance {
	return quota.Tolerance{Window: q.bounds.QuotaWindow, Overage: q.bounds.QuotaOverage, Slack: q.bounds.QuotaSlack}
}

// applyConfig applies the caps of a new configuration. The caller serializes calls.
func (q *quotas) applyConfig(c *ingress.Config) {
	now := q.clock.Now()
	old, tenants, caps := *q.tenants.Load(), map[string]*tenantQuota{}, map[string]quota.Cap{}
	for _, t := range c.Tenants.Tenants() {
		if !t.Capped() {
			continue
		}
		limit := quota.Cap{Rate: t.RatePerSecond, Burst: t.Burst}
		caps[t.Name] = limit
		known := old[t.Name]
		if known == nil {
			known = &tenantQuota{name: t.Name, client: quota.NewClient(limit, q.tolerance()), share: quota.NewBucket(now, quota.Cap{})}
			for i := range known.keys {
				known.keys[i] = quota.ID{Tenant: t.Name, Index: i}.Key()
			}
		}
		known.mu.Lock()
		known.cap = limit
		known.client.SetCap(limit, q.tolerance())
		known.mu.Unlock()
		tenants[t.Name] = known
	}
	keyed := c.KeyedServices()
	q.keyed.Store(&keyed)
	q.tenants.Store(&tenants)
	q.mu.Lock()
	q.allotters.Configure(now, caps)
	q.mu.Unlock()
	q.updateAllotters(now)
}

// updateAllotters starts and stops allotters after a change of the target's grant.
func (q *quotas) updateAllotters(now clock.Instant) {
	if len(*q.tenants.Load()) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	o, places := q.state.localTarget.Load(), q.service() == q.settings.Service
	q.allotters.Update(now, func(key int) (quota.Holding, bool) {
		row, held := o.heldRow(now, key)
		return quota.Holding{Term: row.Owner.Term, Fence: row.Fence}, held && places
	})
}

// take takes tokens from an allotter of this node. ok is false if it does not run here.
func (q *quotas) take(id quota.ID, needed, expected int) (granted int, next time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if q.service() != q.settings.Service || !q.state.localTarget.Load().holdsKey(now, id.Key()) {
		return 0, 0, false
	}
	return q.allotters.Take(now, id, needed, expected)
}

// acquire takes a token for a request of a capped tenant, or refuses the request.
func (q *quotas) acquire(ctx context.Context, x *exchange) *refusal {
	if x.tenant == nil || !x.tenant.Capped() {
		return nil
	}
	t := (*q.tenants.Load())[x.tenant.Name]
	if t == nil {
		return nil // A later configuration has no cap for the tenant.
	}
	now := q.clock.Now()
	t.mu.Lock()
	if q.service() == "" {
		defer t.mu.Unlock()
		return q.takeShare(now, t)
	}
	token, ok := t.client.Spend(now, x.arrived)
	if ok {
		t.mu.Unlock()
		x.quota, x.token = t, token
		return nil
	}
	w := t.client.Wait(x.arrived)
	q.startAsk(now, t)
	patience := t.client.Patience()
	t.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.Decided():
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.client.Cancel(q.clock.Now(), w)
	token, refused := w.Outcome()
	switch {
	case refused != nil && ctx.Err() != nil:
		return contextRefusal(ctx)
	case refused != nil:
		return quotaRefusal(refused)
	}
	x.quota, x.token = t, token
	return nil
}

func quotaRefusal(r *quota.Refusal) *refusal {
	if r.Unavailable {
		return &refusal{answer.NoOwner, r.RetryAfter, "no_allotter"}
	}
	return &refusal{answer.QuotaExceeded, r.RetryAfter, "quota"}
}

// takeShare takes a token from the node's own share of the cap.
func (q *quotas) takeShare(now clock.Instant, t *tenantQuota) *refusal {
	nodes := float64(max(1, len(q.state.view.Load().Targets)))
	t.share.SetCap(now, quota.Cap{Rate: t.cap.Rate / nodes, Burst: (t.cap.Burst + q.bounds.QuotaSlack) / nodes})
	if granted, next := t.share.Take(now, 1, 0); granted == 0 {
		return quotaRefusal(&quota.Refusal{RetryAfter: next})
	}
	return nil
}

// release returns the token of a request that has not run.
func (q *quotas) release(x *exchange) {
	if x.quota == nil {
		return
	}
	x.quota.mu.Lock()
	defer x.quota.mu.Unlock()
	x.quota.client.Return(q.clock.Now(), x.token)
	x.quota = nil
}

// startAsk asks an allotter for tokens if requests wait for them. The caller holds the lock of the tenant.
func (q *quotas) startAsk(now clock.Instant, t *tenantQuota) {
	if a, ok := t.client.NextAsk(now, q.order(t)); ok {
		go q.ask(t, a)
	}
}

// order returns the allotters of the tenant in the order of preference: those in this zone, then the others, each at random.
func (q *quotas) order(t *tenantQuota) [quota.AllottersPerTenant]int {
	var order [quota.AllottersPerTenant]int
	first, last := 0, len(order)
	for _, i := range rand.Perm(len(order)) {
		if owner := q.owner(t.keys[i]); owner.zone == q.settings.AvailabilityZone {
			order[first] = i
			first++
		} else {
			last--
			order[last] = i
		}
	}
	return order
}

type allotterOwner struct{ host, relay, zone string }

// owner returns the host that owns an allotter's key, the zero value if it has none.
func (q *quotas) owner(key int) allotterOwner {
	view := q.state.view.Load()
	row, ok := view.FindRow(q.service(), key)
	if !ok {
		return allotterOwner{}
	}
	target := view.Targets[row.Owner.Host]
	if target == nil || target.Term != row.Owner.Term {
		return allotterOwner{}
	}
	return allotterOwner{target.Host, target.Relay, target.Zone}
}

// ask makes calls to allotters until no request waits or all of them are refused.
func (q *quotas) ask(t *tenantQuota, a quota.Ask) {
	for {
		var reply quotaReply
		reached := false
		q.protect("quota", func() { reply, reached = q.call(t, a) })
		q.metrics.countQuotaCall(callOutcome(a, reply, reached))
		t.mu.Lock()
		now := q.clock.Now()
		if reached && reply.Runs {
			t.client.Answer(now, a, reply.Granted, time.Duration(reply.NextUs)*time.Microsecond)
		} else {
			t.client.Fail(now, a, !reached)
		}
		next, ok := t.client.NextAsk(now, q.order(t))
		t.mu.Unlock()
		if !ok {
			return
		}
		a = next
	}
}

// callOutcome names the outcome of a call for the metrics.
func callOutcome(a quota.Ask, reply quotaReply, reached bool) string {
	switch {
	case !reached:
		return "unreachable"
	case !reply.Runs:
		return "moved"
	case reply.Granted < a.Needed:
		return "empty"
	}
	return "granted"
}

// quotaRequest asks an allotter for tokens.
type quotaRequest struct {
	Tenant string `json:"tenant"`
	Index  int    `json:"index"`
	// Needed is the number of requests that wait, Expected that of those that are expected soon.
	Needed   int `json:"needed"`
	Expected int `json:"expected,omitempty"`
}

type quotaReply struct {
	// Runs says that the allotter runs at the node that answers.
	Runs    bool `json:"runs"`
	Granted int  `json:"granted"`
	// NextUs is the time until the next token in microseconds, if fewer tokens were granted than needed.
	NextUs int64 `json:"next_us,omitempty"`
}

// call asks an allotter, here or at another node. reached is false if there was no answer.
func (q *quotas) call(t *tenantQuota, a quota.Ask) (reply quotaReply, reached bool) {
	owner := q.owner(t.keys[a.Index])
	request := &quotaRequest{Tenant: t.name, Index: a.Index, Needed: a.Needed, Expected: a.Expected}
	switch owner.host {
	case "":
		return quotaReply{}, true
	case q.settings.Host:
		return q.answerRequest(request), true
	}
	ctx, cancel := context.WithTimeout(q.ctx, a.Timeout)
	defer cancel()
	data, err := json.Marshal(request)
	if err != nil {
		return quotaReply{}, false
	}
	head := &wire.RequestHead{Method: methodQuota, TimeoutMs: a.Timeout.Milliseconds(), ContentLength: int64(len(data)), Entrance: q.settings.Node}
	response, err := q.relay.Do(ctx, owner.relay, &relay.Request{Head: head, Body: bytes.NewReader(data)})
	if err != nil {
		return quotaReply{}, false
	}
	defer response.Body.Close()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxQuotaMessageBytes))
	if err != nil {
		return quotaReply{}, false
	}
	if response.Head.Status != http.StatusOK || json.Unmarshal(data, &reply) != nil {
		return quotaReply{}, true // The node leaves, or does not know the message.
	}
	return reply, true
}

func (q *quotas) answerRequest(r *quotaRequest) quotaReply {
	granted, next, ok := q.take(quota.ID{Tenant: r.Tenant, Index: r.Index}, max(0, r.Needed), max(0, r.Expected))
	return quotaReply{ok, granted, next.Microseconds()}
}

// serveMessage answers a request of another node for tokens.
func (q *quotas) serveMessage(body io.Reader, w relay.ResponseWriter) error {
	if body == nil {
		return errs.New(errs.Invalid, "Check that all nodes run compatible versions.", "a request for tokens has no body")
	}
	data, err := io.ReadAll(io.LimitReader(body, maxQuotaMessageBytes))
	if err != nil {
		return err
	}
	r := &quotaRequest{}
	if err := json.Unmarshal(data, r); err != nil {
		return errs.Wrap(err, errs.Invalid, "Check that all nodes run compatible versions.", "the request for tokens can't be decoded")
	}
	reply, err := json.Marshal(q.answerRequest(r))
	if err != nil {
		return err
	}
	if err := w.WriteHead(&wire.ResponseHead{Status: http.StatusOK, ContentLength: int64(len(reply))}); err != nil {
		return err
	}
	_, err = w.Write(reply)
	return err
}
