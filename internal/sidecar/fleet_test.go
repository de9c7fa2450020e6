package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// testFleet is a small fleet that runs against stand-ins of the store and the targets. Its hosts belong to a keyed service, except for
// the last one, which belongs to a pooled service.
type testFleet struct {
	t       *testing.T
	store   *standin.Store
	history *standin.History
	hosts   []*testHost
	// number is part of the hosts' addresses.
	number int
}

type testHost struct {
	node       *node
	storeProxy *standin.Endpoint
	target     *standin.Target
	cancel     context.CancelFunc
	done       chan error
}

func freePorts(t *testing.T, ip string, n int) []string {
	t.Helper()
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		require.NoError(t, err)
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses
}

func newTestFleet(t *testing.T, keyed int) *testFleet {
	t.Helper()
	r := &testFleet{t: t, store: standin.NewStore(), history: standin.NewHistory(), number: int(fleetsStarted.Add(1)) % maxFleets}
	r.store.Configure(standin.Configuration(1, "p"))
	for i := range keyed + 1 {
		service := "keyed"
		if i == keyed {
			service = "pooled"
		}
		r.hosts = append(r.hosts, r.startHost(r.hostAddress(i), service))
	}
	t.Cleanup(func() {
		for _, h := range r.hosts {
			h.cancel()
		}
		for _, h := range r.hosts {
			<-h.done
			if h.target != nil {
				h.target.Crash()
			}
		}
	})
	require.Eventually(t, func() bool {
		view := r.hosts[0].node.state.view.Load()
		table := view.Tables["keyed"]
		return table != nil && len(table.Gaps()) == 0 && len(view.Targets) == keyed+1 && r.servesAll("p")
	}, 15*time.Second, 50*time.Millisecond, "the fleet serves all keys")
	return r
}

// fleetsStarted counts the fleets of this process. maxFleets bounds those that run at the same time.
var fleetsStarted atomic.Int64

const (
	maxFleets        = 24
	maxHostsPerFleet = 10
)

// hostAddress returns the address of a host. It depends on the process ID and the fleet, so that tests that run at the same time don't take
// each other's free ports.
func (r *testFleet) hostAddress(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, r.number*maxHostsPerFleet+i+11)
}

// servesAll reports whether every node serves keys from all parts of the keyspace and the pooled service.
func (r *testFleet) servesAll(pooled string) bool {
	for _, h := range r.hosts {
		for _, path := range []string{"/k/x", "/" + pooled + "/x"} {
			for key := 0; key < 65536; key += 8192 {
				status, _ := h.get(path, fmt.Sprintf("probe-%d", time.Now().UnixNano()), key)
				if status != 200 {
					return false
				}
			}
		}
	}
	return true
}

func (r *testFleet) waitUntilServed(pooled string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.servesAll(pooled) }, 10*time.Second, 50*time.Millisecond)
}

func (r *testFleet) startHost(ip, service string) *testHost {
	ports := freePorts(r.t, ip, 6)
	var relayPort int
	_, err := fmt.Sscanf(strings.TrimPrefix(ports[0], ip+":"), "%d", &relayPort)
	require.NoError(r.t, err)
	door, err := r.store.OpenEndpoint()
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = door.Close() })
	s := &settings.Sidecar{
		Node: "node-" + ip, Host: ip, AvailabilityZone: "z", Service: service, Target: ports[1], HeartbeatIntervalMs: standin.HeartbeatIntervalMs,
		RelayPorts: []int{relayPort, relayPort},
		Listen:     settings.SidecarListen{Entrance: ports[2], Readiness: ports[3], Heartbeats: ports[4], Metrics: ports[5]},
		Store:      settings.SidecarStore{Address: door.Address()},
	}
	bounds, err := platform.ReadBounds(nil)
	require.NoError(r.t, err)
	n := r.newNode(s, bounds)
	h := &testHost{storeProxy: door}
	r.runNode(h, n)
	h.target = r.startTarget(h, "i-"+ip, 1000)
	return h
}

// newNode returns a node that is not running yet. If RIG_LOG is set, it logs to standard error.
func (r *testFleet) newNode(s *settings.Sidecar, bounds platform.Bounds) *node {
	out := newAsyncWriter(io.Discard)
	if os.Getenv("RIG_LOG") != "" {
		out = newAsyncWriter(os.Stderr)
	}
	n, err := newNode(s, bounds, newLogger(out, s.Node), out)
	require.NoError(r.t, err)
	return n
}

// runNode starts the node and fails the test if the node stops before it is told to.
func (r *testFleet) runNode(h *testHost, n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	h.node, h.cancel, h.done = n, cancel, done
	go func() {
		err := n.run(ctx)
		if ctx.Err() == nil {
			r.t.Errorf("node %s stopped without being told to: %v", n.settings.Node, err)
		}
		done <- err
		close(done)
	}()
}

