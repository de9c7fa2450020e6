package load

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/target/standin"
)

// Verdict is the outcome of a check.
type Verdict string

// The verdicts.
const (
	Passed Verdict = "passed"
	Failed Verdict = "failed"
	// Incomplete means that no violation was found, but not everything could be seen.
	Incomplete Verdict = "incomplete"
)

// maxExamples bounds the violations that a check lists.
const maxExamples = 10

// Check is a property of the run.
type Check struct {
	Name       string   `json:"name"`
	Verdict    Verdict  `json:"verdict"`
	Violations uint64   `json:"violations"`
	Detail     string   `json:"detail"`
	Examples   []string `json:"examples,omitempty"`
}

func newCheck(name string, violations uint64, format string, args ...any) Check {
	verdict := Passed
	if violations > 0 {
		verdict = Failed
	}
	return Check{Name: name, Verdict: verdict, Violations: violations, Detail: fmt.Sprintf(format, args...)}
}

// newBound returns a check that fails if value exceeds a bound, which is off if it is negative.
func newBound[T time.Duration | float64](name string, value, bound T) []Check {
	if bound < 0 {
		return nil
	}
	violations := uint64(0)
	if value > bound {
		violations = 1
	}
	return []Check{newCheck(name, violations, "%v, at most %v", value, bound)}
}

func (r *recorder) checkAnswers(l Limits) []Check {
	truncated := r.attempts[Truncated]
	if truncated <= uint64(max(0, l.Truncated)) || l.Truncated < 0 {
		truncated = 0
	}
	return []Check{
		newCheck("whole answers", truncated, "%d answers truncated, %d allowed", r.attempts[Truncated], l.Truncated),
		newCheck("own answers", r.attempts[Foreign]+r.attempts[Corrupt],
			"%d foreign and %d corrupt answers", r.attempts[Foreign], r.attempts[Corrupt]),
		newCheck("consistent answers", r.attempts[Malformed], "%d malformed answers", r.attempts[Malformed]),
		r.checkSuccess(),
	}
}

// checkSuccess fails a run in which nothing was served, because its other checks prove nothing.
func (r *recorder) checkSuccess() Check {
	violations := uint64(0)
	if r.answers[OK] == 0 {
		violations = 1
	}
	return newCheck("any success", violations, "%d requests succeeded", r.answers[OK])
}

// checkJournals compares what callers were told with what ran.
func (r *recorder) checkJournals(c *collector) []Check {
	if len(c.journals) == 0 {
		return nil
	}
	checks := []Check{r.checkNotRun(c), checkOnce(c), checkOwner(c)}
	for i := range checks {
		if len(c.problems) > 0 && checks[i].Verdict == Passed {
			checks[i].Verdict = Incomplete
		}
	}
	return checks
}

func (r *recorder) checkNotRun(c *collector) Check {
	var examples []string
	for id, e := range c.entries {
		if outcome, claimed := r.notRun[e.RequestID]; claimed && e.Ran() {
			examples = append(examples, fmt.Sprintf("%s was answered %s but %s on %s sequence %d",
				e.RequestID, outcome, e.Outcome, id.incarnation, id.sequence))
		}
	}
	check := newCheck("not run", uint64(len(examples)), "%d attempts were answered not run, %d of them ran", len(r.notRun), len(examples))
	check.Examples = firstExamples(examples)
	return check
}

// identity is what names a non-idempotent request to citronvane.
type identity struct {
	service string
	key     string
	value   string
}

func checkOnce(c *collector) Check {
	runs := map[identity][]standin.Entry{}
	for _, e := range c.entries {
		if e.Identity != "" && e.Ran() && (e.Method == http.MethodPost || e.Method == http.MethodPatch) {
			id := identity{e.Service, e.Key, e.Identity}
			runs[id] = append(runs[id], e)
		}
	}
	var examples []string
	for id, entries := range runs {
		if len(entries) > 1 {
			examples = append(examples, fmt.Sprintf("%s of key %q ran %d times: %s %s and %s %s", id.value, id.key, len(entries),
				entries[0].RequestID, entries[0].Outcome, entries[1].RequestID, entries[1].Outcome))
		}
	}
	check := newCheck("at most once", uint64(len(examples)), "%d non-idempotent identities ran, %d of them more than once", len(runs), len(examples))
	check.Examples = firstExamples(examples)
	return check
}

func firstExamples(examples []string) []string {
	slices.Sort(examples)
	return examples[:min(len(examples), maxExamples)]
}
