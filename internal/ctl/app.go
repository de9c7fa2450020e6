package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/citronvane/citronvane/internal/buildinfo"
	"github.com/citronvane/citronvane/internal/errs"
)

// app holds the parsed flags and the streams of one run.
type app struct {
	client   Client
	output   string
	timeout  time.Duration
	author   string
	identity string
	in       io.Reader
	out      io.Writer
	// started says that the command line was valid, so that an error is the command's.
	started bool
}

// terminated is the exit code with which kingpin ends the program after --help or --version. kingpin
// goes on if its terminate function returns, so that the function panics with it.
type terminated int

// Run executes one command line and returns its exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) (code int) {
	defer func() {
		switch ended := recover().(type) {
		case nil:
		case terminated:
			code = int(ended)
		default:
			panic(ended)
		}
	}()
	a := &app{in: in, out: out}
	k := kingpin.New("citronctl", "Operates a citronvane fleet through any of its nodes.")
	k.Version(buildinfo.Version())
	k.UsageWriter(out).ErrorWriter(errOut)
	k.HelpFlag.Short('h')
	k.Flag("node", "Operators' address of a node, IP:PORT.").Envar("CITRONVANE_NODE").Default("127.0.0.1:7105").StringVar(&a.client.Address)
	k.Flag("token", "Operator token of the cluster.").Envar("CITRONVANE_TOKEN").StringVar(&a.client.Token)
	k.Flag("output", "Format of the output.").Short('o').Default("text").EnumVar(&a.output, "text", "json")
	k.Flag("timeout", "Longest time for the command.").Default("15s").DurationVar(&a.timeout)
	k.Flag("author", "Name recorded with changes.").Default(defaultAuthor()).StringVar(&a.author)
	a.addConfig(k)
	a.addQueries(k)
	a.addZone(k)
	a.addNode(k)
	a.addLogs(k)
	a.addDecision(k)
	k.Terminate(func(code int) { panic(terminated(code)) })
	if _, err := k.Parse(args); err != nil {
		_, _ = fmt.Fprintln(errOut, "citronctl:", errs.Describe(err))
		if !a.started {
			return ExitInvalid
		}
		return ExitCode(err)
	}
	return ExitOK
}

func defaultAuthor() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "unknown"
}

// run adapts a command to kingpin: it adds the time limit and the HTTP client.
func (a *app) run(command func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		a.started = true
		ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
		defer cancel()
		a.client.HTTP = &http.Client{}
		if a.identity == "" {
			a.identity = uuid.NewString()
		}
		return command(ctx)
	}
}

func (a *app) identityFlag(c *kingpin.CmdClause) {
	c.Flag("identity", "Identity of this attempt; repeat it after an unknown outcome.").StringVar(&a.identity)
}
