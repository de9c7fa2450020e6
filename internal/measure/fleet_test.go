package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/capacity"
	"github.com/citronvane/citronvane/internal/ctl"
	"github.com/citronvane/citronvane/internal/devfleet"
	"github.com/citronvane/citronvane/internal/load"
)

// settleTime lets assignments and announcements reach all nodes.
const settleTime = 2 * time.Second

// document has short cold starts, because these measures are about warm targets.
const document = `{
	"availability_zones": {"zone-0": {}, "zone-1": {}},
	"services": {
		"booking": {"kind": "keyed", "max_request": "%[1]s", "cold_start": {"concurrency": 4, "ramp": "1s"}},
		"catalogue": {"kind": "pooled", "max_request": "%[1]s", "hedge": true, "cold_start": {"concurrency": 4, "ramp": "1s"}}},
	"rules": [
		{"prefix": "/booking", "service": "booking", "key": {"path_segment": 1}},
		{"prefix": "/catalogue", "service": "catalogue"}]}`

// host returns the description of a host with a target that has the further arguments.
func host(i int, service string, args ...string) devfleet.NodeSpec {
	return devfleet.NodeSpec{
		Name:             fmt.Sprintf("node-%02d", i),
		Region:           "region",
		AvailabilityZone: fmt.Sprintf("zone-%d", i%2),
		Rack:             fmt.Sprintf("rack-%d", i),
		Service:          service,
		TargetArgs:       args,
	}
}

func start(b *testing.B, maxRequest time.Duration, specs ...devfleet.NodeSpec) *devfleet.Fleet {
	programs := b.TempDir()
	require.NoError(b, devfleet.Build(programs))
	fleet, err := devfleet.New(devfleet.Options{Programs: programs, Directory: b.TempDir(), Nodes: specs})
	require.NoError(b, err)
	b.Cleanup(fleet.Kill)
	require.NoError(b, fleet.Start(b.Context()))
	patch := b.TempDir() + "/patch.json"
	require.NoError(b, os.WriteFile(patch, fmt.Appendf(nil, document, maxRequest), 0o600))
	code := ctl.Run([]string{"--node", fleet.Hosts[0].Ports.Operators, "--token", devfleet.OperatorToken,
		"config", "patch", "--base", "0", "--file", patch}, nil, os.Stderr, os.Stderr)
	require.Equal(b, ctl.ExitOK, code)
	time.Sleep(settleTime)
	return fleet
}

// entrances returns the callers' addresses of the nodes.
func entrances(fleet *devfleet.Fleet) []string {
	var addresses []string
	for _, h := range fleet.Hosts {
		addresses = append(addresses, h.Ports.Callers)
	}
	return addresses
}

// targets returns the addresses of the targets of a service.
func targets(fleet *devfleet.Fleet, service string) []string {
	var addresses []string
	for _, h := range fleet.Hosts {
		if h.Spec.Service == service {
			addresses = append(addresses, h.Ports.Target)
		}
	}
	return addresses
}

// side is one of the ways to reach the targets.
type side struct {
	name      string
	addresses []string
}

// options are those of a run without repeats by the caller.
func options(addresses []string, mix string, rate float64, d time.Duration) load.Options {
	classes, err := load.ParseMix(mix)
	if err != nil {
		panic(err) // The mixes are constants of the benchmarks.
	}
	return load.Options{
		Nodes:       addresses,
		Rate:        rate,
		Duration:    d,
		MaxInFlight: 1024,
		Timeout:     5 * time.Second,
		Mix:         classes,
		KeyedPath:   "/booking",
		PooledPath:  "/catalogue",
		Keys:        10000,
		AnswerSize:  1024,
		Limits:      load.NoLimits,
	}
}

// run generates load and fails on an answer that is not whole or not the caller's own.
func run(b *testing.B, o load.Options) *load.Report {
	ctx, cancel := context.WithTimeout(b.Context(), o.Duration+o.Timeout+10*time.Second)
	defer cancel()
	report, err := load.Run(ctx, o)
	require.NoError(b, err)
	for _, wrong := range []load.Outcome{load.Truncated, load.Foreign, load.Corrupt, load.Malformed} {
		require.Zero(b, report.Answers[wrong], wrong)
	}
	b.ReportMetric(0, "ns/op")
	return report
}

func reportLatency(b *testing.B, r *load.Report) {
	all := r.Succeeded["all"]
	b.ReportMetric(all.P50, "p50-ms")
	b.ReportMetric(all.P99, "p99-ms")
	b.ReportMetric(all.P999, "p99.9-ms")
	b.ReportMetric(float64(r.Requests-r.Answers[load.OK]), "failed")
}

// nodeCPU returns the processor time that the nodes have used.
func nodeCPU(b *testing.B, fleet *devfleet.Fleet) time.Duration {
	var sum time.Duration
	for _, h := range fleet.Hosts {
		usage, err := capacity.ReadUsage(h.Node.PID())
		require.NoError(b, err)
		sum += usage.CPU
	}
	return sum
}

// awaitIdle waits until the targets have ended the work that the last run left behind, and the nodes
// have forgotten that they were busy.
func awaitIdle(b *testing.B, fleet *devfleet.Fleet) {
	for _, h := range fleet.Hosts {
		require.Eventually(b, func() bool { return idle(h.Ports.TargetAdmin) }, 30*time.Second, 50*time.Millisecond)
	}
	time.Sleep(time.Second)
}

func idle(admin string) bool {
	response, err := http.Get("http://" + admin + "/admin/state")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Running *int `json:"running"`
		Waiting *int `json:"waiting"`
	}
	if json.NewDecoder(response.Body).Decode(&state) != nil || state.Running == nil || state.Waiting == nil {
		return false
	}
	return *state.Running == 0 && *state.Waiting == 0
}
