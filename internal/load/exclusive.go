package load

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/citronvane/citronvane/internal/target/standin"
)

// ownedRun is a run of a keyed request with the target incarnation that ran it.
type ownedRun struct {
	standin.Entry
	incarnation string
}

// String tells when, under which epoch and with which outcome the request ran.
func (r ownedRun) String() string {
	return fmt.Sprintf("%s epoch %d from %d to %d (%s)", r.incarnation, r.Epoch, r.StartNS, r.EndNS, r.Outcome)
}

// checkOwner fails if two targets ran requests for one key in overlapping time, or if a target began one
// under an older epoch after another target had begun one under a newer epoch, also if that ended fenced. The journals' times are
// comparable, because all targets of a check stand on one host.
func checkOwner(c *collector) Check {
	byKey := map[[2]string][]ownedRun{}
	for id, e := range c.entries {
		if e.Key == "" || e.EndNS == 0 {
			continue
		}
		key := [2]string{e.Service, e.Key}
		byKey[key] = append(byKey[key], ownedRun{e, id.incarnation})
	}
	var examples []string
	for _, runs := range byKey {
		examples = append(examples, conflicts(runs)...)
	}
	check := newCheck("one owner", uint64(len(examples)), "%d keys ran, %d runs had another owner at the same time", len(byKey), len(examples))
	check.Examples = firstExamples(examples)
	return check
}

// conflicts returns a line for each run that began before a run of another owner had ended, or under
// an epoch older than one that had been used before.
func conflicts(runs []ownedRun) []string {
	slices.SortFunc(runs, func(a, b ownedRun) int { return cmp.Compare(a.StartNS, b.StartNS) })
	var examples []string
	// last holds, for each target incarnation, its run that ended last; there are few of them for a key.
	last := map[string]ownedRun{}
	newest := ownedRun{}
	for _, run := range runs {
		for incarnation, other := range last {
			if run.Ran() && incarnation != run.incarnation && other.EndNS > run.StartNS {
				examples = append(examples, fmt.Sprintf("key %q ran on %s and on %s", run.Key, other, run))
			}
		}
		if run.Epoch < newest.Epoch {
			examples = append(examples, fmt.Sprintf("key %q ran on %s after %s", run.Key, run, newest))
		}
		if run.Epoch >= newest.Epoch {
			newest = run
		}
		if run.Ran() && run.EndNS > last[run.incarnation].EndNS {
			last[run.incarnation] = run
		}
	}
	return examples
}
