package devfleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/devfleet"
	"github.com/citronvane/citronvane/internal/load"
	"github.com/citronvane/citronvane/internal/operator"
)

const (
	// keys is the number of keys of the load. Probes look at more, so that each host owns some of them.
	keys       = 40
	probedKeys = 100
	// settleTimeout bounds the start of a fleet and the return of slices, which are no subject of a bound here.
	settleTimeout = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
	// maxLoad ends a load that no test has ended.
	maxLoad  = 40 * time.Second
	loadTail = 500 * time.Millisecond
	// logTailBytes is what a failed test prints of each log.
	logTailBytes = 1500
	// fairShare is close to the 64 of 256 slices that each of the 4 booking hosts has in the end.
	fairShare = 56
)

const configuration = `{
  "availability_zones": {"mbezi": {"state": "in"}, "temeke": {"state": "in"}, "msasani": {"state": "in"}},
  "services": {
    "booking": {"kind": "keyed", "max_request": "2s"},
    "catalogue": {"kind": "pooled", "max_request": "2s"}
  },
  "rules": [
    {"prefix": "/booking", "service": "booking", "key": {"path_segment": 1}},
    {"prefix": "/catalogue", "service": "catalogue"}
  ]
}`

// rig is a running fleet of 4 booking hosts and 2 catalogue hosts in 3 availability zones.
type rig struct {
	*devfleet.Fleet
	t      *testing.T
	client *http.Client
}

func newRig(t *testing.T) *rig {
	t.Helper()
	spec := func(i int, zone, service string) devfleet.NodeSpec {
		return devfleet.NodeSpec{
			Name: fmt.Sprintf("node-%d", i), Region: "dar", AvailabilityZone: zone,
			Rack: fmt.Sprintf("%s-%d", zone, i), Service: service, Fenced: service == "booking",
		}
	}
	fleet, err := devfleet.New(devfleet.Options{Programs: programs, Directory: t.TempDir(), Nodes: []devfleet.NodeSpec{
		spec(1, "mbezi", "booking"), spec(2, "temeke", "booking"), spec(3, "msasani", "booking"),
		spec(4, "mbezi", "booking"), spec(5, "temeke", "catalogue"), spec(6, "msasani", "catalogue"),
	}})
	require.NoError(t, err)
	r := &rig{Fleet: fleet, t: t, client: &http.Client{Timeout: 5 * time.Second}}
	t.Cleanup(func() {
		fleet.Kill()
		r.client.CloseIdleConnections()
		if t.Failed() {
			r.printLogs()
		}
	})
	require.NoError(t, fleet.Start(t.Context()))
	// Slices that are assigned when all targets are known need not move afterwards.
	r.eventually(settleTimeout, "all targets are known", r.registered)
	_, err = r.patch(r.Hosts[0], 0, configuration)
	require.NoError(t, err)
	t.Logf("fleet balanced after %v", r.waitBalanced())
	return r
}

// registered reports whether the first host knows all nodes with their targets.
func (r *rig) registered() bool {
	status, err := r.status(r.Hosts[0])
	known := 0
	for _, n := range status.Nodes {
		if n.State == cluster.Live && n.Service != "" && n.Reached && n.LeaseValid {
			known++
		}
	}
	return err == nil && known == len(r.Hosts)
}

func (r *rig) printLogs() {
	for _, h := range r.Hosts {
		data, err := os.ReadFile(filepath.Join(r.Directory, h.Spec.Name+".log"))
		if err == nil {
			r.t.Logf("end of the log of %s:\n%s", h.Spec.Name, data[max(0, len(data)-logTailBytes):])
		}
	}
}

// eventually waits until the condition holds and returns how long that took.
func (r *rig) eventually(bound time.Duration, what string, condition func() bool) time.Duration {
	r.t.Helper()
	started := time.Now()
	for !condition() {
		require.Less(r.t, time.Since(started), bound, what)
		time.Sleep(pollInterval)
	}
	return time.Since(started)
}

// waitBalanced waits until all nodes are live with valid leases, and all slices are owned, spread over
// the booking hosts, and at rest.
func (r *rig) waitBalanced() time.Duration {
	r.t.Helper()
	defer func() {
		if r.t.Failed() {
			status, err := r.status(r.Hosts[0])
			r.t.Logf("status as %s sees it: %+v, error %v", r.Hosts[0].Spec.Name, status, err)
		}
	}()
	return r.eventually(settleTimeout, "the fleet is balanced", func() bool { return r.balanced(r.Hosts...) })
}

// balanced reports whether the first of the hosts sees all of them serving with slices at rest.
func (r *rig) balanced(hosts ...*devfleet.Host) bool {
	status, err := r.status(hosts[0])
	if err != nil || len(status.Services) != 1 || status.Services[0].Unowned+status.Services[0].Moving > 0 {
		return false
	}
	serving := map[string]bool{}
	for _, n := range status.Nodes {
		hasWork := n.Service == "catalogue" || n.Slices >= fairShare
		serving[n.ID.Name] = n.State == cluster.Live && n.Reached && n.LeaseValid && !n.TargetDown && hasWork
	}
	for _, h := range hosts {
		if !serving[h.Spec.Name] {
			return false
		}
	}
	return true
}

