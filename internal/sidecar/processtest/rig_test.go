// Package processtest runs the node program as a separate process under callers that nobody controls, and checks its memory and its
// descriptors from outside.
package processtest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/platform/standin"
)

const (
	// memoryMB is the memory of each node, as low as a node without requests allows with room for some.
	memoryMB = 48
	// maxFDs is the descriptor limit of each node.
	maxFDs = 400
	// maxBodyBytes is the configured body limit, the platform's own.
	maxBodyBytes = 64 << 20
	// answeredWithin bounds the wait for the answer to an ordinary request. It is no bound on latency: callers that make no progress
	// are ended only after several seconds.
	answeredWithin = 40 * time.Second
)

var program string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "processtest-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(directory, "node")
	build := exec.Command("go", "build", "-o", program, "github.com/citronvane/citronvane/cmd/citronvane-node") // Not with -race, which multiplies memory.
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// child is a node process.
type child struct {
	name, entrance string
	cmd            *exec.Cmd
	ended          chan struct{}
	log            string
	maxRSS, maxFD  atomic.Int64
}

// rig is a fleet of two node processes. Requests for the keyed service that enter at the pooled node cross the relay.
type rig struct {
	t             *testing.T
	pooled, keyed *child
	stop          chan struct{}
	watched       chan struct{}
}

func startRig(t *testing.T) *rig {
	t.Helper()
	store := standin.NewStore()
	document := strings.NewReplacer(`"max_body_bytes":1000000`, fmt.Sprintf(`"max_body_bytes":%d,"max_header_bytes":16384,"header_timeout_ms":3000`, maxBodyBytes),
		`"timeout_ms":3000`, `"timeout_ms":30000`).Replace(standin.Configuration(1, "p"))
	store.Configure(document)
	r := &rig{t: t, stop: make(chan struct{}), watched: make(chan struct{})}
	history := standin.NewHistory()
	r.keyed, r.pooled = startChild(t, store, history, 1, "keyed"), startChild(t, store, history, 2, "pooled")
	go r.watch()
	t.Cleanup(func() { close(r.stop); <-r.watched })
	r.checkAnswered()
	return r
}

// startChild starts a node process with a target in this process. Both end with the test.
func startChild(t *testing.T, store *standin.Store, history *standin.History, number int, service string) *child {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, 250+number)
	ports := freePorts(t, ip)
	endpoint, err := store.OpenEndpoint()
	require.NoError(t, err)
	t.Cleanup(func() { _ = endpoint.Close() })
	directory := t.TempDir()
	file := filepath.Join(directory, "node.yaml")
	text := fmt.Sprintf(`{node: %[2]s, host: %[1]s, availability_zone: z, service: %[2]s, target: "%[1]s:%[3]s", heartbeat_interval_ms: %[4]d,
 relay_ports: [%[5]s, %[5]s], memory_mb: %[6]d, max_fds: %[7]d,
 listen: {entrance: "%[1]s:%[8]s", readiness: "%[1]s:%[9]s", heartbeats: "%[1]s:%[10]s", metrics: "%[1]s:%[11]s"}, store: {address: "%[12]s"}}
`, ip, service, ports[0], standin.HeartbeatIntervalMs, ports[1], memoryMB, maxFDs, ports[2], ports[3], ports[4], ports[5], endpoint.Address())
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	c := &child{name: service, entrance: ip + ":" + ports[2], ended: make(chan struct{}), log: filepath.Join(directory, "log")}
	output, err := os.Create(c.log)
	require.NoError(t, err)
	c.cmd = exec.Command(program, "sidecar", "--settings", file)
	c.cmd.Stdout, c.cmd.Stderr = output, output
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // Ends it with a test process that was killed.
	require.NoError(t, c.cmd.Start())
	_ = output.Close()
	go func() { _ = c.cmd.Wait(); close(c.ended) }()
	t.Cleanup(func() {
		_ = c.cmd.Process.Kill()
		<-c.ended
	})
	target, err := standin.StartTarget(ip+":"+ports[0], standin.TargetOptions{
		History: history, Service: service, Keyed: service == "keyed", HeartbeatAddress: ip + ":" + ports[4], Instance: "i-" + service, StartTimeMs: 1000, ServiceTime: 2 * time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(target.Crash)
	return c
}

func freePorts(t *testing.T, ip string) (ports [6]string) {
	t.Helper()
	for i := range ports {
		l, err := net.Listen("tcp", ip+":0")
		require.NoError(t, err)
		defer l.Close()
		_, ports[i], _ = net.SplitHostPort(l.Addr().String())
	}
	return ports
}

// watch records the highest memory and descriptor use of both processes until the test ends.
func (r *rig) watch() {
	defer close(r.watched)
	for {
		for _, c := range []*child{r.keyed, r.pooled} {
			c.maxRSS.Store(max(c.maxRSS.Load(), c.rssKB()))
			c.maxFD.Store(max(c.maxFD.Load(), c.fds()))
		}
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (c *child) rssKB() int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0 // It has ended.
	}
	n, _ := strconv.ParseInt(fields[0], 10, 64)
	return n
}

func (c *child) fds() int64 {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
	return int64(len(entries))
}

// checkAnswered checks that an ordinary request to either service is answered.
func (r *rig) checkAnswered() {
	r.t.Helper()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, path := range []string{"/p/ordinary", "/k/ordinary"} {
		answered := assert.Eventually(r.t, func() bool {
			request, _ := http.NewRequest(http.MethodGet, "http://"+r.pooled.entrance+path, nil)
			request.Host, request.Header = standin.Host, standin.KeyedHeader(fmt.Sprint("ordinary-", time.Now().UnixNano()), 1)
			response, err := client.Do(request)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, answeredWithin, 100*time.Millisecond, "an ordinary request to %s is answered", path)
		if !answered {
			for _, c := range []*child{r.pooled, r.keyed} {
				log, _ := os.ReadFile(c.log)
				r.t.Logf("end of the log of %s: %s", c.name, log[max(0, len(log)-3000):])
			}
		}
	}
}

// checkWithinLimits checks that both processes live and have always stayed within their memory and their descriptors.
func (r *rig) checkWithinLimits() {
	r.t.Helper()
	for _, c := range []*child{r.keyed, r.pooled} {
		r.t.Logf("%s: at most %d KB resident and %d descriptors", c.name, c.maxRSS.Load(), c.maxFD.Load())
		select {
		case <-c.ended:
			log, _ := os.ReadFile(c.log)
			r.t.Errorf("%s ended: %s", c.name, log[max(0, len(log)-2000):])
		default:
		}
		if c.maxRSS.Load() > memoryMB<<10 {
			r.t.Errorf("%s used %d KB, more than %d", c.name, c.maxRSS.Load(), memoryMB<<10)
		}
		if c.maxFD.Load() > maxFDs {
			r.t.Errorf("%s used %d descriptors, more than %d", c.name, c.maxFD.Load(), maxFDs)
		}
	}
}
