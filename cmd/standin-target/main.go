// Command standin-target runs a target with faults on demand. It is for tests and development.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/target/standin"
)

func main() {
	app := kingpin.New("standin-target", "Target with faults on demand. See docs/standins.md.")
	listen := app.Flag("listen", "Address that takes requests.").Default("127.0.0.1:0").String()
	admin := app.Flag("admin", "Address of the journal and the admin endpoint.").Default("127.0.0.1:0").String()
	straggle := app.Flag("straggle", "Factor on the service time from the start on.").Default("1").Float64()
	straggleFor := app.Flag("straggle-for", "How long the factor applies.").Default("0s").Duration()
	options := standin.Options{Clock: clock.Boot{}, Exit: os.Exit, Incarnation: uuid.NewString()}
	behaviour := standin.DefaultBehaviour()
	registerOptions(app, &options)
	registerBehaviour(app, &behaviour)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	if err := run(options, behaviour, *listen, *admin, func(t *standin.Target) { t.Straggle(*straggle, *straggleFor) }); err != nil {
		log.Error().Err(err).Msg("stand-in target failed")
		os.Exit(1)
	}
}

func registerOptions(app *kingpin.Application, o *standin.Options) {
	app.Flag("name", "Name of the target; the address if empty.").StringVar(&o.Name)
	app.Flag("service", "Service of the target.").Required().StringVar(&o.Service)
	app.Flag("node", "host:port at which the node takes announcements; none if empty.").StringVar(&o.Node)
	app.Flag("fenced", "Refuse requests outside the grant.").BoolVar(&o.Fenced)
	app.Flag("slots", "Requests that run at once.").Default("20").IntVar(&o.Slots)
	app.Flag("connections", "Connections above which new ones are closed.").Default("130").IntVar(&o.Connections)
	app.Flag("journal-entries", "Runs that the journal keeps.").Default("100000").IntVar(&o.JournalEntries)
	app.Flag("leave-timeout", "Longest wait for the node when the target leaves.").
		Default(standin.DefaultLeaveTimeout.String()).DurationVar(&o.LeaveTimeout)
}

func registerBehaviour(app *kingpin.Application, b *standin.Behaviour) {
	duration := func(name, help string, value *config.Duration) {
		app.Flag(name, help).Default(value.Std().String()).DurationVar((*time.Duration)(value))
	}
	duration("service-time", "Time that a request takes.", &b.ServiceTime)
	duration("service-jitter", "Largest deviation from the service time.", &b.ServiceJitter)
	app.Flag("cold-concurrency", "Requests that a cold target bears at once, 0 for no cold start.").IntVar(&b.ColdConcurrency)
	duration("cold-time", "Working time until the target is warm.", &b.ColdTime)
	app.Flag("cold-refuse", "Refuse what a cold target can't bear.").BoolVar(&b.ColdRefuse)
	app.Flag("fall-over", "How a cold target fails under full load: never, exit or refuse.").
		Default(string(b.FallOver)).EnumVar((*string)(&b.FallOver),
		string(standin.FallOverNever), string(standin.FallOverExit), string(standin.FallOverRefuse))
	app.Flag("fall-over-at", "Load, as a multiple of what a cold target bears, above which it falls over.").
		Default("2").Float64Var(&b.FallOverAt)
	duration("fall-over-time", "How long a target that fell over refuses.", &b.FallOverTime)
	app.Flag("shed-queue", "Waiting requests at which the target sheds load, negative for never.").Default("-1").IntVar(&b.ShedQueue)
	app.Flag("cancellation", "Stop work when the client goes away.").Default("true").BoolVar(&b.Cancellation)
	app.Flag("deadlines", "Stop work at the deadline.").Default("true").BoolVar(&b.Deadlines)
	duration("load-lag", "Age of the load that the target reports.", &b.LoadLag)
}

func run(o standin.Options, b standin.Behaviour, listen, admin string, start func(*standin.Target)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)

	requests, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	administration, err := net.Listen("tcp", admin)
	if err != nil {
		return err
	}
	o.Address = requests.Addr().String()
	if o.Name == "" {
		o.Name = o.Address
	}
	t, err := standin.New(o, b)
	if err != nil {
		return err
	}
	start(t)
	log.Info().Str("address", o.Address).Str("admin", administration.Addr().String()).
		Str("incarnation", o.Incarnation).Msg("stand-in target listens")
	if err := t.Run(ctx, requests, administration); err != nil {
		return err
	}
	log.Info().Msg("stand-in target stopped")
	return nil
}
