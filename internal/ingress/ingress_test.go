package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

func at(ms int) clock.Instant {
	return clock.Instant(100 * time.Second).Add(time.Duration(ms) * time.Millisecond)
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	a := &Route{Name: "a", Host: "x.example", Prefix: "/a/", Services: []WeightedService{{"s", 0}}}
	ab := &Route{Name: "ab", Host: "x.example", Prefix: "/a/b/", Services: []WeightedService{{"s", 0}}}
	c := NewConfig(1, []*Route{a, ab}, nil, Limits{})
	require.Same(t, ab, c.Match("X.example:80", "/a/b/c"))
	require.Same(t, a, c.Match("x.example", "/a/bc"))
	require.Nil(t, c.Match("x.example", "/a"))
	require.Nil(t, c.Match("y.example", "/a/b/c"))
}

func TestSelectServiceFollowsTheWeights(t *testing.T) {
	r := &Route{Services: []WeightedService{{"s", 90}, {"t", 10}}}
	NewConfig(1, []*Route{r}, nil, Limits{})
	count := 0
	for i := range 10000 {
		if r.SelectService(fmt.Sprintf("%x", i)) == "t" {
			count++
		}
	}
	require.InDelta(t, 1000, count, 100)
}

func TestBalancerAvoidsBusyAndUnreachableTargets(t *testing.T) {
	p := NewBalancer("a")
	targets := []Candidate{{"h1", "a", 18}, {"h2", "b", 18}}
	require.Equal(t, 0, choose(p, at(0), targets, RequestInfo{}, nil), "same zone first")
	p.RecordSent("h1")
	p.RecordResponse(at(0), "h1", &Load{Outstanding: 40, Slots: 18, MeanServiceTime: 50 * time.Millisecond})
	require.Equal(t, 1, choose(p, at(1), targets, RequestInfo{}, nil))
	require.Equal(t, 0, choose(p, at(1), targets, RequestInfo{LargeResponse: true}, nil), "large responses stay in the same zone at higher load")
	p.RecordSent("h2")
	require.Equal(t, minEjection, p.RecordUnreachable(at(1), "h2"))
	require.Equal(t, 0, choose(p, at(2), targets, RequestInfo{}, nil))
	require.Equal(t, 1, choose(p, at(2), targets, RequestInfo{}, map[string]bool{"h1": true}), "an ejected target if there is no other")
	require.Equal(t, 1, choose(p, at(1000), targets[1:], RequestInfo{}, nil)+1)
	require.Equal(t, -1, choose(p, at(2), nil, RequestInfo{}, nil))
}

// Guards against retry storms: 13 nodes at which every request fails stay within the platform's bound together.
func TestRetryBudgetHoldsForAllNodes(t *testing.T) {
	const nodes, ratio, slack = 13, 0.2, 64.0
	budgets := make([]*RetryBudget, nodes)
	for i := range budgets {
		budgets[i] = NewRetryBudget(10*time.Second, ratio, slack)
		budgets[i].SetNodes(nodes)
	}
	type event struct{ requests, retries int }
	var seconds []event
	for s := range 60 {
		e := event{}
		for ms := 0; ms < 1000; ms += 20 {
			for _, b := range budgets {
				b.RecordRequest(at(s*1000 + ms))
				e.requests++
				if b.Allow(at(s*1000 + ms)) {
					e.retries++
				}
			}
		}
		seconds = append(seconds, e)
	}
	for i := 10; i < len(seconds); i++ {
		requests, retries := 0, 0
		for _, e := range seconds[i-10 : i] {
			requests += e.requests
			retries += e.retries
		}
		require.LessOrEqual(t, float64(retries), ratio*float64(requests)+slack)
	}
}

// choose returns the chosen candidate without its reroute cost.
func choose(p *Balancer, now clock.Instant, candidates []Candidate, info RequestInfo, tried map[string]bool) int {
	i, _ := p.Choose(now, candidates, info, tried)
	return i
}

// Guards against rerouting large responses to another zone because the target in the same zone is slow for a moment.
func TestRerouteCostIncludesTheTransfer(t *testing.T) {
	p := NewBalancer("a")
	targets := []Candidate{{"h1", "a", 18}, {"h2", "b", 18}}
	_, small := p.Choose(at(0), targets, RequestInfo{Route: "small"}, nil)
	_, large := p.Choose(at(0), targets, RequestInfo{Route: "large", LargeResponse: true}, nil)
	require.Less(t, small, 50*time.Millisecond)
	require.Greater(t, large, 300*time.Millisecond)
	_, near := p.Choose(at(0), append(targets, Candidate{"h3", "a", 18}), RequestInfo{Route: "large", LargeResponse: true}, nil)
	require.Equal(t, rerouteRoundTrip, near)
	_, none := p.Choose(at(0), targets[:1], RequestInfo{}, nil)
	require.Zero(t, none)
}
