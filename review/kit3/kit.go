// Package kit3 runs the node program with stand-ins of the platform for the cases of the third review.
package kit3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

	"github.com/citronvane/citronvane/platform/standin"
)

// HeartbeatMs is the interval of the targets' status reports, as in the settings of the small sites.
const HeartbeatMs = 870

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file that RECORD names.
func NewRecord() *Record {
	file, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	return &Record{file: file, began: time.Now()}
}

// Printf writes a line with the time since the start in seconds.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line) // The exit code tells the outcome.
}

// Node is a node process with its target.
type Node struct {
	IP, Service, Entrance, Readiness string
	TargetAddress, Control           string
	Target                           *Target
	cmd                              *exec.Cmd
	ended                            chan struct{}
	logFile, settings                string
	fleet                            *Fleet
}

// Fleet is a set of nodes with their store.
type Fleet struct {
	Record *Record
	Store  *standin.Store
	Nodes  []*Node
	dir    string
}

// NewFleet creates a fleet without nodes. document is the first configuration.
func NewFleet(r *Record, document string) *Fleet {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		r.Printf("cannot run: %v", err)
		os.Exit(NotRun)
	}
	f := &Fleet{Record: r, Store: standin.NewStore(), dir: dir}
	f.Store.Configure(document)
	return f
}

// Fail ends the case because it could not run.
func (f *Fleet) Fail(format string, args ...any) {
	f.Record.Printf("cannot run: "+format, args...)
	f.Exit(NotRun)
}

// Exit ends all processes and the case.
func (f *Fleet) Exit(code int) {
	for _, n := range f.Nodes {
		n.Kill()
	}
	f.Record.Printf("exit %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir) // It holds settings and logs only.
	} else {
		fmt.Println("logs in", f.dir)
	}
	os.Exit(code)
}

const nodeSettings = `node: %[2]q
host: %[1]q
availability_zone: %[13]q
service: %[3]q
target: "%[1]s:%[4]s"
heartbeat_interval_ms: %[5]d
relay_ports: [%[6]s,%[6]s]
link_mbps: 1000.0
memory_mb: %[12]d
cost_prediction: auto
listen:
  entrance: "%[1]s:%[7]s"
  readiness: "%[1]s:%[8]s"
  heartbeats: "%[1]s:%[9]s"
  metrics: "%[1]s:%[10]s"
store:
  address: "%[11]s"
callers:
  min_bytes_per_s: 1024
  min_rate_window_ms: 10000
bounds: {"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":64,"cold_overage":1.5,"cold_slack":5,"evacuate_ms":5000,"recover_s":15,"max_hold_ms":10000,"thaw_ms":300}
`

// MemoryMB is the memory of a machine of the small sites.
const MemoryMB = 284

// AddNode adds a node that Start starts.
func (f *Fleet) AddNode(service, zone string) *Node {
	pid := os.Getpid()
	n := &Node{IP: fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, 10+len(f.Nodes)), Service: service, fleet: f}
	var ports [6]string
	for i := range ports {
		l, err := net.Listen("tcp", n.IP+":0")
		if err != nil {
			f.Fail("%v", err)
		}
		defer l.Close()
		_, ports[i], _ = net.SplitHostPort(l.Addr().String())
	}
	endpoint, err := f.Store.OpenEndpoint()
	if err != nil {
		f.Fail("%v", err)
	}
	name := fmt.Sprintf("sidecar-%s-%d", zone, 1+len(f.Nodes))
	n.settings, n.logFile = filepath.Join(f.dir, name+".yaml"), filepath.Join(f.dir, name+".log")
	text := fmt.Sprintf(nodeSettings, n.IP, name, service, ports[0], HeartbeatMs, ports[1], ports[2], ports[3], ports[4], ports[5], endpoint.Address(), MemoryMB, zone)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		f.Fail("%v", err)
	}
	n.TargetAddress, n.Entrance, n.Readiness, n.Control = n.IP+":"+ports[0], n.IP+":"+ports[2], n.IP+":"+ports[3], n.IP+":"+ports[4]
	f.Nodes = append(f.Nodes, n)
	return n
}

// Start starts the processes and targets of all nodes, and waits until all are ready and hold all keys of the keyed service.
func (f *Fleet) Start(handlers ...http.Handler) {
	for i, n := range f.Nodes {
		n.StartProcess()
		n.Target = f.startTarget(n, fmt.Sprintf("i-%08d", i+1), handlers[i], nil)
	}
	f.AwaitReady()
}

