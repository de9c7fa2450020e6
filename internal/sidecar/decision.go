package sidecar

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/citronvane/citronvane/internal/decision"
	"github.com/citronvane/citronvane/platform"
)

// explainDecision answers where a request would go now. It decides like the entrance and sends nothing.
func (e *entrance) explainDecision(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	key := -1
	if text := query.Get("key"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			http.Error(w, "key is not a number from 0 to 65535", http.StatusBadRequest)
			return
		}
		key = n
	}
	target, err := url.ParseRequestURI(query.Get("path"))
	if err != nil {
		http.Error(w, "path is not the path of a request", http.StatusBadRequest)
		return
	}
	request := &http.Request{
		Method: query.Get("method"), Host: query.Get("host"), URL: target, RequestURI: query.Get("path"), Header: platform.RequestHeaders(query.Get("id"), key),
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may have left, in which case nobody reads the answer.
	_ = json.NewEncoder(w).Encode(e.decide(w, request.WithContext(r.Context())))
}

// decide returns where the request would go now. The request has no deadline header, so that no statistics of callers
// change.
func (e *entrance) decide(w http.ResponseWriter, r *http.Request) decision.Decision {
	d := decision.Decision{Node: e.settings.Node, Zone: e.settings.AvailabilityZone}
	now := e.clock.Now()
	x, refused := e.parseRequest(now, w, r)
	if x.route != nil {
		d.Route, d.Service = x.route.Name, x.service
	}
	if refused != nil {
		d.Refused, d.Reason = true, refused.reason
		return d
	}
	if x.key >= 0 {
		d.Key = &x.key
		x.arrived = now.Add(-x.route.Objective) // Does not wait for an owner.
		t, refused := e.selectOwner(r.Context(), x)
		if refused != nil {
			d.Refused, d.Reason = true, refused.reason
			return d
		}
		d.Host, d.Reason = t.Host, "owner of the key"
		return d
	}
	d.Options = e.pool.Explain(now, e.pooledCandidates(e.state.view.Load(), x.service), x.selectionCriteria())
	if len(d.Options) == 0 {
		d.Refused, d.Reason = true, "no_target"
		return d
	}
	d.Host, d.Reason = d.Options[0].Host, "most likely of the targets: the cheaper one of two sampled by weight is chosen"
	return d
}
