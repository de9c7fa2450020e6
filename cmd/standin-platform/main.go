// Command standin-platform serves the in-memory platform over HTTP. It is for tests and development.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/store/standin"
)

const (
	headerTimeout = 5 * time.Second
	// stopTimeout bounds the graceful stop. Waiting watches end at once because the platform goes down first.
	stopTimeout = 5 * time.Second
)

func main() {
	app := kingpin.New("standin-platform", "In-memory platform with faults on demand. See docs/standins.md.")
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:7000").String()
	logEntries := app.Flag("log-entries", "Number of changes that a watch can go back.").Default("10000").Int()
	reads := app.Flag("reads-per-second", "Limit of reads and watches, 0 for none.").Default("2000").Float64()
	writes := app.Flag("writes-per-second", "Limit of writes, 0 for none.").Default("500").Float64()
	slow := app.Flag("slow", "Delay of each answer.").Default("0s").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	p := standin.New(*logEntries)
	p.SetFaults(standin.Faults{Slow: *slow, ReadsPerSecond: *reads, WritesPerSecond: *writes})
	if err := serve(p, *listen); err != nil {
		log.Error().Err(err).Msg("stand-in platform failed")
		os.Exit(1)
	}
}

func serve(p *standin.Platform, address string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	log.Info().Str("address", listener.Addr().String()).Msg("stand-in platform listens")
	server := &http.Server{Handler: standin.Handler(p), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	// A second signal ends the process at once.
	stop()
	p.ChangeFaults(func(f *standin.Faults) { f.Down = true })
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	log.Info().Msg("stand-in platform stopped")
	return nil
}