// StartTarget starts the target of one node.
func (f *Fleet) StartTarget(i int, handler http.Handler, late func(sequence, held int, deliver func() error) bool) {
	n := f.Nodes[i]
	n.Target = f.startTarget(n, fmt.Sprintf("i-%08d", i+1), handler, late)
}

// AwaitReady waits until all nodes are ready and the targets of the keyed service hold all keys.
func (f *Fleet) AwaitReady() {
	for deadline := time.Now().Add(20 * time.Second); !f.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.Fail("the fleet is not ready after 20 s")
		}
	}
	f.Record.Printf("%d nodes are ready", len(f.Nodes))
}

func (f *Fleet) ready() bool {
	held := map[string]int{}
	keyed := map[string]bool{}
	for _, n := range f.Nodes {
		response, err := http.Get("http://" + n.Readiness + "/readiness")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
		held[n.Service] += n.Target.HeldKeys()
		keyed[n.Service] = keyed[n.Service] || n.Service == "keyed"
	}
	for service, isKeyed := range keyed {
		if isKeyed && held[service] < 1<<16 {
			return false
		}
	}
	return true
}

// StartProcess starts the node's process with the command of the deploy file.
func (n *Node) StartProcess() {
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.fleet.Fail("%v", err)
	}
	defer out.Close()
	n.cmd = exec.Command("target/citronvane-node", "sidecar")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", "CITRONVANE_NODE_FILE=" + n.settings, "GOGC=200"}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		n.fleet.Fail("%v", err)
	}
	n.fleet.Record.Printf("started node %s at %s as process %d", n.Service, n.IP, n.cmd.Process.Pid)
	ended, cmd := make(chan struct{}), n.cmd
	n.ended = ended
	go func() {
		_ = cmd.Wait() // Its state is looked at where that matters.
		close(ended)
	}()
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) {
	n.fleet.Record.Printf("signal %d to the node at %s", int(s), n.IP)
	_ = n.cmd.Process.Signal(s) // It may have ended.
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill() // It may have ended.
	<-n.ended
}

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// MemoryKB returns the resident memory of the process in KB, 0 if it has ended. Pages of files, such as the program's own, are left out.
func (n *Node) MemoryKB() int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return kb
}

// Target is a sound upstream that sends status reports to the node on its machine.
type Target struct {
	Instance string
	Born     int64
	handler  http.Handler
	service  string
	control  string
	ended    atomic.Bool

	// answeredAt is when the last status report that was answered in time was sent, in Unix nanoseconds.
	answeredAt atomic.Int64

	mu       sync.Mutex
	holds    []hold
	released [][3]any
	sequence int
	state    string
	// late decides for each status report whether it is held up, and gets what sends it then. Its answer comes too late for the target.
	late func(sequence, held int, deliver func() error) bool
}

type hold struct {
	from, to, fence int
	until           time.Time
}

func (f *Fleet) startTarget(n *Node, instance string, handler http.Handler, late func(sequence, held int, deliver func() error) bool) *Target {
	l, err := net.Listen("tcp", n.TargetAddress)
	if err != nil {
		f.Fail("%v", err)
	}
	t := &Target{Instance: instance, Born: time.Now().UnixMilli(), handler: handler, service: n.Service, control: n.Control, state: "ready", late: late}
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(l) }() // It serves until the case ends.
	go t.report()
	return t
}

// HoldUp sets the function that decides which status reports are held up.
func (t *Target) HoldUp(late func(sequence, held int, deliver func() error) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = late
}

// AnsweredAt returns when the last status report that was answered in time was sent.
func (t *Target) AnsweredAt() time.Time { return time.Unix(0, t.answeredAt.Load()) }

// Holds reports whether the target holds the key.
func (t *Target) Holds(key int) bool { return t.holdsKey(key) }

// HeldKeys returns the number of keys that the target holds.
func (t *Target) HeldKeys() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for _, h := range t.holds {
		if time.Now().Before(h.until) {
			sum += h.to - h.from + 1
		}
	}
	return sum
}

