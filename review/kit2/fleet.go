package kit2

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names of the small deployment.
const (
	KeyedService  = "booking"
	SecondKeyed   = "deposits"
	PooledService = "catalogue"
	HealthPath    = "/health"
	Domain        = "shop.example"
)

// TargetStart is how long a target takes to start.
const TargetStart = 700 * time.Millisecond

// Configuration is the operator's configuration.
const Configuration = `{"version":"r3","routes":{
"read":{"host":"shop.example","path_prefix":"/k/","kind":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":2,"service":"booking","max_attempts":2},
"order":{"host":"shop.example","path_prefix":"/o/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":600,"priority":1,"service":"booking","max_attempts":2},
"list":{"host":"shop.example","path_prefix":"/p/","kind":"safe","timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"catalogue","max_attempts":2},
"once":{"host":"shop.example","path_prefix":"/u/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"catalogue","max_attempts":2}},
"services":{"booking":{"sharded":true,"health_path":"/health","cold_per_s":28,"cold_start_s":3},"catalogue":{"health_path":"/health","cold_per_s":28,"cold_start_s":3}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// TwoKeyed is the configuration with a second service that is divided by key.
var TwoKeyed = strings.NewReplacer(`"routes":{`, `"routes":{"pay":{"host":"shop.example","path_prefix":"/d/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":600,"priority":1,"service":"deposits","max_attempts":2},`,
	`"services":{`, `"services":{"deposits":{"sharded":true,"health_path":"/health","cold_per_s":28,"cold_start_s":3},`).Replace(Configuration)

const bounds = `{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 64, "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 15, "max_hold_ms": 10000, "thaw_ms": 300}`

// Host is a machine with a node and a target.
type Host struct {
	fleet      *Fleet
	Name, IP   string
	Zone       string
	Service    string
	storeAt    string
	file       string
	mu         sync.Mutex
	cmd        *exec.Cmd
	ended      chan struct{}
	Target     *Target
	starts     int
	targetRuns int
}

// Fleet is a small deployment.
type Fleet struct {
	Record *Record
	Store  *Store
	Ledger *Ledger
	Hosts  []*Host
	folder string
	ports  [6]string
	stop   chan struct{}
	wg     sync.WaitGroup
	sent   atomic.Int64
	// succeeded holds the requests that were answered with success.
	succeeded sync.Map
	// Work is how long a target works on a request.
	Work time.Duration
}

// NewFleet prepares a deployment in a temporary folder. Nothing runs yet.
func NewFleet(r *Record) *Fleet {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		Unable("no temporary folder: %v", err)
	}
	f := &Fleet{Record: r, Store: NewStore(r), Ledger: NewLedger(r), folder: folder, stop: make(chan struct{}), Work: 20 * time.Millisecond}
	stopAll = func() { f.killAll(); r.flush() }
	f.Store.Operate("config", "main", Configuration)
	return f
}

// Configure writes another configuration as the operator does.
func (f *Fleet) Configure(document string) { f.Store.Operate("config", "main", document) }

// Add adds a host. Ports are the same on all hosts.
func (f *Fleet) Add(zone, service string) *Host {
	n := len(f.Hosts) + 1
	pid := os.Getpid()
	h := &Host{fleet: f, Name: fmt.Sprintf("%s-%s-%d", zone, service, n), IP: fmt.Sprintf("127.%d.%d.%d", 20+pid/250%200, 1+pid%250, 10+n), Zone: zone, Service: service}
	if n == 1 {
		for i := range f.ports {
			l, err := net.Listen("tcp", h.IP+":0")
			if err != nil {
				Unable("no free port: %v", err)
			}
			defer l.Close()
			_, f.ports[i], _ = net.SplitHostPort(l.Addr().String())
		}
	}
	h.storeAt = f.Store.Open(h.Name)
	h.file = filepath.Join(f.folder, h.Name+".yaml")
	h.writeSettings()
	f.Hosts = append(f.Hosts, h)
	return h
}

// Reuse makes the host another machine at the same address, beside an upstream of the service. Nothing may run there.
func (h *Host) Reuse(service string) {
	h.Name, h.Service = fmt.Sprintf("%s-%s-again", h.Zone, service), service
	h.storeAt = h.fleet.Store.Open(h.Name)
	h.file = filepath.Join(h.fleet.folder, h.Name+".yaml")
	h.writeSettings()
}

func (h *Host) writeSettings() {
	f := h.fleet
	text := fmt.Sprintf(`node: %q
host: %q
availability_zone: %q
service: %q
target: %q
heartbeat_interval_ms: %d
relay_ports: [%s,%s]
link_mbps: 1000
memory_mb: 284
max_fds: 4100
cost_prediction: auto
listen:
  entrance: %q
  readiness: %q
  heartbeats: %q
  metrics: %q
store:
  address: %q
callers:
  min_bytes_per_s: 1024
  min_rate_window_ms: 10000
bounds: %s
`, h.Name, h.IP, h.Zone, h.Service, h.at(0), HeartbeatInterval.Milliseconds(), f.ports[1], f.ports[1], h.at(2), h.at(3), h.at(4), h.at(5), h.storeAt, bounds)
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		Unable("the settings can't be written: %v", err)
	}
}

func (h *Host) at(port int) string { return h.IP + ":" + h.fleet.ports[port] }

// Entrance is the address of the node for callers.
func (h *Host) Entrance() string { return h.at(2) }

// StartNode starts the node as deploy/system.toml does.
func (h *Host) StartNode() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	output, err := os.OpenFile(filepath.Join(h.fleet.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Unable("no log: %v", err)
	}
	cmd := exec.Command("target/citronvane-node", "sidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONVANE_NODE_FILE=" + h.file, "GOGC=200"}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		Unable("the node can't start: %v", err)
	}
	_ = output.Close()
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		h.fleet.Record.Line("node %s ended: %v", h.Name, cmd.ProcessState)
		close(ended)
	}()
	h.cmd, h.ended = cmd, ended
	h.fleet.Record.Line("node %s started", h.Name)
}

// Signal sends a signal to the node.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		h.fleet.Record.Line("signal %v to node %s", s, h.Name)
		_ = h.cmd.Process.Signal(s)
	}
}

