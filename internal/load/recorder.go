package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latency histograms.
const (
	minLatency       = time.Microsecond
	maxLatency       = 10 * time.Minute
	significantDigit = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency), int64(maxLatency), significantDigit)
}

// record adds a duration; those beyond the range count as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(max(d, minLatency), maxLatency))) // It fails only outside the range.
}

// recorder collects what was seen.
type recorder struct {
	mu       sync.Mutex
	answers  map[Outcome]uint64
	attempts map[Outcome]uint64
	// succeeded and failed hold latencies by class.
	succeeded map[string]*hdrhistogram.Histogram
	failed    map[string]*hdrhistogram.Histogram
	targets   map[string]map[string]uint64
	keys      map[string]*keyHistory
	// notRun holds the attempts that were answered "not run".
	notRun   map[string]Outcome
	replayed uint64
}

func newRecorder() *recorder {
	return &recorder{
		answers:   map[Outcome]uint64{},
		attempts:  map[Outcome]uint64{},
		succeeded: map[string]*hdrhistogram.Histogram{},
		failed:    map[string]*hdrhistogram.Histogram{},
		targets:   map[string]map[string]uint64{},
		keys:      map[string]*keyHistory{},
		notRun:    map[string]Outcome{},
	}
}

// keyHistory follows the successes of a key.
type keyHistory struct {
	lastSuccess time.Time
	// failing says that an attempt failed since the last success.
	failing bool
	// longestGap is the longest interval between successes, unavailable the longest in which an attempt failed.
	longestGap  time.Duration
	unavailable time.Duration
}

// close ends an interval between successes.
func (k *keyHistory) close(now time.Time) {
	gap := now.Sub(k.lastSuccess)
	k.longestGap = max(k.longestGap, gap)
	if k.failing {
		k.unavailable = max(k.unavailable, gap)
	}
	k.lastSuccess, k.failing = now, false
}

// begin notes the first use of a key, from which its unavailable time counts.
func (r *recorder) begin(req request, scheduled time.Time) {
	if req.key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keys[req.key] == nil {
		r.keys[req.key] = &keyHistory{lastSuccess: scheduled}
	}
}

// notSent records a request that was due but found no free slot within the time-out.
func (r *recorder) notSent(req request, scheduled time.Time) {
	r.begin(req, scheduled)
	r.attempt(req, "", result{outcome: NotSent})
	r.end(req, result{outcome: NotSent}, scheduled)
}

// attempt records the answer to one attempt.
func (r *recorder) attempt(req request, id string, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[res.outcome]++
	if res.replayed {
		r.replayed++
	} else if res.notRun {
		r.notRun[id] = res.outcome
	}
	key := r.keys[req.key]
	if key == nil {
		return
	}
	if res.outcome == OK {
		key.close(time.Now())
	} else {
		key.failing = true
	}
}

// end records the answer to the request as a whole.
func (r *recorder) end(req request, last result, scheduled time.Time) {
	latency := time.Since(scheduled)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[last.outcome]++
	histograms := r.failed
	if last.outcome == OK {
		histograms = r.succeeded
		r.countTarget(req, last.target)
	}
	h := histograms[req.class.Name]
	if h == nil {
		h = newHistogram()
		histograms[req.class.Name] = h
	}
	record(h, latency)
}

func (r *recorder) countTarget(req request, name string) {
	group := "pooled"
	if req.class.Keyed {
		group = "keyed"
	}
	if r.targets[group] == nil {
		r.targets[group] = map[string]uint64{}
	}
	r.targets[group][name]++
}
