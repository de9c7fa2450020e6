package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/ctl"
	"github.com/citronvane/citronvane/internal/devfleet"
)

// BenchmarkPatch measures the time from the acceptance of a patch until the last node has it in force.
// Run it with -benchtime 1x.
func BenchmarkPatch(b *testing.B) {
	programs := b.TempDir()
	require.NoError(b, devfleet.Build(programs))
	for _, hosts := range []int{4, 12, 48} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				measurePatches(b, startFleet(b, programs, hosts, 256))
			}
		})
	}
}

func measurePatches(b *testing.B, fleet *devfleet.Fleet) {
	const patches = 10
	var total, worst time.Duration
	for i := range patches {
		number := uint64(i + 2)
		file := b.TempDir() + "/patch.json"
		zone := fmt.Sprintf(`{"availability_zones": {"extra-%d": {}}}`, i)
		require.NoError(b, os.WriteFile(file, []byte(zone), 0o600))
		code := ctl.Run([]string{"--node", fleet.Hosts[i%len(fleet.Hosts)].Ports.Operators, "--token", devfleet.OperatorToken,
			"config", "patch", "--base", fmt.Sprint(number - 1), "--file", file}, nil, os.Stderr, os.Stderr)
		require.Equal(b, ctl.ExitOK, code)
		accepted := time.Now()
		for _, host := range fleet.Hosts {
			awaitNumber(b, host.Ports.Operators, number)
		}
		took := time.Since(accepted)
		total += took
		worst = max(worst, took)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(total.Microseconds())/patches/1000, "mean-ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}

func awaitNumber(b *testing.B, address string, number uint64) {
	require.Eventually(b, func() bool {
		response, err := http.Get("http://" + address + "/v1/configuration")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var c config.Versioned
		return json.NewDecoder(response.Body).Decode(&c) == nil && c.Number >= number
	}, 19*time.Second, time.Millisecond)
}
