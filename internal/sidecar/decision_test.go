package sidecar

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/ctl"
	"github.com/citronvane/citronvane/internal/decision"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/ingress"
)

// Guards against an explanation that citronctl can't read, that hides a refusal, or that sends or counts a request.
func TestNodeExplainsItsDecision(t *testing.T) {
	n := newIdleNode(t)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+decision.Path, n.entrance.explainDecision)
	server := httptest.NewServer(mux)
	defer server.Close()
	run := func(args ...string) string {
		var out, errOut bytes.Buffer
		code := ctl.Run(append([]string{"--node", strings.TrimPrefix(server.URL, "http://"), "route"}, args...), nil, &out, &errOut)
		require.Equal(t, ctl.ExitOK, code, errOut.String())
		return out.String()
	}
	require.Contains(t, run("http://pooled/x"), "no_configuration")

	route := func(service string) *ingress.Route {
		return &ingress.Route{Name: service, Host: service, Prefix: "/", Timeout: time.Second, Objective: 300 * time.Millisecond, Services: []ingress.WeightedService{{Service: service, Weight: 1}}}
	}
	n.state.config.Store(ingress.NewConfig(1, []*ingress.Route{route("pooled"), route("keyed")}, map[string]ingress.Service{"pooled": {}, "keyed": {Keyed: true}}, ingress.Limits{}))
	view := fleet.NewView()
	view.Targets["10.0.0.1"] = &fleet.Target{Host: "10.0.0.1", Service: "pooled", State: fleet.Serving, Zone: "z", Slots: 6}
	n.state.view.Store(view)
	require.Contains(t, run("http://pooled/x?y=1"), "10.0.0.1")
	require.Contains(t, run("-o", "json", "http://pooled/x"), `"share": 1`)
	require.Contains(t, run("--key", "7", "http://keyed/x"), "no_owner")
	require.Contains(t, run("http://keyed/x"), "no_key")
	require.Contains(t, run("http://other/x"), "no_route")
	page := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	require.NotContains(t, page.Body.String(), "citronvane_re")

	var out, errOut bytes.Buffer
	require.Equal(t, ctl.ExitInvalid, ctl.Run([]string{"route", "x"}, nil, &out, &errOut))
}
