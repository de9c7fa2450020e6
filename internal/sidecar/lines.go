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
	// maxLinesPerSecond bounds the log lines about requests; lines above it are dropped and counted.
	maxLinesPerSecond = 60
	// sampleInterval is the number of calls of logSampled for each logged line.
	sampleInterval = 100
	// outputQueueLines is the number of log lines that may be queued for standard output.
	outputQueueLines = 2048
	// outputFlushInterval is how long lines are batched for one write.
	outputFlushInterval = 100 * time.Millisecond
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = 5 * time.Second
)

type logger = log.Logger

// asyncWriter writes lines from a bounded queue, so that a stalled reader of the output never blocks the process.
type asyncWriter struct {
	dst     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newAsyncWriter(dst io.Writer) *asyncWriter {
	o := &asyncWriter{dst: dst, queue: make(chan []byte, outputQueueLines), done: make(chan struct{})}
	go o.run()
	return o
}

// Write queues a line, or drops it if the queue is full.
func (o *asyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case o.queue <- line:
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

func (o *asyncWriter) run() {
	defer close(o.done)
	var batch []byte
	for line := range o.queue {
		batch = append(batch[:0], line...)
		batch = o.fillBatch(batch)
		_, _ = o.dst.Write(batch) // There is no other place to report the error.
	}
}

// fillBatch appends the lines that arrive within outputFlushInterval.
func (o *asyncWriter) fillBatch(batch []byte) []byte {
	timer := time.NewTimer(outputFlushInterval)
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

// close flushes the queued lines for at most one second.
func (o *asyncWriter) close() {
	close(o.queue)
	select {
	case <-o.done:
	case <-time.After(time.Second):
	}
}

// requestLog limits the rate of log lines about requests.
type requestLog struct {
	log     *logger
	limiter *rate.Limiter
	sampled atomic.Uint64
	dropped atomic.Int64
	output  *asyncWriter
}

func newRequestLog(l *logger, o *asyncWriter) *requestLog {
	return &requestLog{log: l, limiter: rate.NewLimiter(maxLinesPerSecond, 2*maxLinesPerSecond), output: o}
}

// logLimited writes a line unless the rate limit is reached.
func (l *requestLog) logLimited(write func(*logger)) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	write(l.log)
}

// logSampled writes a line for one in sampleInterval calls, within the rate limit.
func (l *requestLog) logSampled(write func(*logger)) {
	if l.sampled.Add(1)%sampleInterval == 1 {
		l.logLimited(write)
	}
}

// reportDropped periodically logs how many lines were dropped.
func (l *requestLog) reportDropped(ctx context.Context) {
	for sleep(ctx, dropReportInterval) {
		limited, slow := l.dropped.Swap(0), l.output.dropped.Swap(0)
		if limited+slow > 0 {
			event.LogLinesDropped.On(l.log).Int("limited", int(limited)).Int("slow_output", int(slow)).Send()
		}
	}
}
