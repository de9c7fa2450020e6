package measure

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/devfleet"
)

var nodeProfile = flag.String("node-profile", "", "prefix of the files that take the processor profiles of BenchmarkProfile")

// BenchmarkProfile takes processor profiles of the owner's node and of the node that relays all requests to it.
func BenchmarkProfile(b *testing.B) {
	if *nodeProfile == "" {
		b.Skip("-node-profile names no files")
	}
	const rate = 3000
	fleet := start(b, 5*time.Second, host(0, "booking", "--service-time", "1ms"), host(1, "catalogue"))
	relaying := fleet.Hosts[1].Ports
	run(b, options([]string{relaying.Callers}, "keyed-get=1", rate/2, 3*time.Second))
	for b.Loop() {
		written := make(chan error, 2)
		go func() { written <- writeProfile(b.Context(), relaying.Operators, *nodeProfile+"-relay") }()
		go func() { written <- writeProfile(b.Context(), fleet.Hosts[0].Ports.Operators, *nodeProfile+"-owner") }()
		reportLatency(b, run(b, options([]string{relaying.Callers}, "keyed-get=1", rate, 7*time.Second)))
		require.NoError(b, <-written)
		require.NoError(b, <-written)
	}
}

func writeProfile(ctx context.Context, operators, file string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	url := "http://" + operators + "/debug/pprof/profile?seconds=5"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+devfleet.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	profile, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return os.WriteFile(file, profile, 0o600)
}