func (t *Target) holdsKey(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holds {
		if h.from <= key && key <= h.to && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

// report sends status reports until the target ends.
func (t *Target) report() {
	client := &http.Client{Timeout: time.Second}
	for !t.ended.Load() {
		t.mu.Lock()
		t.sequence++
		rows := [][3]int{}
		for _, h := range t.holds {
			if time.Now().Before(h.until) {
				rows = append(rows, [3]int{h.from, h.to, h.fence})
			}
		}
		released := t.released
		if released == nil {
			released = [][3]any{}
		}
		body, _ := json.Marshal(map[string]any{
			"service": t.service, "address": "x:1", "zone": "z", "version": "v1", "slots": 18, "state": t.state,
			"cold_remaining_ms": 0, "sequence": t.sequence, "born": t.Born, "holds": rows, "released": released,
		})
		sequence, late := t.sequence, t.late
		t.mu.Unlock()
		sent := time.Now()
		post := func() (*http.Response, error) {
			return client.Post("http://"+t.control+"/instances/"+t.Instance+"/heartbeat", "application/json", bytes.NewReader(body))
		}
		deliver := func() error {
			response, err := post()
			if err == nil {
				_ = response.Body.Close()
			}
			return err
		}
		if late != nil && late(sequence, len(rows), deliver) {
			time.Sleep(time.Second) // The target takes no answer after that.
			continue
		}
		response, err := post()
		if err == nil {
			data, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 && time.Since(sent) < time.Second {
				t.apply(sent, data)
				t.answeredAt.Store(sent.UnixNano())
			}
		}
		time.Sleep(HeartbeatMs*time.Millisecond - min(time.Since(sent), 800*time.Millisecond))
	}
}

// apply takes over the grant in the answer to a status report.
func (t *Target) apply(sent time.Time, data []byte) {
	var grant struct {
		Holds  *[][4]any `json:"holds"`
		HoldMs int       `json:"hold_ms"`
	}
	if json.Unmarshal(data, &grant) != nil || grant.Holds == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.holds
	t.holds, t.released = nil, nil
	for _, row := range *grant.Holds {
		t.holds = append(t.holds, hold{int(row[0].(float64)), int(row[1].(float64)), int(row[2].(float64)), sent.Add(time.Duration(grant.HoldMs) * time.Millisecond)})
	}
	for _, h := range old {
		kept := false
		for _, now := range t.holds {
			kept = kept || now.from <= h.to && h.from <= now.to
		}
		if !kept {
			t.released = append(t.released, [3]any{h.from, h.to, fmt.Sprintf("%016x", h.fence)})
		}
	}
}

// ServeHTTP rejects what the target must not run and leaves the rest to the handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" && id == "" {
		w.Header().Set("Instance-Id", t.Instance)
		w.WriteHeader(http.StatusOK)
		return
	}
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Target-Instance"); expected != "" && expected != t.Instance {
		w.Header().Set("Instance-Id", t.Instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if text := r.Header.Get("Shard-Key"); text != "" && t.service == "keyed" {
		key, _ := strconv.Atoi(text)
		if !t.holdsKey(key) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	t.handler.ServeHTTP(w, r)
}

// Configuration returns a configuration with the limits of the small sites: the keyed service at /k/ (safe) and /o/ (unsafe), the pooled
// one at /p/ (safe) and /u/ (unsafe).
func Configuration(timeoutMs int) string {
	return fmt.Sprintf(`{"version":"r7","routes":{
"keyed":{"host":"x.example","path_prefix":"/k/","kind":"safe","timeout_ms":%[1]d,"target_latency_ms":500,"priority":2,"service":"keyed","max_attempts":2},
"once":{"host":"x.example","path_prefix":"/o/","kind":"unsafe","timeout_ms":%[1]d,"target_latency_ms":600,"priority":1,"service":"keyed","max_attempts":2},
"pooled":{"host":"x.example","path_prefix":"/p/","kind":"safe","timeout_ms":%[1]d,"target_latency_ms":400,"priority":2,"service":"pooled","max_attempts":2},
"upload":{"host":"x.example","path_prefix":"/u/","kind":"unsafe","timeout_ms":%[1]d,"target_latency_ms":400,"priority":1,"service":"pooled","max_attempts":2}},
"services":{"keyed":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":28.0,"sharded":true,"warm_s":2.0,"grants":"heartbeat"},
"pooled":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":28.0}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, timeoutMs)
}
