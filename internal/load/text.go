package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "run %s: %d requests in %.1f s (%.1f/s), %d attempts\n\n",
		r.Run, r.Requests, r.ElapsedSeconds, r.RequestsPerSec, r.Attempts)
	r.writeAnswers(t)
	fmt.Fprintf(t, "\nlatency in ms\tcount\tp50\tp99\tp99.9\tmax\n")
	writeLatencies(t, "succeeded", r.Succeeded)
	writeLatencies(t, "failed", r.Failed)
	fmt.Fprintf(t, "\nkeys\tinterrupted\tunavailable ms: p50\tp99\tmax\tkey\tlongest gap ms\n")
	k := r.Keys
	fmt.Fprintf(t, "%d\t%d\t%.1f\t%.1f\t%.1f\t%s\t%.1f\n",
		k.Keys, k.Interrupted, k.UnavailableP50, k.UnavailableP99, k.Unavailable, cmp.Or(k.Worst, "-"), k.LongestGap)
	r.writeTargets(t)
	fmt.Fprintf(t, "\ncheck\tverdict\tdetail\n")
	for _, c := range r.Checks {
		fmt.Fprintf(t, "%s\t%s\t%s\n", c.Name, c.Verdict, c.Detail)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeRemarks(w)
}

func (r *Report) writeAnswers(w io.Writer) {
	fmt.Fprintf(w, "answer\trequests\tattempts\n")
	for _, outcome := range slices.Sorted(maps.Keys(r.AttemptAnswers)) {
		fmt.Fprintf(w, "%s\t%d\t%d\n", outcome, r.Answers[outcome], r.AttemptAnswers[outcome])
	}
}

func writeLatencies(w io.Writer, label string, latencies map[string]Latency) {
	for _, class := range slices.Sorted(maps.Keys(latencies)) {
		l := latencies[class]
		if l.Count == 0 {
			continue
		}
		fmt.Fprintf(w, "%s %s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", label, class, l.Count, l.P50, l.P99, l.P999, l.Max)
	}
}

func (r *Report) writeTargets(w io.Writer) {
	for _, group := range slices.Sorted(maps.Keys(r.Targets)) {
		spread := r.Targets[group]
		fmt.Fprintf(w, "\n%s targets\tsuccesses\timbalance %.3f\n", group, spread.Imbalance)
		for _, name := range slices.Sorted(maps.Keys(spread.Counts)) {
			fmt.Fprintf(w, "%s\t%d\n", name, spread.Counts[name])
		}
	}
}

// writeRemarks lists violations and what limits the checks.
func (r *Report) writeRemarks(w io.Writer) error {
	var lines []string
	for _, c := range r.Checks {
		for _, example := range c.Examples {
			lines = append(lines, c.Name+": "+example)
		}
	}
	lines = append(lines, r.Journals.Problems...)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "verdict:", r.Verdict())
	return err
}
