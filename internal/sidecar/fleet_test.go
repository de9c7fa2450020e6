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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// rig is a small fleet over stand-ins: nodes h1 to hN of a keyed service, the last one of a pooled service.
type rig struct {
	t       *testing.T
	store   *standin.Store
	history *standin.History
	hosts   []*rigHost
}

type rigHost struct {
	node   *node
	door   *standin.Endpoint
	target *standin.Target
	cancel context.CancelFunc
	done   chan error
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

func newRig(t *testing.T, keyed int) *rig {
	t.Helper()
	r := &rig{t: t, store: standin.NewStore(), history: standin.NewHistory()}
	r.store.Configure(standin.Configuration(1, "p"))
	for i := range keyed + 1 {
		service := "keyed"
		if i == keyed {
			service = "pooled"
		}
		r.hosts = append(r.hosts, r.host(hostIP(i), service))
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
		return table != nil && len(table.Gaps()) == 0 && len(view.Targets) == keyed+1 && r.served("p")
	}, 15*time.Second, 50*time.Millisecond, "the fleet serves")
	return r
}

// hostIP returns the address of a host. Copies of the test that run at the same time have addresses of their own, because
// ports that were found free would else be taken by another copy.
func hostIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, i+11)
}

// served reports whether every node serves every part of the keyspace and the pooled service.
func (r *rig) served(pooled string) bool {
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

func (r *rig) waitServed(pooled string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.served(pooled) }, 10*time.Second, 50*time.Millisecond)
}

func (r *rig) host(ip, service string) *rigHost {
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
	n := r.node(s, bounds)
	h := &rigHost{door: door}
	r.start(h, n)
	h.target = r.target(h, "i-"+ip, 1000)
	return h
}

// node returns a node that does not run yet. RIG_LOG shows what it logs.
func (r *rig) node(s *settings.Sidecar, bounds platform.Bounds) *node {
	out := newOutput(io.Discard)
	if os.Getenv("RIG_LOG") != "" {
		out = newOutput(os.Stderr)
	}
	n, err := newNode(s, bounds, newLogger(out, s.Node), out)
	require.NoError(r.t, err)
	return n
}

// start runs the node, which must not end before it is told to.
func (r *rig) start(h *rigHost, n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	h.node, h.cancel, h.done = n, cancel, done
	go func() {
		err := n.run(ctx)
		if ctx.Err() == nil {
			r.t.Errorf("node %s ended by itself: %v", n.settings.Node, err)
		}
		done <- err
		close(done)
	}()
}

func (r *rig) target(h *rigHost, instance string, born int64) *standin.Target {
	s := h.node.settings
	target, err := standin.StartTarget(s.Target, standin.TargetOptions{
		History: r.history, Service: s.Service, Keyed: s.Service == "keyed", HeartbeatAddress: s.Listen.Heartbeats, Instance: instance, StartTimeMs: born, ServiceTime: 2 * time.Millisecond,
	})
	require.NoError(r.t, err)
	return target
}

func (h *rigHost) get(path, id string, key int) (int, string) {
	return standin.Get(h.node.settings.Listen.Entrance, path, id, key)
}

