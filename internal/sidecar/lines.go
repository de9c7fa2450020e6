package sidecar

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/citronvane/citronvane/internal/event"
)

const (
	// failureRate is how many lines about failed requests a node writes a second; more are counted.
	failureRate = 60
	// successShare is one in how many answered requests gets a line.
	successShare = 100
	// outputQueue is the number of lines that may wait for standard output.
	outputQueue = 2048
	// outputFlush is how long lines are collected for one write.
	outputFlush = 100 * time.Millisecond
	// droppedInterval is how often dropped lines are reported.
	droppedInterval = 5 * time.Second
)

type logger = log.Logger

// output writes lines from a queue, so that a reader that stalls never blocks the process.
type output struct {
	to      io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newOutput(to io.Writer) *output {
	o := &output{to: to, queue: make(chan []byte, outputQueue), done: make(chan struct{})}
	go o.run()
	return o
}

// Write queues a line, or drops it if the queue is full.
func (o *output) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case o.queue <- line:
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

func (o *output) run() {
	defer close(o.done)
	var batch []byte
	for line := range o.queue {
		batch = append(batch[:0], line...)
		batch = o.collect(batch)
		_, _ = o.to.Write(batch) // There is nowhere else to tell.
	}
}

// collect adds the lines that arrive within outputFlush.
func (o *output) collect(batch []byte) []byte {
	timer := time.NewTimer(outputFlush)
	defer timer.Stop()
	for len(batch) < 32<<10 {
		select {
		case line, ok := <-o.queue:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// close writes what is queued, for at most a moment.
func (o *output) close() {
	close(o.queue)
	select {
	case <-o.done:
	case <-time.After(time.Second):
	}
}

// lines bounds the log lines about requests.
type lines struct {
	log      *logger
	limit    *rate.Limiter
	answered atomic.Uint64
	dropped  atomic.Int64
	output   *output
}

func newLines(l *logger, o *output) *lines {
	return &lines{log: l, limit: rate.NewLimiter(failureRate, 2*failureRate), output: o}
}

// failure writes a line unless too many were written lately.
func (l *lines) failure(write func(*logger)) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	write(l.log)
}

// success writes a line for one in successShare calls.
func (l *lines) success(write func(*logger)) {
	if l.answered.Add(1)%successShare == 1 {
		l.failure(write)
	}
}

// report says from time to time how many lines were dropped.
func (l *lines) report(ctx context.Context) {
	for sleep(ctx, droppedInterval) {
		limited, slow := l.dropped.Swap(0), l.output.dropped.Swap(0)
		if limited+slow > 0 {
			event.LogLinesDropped.On(l.log).Int("limited", int(limited)).Int("slow_output", int(slow)).Send()
		}
	}
}
