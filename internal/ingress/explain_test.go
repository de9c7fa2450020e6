package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an explanation that differs from the decision: the shares must be those of many choices.
func TestExplainedSharesAreThoseOfTheChoice(t *testing.T) {
	candidates := []Candidate{{"a", "z0", 6}, {"b", "z0", 6}, {"c", "z1", 6}, {"d", "z1", 12}}
	p := NewBalancer("z0")
	now := at(1000)
	for host, outstanding := range map[string]int{"a": 12, "b": 1, "c": 0} {
		p.RecordSent(host)
		p.RecordResponse(now, host, &Load{Outstanding: outstanding, Slots: 6, MeanServiceTime: 50 * time.Millisecond})
	}
	info := RequestInfo{Route: "r", Objective: 400 * time.Millisecond}
	explained := p.Explain(now, candidates, info)
	require.Equal(t, explained, p.Explain(now, candidates, info), "it changes nothing")
	chosen := map[string]float64{}
	const choices = 20_000
	for range choices {
		i, _ := p.Choose(now, candidates, info, nil)
		chosen[candidates[i].Host]++
	}
	sum := 0.0
	for _, o := range explained {
		require.InDelta(t, chosen[o.Host]/choices, o.Share, 0.02, o.Host)
		sum += o.Share
	}
	require.InDelta(t, 1, sum, 1e-9)
	require.Equal(t, "b", explained[0].Host)
	require.Empty(t, p.Explain(now, nil, info))
	require.InDelta(t, 1, p.Explain(now, candidates[:1], info)[0].Share, 1e-9)
}
