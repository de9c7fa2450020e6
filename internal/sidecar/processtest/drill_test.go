package processtest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/platform/standin"
)

const (
	// drillHosts is the number of hosts of the keyed service.
	drillHosts = 4
	// servedAgain is the users' bound on keys without an owner after one loss beside a drill, servedAgainAfterMore (recover_s) that after several and
	// after the loss of a host, whose node may have led unseen.
	servedAgain          = 5 * time.Second
	servedAgainAfterMore = 15 * time.Second
)

// drillFleet is a fleet of node processes whose store comes back from copies.
type drillFleet struct {
	t       *testing.T
	store   *standin.Store
	history *standin.History
	hosts   []*drillHost
}

type drillHost struct {
	ip, file, log string
	target        string
	heartbeats    string
	endpoint      *standin.Endpoint
	cmd           *exec.Cmd
	process       *standin.Target
	lost          bool
}

var (
	drillFleets atomic.Int64
	// startLock keeps a process that is being started from inheriting a listening socket that is about to be closed.
	startLock sync.Mutex
)

// startDrillFleet starts a fleet whose hosts are in the zones, by default all in one, and waits until all keys are held.
func startDrillFleet(t *testing.T, zones ...string) *drillFleet {
	f := newDrillFleet(t, zones...)
	f.startNodes()
	return f
}

// newDrillFleet starts the targets of a fleet.
func newDrillFleet(t *testing.T, zones ...string) *drillFleet {
	f := &drillFleet{t: t, store: standin.NewStore(), history: standin.NewHistory()}
	f.store.Configure(standin.Configuration(1, "p"))
	number, directory := int(drillFleets.Add(1)), t.TempDir()
	for i := range drillHosts {
		zone := "z"
		if i < len(zones) {
			zone = zones[i]
		}
		f.addHost(fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, number%250, 10+i), zone, directory)
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.kill()
			h.process.Crash()
		}
		for _, h := range f.hosts {
			if t.Failed() {
				log, _ := os.ReadFile(h.log)
				t.Logf("log of %s:\n%s", h.ip, log[max(0, len(log)-20000):])
			}
		}
	})
	return f
}

// startNodes starts all nodes and waits until all keys are held.
func (f *drillFleet) startNodes() {
	for _, h := range f.hosts {
		f.start(h)
	}
	require.Eventually(f.t, func() bool { return f.history.HeldShare("keyed") == 1 }, 30*time.Second, 50*time.Millisecond, "all keys are held")
}

func (f *drillFleet) addHost(ip, zone, directory string) {
	startLock.Lock()
	defer startLock.Unlock()
	ports := freePorts(f.t, ip)
	endpoint, err := f.store.OpenEndpoint()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = endpoint.Close() })
	h := &drillHost{ip: ip, file: filepath.Join(directory, ip+".yaml"), log: filepath.Join(directory, ip+".log"), target: ip + ":" + ports[0], heartbeats: ip + ":" + ports[4], endpoint: endpoint}
	text := fmt.Sprintf(`{node: n%[1]s, host: %[1]s, availability_zone: %[10]s, service: keyed, target: "%[2]s", heartbeat_interval_ms: %[3]d, relay_ports: [%[4]s, %[4]s],
 listen: {entrance: "%[1]s:%[5]s", readiness: "%[1]s:%[6]s", heartbeats: "%[7]s", metrics: "%[1]s:%[8]s"}, store: {address: "%[9]s"}}
`, ip, h.target, standin.HeartbeatIntervalMs, ports[1], ports[2], ports[3], h.heartbeats, ports[5], endpoint.Address(), zone)
	require.NoError(f.t, os.WriteFile(h.file, []byte(text), 0o600))
	f.hosts = append(f.hosts, h)
	f.startTarget(h, 1)
}

// startTarget starts an incarnation of the host's target.
func (f *drillFleet) startTarget(h *drillHost, incarnation int) {
	target, err := standin.StartTarget(h.target, standin.TargetOptions{
		History: f.history, Service: "keyed", Keyed: true, HeartbeatAddress: h.heartbeats, Instance: fmt.Sprintf("i-%s-%d", h.ip, incarnation), StartTimeMs: 1000 * int64(incarnation), ServiceTime: 2 * time.Millisecond,
	})
	require.NoError(f.t, err)
	h.process = target
}

// start starts the node of a host.
func (f *drillFleet) start(h *drillHost) {
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	h.cmd = exec.Command(program, "sidecar", "--settings", h.file)
	h.cmd.Stdout, h.cmd.Stderr = output, output
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // Ends it with a test process that was killed.
	startLock.Lock()
	defer startLock.Unlock()
	require.NoError(f.t, h.cmd.Start())
	_ = output.Close()
}

// kill ends the node of a host without a warning.
func (h *drillHost) kill() {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		h.cmd = nil
	}
}

// restart kills nodes at once and starts them again.
func (f *drillFleet) restart(pause time.Duration, hosts ...*drillHost) {
	for _, h := range hosts {
		h.kill()
	}
	time.Sleep(pause)
	for _, h := range hosts {
		if !h.lost {
			f.start(h)
		}
	}
}