func (r *rig) noFault() {
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

// serveThrough sends requests until the time is over and returns for how long a part of the keyspace was not served.
func (r *rig) serveThrough(d time.Duration, entrance *rigHost) (longest time.Duration) {
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
	r := newRig(t, 3)

	t.Run("answers are the target's", func(t *testing.T) {
		status, body := r.hosts[0].get("/k/a%2Fb?c=d", "x1", 40000)
		require.Equal(t, 200, status)
		require.Equal(t, "GET /k/a%2Fb?c=d ", body)
	})

	t.Run("what is not configured is refused", func(t *testing.T) {
		status, _ := r.hosts[0].get("/none/", "x2", 1)
		require.Equal(t, 404, status)
	})

	t.Run("two lengths are refused and the connection is closed", func(t *testing.T) {
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
		require.Error(t, err, "what follows is not served")
	})

	// Guards against a watch that misses a change: the coordinator's poll names the revision.
	t.Run("a missed change of the configuration is in force within 2 s", func(t *testing.T) {
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
			h.door.ChangeFaults(func(d *standin.Faults) { d.Down = true })
		}
		longest := r.serveThrough(leadTerm-2*time.Second, r.hosts[0])
		require.Zero(t, longest)
		for _, h := range r.hosts {
			h.door.ChangeFaults(func(d *standin.Faults) { d.Down = false })
		}
		r.noFault()
	})

	// Guards against a coordinator that takes leases which lapsed without its word for lost nodes.
	t.Run("an outage of the store longer than the lead leaves the owners in place", func(t *testing.T) {
		r.waitServed("q")
		terms := map[string]uint64{}
		for host, target := range r.hosts[0].node.state.view.Load().Targets {
			terms[host] = target.Term
		}
		for _, h := range r.hosts {
			h.door.ChangeFaults(func(d *standin.Faults) { d.Down = true })
		}
		r.serveThrough(leadTerm+3*time.Second, r.hosts[0])
		for _, h := range r.hosts {
			h.door.ChangeFaults(func(d *standin.Faults) { d.Down = false })
		}
		// 3 s after an outage the users count all hosts as in touch again.
		require.Eventually(t, func() bool { return r.served("q") }, 3*time.Second, 50*time.Millisecond)
		for host, target := range r.hosts[0].node.state.view.Load().Targets {
			require.Equal(t, terms[host], target.Term, host)
		}
		r.noFault()
	})

	t.Run("keys of a crashed target are served elsewhere", func(t *testing.T) {
		r.waitServed("q")
		r.hosts[1].target.Crash()
		longest := r.serveThrough(4*time.Second, r.hosts[0])
		require.Less(t, longest, 3*time.Second)
		r.noFault()
		r.hosts[1].target = r.target(r.hosts[1], "i-again", 2000)
		r.waitServed("q")
	})

	t.Run("a draining target hands its keys over", func(t *testing.T) {
		target := r.hosts[2].target
		target.Drain()
		longest := r.serveThrough(3*time.Second, r.hosts[0])
		require.Less(t, longest, 2*time.Second)
		require.Zero(t, target.Holds())
		r.noFault()
	})

	t.Run("lost answers of the store break nothing", func(t *testing.T) {
		for _, h := range r.hosts {
			h.door.ChangeFaults(func(d *standin.Faults) { d.DropWriteResponses = true })
		}
		r.hosts[0].target.Crash()
		r.serveThrough(3*time.Second, r.hosts[3])
		for _, h := range r.hosts {
			h.door.ChangeFaults(func(d *standin.Faults) { d.DropWriteResponses = false })
		}
		longest := r.serveThrough(5*time.Second, r.hosts[3])
		require.Less(t, longest, 4*time.Second)
		r.noFault()
	})
}

func (h *rigHost) leads() bool {
	reply := make(chan bool, 1)
	h.node.post(func(clock.Instant) { reply <- h.node.coordinator.leads })
	return <-reply
}

// Guards against nodes that take the lead from a working coordinator because they have just started and were not polled yet.
func TestStartingNodesLeaveTheLead(t *testing.T) {
	r := newRig(t, 3)
	round := func() uint64 {
		for _, h := range r.hosts {
			if reply := make(chan uint64, 1); h.node.post(func(clock.Instant) { reply <- h.node.coordinator.leadRound() }) {
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
			if !h.leads() {
				r.restart(h)
			}
		}
		time.Sleep(leadSpread)
		require.Equal(t, first, round())
	}
	r.noFault()
}

// A node that alone can't reach the store goes on by the coordinator's word. A coordinator that can't reach it gives its
// word no longer than its authority lasts, and another node takes its place.
func TestNodesCutOffFromTheStore(t *testing.T) {
	r := newRig(t, 3)
	var leader, other *rigHost
	for _, h := range r.hosts[:3] {
		if h.leads() {
			leader = h
		} else {
			other = h
		}
	}
	if leader == nil {
		leader = r.hosts[3]
	}
	entrance := r.hosts[3]
	other.door.ChangeFaults(func(d *standin.Faults) { d.Down = true })
	require.Zero(t, r.serveThrough(2*leaseTerm, entrance), "a node without the store")
	other.door.ChangeFaults(func(d *standin.Faults) { d.Down = false })
	r.noFault()

	leader.door.ChangeFaults(func(d *standin.Faults) { d.Down = true })
	r.serveThrough(ownOutage+storeAhead+pollInterval, entrance)
	require.False(t, leader.leads(), "the store answers other nodes")
	r.serveThrough(leadTerm+2*leaseTerm, entrance)
	r.noFault()
	require.Eventually(t, func() bool {
		for _, h := range r.hosts {
			if h != leader && h.leads() {
				return true
			}
		}
		return false
	}, 10*time.Second, 100*time.Millisecond, "another node leads")
	leader.door.ChangeFaults(func(d *standin.Faults) { d.Down = false })
	r.serveThrough(2*time.Second, entrance)
	r.noFault()
	require.Eventually(t, func() bool { return r.served("p") }, 15*time.Second, 50*time.Millisecond)
}

// Guards against a reader of standard output that stalls and stops the process with it.
func TestStalledOutputDropsLines(t *testing.T) {
	reader, writer := io.Pipe() // Nobody reads.
	defer reader.Close()
	out := newOutput(writer)
	l := newLogger(out, "n")
	lines := newLines(l, out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * outputQueue {
			l.Info().Msg("line")
			lines.failure(func(l *logger) { l.Info().Msg("failure") })
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
