package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the outcome of a run. Its times are in milliseconds.
type Report struct {
	Run            string             `json:"run"`
	Started        time.Time          `json:"started"`
	ElapsedSeconds float64            `json:"elapsed_seconds"`
	Requests       uint64             `json:"requests"`
	RequestsPerSec float64            `json:"requests_per_second"`
	Attempts       uint64             `json:"attempts"`
	Replayed       uint64             `json:"replayed"`
	Answers        map[Outcome]uint64 `json:"answers"`
	AttemptAnswers map[Outcome]uint64 `json:"attempt_answers"`
	// Succeeded and Failed hold latencies by class, and of all classes under "all".
	Succeeded map[string]Latency `json:"succeeded"`
	Failed    map[string]Latency `json:"failed"`
	Keys      Availability       `json:"keys"`
	// Targets is by "keyed" and "pooled".
	Targets  map[string]Spread `json:"targets"`
	Journals JournalSummary    `json:"journals"`
	Checks   []Check           `json:"checks"`
}

// Latency is a summary of a histogram.
type Latency struct {
	Count uint64  `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Availability is about the intervals between successes of each key.
type Availability struct {
	Keys int `json:"keys"`
	// Interrupted is the number of keys that had a failed attempt.
	Interrupted int `json:"interrupted"`
	// Worst is the key with the longest interval between successes in which an attempt failed.
	Worst       string  `json:"worst,omitempty"`
	Unavailable float64 `json:"unavailable_ms"`
	// UnavailableP50 and UnavailableP99 are over the interrupted keys.
	UnavailableP50 float64 `json:"unavailable_p50_ms"`
	UnavailableP99 float64 `json:"unavailable_p99_ms"`
	// LongestGap is the longest interval between successes of any key, with or without a failure.
	LongestGap float64 `json:"longest_gap_ms"`
}

// Spread is the distribution of successes over targets.
type Spread struct {
	Counts map[string]uint64 `json:"counts"`
	// Imbalance is the highest count divided by the mean.
	Imbalance float64 `json:"imbalance"`
}

// JournalSummary says what the journals showed.
type JournalSummary struct {
	Read     int      `json:"read"`
	Entries  int      `json:"entries"`
	Problems []string `json:"problems,omitempty"`
}

// Verdict returns Failed if a check failed, else Incomplete if one was incomplete, else Passed.
func (r *Report) Verdict() Verdict {
	verdict := Passed
	for _, c := range r.Checks {
		if c.Verdict == Failed {
			return Failed
		}
		if c.Verdict == Incomplete {
			verdict = Incomplete
		}
	}
	return verdict
}

func (g *generator) report(started, ended time.Time, journals *collector) *Report {
	rec := g.recorder
	elapsed := ended.Sub(started)
	r := &Report{
		Run:            g.run,
		Started:        started,
		ElapsedSeconds: elapsed.Seconds(),
		Requests:       total(rec.answers),
		Attempts:       total(rec.attempts),
		Replayed:       rec.replayed,
		Answers:        rec.answers,
		AttemptAnswers: rec.attempts,
		Succeeded:      summarize(rec.succeeded),
		Failed:         summarize(rec.failed),
		Keys:           rec.availability(ended),
		Targets:        rec.spreads(),
		Journals:       JournalSummary{Read: len(journals.journals), Entries: len(journals.entries), Problems: journals.problems},
	}
	r.RequestsPerSec = float64(r.Requests) / elapsed.Seconds()
	r.Checks = append(rec.checkAnswers(g.options.Limits), rec.checkJournals(journals)...)
	r.Checks = append(r.Checks, r.checkLimits(g.options.Limits)...)
	return r
}

func (r *Report) checkLimits(l Limits) []Check {
	checks := newBound("p99", fromMS(r.Succeeded[allClasses].P99), l.P99)
	checks = append(checks, newBound("unavailable time", fromMS(r.Keys.Unavailable), l.Unavailable)...)
	failed := 0.0
	if r.Requests > 0 {
		failed = float64(r.Requests-r.Answers[OK]) / float64(r.Requests)
	}
	return append(checks, newBound("failed ratio", failed, l.FailedRatio)...)
}

// allClasses is the name of the sum over all classes.
const allClasses = "all"

func summarize(histograms map[string]*hdrhistogram.Histogram) map[string]Latency {
	all := newHistogram()
	summaries := map[string]Latency{}
	for class, h := range histograms {
		all.Merge(h)
		summaries[class] = latencyOf(h)
	}
	summaries[allClasses] = latencyOf(all)
	return summaries
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return ms(time.Duration(h.ValueAtQuantile(q))) }
	return Latency{Count: uint64(h.TotalCount()), P50: at(50), P99: at(99), P999: at(99.9), Max: ms(time.Duration(h.Max()))}
}

// availability closes the interval of each key at the end of the run. The interval after the last
// success counts only if an attempt failed in it, because the load has ended.
func (r *recorder) availability(ended time.Time) Availability {
	a := Availability{Keys: len(r.keys)}
	unavailable := newHistogram()
	for name, k := range r.keys {
		if k.failing {
			k.close(ended)
		}
		a.LongestGap = max(a.LongestGap, ms(k.longestGap))
		if k.unavailable == 0 {
			continue
		}
		a.Interrupted++
		record(unavailable, k.unavailable)
		if ms(k.unavailable) > a.Unavailable {
			a.Worst, a.Unavailable = name, ms(k.unavailable)
		}
	}
	a.UnavailableP50 = ms(time.Duration(unavailable.ValueAtQuantile(50)))
	a.UnavailableP99 = ms(time.Duration(unavailable.ValueAtQuantile(99)))
	return a
}

func (r *recorder) spreads() map[string]Spread {
	spreads := map[string]Spread{}
	for group, counts := range r.targets {
		highest := uint64(0)
		for _, n := range counts {
			highest = max(highest, n)
		}
		mean := float64(total(counts)) / float64(len(counts))
		spreads[group] = Spread{Counts: counts, Imbalance: float64(highest) / mean}
	}
	return spreads
}

func total[K comparable](counts map[K]uint64) uint64 {
	sum := uint64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
