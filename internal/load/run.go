package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronvane/citronvane/internal/clock"
)

// runIDLength is the part of a UUID that tells runs apart in journals.
const runIDLength = 8

// generator is a run in progress.
type generator struct {
	options  Options
	run      string
	client   *http.Client
	tokens   tokens
	recorder *recorder
}

// Run generates load until the duration or the number of requests is reached, or the context ends. It
// then waits for the open requests, checks what was seen, and reports.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	g := &generator{
		options:  o,
		run:      uuid.NewString()[:runIDLength],
		client:   newClient(o.MaxInFlight),
		tokens:   tokens{byKey: map[string]heldToken{}},
		recorder: newRecorder(),
	}
	defer g.client.CloseIdleConnections()
	journals := newCollector(o.Journals, g.run)
	stopCollecting := journals.start(ctx)
	started := time.Now()
	g.generate(ctx, started)
	ended := time.Now()
	if len(o.Journals) > 0 {
		time.Sleep(o.Settle)
	}
	stopCollecting()
	journals.finish()
	return g.report(started, ended, journals), nil
}

func newClient(connections int) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// generate starts requests and waits until all have ended. Requests that were started end by
// themselves, also if ctx ends.
func (g *generator) generate(ctx context.Context, started time.Time) {
	deadline := started.Add(g.options.Duration)
	limit, sendUntil := g.options.Concurrency, deadline
	if g.options.Rate > 0 {
		limit, sendUntil = g.options.MaxInFlight, deadline.Add(g.options.Timeout)
	}
	sending, cancel := context.WithDeadline(ctx, sendUntil)
	defer cancel()
	slots := make(chan struct{}, limit)
	choose := newChooser(&g.options)
	var open sync.WaitGroup
	for number := 0; g.options.MaxRequests == 0 || number < g.options.MaxRequests; number++ {
		scheduled := g.scheduled(started, number)
		if !scheduled.Before(deadline) {
			break
		}
		clock.Sleep(sending, time.Until(scheduled))
		acquired := acquire(sending, slots)
		if ctx.Err() != nil || !acquired && g.options.Rate == 0 {
			break
		}
		r := choose.next(number)
		if !acquired {
			g.recorder.notSent(r, scheduled)
			continue
		}
		if g.options.Rate == 0 {
			scheduled = time.Now()
		}
		open.Go(func() {
			defer func() { <-slots }()
			g.perform(context.WithoutCancel(ctx), r, scheduled)
		})
	}
	open.Wait()
}

// scheduled returns when a request is due. At a given rate the latency counts from there, and all
// requests that were due are sent or reported, so that a slow system can't hide its delays by holding
// back the next requests.
func (g *generator) scheduled(started time.Time, number int) time.Time {
	if g.options.Rate == 0 {
		return time.Now()
	}
	return started.Add(time.Duration(float64(number) / g.options.Rate * float64(time.Second)))
}

// acquire waits for a free slot. It returns false if the context ends first.
func acquire(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
