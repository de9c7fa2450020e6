// Command citronvane-dev starts a development fleet on this machine: a stand-in
// platform, two availability zones and four hosts with a node and a target each.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronvane/citronvane/internal/buildinfo"
	"github.com/citronvane/citronvane/internal/ctl"
	"github.com/citronvane/citronvane/internal/devfleet"
	"github.com/citronvane/citronvane/internal/errs"
)

// stopTimeout exceeds the bound of a node's own graceful stop.
const stopTimeout = 40 * time.Second

var hosts = []devfleet.NodeSpec{
	{Name: "node-1", Region: "dar", AvailabilityZone: "mbezi", Rack: "mbezi-1", Service: "booking", Fenced: true},
	{Name: "node-2", Region: "dar", AvailabilityZone: "temeke", Rack: "temeke-1", Service: "booking", Fenced: true},
	{Name: "node-3", Region: "dar", AvailabilityZone: "mbezi", Rack: "mbezi-2", Service: "catalogue"},
	{Name: "node-4", Region: "dar", AvailabilityZone: "temeke", Rack: "temeke-2", Service: "catalogue"},
}

func main() {
	app := kingpin.New("citronvane-dev", "Starts a development fleet on this machine and stops it on Ctrl-C.")
	app.Version(buildinfo.Version())
	firstPort := app.Flag("first-port", "Port of the stand-in platform; the hosts use the ports from 100 above it.").Default("7000").Int()
	directory := app.Flag("directory", "Directory for settings, logs and traces; a new temporary one if empty.").String()
	programs := app.Flag("programs", "Directory with built programs; they are built if empty.").String()
	configuration := app.Flag("configuration", "First configuration, a JSON document.").Default("examples/configuration.json").ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, stop, *firstPort, *directory, *programs, *configuration); err != nil {
		fmt.Fprintln(os.Stderr, "citronvane-dev:", errs.Describe(err))
		os.Exit(1)
	}
}

func run(ctx context.Context, restoreSignals func(), firstPort int, directory, programs, configuration string) error {
	if directory == "" {
		temporary, err := os.MkdirTemp("", "citronvane-dev-")
		if err != nil {
			return err
		}
		directory = temporary
	}
	if programs == "" {
		programs = filepath.Join(directory, "bin")
		fmt.Println("building the programs")
		if err := devfleet.Build(programs); err != nil {
			return err
		}
	}
	fleet, err := devfleet.New(devfleet.Options{Programs: programs, Directory: directory, FirstPort: firstPort, Nodes: hosts})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	if err := configure(fleet, configuration); err != nil {
		return err
	}
	describe(fleet)
	<-ctx.Done()
	restoreSignals() // A second Ctrl-C ends the supervisor, and the processes with it.
	fmt.Println("stopping")
	return fleet.Stop(stopTimeout)
}

// configure submits the first configuration as an operator would.
func configure(fleet *devfleet.Fleet, file string) error {
	code := ctl.Run([]string{
		"--node", fleet.Hosts[0].Ports.Operators,
		"--token", devfleet.OperatorToken,
		"--author", "citronvane-dev",
		"config", "patch", "--base", "0", "--file", file,
	}, os.Stdin, os.Stdout, os.Stderr)
	if code != ctl.ExitOK {
		return errs.New(errs.Invalid, "Correct the configuration.", "the first configuration was not accepted")
	}
	return nil
}

func describe(fleet *devfleet.Fleet) {
	fmt.Printf("\nsettings, logs and traces: %s\n", fleet.Directory)
	fmt.Printf("platform   http://%s\n", fleet.PlatformAddress)
	for _, h := range fleet.Hosts {
		fmt.Printf("%-10s zone %-7s service %-10s callers http://%s operators %s\n",
			h.Spec.Name, h.Spec.AvailabilityZone, h.Spec.Service, h.Ports.Callers, h.Ports.Operators)
	}
	callers := fleet.Hosts[2].Ports.Callers
	fmt.Printf(`
Try it:
  curl -i -X POST -H 'Idempotency-Key: first-deposit' -d 'deposit=10' http://%[1]s/booking/hotel-7/deposit
  curl -i http://%[1]s/catalogue/prices
  export CITRONVANE_NODE=%[2]s CITRONVANE_TOKEN=%[3]s
  go run ./cmd/citronctl status
  go run ./cmd/citronctl explain hotel-7
Stop with Ctrl-C.
`, callers, fleet.Hosts[0].Ports.Operators, devfleet.OperatorToken)
}
