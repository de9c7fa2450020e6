// Package rig starts a small deployment of citronvane for the cases of the review: the project's own nodes as separate processes, and
// stand-ins of the users' platform in this process. The stand-ins do what ../given/kit/more/system/PROTOCOL.md says.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citronvane/citronvane/platform/standin"
)

// HeartbeatInterval is the interval of the status reports, and ContactTime the bound contact_ms of the users' pages.
const (
	HeartbeatInterval = 870 * time.Millisecond
	ContactTime       = 3 * time.Second
)

// Bounds are the platform's bounds in the settings of a node, as DEPLOY.md shows them.
var Bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
	"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 64,
	"cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 15, "max_hold_ms": 10000, "thaw_ms": 300,
}

// metricsLine is the line of the settings with the address for metrics.
var metricsLine = regexp.MustCompile(`metrics: "[^"]*"`)

// Record collects what was sent, answered and run, for record.txt.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

// OpenRecord creates the file.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f}, nil
}

// Printf writes a line with the time in seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the seconds since the start at the time t.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Node is one host with its node process.
type Node struct {
	Name, IP, Zone, Service string
	// Target is the address of the upstream, Entrance, Ready and Control those of the node.
	Target, Entrance, Ready, Control string
	fleet                            *Fleet
	settings                         string
	mu                               sync.Mutex
	command                          *exec.Cmd
	exited                           chan struct{}
	// Started and Stopped are the times of the last start and of the last signal to end.
	Started, Stopped time.Time
}

// Fleet is a deployment.
type Fleet struct {
	Record   *Record
	Store    *standin.Store
	Endpoint *standin.Endpoint
	Nodes    []*Node
	folder   string
	prefix   string
}

// NewFleet starts the platform's store with the configuration. Nodes are added with AddNode.
func NewFleet(r *Record, configuration string) (*Fleet, error) {
	f := &Fleet{Record: r, Store: standin.NewStore()}
	f.Store.Configure(configuration)
	var err error
	if f.Endpoint, err = f.Store.OpenEndpoint(); err != nil {
		return nil, err
	}
	if f.folder, err = os.MkdirTemp("", "citronvane-review-"); err != nil {
		return nil, err
	}
	f.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
	return f, nil
}

// Close ends all node processes and removes the temporary folder.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	_ = f.Endpoint.Close()
	_ = os.RemoveAll(f.folder)
}

// firstPort and lastPort bound the ports of a host. They lie below those that the system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freePorts returns n free ports of the address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for port := firstPort + rand.IntN(lastPort-firstPort-1000); port < lastPort && len(ports) < n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = l.Close() // Nothing has connected to it.
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, errors.New("no free ports on " + ip)
	}
	return ports, nil
}

// AddNode adds a host. Its node is started with Start. control is where the upstream reports; a case may put a proxy in front of it.
func (f *Fleet) AddNode(zone, service string) (*Node, error) {
	i := len(f.Nodes) + 1
	n := &Node{Name: fmt.Sprintf("sidecar-%s-%d", zone, i), IP: fmt.Sprintf("%s%d", f.prefix, 10+i), Zone: zone, Service: service, fleet: f}
	ports, err := freePorts(n.IP, 7)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", n.IP, ports[i]) }
	n.Target, n.Entrance, n.Ready, n.Control = at(0), at(1), at(2), at(3)
	template, err := os.ReadFile("deploy/node.yaml")
	if err != nil {
		return nil, err
	}
	values := map[string]any{
		"node_name": n.Name, "ip": n.IP, "zone": zone, "service": service, "app_addr": n.Target, "heartbeat_ms": HeartbeatInterval.Milliseconds(),
		"internal_ports": []int{ports[4], ports[5]}, "limits.link_mbps": 1000, "limits.memory_mb": 284, "listen.outbound": n.Entrance,
		"listen.ready": n.Ready, "listen.control": n.Control, "provider.address": f.Endpoint.Address(), "bounds": Bounds,
	}
	text := string(template)
	for name, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(data))
		text = strings.ReplaceAll(text, "{{"+name+"}}", string(data))
	}
	// All hosts are on one machine, so that each needs a metrics address of its own.
	text = metricsLine.ReplaceAllString(text, `metrics: "`+at(6)+`"`)
	if strings.Contains(text, "{{") {
		return nil, errors.New("a placeholder of deploy/node.yaml is not known: " + text)
	}
	n.settings = filepath.Join(f.folder, n.Name+".yaml")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(n.fleet.folder, n.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command("target/citronvane-node", "sidecar")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONVANE_NODE_FILE=" + n.settings, "GOGC=200"}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited, n.Started = c, exited, time.Now()
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	n.fleet.Record.Printf("%s starts, process %d", n.Name, c.Process.Pid)
	return nil
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return
	}
	select {
	case <-n.exited:
		return
	default:
	}
	n.Stopped = time.Now()
	n.fleet.Record.Printf("%s gets %s", n.Name, s)
	_ = n.command.Process.Signal(s)
}

// Kill ends the node's process at once and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.Await(5 * time.Second)
}

// Await waits for the end of the process and reports whether it came.
func (n *Node) Await(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// InTouch reports whether the process ran undisturbed for the whole ContactTime before t.
func (n *Node) InTouch(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return t.Sub(n.Started) >= ContactTime && (n.Stopped.IsZero() || t.Sub(n.Stopped) >= ContactTime)
}

// IsReady asks the node as the platform does.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + n.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Log returns the lines of the node's log that contain one of the texts.
func (n *Node) Log(texts ...string) []string {
	data, err := os.ReadFile(filepath.Join(n.fleet.folder, n.Name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, strings.TrimSpace(line))
				break
			}
		}
	}
	return lines
}