// call calls the operators' API of the host, or another HTTP endpoint for an address.
func (r *rig) call(method, address, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+devfleet.OperatorToken)
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

func (r *rig) status(h *devfleet.Host) (operator.Status, error) {
	var status operator.Status
	err := r.call(http.MethodGet, h.Ports.Operators, "/v1/status", nil, &status)
	return status, err
}

// patch submits a merge patch as an operator and returns the number of the accepted configuration.
func (r *rig) patch(h *devfleet.Host, base uint64, merge string) (uint64, error) {
	var accepted operator.Accepted
	patch := config.Patch{Base: base, Identity: uuid.NewString(), Author: "test", Merge: json.RawMessage(merge)}
	err := r.call(http.MethodPost, h.Ports.Operators, "/v1/configuration/patches", patch, &accepted)
	return accepted.Number, err
}

// faults changes the faults of the platform.
func (r *rig) faults(fields map[string]any) {
	r.t.Helper()
	require.NoError(r.t, r.call(http.MethodPost, r.PlatformAddress, "/admin/faults", fields, nil))
}

// keysOf returns the keys that the host owns in the view of the other host.
func (r *rig) keysOf(h, viewer *devfleet.Host) []string {
	r.t.Helper()
	var owned []string
	for i := range probedKeys {
		var e operator.Explanation
		key := fmt.Sprintf("k%d", i)
		require.NoError(r.t, r.call(http.MethodGet, viewer.Ports.Operators, "/v1/explain?service=booking&key="+key, nil, &e))
		if e.Owner != nil && e.Owner.Name == h.Spec.Name {
			owned = append(owned, key)
		}
	}
	require.NotEmpty(r.t, owned, "%s owns no key", h.Spec.Name)
	return owned
}

// callers returns the callers' addresses of all hosts but the given ones.
func (r *rig) callers(without ...*devfleet.Host) []string {
	var addresses []string
	for _, h := range r.others(without...) {
		addresses = append(addresses, h.Ports.Callers)
	}
	return addresses
}

func (r *rig) others(without ...*devfleet.Host) []*devfleet.Host {
	var hosts []*devfleet.Host
	for _, h := range r.Hosts {
		excluded := false
		for _, w := range without {
			excluded = excluded || h == w
		}
		if !excluded {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// load drives requests through the nodes in the background. The returned function lets the load go on
// for loadTail, so that it covers what follows a change, ends it and returns its report.
func (r *rig) load(nodes []string, change func(*load.Options)) func() *load.Report {
	r.t.Helper()
	mix, err := load.ParseMix("keyed-post=4,keyed-get=4,pooled-get=2")
	require.NoError(r.t, err)
	o := load.Options{
		Nodes: nodes, Rate: 300, Duration: maxLoad, MaxInFlight: 2000, Timeout: 5 * time.Second,
		Retries: 100, RetryPause: 25 * time.Millisecond, Mix: mix, KeyedPath: "/booking", PooledPath: "/catalogue",
		Keys: keys, AnswerSize: 500, BodySize: 100, Tokens: true, Seed: 1, Settle: 300 * time.Millisecond, Limits: load.NoLimits,
	}
	for _, h := range r.Hosts {
		o.Journals = append(o.Journals, h.Ports.TargetAdmin)
	}
	if change != nil {
		change(&o)
	}
	reports := make(chan *load.Report, 1)
	ctx, cancel := context.WithCancel(r.t.Context())
	go func() {
		report, err := load.Run(ctx, o)
		if err != nil {
			r.t.Errorf("load: %v", err)
		}
		reports <- report
	}()
	return func() *load.Report {
		time.Sleep(loadTail)
		cancel()
		report := <-reports
		require.NotNil(r.t, report)
		r.t.Logf("answers %v, attempts %v, succeeded %+v", report.Answers, report.AttemptAnswers, report.Succeeded["all"])
		return report
	}
}

// requireSafe fails on a violated check of the report. Where a target was lost, its journal has a gap,
// and allowed is load.Incomplete.
func (r *rig) requireSafe(report *load.Report, allowed load.Verdict) {
	r.t.Helper()
	seen := 0
	for _, c := range report.Checks {
		switch c.Name {
		case "not run", "at most once", "one owner":
			seen++
			r.t.Logf("%s: %s, %s", c.Name, c.Verdict, c.Detail)
			require.Contains(r.t, []load.Verdict{load.Passed, allowed}, c.Verdict, "%s: %s %v %v", c.Name, c.Detail, c.Examples, report.Journals.Problems)
		case "own answers", "consistent answers":
			require.Equal(r.t, load.Passed, c.Verdict, "%s: %s", c.Name, c.Detail)
		}
	}
	require.Equal(r.t, 3, seen)
}
