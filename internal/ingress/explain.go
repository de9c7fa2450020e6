package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// ChoiceOption says how a target fares in the choice for a request.
type ChoiceOption struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	SameZone bool   `json:"same_zone"`
	// Share is the probability that the target is chosen now, and Weight that it is sampled first.
	Share  float64 `json:"share"`
	Weight float64 `json:"weight"`
	// CostMs is the expected cost by which the sampled targets are compared, and CrossZoneMs the part for another zone.
	CostMs        float64 `json:"cost_ms"`
	CrossZoneMs   float64 `json:"cross_zone_ms"`
	WaitMs        float64 `json:"wait_ms"`
	ServiceTimeMs float64 `json:"service_time_ms"`
	// Fresh says that the load is a report of the target. Otherwise the mean of the other targets is assumed.
	Fresh       bool `json:"fresh"`
	Outstanding int  `json:"outstanding"`
	InFlight    int  `json:"in_flight"`
	Slots       int  `json:"slots"`
	// EjectedMs is for how much longer the target is ejected. It is listed only if all are.
	EjectedMs float64 `json:"ejected_ms,omitempty"`
}

// Explain returns how the targets fare in the choice for a request, the most likely first. It decides like Choose and
// changes nothing.
func (p *Balancer) Explain(now clock.Instant, candidates []Candidate, info RequestInfo) []ChoiceOption {
	p.mu.Lock()
	defer p.mu.Unlock()
	open, defaults := p.options(now, candidates, info, nil)
	total := 0.0
	for i := range open {
		total += open[i].capacity(defaults)
	}
	explained := make([]ChoiceOption, len(open))
	for i := range open {
		o := &open[i]
		e := ChoiceOption{
			Host: o.Host, Zone: o.Zone, SameZone: o.sameZone, Weight: o.capacity(defaults) / total,
			CostMs: ms(o.expectedCost(now, defaults)), WaitMs: ms(o.expectedWait(now, o.currentServiceTime(now, defaults), defaults)),
			ServiceTimeMs: ms(o.currentServiceTime(now, defaults)), Fresh: o.fresh(now), Outstanding: o.target.load.Outstanding, InFlight: o.target.inFlight, Slots: o.Slots,
			EjectedMs: ms(max(0, o.target.ejectedUntil.Sub(now))),
		}
		if !o.sameZone {
			e.CrossZoneMs = ms(o.crossZoneCost())
		}
		explained[i] = e
	}
	addShares(explained)
	slices.SortFunc(explained, func(a, b ChoiceOption) int { return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Host, b.Host)) })
	return explained
}

// addShares sets the probabilities with which the options are chosen: the cheaper one of two that are sampled by weight.
func addShares(options []ChoiceOption) {
	if len(options) == 1 {
		options[0].Share = 1
	}
	for i := range options {
		for k := range options {
			if i == k {
				continue
			}
			drawn := options[i].Weight * options[k].Weight / (1 - options[i].Weight) // i first, then k
			switch a, b := options[i].CostMs, options[k].CostMs; {
			case a < b:
				options[i].Share += drawn
			case a > b:
				options[k].Share += drawn
			default:
				options[i].Share += drawn / 2
				options[k].Share += drawn / 2
			}
		}
	}
}

func ms(d time.Duration) float64 { return d.Seconds() * 1e3 }