func (r *testFleet) startTarget(h *testHost, instance string, born int64) *standin.Target {
	s := h.node.settings
	target, err := standin.StartTarget(s.Target, standin.TargetOptions{
		History: r.history, Service: s.Service, Keyed: s.Service == "keyed", HeartbeatAddress: s.Listen.Heartbeats, Instance: instance, StartTimeMs: born, ServiceTime: 2 * time.Millisecond,
	})
	require.NoError(r.t, err)
	return target
}

func (h *testHost) get(path, id string, key int) (int, string) {
	return standin.Get(h.node.settings.Listen.Entrance, path, id, key)
}

func (r *testFleet) requireNoFaults() {
	r.t.Helper()
	require.Empty(r.t, r.history.Violations())
	seen := map[string]bool{}
	for _, id := range r.history.ExecutedRequestIDs() {
		if strings.HasPrefix(id, "once") {
			require.False(r.t, seen[id], "%s ran twice", id)
			seen[id] = true
		}
	}
}

// runLoad sends requests for the given time and returns the longest time for which a part of the keyspace was not served.
func (r *testFleet) runLoad(d time.Duration, entrance *testHost) (longest time.Duration) {
	since := map[int]time.Time{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for key := 0; key < 65536; key += 4096 {
			id := fmt.Sprintf("once-%d-%d", key, time.Now().UnixNano())
			status, body := entrance.get("/o/x", id, key)
			if status == 200 {
				delete(since, key)
				continue
			}
			r.t.Logf("%s not served: %d %s", id, status, body)
			if since[key].IsZero() {
				since[key] = time.Now()
			}
			longest = max(longest, time.Since(since[key]))
		}
	}
	return longest
}

func TestFleet(t *testing.T) {
	r := newTestFleet(t, 3)

	t.Run("responses come from the target", func(t *testing.T) {
		status, body := r.hosts[0].get("/k/a%2Fb?c=d", "x1", 40000)
		require.Equal(t, 200, status)
		require.Equal(t, "GET /k/a%2Fb?c=d ", body)
	})

	t.Run("requests without a route are refused", func(t *testing.T) {
		status, _ := r.hosts[0].get("/none/", "x2", 1)
		require.Equal(t, 404, status)
	})

	// Guards against the stated length of an answer to HEAD that is read as a body, which the answer doesn't have.
	t.Run("HEAD is answered as GET is, without the body", func(t *testing.T) {
		for i, h := range r.hosts { // One of them has the owner.
			request, err := http.NewRequest(http.MethodHead, "http://"+h.node.settings.Listen.Entrance+"/k/x", nil)
			require.NoError(t, err)
			request.Host, request.Header = standin.Host, standin.KeyedHeader(fmt.Sprint("head-", i), 7)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, 200, response.StatusCode)
			require.Equal(t, int64(len("HEAD /k/x ")), response.ContentLength)
		}
	})

	t.Run("a request with two lengths is refused and its connection closed", func(t *testing.T) {
		c, err := net.Dial("tcp", r.hosts[0].node.settings.Listen.Entrance)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, standin.SmugglingRequest)
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
		reader := bufio.NewReader(c)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, 400, response.StatusCode)
		_, err = http.ReadResponse(reader, nil)
		require.Error(t, err, "the rest of the connection is not served")
	})

	// Guards against a watch that misses a change: the leader's poll carries the version of the configuration.
	t.Run("a configuration change that a watch misses is applied within 2 s", func(t *testing.T) {
		r.store.SuppressWatchEvents(true)
		r.store.Configure(standin.Configuration(2, "q"))
		require.Eventually(t, func() bool {
			for _, h := range r.hosts {
				if status, _ := h.get("/q/x", "c1", 1); status != 200 {
					return false
				}
				if status, _ := h.get("/p/x", "c2", 1); status != 404 {
					return false
				}
			}
			return true
		}, 2*time.Second, 20*time.Millisecond)
		r.store.SuppressWatchEvents(false)
	})

	t.Run("an outage of the store shorter than the lease is not noticed", func(t *testing.T) {
		for _, h := range r.hosts {
			h.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
		}
		longest := r.runLoad(leadershipLease-2*time.Second, r.hosts[0])
		require.Zero(t, longest)
		for _, h := range r.hosts {
			h.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = false })
		}
		r.requireNoFaults()
	})

	// Guards against a leader that takes nodes for lost because their leases expired while it could not renew them.
	t.Run("an outage of the store longer than the lead leaves the owners in place", func(t *testing.T) {
		r.waitUntilServed("q")
		terms := map[string]uint64{}
		for host, target := range r.hosts[0].node.state.view.Load().Targets {
			terms[host] = target.Term
		}
		for _, h := range r.hosts {
			h.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
		}
		r.runLoad(leadershipLease+3*time.Second, r.hosts[0])
		for _, h := range r.hosts {
			h.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = false })
		}
		// The users expect all hosts to be connected again 3 s after an outage.
		require.Eventually(t, func() bool { return r.servesAll("q") }, 3*time.Second, 50*time.Millisecond)
		for host, target := range r.hosts[0].node.state.view.Load().Targets {
			require.Equal(t, terms[host], target.Term, host)
		}
		r.requireNoFaults()
	})

	t.Run("keys of a crashed target are served elsewhere", func(t *testing.T) {
		r.waitUntilServed("q")
		r.hosts[1].target.Crash()
		longest := r.runLoad(4*time.Second, r.hosts[0])
		require.Less(t, longest, 3*time.Second)
		r.requireNoFaults()
		r.hosts[1].target = r.startTarget(r.hosts[1], "i-again", 2000)
		r.waitUntilServed("q")
	})

	t.Run("a draining target hands its keys over", func(t *testing.T) {
		target := r.hosts[2].target
		target.Drain()
		longest := r.runLoad(3*time.Second, r.hosts[0])
		require.Less(t, longest, 2*time.Second)
		require.Zero(t, target.Holds())
		r.requireNoFaults()
	})

	t.Run("lost responses of the store cause no faults", func(t *testing.T) {
		for _, h := range r.hosts {
			h.storeProxy.ChangeFaults(func(d *standin.Faults) { d.DropWriteResponses = true })
		}
		r.hosts[0].target.Crash()
		r.runLoad(3*time.Second, r.hosts[3])
		for _, h := range r.hosts {
			h.storeProxy.ChangeFaults(func(d *standin.Faults) { d.DropWriteResponses = false })
		}
		longest := r.runLoad(5*time.Second, r.hosts[3])
		require.Less(t, longest, 4*time.Second)
		r.requireNoFaults()
	})
}

