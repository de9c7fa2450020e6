package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/ctl"
	"github.com/citronvane/citronvane/internal/devfleet"
	"github.com/citronvane/citronvane/internal/operator"
)

const (
	settleTime  = 5 * time.Second
	measureTime = 10 * time.Second
)

// BenchmarkControl measures processor time, memory, heartbeat bytes and platform calls of a node without
// requests, over fleet sizes. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	programs := b.TempDir()
	require.NoError(b, devfleet.Build(programs))
	for _, size := range []struct{ hosts, slices int }{{4, 256}, {12, 256}, {24, 256}, {48, 256}, {12, 4096}, {12, 16384}, {48, 16384}} {
		b.Run(fmt.Sprintf("hosts=%d/slices=%d", size.hosts, size.slices), func(b *testing.B) {
			for b.Loop() {
				measure(b, startFleet(b, programs, size.hosts, size.slices))
			}
		})
	}
}

func startFleet(b *testing.B, programs string, hosts, slices int) *devfleet.Fleet {
	var specs []devfleet.NodeSpec
	for i := range hosts {
		specs = append(specs, devfleet.NodeSpec{
			Name:             fmt.Sprintf("node-%03d", i),
			Region:           fmt.Sprintf("region-%d", i%4/2),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%4),
			Rack:             fmt.Sprintf("rack-%d", i),
			Service:          "booking",
			Fenced:           true,
		})
	}
	fleet, err := devfleet.New(devfleet.Options{Programs: programs, Directory: b.TempDir(), Nodes: specs})
	require.NoError(b, err)
	b.Cleanup(fleet.Kill)
	require.NoError(b, fleet.Start(b.Context()))
	// All targets are there before the service is created, so that no balancing is measured.
	awaitStatus(b, fleet, func(s *operator.Status) bool {
		registered := 0
		for _, n := range s.Nodes {
			if n.Service == "booking" && len(n.Grantors) == 3 {
				registered++
			}
		}
		return registered == hosts
	})
	patch := b.TempDir() + "/patch.json"
	require.NoError(b, os.WriteFile(patch, fmt.Appendf(nil, `{
		"availability_zones": {"zone-0": {}, "zone-1": {}, "zone-2": {}, "zone-3": {}},
		"services": {"booking": {"kind": "keyed", "slices": %d}},
		"rules": [{"prefix": "/booking", "service": "booking", "key": {"path_segment": 1}}]}`, slices), 0o600))
	code := ctl.Run([]string{"--node", fleet.Hosts[0].Ports.Operators, "--token", devfleet.OperatorToken,
		"config", "patch", "--base", "0", "--file", patch}, nil, os.Stderr, os.Stderr)
	require.Equal(b, ctl.ExitOK, code)
	awaitStatus(b, fleet, func(s *operator.Status) bool {
		return len(s.Services) == 1 && s.Services[0].Unowned == 0 && s.Services[0].Moving == 0
	})
	time.Sleep(settleTime)
	return fleet
}

func awaitStatus(b *testing.B, fleet *devfleet.Fleet, done func(*operator.Status) bool) {
	require.Eventually(b, func() bool {
		response, err := http.Get("http://" + fleet.Hosts[0].Ports.Operators + "/v1/status")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var status operator.Status
		return json.NewDecoder(response.Body).Decode(&status) == nil && done(&status)
	}, 30*time.Second, 100*time.Millisecond)
}

// sample is the state of a whole fleet.
type sample struct {
	cpu, rss time.Duration
	counters map[string]float64
}

func measure(b *testing.B, fleet *devfleet.Fleet) {
	before := take(b, fleet)
	time.Sleep(measureTime)
	after := take(b, fleet)
	nodes := float64(len(fleet.Hosts))
	seconds := measureTime.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds/nodes, "%core/node")
	b.ReportMetric(float64(after.rss)/nodes/(1<<20), "MiB/node")
	for name, value := range after.counters {
		rate := (value - before.counters[name]) / seconds / nodes
		if rate > 0 && wanted(name) {
			b.ReportMetric(rate, strings.TrimPrefix(name, "citronvane_")+"/s/node")
		}
	}
}

func wanted(name string) bool {
	return strings.HasPrefix(name, "citronvane_heartbeat_") || strings.HasPrefix(name, "citronvane_platform_")
}

func take(b *testing.B, fleet *devfleet.Fleet) sample {
	s := sample{counters: map[string]float64{}}
	for _, host := range fleet.Hosts {
		usage, err := ReadUsage(host.Node.PID())
		require.NoError(b, err)
		s.cpu += usage.CPU
		s.rss += time.Duration(usage.RSSBytes)
		counters, err := ReadCounters(host.Ports.Operators)
		require.NoError(b, err)
		for name, value := range counters {
			s.counters[name] += value
		}
	}
	return s
}

// Guards against a reading of /proc that takes a wrong field.
func TestUsageOfABusyProcess(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	busy := exec.CommandContext(ctx, "sh", "-c", "while :; do :; done")
	require.NoError(t, busy.Start())
	time.Sleep(500 * time.Millisecond)
	usage, err := ReadUsage(busy.Process.Pid)
	require.NoError(t, err)
	cancel()
	_ = busy.Wait()
	require.Greater(t, usage.CPU, 100*time.Millisecond)
	require.Less(t, usage.CPU, 5*time.Second)
	require.Greater(t, usage.RSSBytes, int64(100<<10))
}
