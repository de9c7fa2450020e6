package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a tenant that sends many times its usual load and thereby takes the starts of others of its priority.
func TestFloodHarmsOnlyItsTenant(t *testing.T) {
	for _, work := range []float64{50, 200} { // of a flooding request, in milliseconds
		c := NewScheduler(18)
		sent, ran := map[string]int{}, map[string]int{}
		ends := map[*Ticket]float64{}
		loads := map[string]float64{"a": 30, "b": 60, "": 40, "flood": 1500} // per second
		pending := map[string]float64{}
		for ms := 0.0; ms < 20000; ms++ {
			for ticket, end := range ends {
				if ms >= end {
					c.Done(at(ms), ticket, true)
					delete(ends, ticket)
				}
			}
			for _, tenant := range []string{"flood", "a", "b", ""} {
				for pending[tenant] += loads[tenant] / 1000; pending[tenant] >= 1; pending[tenant]-- {
					r := request("r"+tenant, 3, at(ms), 500*time.Millisecond, 1500*time.Millisecond)
					r.Tenant = tenant
					sent[tenant]++
					_, _ = c.Admit(at(ms), r)
				}
			}
			for _, ticket := range c.Poll(at(ms)) {
				if ticket.Refusal() != nil {
					continue
				}
				ran[ticket.Tenant]++
				ends[ticket] = ms + 50
				if ticket.Tenant == "flood" {
					ends[ticket] = ms + work
				}
			}
		}
		t.Log(sent, ran)
		all := float64(ran["a"]+ran["b"]+ran[""]+ran["flood"]) / float64(sent["a"]+sent["b"]+sent[""]+sent["flood"])
		for _, tenant := range []string{"a", "b", ""} {
			require.Greater(t, float64(ran[tenant])/float64(sent[tenant]), max(0.9, all/4), tenant)
		}
		spare := 18 - 0.05*(loads["a"]+loads["b"]+loads[""]) // slots
		require.Greater(t, float64(ran["flood"]), 0.9*20*spare/(work/1000), "spare slots are used")
	}
}

// Guards against an idle tenant that collects a claim to all starts, and against memory that grows with the number of tenants.
func TestIdleTenantHasNoCredit(t *testing.T) {
	var q fairQueue
	q.add("x")
	for range 100 {
		q.start("busy", 1)
	}
	require.InDelta(t, q.tag("busy"), q.tag("idle")+1, 0.001)
	for i := range 1000 {
		q.start(string(rune('a'+i)), 0)
	}
	require.Less(t, len(q.started), 2*minForgotten)
}