func (h *testHost) isLeader() bool {
	reply := make(chan bool, 1)
	h.node.post(func(clock.Instant) { reply <- h.node.coordinator.isLeader })
	return <-reply
}

// Guards against nodes that take leadership from a working leader because they have just started and were not polled yet.
func TestRestartedNodesDoNotTakeLeadership(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 3)
	round := func() uint64 {
		for _, h := range r.hosts {
			if reply := make(chan uint64, 1); h.node.post(func(clock.Instant) { reply <- h.node.coordinator.leadershipRound() }) {
				if round := <-reply; round > 0 {
					return round
				}
			}
		}
		return 0
	}
	first := round()
	require.NotZero(t, first)
	for range 3 {
		for _, h := range r.hosts {
			if !h.isLeader() {
				r.restart(h)
			}
		}
		time.Sleep(electionJitter)
		require.Equal(t, first, round())
	}
	r.requireNoFaults()
}

// A node that can't reach the store keeps serving, because the leader renews its lease. A leader that can't reach the store renews
// leases only as long as its leadership lease lasts, and another node replaces it.
func TestNodesCutOffFromTheStore(t *testing.T) {
	t.Parallel()
	r := newTestFleet(t, 3)
	var leader, isolated *testHost
	for _, h := range r.hosts[:3] {
		if h.isLeader() {
			leader = h
		} else {
			isolated = h
		}
	}
	if leader == nil {
		leader = r.hosts[3]
	}
	entrance := r.hosts[3]
	isolated.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
	require.Zero(t, r.runLoad(2*leaseTerm, entrance), "a node that can't reach the store keeps serving")
	isolated.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = false })
	r.requireNoFaults()

	leader.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
	r.runLoad(resignOutage+minAnswerLead+pollInterval, entrance)
	require.False(t, leader.isLeader(), "the leader resigns if the store responds to other nodes")
	r.runLoad(leadershipLease+2*leaseTerm, entrance)
	r.requireNoFaults()
	require.Eventually(t, func() bool {
		for _, h := range r.hosts {
			if h != leader && h.isLeader() {
				return true
			}
		}
		return false
	}, 10*time.Second, 100*time.Millisecond, "another node becomes the leader")
	leader.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = false })
	r.runLoad(2*time.Second, entrance)
	r.requireNoFaults()
	require.Eventually(t, func() bool { return r.servesAll("p") }, 15*time.Second, 50*time.Millisecond)
}

// Guards against logging that blocks the process because the reader of standard output stalls.
func TestStalledOutputDropsLines(t *testing.T) {
	reader, writer := io.Pipe() // Nobody reads.
	defer reader.Close()
	out := newAsyncWriter(writer)
	l := newLogger(out, "n")
	lines := newRequestLog(l, out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * outputQueueLines {
			l.Info().Msg("line")
			lines.logLimited(func(l *logger) { l.Info().Msg("failure") })
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks")
	}
	require.Positive(t, out.dropped.Load())
	require.Positive(t, lines.dropped.Load())
}
