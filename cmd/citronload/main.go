// Command citronload generates load against citronvane and checks the answers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/load"
)

// Exit codes. docs/citronload.md describes them.
const (
	exitPassed     = 0
	exitNotRun     = 1
	exitFailed     = 2
	exitIncomplete = 3
)

func main() {
	app := kingpin.New("citronload", "Load generator that verifies answers. See docs/citronload.md.")
	options := load.Options{Limits: load.NoLimits}
	mix := app.Flag("mix", "Weights of request classes: (keyed|pooled)-(get|put|delete|post|patch)=WEIGHT,...").
		Default("keyed-get=6,keyed-post=3,pooled-get=1").String()
	output := app.Flag("output", "Form of the report: text or json.").Default("text").Enum("text", "json")
	registerLoad(app, &options)
	registerRequests(app, &options)
	registerChecks(app, &options)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	report, err := run(&options, *mix)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citronload:", errs.Describe(err))
		os.Exit(exitNotRun)
	}
	os.Exit(finish(report, *output))
}

func registerLoad(app *kingpin.Application, o *load.Options) {
	app.Flag("node", "host:port of an entrance; may be repeated.").Required().StringsVar(&o.Nodes)
	app.Flag("rate", "Requests started per second; 0 for --concurrency.").Float64Var(&o.Rate)
	app.Flag("concurrency", "Requests kept in flight if there is no rate.").Default("10").IntVar(&o.Concurrency)
	app.Flag("duration", "Time during which requests are started.").Default("10s").DurationVar(&o.Duration)
	app.Flag("max-requests", "Number of requests after which the run ends, 0 for no bound.").IntVar(&o.MaxRequests)
	app.Flag("max-in-flight", "Bound on open requests at a given rate.").Default("2000").IntVar(&o.MaxInFlight)
	app.Flag("timeout", "Time for each attempt.").Default("5s").DurationVar(&o.Timeout)
	app.Flag("retries", "Further attempts for a request that failed.").Default("0").IntVar(&o.Retries)
	app.Flag("retry-pause", "Pause before another attempt.").Default("50ms").DurationVar(&o.RetryPause)
	app.Flag("seed", "Seed for the choice of classes and keys.").Default("1").Uint64Var(&o.Seed)
}

func registerRequests(app *kingpin.Application, o *load.Options) {
	app.Flag("keyed-path", "Path of the keyed service; the key follows as a segment.").Default("/booking").StringVar(&o.KeyedPath)
	app.Flag("pooled-path", "Path of the pooled service.").Default("/catalogue").StringVar(&o.PooledPath)
	app.Flag("keys", "Number of keys.").Default("1000").IntVar(&o.Keys)
	app.Flag("zipf", "Exponent of the distribution of keys, above 1; 0 for uniform.").Float64Var(&o.Zipf)
	app.Flag("answer-size", "Bytes in answers to requests without a body.").Default("1024").IntVar(&o.AnswerSize)
	app.Flag("body-size", "Bytes in bodies of requests.").Default("256").IntVar(&o.BodySize)
	app.Flag("tokens", "Use the tokens of answers as identities.").Default("true").BoolVar(&o.Tokens)
}

func registerChecks(app *kingpin.Application, o *load.Options) {
	app.Flag("journal", "host:port of a target's admin endpoint; may be repeated.").StringsVar(&o.Journals)
	app.Flag("settle", "Wait before the last reading of the journals.").Default("1s").DurationVar(&o.Settle)
	app.Flag("max-p99", "Bound on the p99 of successes; negative for none.").Default("-1s").DurationVar(&o.Limits.P99)
	app.Flag("max-unavailable", "Bound on the unavailable time of a key; negative for none.").
		Default("-1s").DurationVar(&o.Limits.Unavailable)
	app.Flag("max-failed", "Bound on the share of failed requests, 0 to 1; negative for none.").
		Default("-1").Float64Var(&o.Limits.FailedRatio)
	app.Flag("allow-truncated", "Truncated answers that are allowed; negative for any number.").
		Default("0").IntVar(&o.Limits.Truncated)
}

func run(o *load.Options, mix string) (*load.Report, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	var err error
	if o.Mix, err = load.ParseMix(mix); err != nil {
		return nil, err
	}
	return load.Run(ctx, *o)
}

func finish(report *load.Report, output string) int {
	write := report.WriteText
	if output == "json" {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "citronload: write the report: %v\n", err)
		return exitNotRun
	}
	switch report.Verdict() {
	case load.Failed:
		return exitFailed
	case load.Incomplete:
		return exitIncomplete
	default:
		return exitPassed
	}
}
