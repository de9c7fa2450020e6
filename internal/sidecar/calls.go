package sidecar

import (
	"net/http"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/platform"
)

// reasonCallsRefused is the reason of a refusal of a request whose own calls are being refused.
const reasonCallsRefused = "calls_refused"

// isNestedCall reports whether a request may come from the host's target: those have no key and no API key.
func isNestedCall(h http.Header, meta platform.Request) bool {
	return meta.Key < 0 && len(h["Authorization"]) == 0
}

// rankCall gives a call of the host's target the rank of the work that it is made for.
func (e *entrance) rankCall(x *exchange) {
	if !x.nested {
		return
	}
	rank, ok := e.gate.calls.Call(e.clock.Now(), x.id, x.route.Name, x.rank)
	x.nested, x.callRank = ok, rank
	if ok {
		e.metrics.countCall(rank > x.rank)
	}
}

// recordCall records a call of the host's target that was refused.
func (e *entrance) recordCall(x *exchange, res *result) {
	if !x.nested || res.refusal == nil || res.refusal.reason == "caller_left" {
		return
	}
	if properties, known := answer.PropertiesOf(res.refusal.kind); known && properties.Status >= http.StatusInternalServerError {
		e.gate.calls.Refused(e.clock.Now(), x.id, x.route.Name)
	}
}

// refuseForCalls refuses a request whose calls would be refused while it runs.
func (g *gate) refuseForCalls(j *job) *refusal {
	now := g.clock.Now()
	after := g.calls.Admit(now, j.head.Route, int(j.head.Rank), j.deadline.Sub(now))
	if after == 0 {
		return nil
	}
	return &refusal{answer.Shed, after.Round(time.Millisecond), reasonCallsRefused}
}
