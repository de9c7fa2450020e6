package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/target/standin"
)

func keyedRun(incarnation string, epoch uint64, start, end int64) ownedRun {
	return ownedRun{standin.Entry{Key: "hotel-7", Epoch: epoch, StartNS: start, EndNS: end}, incarnation}
}

func fencedRun(incarnation string, epoch uint64, start, end int64) ownedRun {
	run := keyedRun(incarnation, epoch, start, end)
	run.Outcome = standin.Fenced
	return run
}

// Guards against a check that accepts two owners, or that refuses an orderly change of owner.
func TestConflictsOfOwners(t *testing.T) {
	for name, c := range map[string]struct {
		runs []ownedRun
		want int
	}{
		"one owner in parallel":    {[]ownedRun{keyedRun("a", 1, 0, 10), keyedRun("a", 1, 2, 5)}, 0},
		"owner changes in between": {[]ownedRun{keyedRun("a", 1, 0, 10), keyedRun("b", 2, 10, 20)}, 0},
		"overlap":                  {[]ownedRun{keyedRun("a", 1, 0, 10), keyedRun("b", 2, 9, 20)}, 1},
		"overlap with a long run":  {[]ownedRun{keyedRun("a", 1, 0, 30), keyedRun("a", 1, 1, 2), keyedRun("b", 2, 9, 20)}, 1},
		"old owner comes back":     {[]ownedRun{keyedRun("a", 1, 0, 5), keyedRun("b", 2, 9, 20), keyedRun("a", 1, 25, 30)}, 1},
		"run that ends fenced":     {[]ownedRun{fencedRun("a", 1, 0, 10), keyedRun("b", 2, 9, 20)}, 0},
		"fenced run begins late":   {[]ownedRun{keyedRun("b", 2, 9, 20), fencedRun("a", 1, 25, 30)}, 1},
		"fenced run begins inside": {[]ownedRun{keyedRun("b", 2, 9, 20), fencedRun("a", 1, 15, 18)}, 1},
	} {
		require.Len(t, conflicts(c.runs), c.want, name)
	}
}
