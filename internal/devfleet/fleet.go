package devfleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"text/template"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

// Secrets of development fleets. They guard nothing.
const (
	Secret        = "development-secret"
	OperatorToken = "development-operator"
)

// targetLeaveTimeout bounds how long a target that stops after its node waits for it.
const targetLeaveTimeout = 2 * time.Second

// startTimeout bounds how long a program may take to listen.
const startTimeout = 20 * time.Second

// NodeSpec describes a host with its node and its target.
type NodeSpec struct {
	Name             string
	Region           string
	AvailabilityZone string
	Rack             string
	Service          string
	Fenced           bool
	// TargetArgs are further arguments of the stand-in target.
	TargetArgs []string
}

// Options describe a fleet.
type Options struct {
	// Programs is the directory with the built programs.
	Programs string
	// Directory takes settings, logs and traces.
	Directory string
	// FirstPort is the port of the platform; host i uses the ports from FirstPort+100+10*i. 0 takes free ports.
	FirstPort int
	Nodes     []NodeSpec
	// PlatformArgs are further arguments of the stand-in platform.
	PlatformArgs []string
}

// Host is a node with its target.
type Host struct {
	Spec   NodeSpec
	Node   *Process
	Target *Process
	Ports  Ports
}

// Ports are the addresses of a host's programs.
type Ports struct {
	Callers, Relay, Heartbeat, Control, Operators, Targets, Target, TargetAdmin string
}

// Fleet is a set of running processes.
type Fleet struct {
	Options
	Platform        *Process
	PlatformAddress string
	Hosts           []*Host
}

// New lays out a fleet without starting it.
func New(o Options) (*Fleet, error) {
	f := &Fleet{Options: o}
	var ports portAllocator = fixedPorts(o.FirstPort)
	if o.FirstPort == 0 {
		ports = newFreePorts()
	}
	var err error
	if f.PlatformAddress, err = ports(0); err != nil {
		return nil, err
	}
	f.Platform = f.process("platform", "standin-platform", append([]string{"--listen", f.PlatformAddress}, o.PlatformArgs...)...)
	for i, spec := range o.Nodes {
		host, err := f.newHost(i, spec, ports)
		if err != nil {
			return nil, err
		}
		f.Hosts = append(f.Hosts, host)
	}
	return f, nil
}

func (f *Fleet) process(name, program string, args ...string) *Process {
	return &Process{
		Name: name,
		path: filepath.Join(f.Programs, program),
		args: args,
		log:  filepath.Join(f.Directory, name+".log"),
	}
}

func (f *Fleet) newHost(i int, spec NodeSpec, ports portAllocator) (*Host, error) {
	h := &Host{Spec: spec}
	p := &h.Ports
	fields := []*string{
		&p.Callers, &p.Relay, &p.Heartbeat, &p.Control, &p.Operators, &p.Targets, &p.Target, &p.TargetAdmin,
	}
	for k, field := range fields {
		address, err := ports(100 + 10*i + k + 1)
		if err != nil {
			return nil, err
		}
		*field = address
	}
	file := filepath.Join(f.Directory, spec.Name+".yaml")
	if err := f.writeSettings(file, h); err != nil {
		return nil, err
	}
	h.Node = f.process(spec.Name, "citronvane-node", "run", "--settings", file)
	args := []string{
		"--name", spec.Name + "-target",
		"--service", spec.Service,
		"--listen", h.Ports.Target,
		"--admin", h.Ports.TargetAdmin,
		"--node", h.Ports.Targets,
		"--leave-timeout", targetLeaveTimeout.String(),
	}
	if spec.Fenced {
		args = append(args, "--fenced")
	}
	h.Target = f.process(spec.Name+"-target", "standin-target", append(args, spec.TargetArgs...)...)
	return h, nil
}

var settingsTemplate = template.Must(template.New("settings").Parse(`cluster:
  name: development
  secret: {{.Secret}}
  operator_token: {{.Token}}
node:
  name: {{.Host.Spec.Name}}
  region: {{.Host.Spec.Region}}
  availability_zone: {{.Host.Spec.AvailabilityZone}}
  rack: {{.Host.Spec.Rack}}
listen:
  callers: {{.Host.Ports.Callers}}
  relay: {{.Host.Ports.Relay}}
  heartbeat: {{.Host.Ports.Heartbeat}}
  control: {{.Host.Ports.Control}}
  operators: {{.Host.Ports.Operators}}
  targets: {{.Host.Ports.Targets}}
platform:
  address: {{.Platform}}
seeds:{{range .Seeds}}
  - {{.}}{{else}} []{{end}}
telemetry:
  traces: file
  trace_file: {{.Traces}}
  sample_ratio: 0
`))

// writeSettings writes the settings of a host. Traces are kept for callers that ask for one.
func (f *Fleet) writeSettings(file string, h *Host) error {
	var seeds []string
	for _, other := range f.Hosts {
		seeds = append(seeds, other.Ports.Control)
	}
	if len(seeds) > 3 {
		seeds = seeds[:3]
	}
	var text bytes.Buffer
	err := settingsTemplate.Execute(&text, struct {
		Secret, Token, Platform, Traces string
		Host                            *Host
		Seeds                           []string
	}{Secret, OperatorToken, f.PlatformAddress, filepath.Join(f.Directory, h.Spec.Name+"-traces.json"), h, seeds})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "Report this fault.", "settings of %s", h.Spec.Name)
	}
	return os.WriteFile(file, text.Bytes(), 0o600)
}

// Start starts the platform, then all nodes and targets, and waits until they listen.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.Platform.Start(); err != nil {
		return err
	}
	if err := waitListening(ctx, f.PlatformAddress); err != nil {
		return err
	}
	for _, h := range f.Hosts {
		if err := errors.Join(h.Node.Start(), h.Target.Start()); err != nil {
			return err
		}
	}
	for _, h := range f.Hosts {
		if err := WaitReady(ctx, h.Ports.Callers); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops nodes, then targets and the platform gracefully. Nodes go first, because their targets
// still run what was admitted.
func (f *Fleet) Stop(timeout time.Duration) error {
	var processes []*Process
	for _, h := range f.Hosts {
		processes = append(processes, h.Node)
	}
	err := stopAll(processes, timeout)
	processes = nil
	for _, h := range f.Hosts {
		processes = append(processes, h.Target)
	}
	return errors.Join(err, stopAll(append(processes, f.Platform), timeout))
}

func stopAll(processes []*Process, timeout time.Duration) error {
	failures := make([]error, len(processes))
	var group sync.WaitGroup
	for i, p := range processes {
		group.Go(func() { failures[i] = p.Stop(timeout) })
	}
	group.Wait()
	return errors.Join(failures...)
}

// Kill ends everything at once. It is safe after a failed start.
func (f *Fleet) Kill() {
	for _, h := range f.Hosts {
		_ = h.Node.Kill()
		_ = h.Target.Kill()
	}
	_ = f.Platform.Kill()
}

// WaitReady waits until the node at the callers' address answers its health check.
func WaitReady(ctx context.Context, address string) error {
	return poll(ctx, address, func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		return nil
	})
}

func waitListening(ctx context.Context, address string) error {
	return poll(ctx, address, func(ctx context.Context) error {
		var dialer net.Dialer
		connection, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return connection.Close()
	})
}

// poll repeats check until it succeeds or the start takes too long.
func poll(ctx context.Context, address string, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errs.Wrap(err, errs.Unavailable, "Look at the logs in the fleet's directory.", "%s does not answer", address)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
