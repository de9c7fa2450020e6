// Package placement decides which targets are revoked and which owner each range of keys gets. It performs no I/O and
// takes the time as an argument.
//
// Invariant: a range is assigned only if its last owner certainly holds nothing of it: the owner's term is over, or
// the owner's node reports the range as released under the same fencing token.
package placement

import (
	"sort"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// Options are the durations and bounds of a plan.
type Options struct {
	// LeaseDuration is how long grants may last after a revocation.
	LeaseDuration time.Duration
	// NodeTimeout is how long a node may leave polls unanswered before its target is revoked.
	NodeTimeout time.Duration
	// HeartbeatInterval is the interval of the targets' heartbeats.
	HeartbeatInterval time.Duration
	// InitialAssignmentDelay is how long the first assignment waits for targets to register.
	InitialAssignmentDelay time.Duration
}

const (
	// revokeMargin covers the resolution of timers on both sides.
	revokeMargin = 100 * time.Millisecond
	// coldLeft is the rest of a cold start that a new owner may still have before it.
	maxColdRemaining = 300 * time.Millisecond
	// minRowsBound, rowsPerOwner and maxRowsBound bound the table: an object of the store holds about 9,000 rows, and each change
	// goes to all nodes.
	minRowLimit  = 400
	rowsPerOwner = 12
	maxRowLimit  = 6000
	// maxOwnerRows bounds the rows of one owner. The answer to a heartbeat has 4 KiB at most, a row up to 56 bytes of it.
	maxRowsPerOwner = 48
	// stripes is the number of ranges that the first assignment gives to each owner, as far as these are not more than
	// firstRows in all. Busy keys are neighbours, so that stripes share them out before their demand is known.
	initialRangesPerOwner = 8
	maxInitialRanges      = 400
)

// Node is what the coordinator knows of a node beyond its record.
type Node struct {
	Report *fleet.Report
	// LastSeen is when it last answered a poll, or when it became known.
	LastSeen clock.Instant
}

// Input is what a plan is made from.
type Input struct {
	Now   clock.Instant
	View  *fleet.View
	Nodes map[string]*Node
	// Revoked holds when the coordinator first saw a term revoked.
	Revoked map[keyspace.Owner]clock.Instant
	// Evacuated holds the zones that are out of service.
	Evacuated map[string]bool
	// Keyed holds the services whose keys have owners.
	Keyed map[string]bool
	// CoordinatorSince is when the coordinator began.
	CoordinatorSince clock.Instant
	// ConfirmingSince is since when the coordinator can give its word without a break. Leases that lapse without it say nothing about
	// their nodes.
	ConfirmingSince clock.Instant
	// LastRebalanced holds when ranges of a service were last moved for balance.
	LastRebalanced map[string]clock.Instant
	// DemandEstimates holds the demand of ranges that were assigned lately.
	DemandEstimates []DemandEstimate
}

// DemandEstimate is the demand of a range whose new owner has not measured it yet.
type DemandEstimate struct {
	keyspace.Range
	Owner keyspace.Owner
	// Demand is in slots of the owner.
	Demand  float64
	Expires clock.Instant
}

// expectedFor is how long a new owner takes to measure the demand of a range.
const estimateLifetime = 2500 * time.Millisecond

// Plan is what to write.
type Plan struct {
	// Revoke lists the hosts whose terms are to be revoked.
	Revoke []string
	// Tables holds the tables that change.
	Tables map[string]*Change
}

// Change is a new table, with the reasons for the log.
type Change struct {
	Table      *keyspace.Table
	Rebalanced bool
	Moves      []Move
}

// Move explains the change of one range.
type Move struct {
	keyspace.Range
	// OldOwner is the owner so far, NewOwner the one that the range goes to.
	OldOwner, NewOwner keyspace.Owner
	Reason             Reason
	// Demand is what the range is expected to need, in slots of the new owner.
	Demand float64
	// HasHandover says that the last holder's handover token is passed on.
	HasHandover bool
}

// Reason says why a range changes.
type Reason string

// The reasons.
const (
	Unowned         Reason = "unowned"
	OwnerGone       Reason = "owner_gone"
	Released        Reason = "released"
	Evacuate        Reason = "evacuate"
	Balance         Reason = "balance"
	DestinationGone Reason = "next_gone"
)

// ComputePlan returns the next step.
func ComputePlan(in *Input, o Options) Plan {
	p := Plan{Tables: map[string]*Change{}}
	for service := range in.Keyed {
		s := newPlanner(in, o, service)
		p.Revoke = append(p.Revoke, s.hostsToRevoke()...)
		if c := s.plan(); c != nil {
			p.Tables[service] = c
		}
	}
	sort.Strings(p.Revoke)
	return p
}

// service is the planning state of one service.
type planner struct {
	input      *Input
	options    Options
	service    string
	oldTable   *keyspace.Table
	table      *keyspace.Table
	candidates []*candidate
	change     Change
}

// candidate is a target that may get ranges.
type candidate struct {
	target *fleet.Target
	report *fleet.Report
	cold   bool
	// load is the demand in slots kept busy, with what the plan adds.
	load float64
	// pace is the service time relative to the mean of the service.
	relServiceTime float64
	// beat is when its next heartbeat is expected.
	nextHeartbeat clock.Instant
}

func (c *candidate) slots() float64 { return float64(max(1, c.target.Slots)) }

// ratio is the share of the target's slots that are busy.
func (c *candidate) utilization() float64 { return c.load / c.slots() }

func newPlanner(in *Input, o Options, name string) *planner {
	p := &planner{input: in, options: o, service: name, oldTable: &keyspace.Table{}}
	if t := in.View.Tables[name]; t != nil {
		p.oldTable = &t.Table
	}
	p.table = p.oldTable.Clone()
	for _, host := range sortedHosts(in.View) {
		t := in.View.Targets[host]
		if t.Service != name || !p.eligible(t) {
			continue
		}
		c := &candidate{target: t, relServiceTime: 1}
		if n := in.Nodes[host]; n != nil && n.Report != nil {
			c.report = n.Report
			c.load = n.Report.Demand
			c.nextHeartbeat = n.LastSeen.Add(time.Duration(n.Report.BeatMs) * time.Millisecond)
			c.cold = time.Duration(n.Report.ColdMs)*time.Millisecond > maxColdRemaining
		}
		p.candidates = append(p.candidates, c)
	}
	p.compareServiceTimes()
	p.adjustLoad()
	return p
}

// addExpected corrects the load for ranges that change or have just changed their owner.
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

// paceOf returns the pace of an owner, 1 if it is not known.
func (p *planner) relServiceTimeOf(o keyspace.Owner) float64 {
	if c := p.candidateOf(o); c != nil {
		return c.relServiceTime
	}
	return 1
}

// UpdateEstimates returns what is expected of the new owners, without what has run out.
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

// usable reports whether the target may get ranges.
func (p *planner) eligible(t *fleet.Target) bool {
	if t.State != fleet.Serving || p.input.Evacuated[t.Zone] {
		return false
	}
	n := p.input.Nodes[t.Host]
	return n == nil || p.input.Now.Sub(n.LastSeen) < p.options.NodeTimeout && (n.Report == nil || n.Report.LeaseMs > 0)
}

// silent returns the hosts that own ranges and do not answer polls, or say that their lease has lapsed.
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

// measurePace compares the service times of the candidates route by route.
func (p *planner) compareServiceTimes() {
	sum, count := map[string]float64{}, map[string]float64{}
	for _, c := range p.candidates {
		if c.report == nil {
			continue
		}
		for route, t := range c.report.Times {
			sum[route] += t
			count[route]++
		}
	}
	for _, c := range p.candidates {
		if c.report == nil || len(c.report.Times) == 0 {
			continue
		}
		total := 0.0
		for route, t := range c.report.Times {
			total += t / (sum[route] / count[route])
		}
		c.relServiceTime = total / float64(len(c.report.Times))
	}
}

// ended reports whether the owner certainly holds nothing under its term.
func (p *planner) termEnded(o keyspace.Owner) bool {
	t := p.input.View.Targets[o.Host]
	if t == nil || t.Term > o.Term {
		return true
	}
	if t.Term < o.Term {
		return false // The view of the record is older than the table.
	}
	if t.State == fleet.Down {
		return true
	}
	since, seen := p.input.Revoked[o]
	return t.State == fleet.Revoked && seen && p.input.Now.Sub(since) >= p.options.LeaseDuration+revokeMargin
}

// released returns the handover token of a row that the owner's node reports as released.
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

// plan returns the change of the table, or nil.
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

// vacancy is a range that may be assigned.
type freeRange struct {
	keyspace.Range
	oldOwner     keyspace.Owner
	plannedOwner keyspace.Owner
	handover     string
	reason       Reason
	demand       float64
}

// free returns the ranges that may be assigned now.
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

// parts returns the number of parts of a keyspace without owners.
func (p *planner) initialParts() int {
	owners := len(p.candidates)
	return owners * min(max(maxInitialRanges/owners, 1), initialRangesPerOwner)
}

// maxRows returns the number of rows from which the table is not divided further.
func (p *planner) maxRows() int {
	return min(max(minRowLimit, rowsPerOwner*len(p.candidates)), maxRowLimit)
}

// split cuts a gap into parts of the size that each of so many would have of the whole keyspace.
func splitGap(gap keyspace.Range, parts int) []keyspace.Range {
	size := (keyspace.MaxKey + parts) / parts
	var ranges []keyspace.Range
	for from := gap.From; from <= gap.To; from += size {
		ranges = append(ranges, keyspace.Range{From: from, To: min(gap.To, from+size-1)})
	}
	return ranges
}

// demand returns the demand that the owner last reported for the row.
func (p *planner) reportedDemand(r keyspace.Row) float64 {
	n := p.input.Nodes[r.Owner.Host]
	if n == nil || n.Report == nil {
		return 0
	}
	return rangeDemand(n.Report, r.Range)
}

// demandIn returns the reported demand for a range.
func rangeDemand(report *fleet.Report, r keyspace.Range) float64 {
	sum := 0.0
	for _, seg := range report.Segments {
		if seg.Overlaps(r) {
			shared := min(seg.To, r.To) - max(seg.From, r.From) + 1
			sum += seg.Demand * float64(shared) / float64(seg.Size())
		}
	}
	return sum
}

// assign gives the free ranges to owners, the busiest first.
func (p *planner) assign(free []freeRange) {
	sort.SliceStable(free, func(i, j int) bool { return free[i].demand > free[j].demand })
	keys := p.keysPerHost()
	for _, v := range free {
		c := p.candidateOf(v.plannedOwner)
		if c == nil {
			c = p.leastLoaded(keys, v.demand > 0)
		}
		if c == nil {
			continue
		}
		demand := v.demand * c.relServiceTime / p.relServiceTimeOf(v.oldOwner)
		if c.target.Owner() != v.plannedOwner {
			c.load += demand // The load of a planned owner has it already.
		}
		keys[c.target.Host] += v.Size()
		p.table.Assign(v.Range, c.target.Owner(), v.handover)
		p.change.Moves = append(p.change.Moves, Move{v.Range, v.oldOwner, c.target.Owner(), v.reason, demand, v.handover != ""})
	}
}

// widths returns the number of keys of each host.
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

// find returns the candidate with the tenure.
func (p *planner) candidateOf(o keyspace.Owner) *candidate {
	for _, c := range p.candidates {
		if c.target.Owner() == o {
			return c
		}
	}
	return nil
}

// least returns the candidate with the least load, or with the fewest keys where demand is not known. Warm targets
// come first.
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

// evacuate moves the ranges of owners that are alive and may not serve any more.
func (p *planner) evacuate() {
	keys := p.keysPerHost()
	for i := range p.table.Rows {
		r := &p.table.Rows[i]
		if !r.NextOwner.IsZero() {
			// The move is never taken back: the owner may have reported the range as released already, and a
			// grant under the same fencing token would make that report false.
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
