// Command citronvane-node is the process of citronvane on a target host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronvane/citronvane/internal/buildinfo"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/node"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/sidecar"
	"github.com/citronvane/citronvane/platform"
)

// Exit codes.
const (
	exitFailure = 1
	exitInvalid = 2
)

func main() {
	app := kingpin.New("citronvane-node", "Routes requests to servers that own keys exclusively; one per target host.")
	app.Version(buildinfo.Version())
	app.HelpFlag.Short('h')
	run := app.Command("run", "Runs the node until SIGTERM or SIGINT; a second signal ends it at once.")
	runFile := run.Flag("settings", "Settings file (YAML).").Required().String()
	check := app.Command("check", "Checks a settings file.")
	checkFile := check.Flag("settings", "Settings file (YAML).").Required().String()
	beside := app.Command("sidecar", "Runs the node beside one target on the users' platform. See docs/platform.md.")
	besideFile := beside.Flag("settings", "Settings file (YAML, from deploy/node.yaml); the platform names it by itself.").String()
	besideCheck := beside.Flag("check", "Only checks the settings file.").Bool()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case beside.FullCommand():
		serveBeside(*besideFile, *besideCheck)
	case check.FullCommand():
		read(*checkFile)
		fmt.Printf("%s: settings are valid\n", *checkFile)
	case run.FullCommand():
		serve(read(*runFile))
	}
}

// read returns valid settings or ends the process with all errors.
func read(file string) *settings.Settings {
	s, err := settings.ReadFile(file)
	if err != nil {
		exit(exitInvalid, err)
	}
	return s
}

// serveBeside runs the node on the users' platform.
func serveBeside(file string, check bool) {
	if file == "" {
		path, err := platform.SettingsPath()
		if err != nil {
			exit(exitInvalid, err)
		}
		file = path
	}
	s, err := settings.ReadSidecarFile(file)
	if err == nil {
		_, err = platform.ReadBounds(s.Bounds)
	}
	if err != nil {
		exit(exitInvalid, err)
	}
	if check {
		fmt.Printf("%s: settings are valid\n", file)
		return
	}
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	if err := sidecar.Run(ctx, s); err != nil {
		exit(exitFailure, err)
	}
}

func serve(s *settings.Settings) {
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	// After the first signal the default action is restored, so that a second one ends the process.
	context.AfterFunc(ctx, restore)
	if err := node.Run(ctx, s); err != nil {
		exit(exitFailure, err)
	}
}

func exit(code int, err error) {
	fmt.Fprintln(os.Stderr, "citronvane-node:", errs.Describe(err))
	os.Exit(code)
}