// Await waits until the node has ended.
func (h *Host) Await(d time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// Running reports whether the node runs.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// StartTarget starts a new incarnation of the host's target.
func (h *Host) StartTarget() {
	h.targetRuns++
	h.Target = StartTarget(h.fleet.Ledger, h.Service, h.at(0), h.at(4), h.Zone, fmt.Sprintf("i-%s-%d", h.Name, h.targetRuns), h.fleet.Work)
	h.fleet.Record.Line("target %s started at %s", h.Target.Instance, h.at(0))
}

// Ready reports whether the node says that it is ready.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.at(3) + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// Start starts all hosts and waits until all nodes are ready and all keys are held.
func (f *Fleet) Start() {
	for _, h := range f.Hosts {
		h.StartNode()
	}
	time.Sleep(TargetStart)
	for _, h := range f.Hosts {
		h.StartTarget()
	}
	f.Wait(30*time.Second, "all nodes are ready and all keys are held", func() bool {
		for _, h := range f.Hosts {
			if !h.Ready() {
				return false
			}
		}
		return f.Ledger.Covered() == 1
	})
	f.Record.Say("all nodes are ready, all keys are held")
}

// Wait waits for a condition; without it the case can't run.
func (f *Fleet) Wait(limit time.Duration, what string, ok func() bool) {
	if !f.WaitFor(limit, ok) {
		Unable("not within %v: %s", limit, what)
	}
}

// WaitFor waits for a condition and reports whether it came true.
func (f *Fleet) WaitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// Host returns the host of a node's name.
func (f *Fleet) Host(name string) *Host {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// Close ends all processes and removes the folder. KEEP=1 keeps the nodes' logs.
func (f *Fleet) Close() {
	close(f.stop)
	f.wg.Wait()
	f.killAll()
	for _, h := range f.Hosts {
		if h.Target != nil {
			h.Target.End()
		}
	}
	f.Ledger.Close()
	f.Store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

func (f *Fleet) killAll() {
	for _, h := range f.Hosts {
		if h.Running() {
			h.Signal(syscall.SIGCONT)
			h.Signal(syscall.SIGKILL)
			h.Await(2 * time.Second)
		}
	}
}

// Answer is what a caller got.
type Answer struct {
	ID     string
	Status int
	Signed bool
	Body   string
	Err    error
}

// Send sends a request to a node. A key below 0 stands for none.
func (f *Fleet) Send(h *Host, method, path string, key int, body string) Answer {
	return f.SendFor(h, method, path, key, body, 1500*time.Millisecond, 0)
}

// SendFor is Send for a client that waits for the given time, and a request that takes the target the given time, 0 for the usual one.
func (f *Fleet) SendFor(h *Host, method, path string, key int, body string, wait, work time.Duration) Answer {
	id := fmt.Sprintf("q%06d", f.sent.Add(1))
	request, _ := http.NewRequest(method, "http://"+h.Entrance()+path, strings.NewReader(body))
	request.Host = Domain
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if work > 0 {
		request.Header.Set("Work-Ms", strconv.FormatInt(work.Milliseconds(), 10))
	}
	if key >= 0 {
		request.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	f.Record.Line("send %s %s %s key %d to %s", id, method, path, key, h.Name)
	response, err := client.Do(request)
	if err != nil {
		f.Record.Line("answer %s: %v", id, err)
		return Answer{ID: id, Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a := Answer{id, response.StatusCode, response.Header.Get("Server-Signature") != "", string(data), err}
	f.Record.Line("answer %s: %d %s", id, a.Status, a.Body)
	if a.Status/100 == 2 && a.Signed && err == nil {
		f.succeeded.Store(id, true)
	}
	return a
}

// Succeeded reports whether a request was answered with success.
func (f *Fleet) Succeeded(id string) bool {
	_, ok := f.succeeded.Load(id)
	return ok
}

// Ran returns how often a request has run.
func (f *Fleet) Ran(id string) int {
	f.Ledger.mu.Lock()
	defer f.Ledger.mu.Unlock()
	return f.Ledger.ran[id]
}

// Traffic sends requests at a rate to the nodes that are ready, until the fleet is closed.
func (f *Fleet) Traffic(perSecond int) {
	f.wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-f.stop:
				return
			}
			h := f.Hosts[rand.IntN(len(f.Hosts))]
			if !h.Running() {
				continue
			}
			f.wg.Go(func() {
				switch rand.IntN(4) {
				case 0:
					f.Send(h, http.MethodPost, "/o/x", rand.IntN(keys), "order")
				case 1:
					f.Send(h, http.MethodGet, "/k/x", rand.IntN(keys), "")
				case 2:
					f.Send(h, http.MethodPost, "/u/x", -1, "order")
				default:
					f.Send(h, http.MethodGet, "/p/x", -1, "")
				}
			})
		}
	})
}

// RSS returns the resident memory of the node in MB.
func (h *Host) RSS() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	if fields := strings.Fields(rest); len(fields) > 0 {
		n, _ := strconv.ParseInt(fields[0], 10, 64)
		return n >> 10
	}
	return 0
}