// leader returns the host that the store names as the leader, or the first one.
func (f *drillFleet) leader() *drillHost {
	name := f.store.Leader()
	for _, h := range f.hosts {
		if h.ip == name {
			return h
		}
	}
	return f.hosts[0]
}

// other returns a host at random that is neither lost nor the leader.
func (f *drillFleet) other(random *rand.Rand) *drillHost {
	leader := f.leader()
	for {
		if h := f.hosts[random.IntN(len(f.hosts))]; h != leader && !h.lost {
			return h
		}
	}
}

func (f *drillFleet) setAway(away bool, hosts ...*drillHost) {
	for _, h := range hosts {
		h.endpoint.ChangeFaults(func(faults *standin.Faults) { faults.Down = away })
	}
}

// disturb plays a disturbance beside a drill and returns the bound on the time until all keys are held again.
func (f *drillFleet) disturb(random *rand.Rand) time.Duration {
	kind := random.IntN(8)
	f.t.Logf("disturbance %d", kind)
	pause := time.Duration(100+random.IntN(600)) * time.Millisecond
	switch kind {
	case 0: // The drill alone.
		return 0
	case 1:
		f.other(random).process.Drain()
	case 2:
		f.other(random).process.Crash()
	case 3:
		f.restart(pause, f.leader())
	case 4:
		f.restart(pause, f.other(random))
	case 5:
		f.restart(pause, f.hosts...)
	case 6: // A host is lost.
		h := f.other(random)
		h.lost = true
		h.kill()
		h.process.Crash()
		return servedAgainAfterMore
	case 7: // The store refuses a node for a while.
		h := f.hosts[random.IntN(len(f.hosts))]
		f.setAway(true, h)
		time.AfterFunc(time.Duration(500+random.IntN(2500))*time.Millisecond, func() { f.setAway(false, h) })
	}
	return servedAgain
}

// playDrill plays one drill with disturbances in the seconds that the copy lacks, during the drill and after it.
func playDrill(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	pause := func(most time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(most)))) }
	f := startDrillFleet(t)
	bound, disturbances := servedAgain, 0
	disturb := func(likely float64) {
		if random.Float64() < likely {
			bound = max(bound, f.disturb(random))
			disturbances++
		}
	}
	pause(time.Second)
	copied := f.store.Copy()
	pause(500 * time.Millisecond)
	disturb(0.8)
	pause(2 * time.Second)
	drills := 1 + random.IntN(4)/3
	for range drills {
		f.setAway(true, f.hosts...)
		disturb(0.2)
		pause(time.Second)
		f.store.Restore(copied)
		f.setAway(false, f.hosts...)
		pause(1500 * time.Millisecond)
		disturb(0.4)
	}
	pause(3 * time.Second)
	disturb(0.6)
	if disturbances+drills > 2 {
		bound = servedAgainAfterMore
	}
	began := time.Now()
	require.Eventually(t, func() bool { return f.history.HeldShare("keyed") == 1 }, bound, 20*time.Millisecond, "all keys are held again; the bound is %v", bound)
	t.Logf("all keys are held %v after the last disturbance, %d drills, %d disturbances, bound %v", time.Since(began).Round(time.Millisecond), drills, disturbances, bound)
	time.Sleep(2 * time.Second)
	require.Empty(t, f.history.Violations())
}

// Guards against a leader that starts after a drill with nothing but the store, and gives keys away under fencing tokens of the lost seconds or under
// lower ones. The keys of the target that leaves have moved in these seconds.
func TestLeaderStartsAfterADrill(t *testing.T) {
	f := startDrillFleet(t)
	copied := f.store.Copy()
	leaving := f.other(rand.New(rand.NewPCG(1, 0)))
	leaving.process.Drain()
	require.Eventually(t, func() bool { return leaving.process.Holds() == 0 && f.history.HeldShare("keyed") == 1 }, servedAgain, 20*time.Millisecond, "its keys have moved")
	leader := f.leader()
	f.setAway(true, f.hosts...)
	time.Sleep(500 * time.Millisecond)
	f.store.Restore(copied)
	f.setAway(false, f.hosts...)
	time.Sleep(4 * time.Second)
	f.restart(500*time.Millisecond, leader)
	time.Sleep(5 * time.Second)
	require.Eventually(t, func() bool { return f.history.HeldShare("keyed") == 1 }, servedAgain, 20*time.Millisecond, "all keys are held")
	require.Empty(t, f.history.Violations())
}

// Guards against fencing tokens that are given out twice, keys with two owners, and keys without one, after the store came back from a copy. Set
// DRILLS to the number of drills and DRILL_SEED to the first seed.
func TestDrills(t *testing.T) { playSeeds(t, "DRILLS", "DRILL_SEED", 11, playDrill) }

// playSeeds plays eight seeds beside each other from the first one on. The environment may set their number and the first seed.
func playSeeds(t *testing.T, countVariable, seedVariable string, seed uint64, play func(*testing.T, uint64)) {
	count := 8
	if text := os.Getenv(countVariable); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		count = n
	}
	if text := os.Getenv(seedVariable); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seed = n
	}
	for i := range count {
		t.Run(fmt.Sprint("seed ", seed+uint64(i)), func(t *testing.T) {
			t.Parallel()
			play(t, seed+uint64(i))
		})
	}
}
