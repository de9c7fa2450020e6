// Package placement decides which terms the coordinator revokes and which owner each key range gets.
// It performs no I/O and takes the time as an argument.
//
// Invariant: a range is assigned to a new owner only if the old owner can no longer hold any of its
// keys: its term has ended, or its node has reported the range as released under the same fencing
// token.
package placement

import (
	"sort"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// Options holds the timing parameters of a plan.
type Options struct {
	// LeaseDuration is how long an owner's grants may outlive the revocation of its term.
	LeaseDuration time.Duration
	// NodeTimeout is how long a node may fail to answer polls before its target's term is revoked.
	NodeTimeout time.Duration
	// HeartbeatInterval is the interval at which targets send heartbeats.
	HeartbeatInterval time.Duration
	// InitialAssignmentDelay is how long a new coordinator waits for targets to register before it
	// assigns ranges that have no owner.
	InitialAssignmentDelay time.Duration
}

const (
	// revokeMargin covers the timer resolution of the coordinator and of the nodes.
	revokeMargin = 100 * time.Millisecond
	// maxColdRemaining is the remaining cold start time up to which a target counts as warm.
	maxColdRemaining = 300 * time.Millisecond
	// The row limits bound the size of a table, because every change of it is sent to all nodes. An
	// object of the store holds about 9,000 rows. The limit grows by rowsPerOwner with each candidate,
	// from minRowLimit to maxRowLimit.
	minRowLimit  = 400
	rowsPerOwner = 12
	maxRowLimit  = 6000
	// maxRowsPerOwner keeps the grant of one owner within the 4 KiB of a heartbeat response; a row
	// takes up to 56 bytes.
	maxRowsPerOwner = 48
	// initialRangesPerOwner is the number of ranges that each owner gets in the initial assignment,
	// unless that exceeds maxInitialRanges in all. Busy keys tend to be adjacent, so several ranges
	// per owner spread them before their demand is known.
	initialRangesPerOwner = 8
	maxInitialRanges      = 400
)

// Node is the coordinator's knowledge of a node that is not part of its record in the store.
type Node struct {
	Report *fleet.Report
	// LastSeen is when the node last answered a poll, or when the coordinator first learned of the
	// node.
	LastSeen clock.Instant
}

// Input is the state from which a plan is computed.
type Input struct {
	Now   clock.Instant
	View  *fleet.View
	Nodes map[string]*Node
	// Revoked maps each revoked term, and each owner without a readable record, to the time at which the coordinator first saw
	// that.
	Revoked map[keyspace.Owner]clock.Instant
	// Evacuated is the set of zones that are out of service.
	Evacuated map[string]bool
	// Keyed is the set of services whose keys have owners.
	Keyed map[string]bool
	// Frozen is the set of keyed services whose tables must not change now. Terms of their owners may be revoked.
	Frozen map[string]bool
	// FenceFloor is below all fencing tokens that may be issued now. Those of an era of the store begin above all earlier ones, because a copy
	// of the store may lack the highest ones.
	FenceFloor uint64
	// CoordinatorSince is when this node became the coordinator.
	CoordinatorSince clock.Instant
	// ConfirmingSince is the start of the uninterrupted period in which the coordinator has been able
	// to confirm leases. Outside of it, an expired lease does not indicate a fault of the node.
	ConfirmingSince clock.Instant
	// LastRebalanced maps each service to the time of its last rebalancing.
	LastRebalanced map[string]clock.Instant
	// DemandEstimates holds the estimated demand of recently assigned ranges.
	DemandEstimates []DemandEstimate
}

// DemandEstimate is the demand of a range that its new owner has not measured yet.
type DemandEstimate struct {
	keyspace.Range
	Owner keyspace.Owner
	// Demand is in busy slots of the owner.
	Demand  float64
	Expires clock.Instant
}

// estimateLifetime is how long a new owner takes to measure the demand of a range.
const estimateLifetime = 2500 * time.Millisecond

// Plan lists the changes that the coordinator writes to the store.
type Plan struct {
	// Revoke lists the hosts whose terms are revoked.
	Revoke []string
	// Tables maps services to their changed tables.
	Tables map[string]*Change
}

// Change is a new table with the moves that led to it, for the log.
type Change struct {
	Table      *keyspace.Table
	Rebalanced bool
	Moves      []Move
}

// Move is the change of owner of one range.
type Move struct {
	keyspace.Range
	// OldOwner is the current owner, NewOwner the one that the range is assigned to.
	OldOwner, NewOwner keyspace.Owner
	Reason             Reason
	// Demand is the estimated demand of the range, in busy slots of the new owner.
	Demand float64
	// HasHandover reports whether the old owner's handover token is passed on.
	HasHandover bool
}

// Reason is the reason for a move.
type Reason string

// Reasons for a move.
const (
	Unowned         Reason = "unowned"
	OwnerGone       Reason = "owner_gone"
	Released        Reason = "released"
	Evacuate        Reason = "evacuate"
	Balance         Reason = "balance"
	DestinationGone Reason = "next_gone"
)

// ComputePlan returns the changes that the state calls for.
func ComputePlan(in *Input, o Options) Plan {
	p := Plan{Tables: map[string]*Change{}}
	for service := range in.Keyed {
		s := newPlanner(in, o, service)
		p.Revoke = append(p.Revoke, s.hostsToRevoke()...)
		if in.Frozen[service] {
			continue
		}
		if c := s.plan(); c != nil {
			p.Tables[service] = c
		}
	}
	sort.Strings(p.Revoke)
	return p
}

// planner computes the plan of one service.
type planner struct {
	input      *Input
	options    Options
	service    string
	oldTable   *keyspace.Table
	table      *keyspace.Table
	candidates []*candidate
	change     Change
}

// candidate is a target that ranges may be assigned to.
type candidate struct {
	target *fleet.Target
	report *fleet.Report
	cold   bool
	// load is the demand in busy slots, including the changes of the plan.
	load float64
	// relServiceTime is the service time relative to the mean of all candidates; 1 if it is not known.
	relServiceTime float64
	// nextHeartbeat is when the next heartbeat is expected.
	nextHeartbeat clock.Instant
}

func (c *candidate) slots() float64 { return float64(max(1, c.target.Slots)) }

// utilization returns the fraction of busy slots. It exceeds 1 under overload.
func (c *candidate) utilization() float64 { return c.load / c.slots() }

func newPlanner(in *Input, o Options, name string) *planner {
	p := &planner{input: in, options: o, service: name, oldTable: &keyspace.Table{}}
	if t := in.View.Tables[name]; t != nil {
		p.oldTable = &t.Table
	}
	p.table = p.oldTable.Clone()
	p.table.Fence = max(p.table.Fence, in.FenceFloor)
	for _, host := range sortedHosts(in.View) {
		t := in.View.Targets[host]
		if t.Service != name || !p.eligible(t) {
			continue
		}
		c := &candidate{target: t, relServiceTime: 1}
		if n := in.Nodes[host]; n != nil && n.Report != nil {
			c.report = n.Report
			c.load = n.Report.Demand
			c.nextHeartbeat = n.LastSeen.Add(time.Duration(n.Report.NextHeartbeatMs) * time.Millisecond)
			c.cold = time.Duration(n.Report.ColdRemainingMs)*time.Millisecond > maxColdRemaining
		}
		p.candidates = append(p.candidates, c)
	}
	p.compareServiceTimes()
	p.adjustLoad()
	return p
}

// adjustLoad adds to the measured loads the effect of moves that are in progress or were just
// completed.
func (p *planner) adjustLoad() {
	for _, e := range p.input.DemandEstimates {
		if c := p.candidateOf(e.Owner); c != nil && p.input.Now < e.Expires && c.report != nil {
			c.load += max(0, e.Demand-rangeDemand(c.report, e.Range))
		}
	}
	for _, r := range p.table.Rows {
		if r.NextOwner.IsZero() {
			continue
		}
		demand := p.reportedDemand(r)
		from, to := p.candidateOf(r.Owner), p.candidateOf(r.NextOwner)
		if from != nil {
			from.load -= demand
		}
		if to != nil {
			to.load += demand * to.relServiceTime / p.relServiceTimeOf(r.Owner)
		}
	}
}

// relServiceTimeOf returns the relative service time of the owner, or 1 if it is not a candidate.
func (p *planner) relServiceTimeOf(o keyspace.Owner) float64 {
	if c := p.candidateOf(o); c != nil {
		return c.relServiceTime
	}
	return 1
}

// UpdateEstimates drops expired demand estimates and adds those for ranges that the moves have just
// assigned.
func UpdateEstimates(estimates []DemandEstimate, now clock.Instant, moves []Move) []DemandEstimate {
	var kept []DemandEstimate
	for _, e := range estimates {
		if now < e.Expires {
			kept = append(kept, e)
		}
	}
	for _, m := range moves {
		if m.Demand > 0 && (m.Reason == Released || m.Reason == OwnerGone) {
			kept = append(kept, DemandEstimate{m.Range, m.NewOwner, m.Demand, now.Add(estimateLifetime)})
		}
	}
	return kept
}

func sortedHosts(v *fleet.View) []string {
	hosts := make([]string, 0, len(v.Targets))
	for host := range v.Targets {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	return hosts
}

// eligible reports whether ranges may be assigned to the target.
func (p *planner) eligible(t *fleet.Target) bool {
	if t.State != fleet.Serving || p.input.Evacuated[t.Zone] {
		return false
	}
	n := p.input.Nodes[t.Host]
	return n == nil || p.input.Now.Sub(n.LastSeen) < p.options.NodeTimeout && (n.Report == nil || n.Report.LeaseMs > 0)
}

// hostsToRevoke returns the hosts that own or are to receive ranges and whose node has not answered
// polls within the timeout. A reported expired lease counts too, if the coordinator has been able to
// confirm leases for that long.
func (p *planner) hostsToRevoke() []string {
	owners := map[string]bool{}
	for _, r := range p.oldTable.Rows {
		owners[r.Owner.Host] = true
		owners[r.NextOwner.Host] = true
	}
	var hosts []string
	for _, host := range sortedHosts(p.input.View) {
		t, n := p.input.View.Targets[host], p.input.Nodes[host]
		if t.Service != p.service || !owners[host] || n == nil || t.State != fleet.Serving && t.State != fleet.Leaving {
			continue
		}
		if p.input.Now.Sub(n.LastSeen) >= p.options.NodeTimeout || n.Report != nil && n.Report.LeaseMs <= 0 && p.input.Now.Sub(p.input.ConfirmingSince) >= p.options.NodeTimeout {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// compareServiceTimes sets the candidates' relative service times, averaged over the routes that each
// has served.
func (p *planner) compareServiceTimes() {
	sum, count := map[string]float64{}, map[string]float64{}
	for _, c := range p.candidates {
		if c.report == nil {
			continue
		}
		for route, t := range c.report.ServiceTimes {
			sum[route] += t
			count[route]++
		}
	}
	for _, c := range p.candidates {
		if c.report == nil || len(c.report.ServiceTimes) == 0 {
			continue
		}
		total := 0.0
		for route, t := range c.report.ServiceTimes {
			total += t / (sum[route] / count[route])
		}
		c.relServiceTime = total / float64(len(c.report.ServiceTimes))
	}
}

// termEnded reports whether the owner can no longer hold any keys under its term.
func (p *planner) termEnded(o keyspace.Owner) bool {
	t := p.input.View.Targets[o.Host]
	since, seen := p.input.Revoked[o]
	expired := seen && p.input.Now.Sub(since) >= p.options.LeaseDuration+revokeMargin
	if t == nil {
		return expired // Another program has deleted the record or made it unreadable; the host may still hold the keys.
	}
	if t.Term > o.Term {
		return true
	}
	if t.Term < o.Term {
		return false // The view has an older version of the record than the table.
	}
	if t.State == fleet.Down {
		return true
	}
	return t.State == fleet.Revoked && expired
}

// releasedHandover returns the handover token of the row, if the owner's node reports the row as
// released.
func (p *planner) releasedHandover(r keyspace.Row) (string, bool) {
	n := p.input.Nodes[r.Owner.Host]
	if n == nil || n.Report == nil {
		return "", false
	}
	for _, rel := range n.Report.Released {
		if rel.Fence == r.Fence && rel.Covers(r.Range) {
			return rel.Handover, true
		}
	}
	return "", false
}

// plan returns the change of the table, or nil if there is none.
func (p *planner) plan() *Change {
	if len(p.candidates) == 0 {
		return nil
	}
	free := p.freeRanges()
	p.assign(free)
	p.evacuate()
	p.rebalance()
	if len(p.change.Moves) == 0 {
		return nil
	}
	p.change.Table = p.table
	return &p.change
}

// freeRange is a range that may be assigned because no owner can hold it.
type freeRange struct {
	keyspace.Range
	oldOwner     keyspace.Owner
	plannedOwner keyspace.Owner
	handover     string
	reason       Reason
	demand       float64
}

// freeRanges returns the ranges that may be assigned now.
func (p *planner) freeRanges() []freeRange {
	var free []freeRange
	for _, r := range p.table.Rows {
		if p.termEnded(r.Owner) {
			free = append(free, freeRange{r.Range, r.Owner, r.NextOwner, "", OwnerGone, p.reportedDemand(r)})
		} else if token, ok := p.releasedHandover(r); ok {
			free = append(free, freeRange{r.Range, r.Owner, r.NextOwner, token, Released, p.reportedDemand(r)})
		}
	}
	if p.input.Now.Sub(p.input.CoordinatorSince) < p.options.InitialAssignmentDelay {
		return free
	}
	for _, gap := range p.table.Gaps() {
		for _, part := range splitGap(gap, p.initialParts()) {
			free = append(free, freeRange{part, keyspace.Owner{}, keyspace.Owner{}, "", Unowned, 0})
		}
	}
	return free
}

// initialParts returns the number of ranges into which a keyspace without owners is divided.
func (p *planner) initialParts() int {
	owners := len(p.candidates)
	return owners * min(max(maxInitialRanges/owners, 1), initialRangesPerOwner)
}

// maxRows returns the number of rows above which rebalancing stops, because it would divide rows
// further.
func (p *planner) maxRows() int {
	return min(max(minRowLimit, rowsPerOwner*len(p.candidates)), maxRowLimit)
}

// splitGap divides a gap into ranges of the size that results from dividing the whole keyspace into
// the given number of parts.
func splitGap(gap keyspace.Range, parts int) []keyspace.Range {
	size := (keyspace.MaxKey + parts) / parts
	var ranges []keyspace.Range
	for from := gap.From; from <= gap.To; from += size {
		ranges = append(ranges, keyspace.Range{From: from, To: min(gap.To, from+size-1)})
	}
	return ranges
}

// reportedDemand returns the demand of the row according to the last report of its owner.
func (p *planner) reportedDemand(r keyspace.Row) float64 {
	n := p.input.Nodes[r.Owner.Host]
	if n == nil || n.Report == nil {
		return 0
	}
	return rangeDemand(n.Report, r.Range)
}

// rangeDemand returns the demand of the range according to the report.
func rangeDemand(report *fleet.Report, r keyspace.Range) float64 {
	sum := 0.0
	for _, seg := range report.RangeDemands {
		if seg.Overlaps(r) {
			shared := min(seg.To, r.To) - max(seg.From, r.From) + 1
			sum += seg.Demand * float64(shared) / float64(seg.Size())
		}
	}
	return sum
}

// assign assigns the free ranges, in order of falling demand. A range with a planned owner goes to
// that owner if it is still a candidate.
func (p *planner) assign(free []freeRange) {
	sort.SliceStable(free, func(i, j int) bool { return free[i].demand > free[j].demand })
	keys := p.keysPerHost()
	commonRestart := p.commonRestart()
	for _, r := range free {
		c := p.candidateOf(r.plannedOwner)
		if c == nil && r.reason == OwnerGone && commonRestart {
			c = p.candidateOnHost(r.oldOwner.Host)
		}
		if c == nil {
			c = p.leastLoaded(keys, r.demand > 0)
		}
		if c == nil {
			continue
		}
		demand := r.demand * c.relServiceTime / p.relServiceTimeOf(r.oldOwner)
		if c.target.Owner() != r.plannedOwner {
			c.load += demand // adjustLoad has already counted the demand for the planned owner.
		}
		keys[c.target.Host] += r.Size()
		p.table.Assign(r.Range, c.target.Owner(), r.handover)
		p.change.Moves = append(p.change.Moves, Move{r.Range, r.oldOwner, c.target.Owner(), r.reason, demand, r.handover != ""})
	}
}

// commonRestart reports whether at least half of the candidates have just started. Their demand is not measured yet, and no warm
// target has room for their ranges, so these go back to the hosts on which they were balanced before.
func (p *planner) commonRestart() bool {
	started := 0
	for _, c := range p.candidates {
		if c.cold || c.report == nil || c.report.Demand == 0 {
			started++
		}
	}
	return 2*started >= len(p.candidates)
}

// candidateOnHost returns the candidate on the host, whatever its term, or nil.
func (p *planner) candidateOnHost(host string) *candidate {
	for _, c := range p.candidates {
		if c.target.Host == host {
			return c
		}
	}
	return nil
}

// keysPerHost returns the number of keys of each host. The keys of a moving row count for its new
// owner.
func (p *planner) keysPerHost() map[string]int {
	keys := map[string]int{}
	for _, r := range p.table.Rows {
		host := r.Owner.Host
		if !r.NextOwner.IsZero() {
			host = r.NextOwner.Host
		}
		keys[host] += r.Size()
	}
	return keys
}

// candidateOf returns the candidate with the same host and term, or nil.
func (p *planner) candidateOf(o keyspace.Owner) *candidate {
	for _, c := range p.candidates {
		if c.target.Owner() == o {
			return c
		}
	}
	return nil
}

// leastLoaded returns the candidate with the lowest utilization, or with the fewest keys if byLoad is
// false. Warm targets take precedence over cold ones.
func (p *planner) leastLoaded(keys map[string]int, byLoad bool) *candidate {
	var best *candidate
	better := func(a, b *candidate) bool {
		if a.cold != b.cold {
			return !a.cold
		}
		if byLoad && a.utilization() != b.utilization() {
			return a.utilization() < b.utilization()
		}
		return keys[a.target.Host] < keys[b.target.Host]
	}
	for _, c := range p.candidates {
		if best == nil || better(c, best) {
			best = c
		}
	}
	return best
}

// evacuate starts moves of ranges whose owners are alive in an evacuated zone, and replaces
// destinations of moves that are no longer eligible.
func (p *planner) evacuate() {
	keys := p.keysPerHost()
	for i := range p.table.Rows {
		r := &p.table.Rows[i]
		if !r.NextOwner.IsZero() {
			// A move is never cancelled: the owner may already have reported the range as released,
			// and another grant under the same fencing token would make that report false.
			if p.candidateOf(r.NextOwner) == nil {
				p.moveToLeastLoaded(r, keys, DestinationGone)
			}
			continue
		}
		t := p.input.View.Targets[r.Owner.Host]
		if t != nil && t.Term == r.Owner.Term && t.State == fleet.Serving && p.input.Evacuated[t.Zone] {
			p.moveToLeastLoaded(r, keys, Evacuate)
		}
	}
}

func (p *planner) moveToLeastLoaded(r *keyspace.Row, keys map[string]int, reason Reason) {
	demand := p.reportedDemand(*r)
	c := p.leastLoaded(keys, demand > 0)
	if c == nil || c.target.Owner() == r.NextOwner {
		return
	}
	c.load += demand * c.relServiceTime / p.relServiceTimeOf(r.Owner)
	keys[c.target.Host] += r.Size()
	p.startMove(r, c.target.Owner(), reason)
}

func (p *planner) startMove(r *keyspace.Row, next keyspace.Owner, reason Reason) {
	r.NextOwner = next
	p.change.Moves = append(p.change.Moves, Move{r.Range, r.Owner, next, reason, 0, false})
}
