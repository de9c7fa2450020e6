package keyspace

import (
	"slices"
	"sort"

	"github.com/citronvane/citronvane/internal/errs"
)

// Delta is the difference between two versions of a table. It is sent instead of whole tables, which
// would saturate the network link of a host.
type Delta struct {
	// Fence is the highest fencing token of the later table.
	Fence uint64 `json:"fence"`
	// Rows are the rows of the later table that differ. Each replaces the rows that it overlaps.
	Rows []Row `json:"rows"`
}

// DeltaFrom returns the difference from the old table. It returns false if a delta can't express it,
// as when keys no longer have a row.
func (t *Table) DeltaFrom(old *Table) (*Delta, bool) {
	d := &Delta{Fence: t.Fence}
	i := 0
	for _, r := range t.Rows {
		for i < len(old.Rows) && old.Rows[i].From < r.From {
			i++
		}
		if i == len(old.Rows) || old.Rows[i] != r {
			d.Rows = append(d.Rows, r)
		}
	}
	return d, slices.Equal(d.replace(old), t.Rows)
}

// Apply returns the later table. It fails if the result is not a valid table.
func (d *Delta) Apply(old *Table) (*Table, error) {
	t := &Table{Fence: d.Fence, Rows: d.replace(old)}
	return t, errs.Wrap(t.Validate(), errs.Invalid, "Check that all nodes run compatible versions.", "delta of the assignment table")
}

func (d *Delta) replace(old *Table) []Row {
	rows := make([]Row, 0, len(old.Rows)+len(d.Rows))
	for _, r := range old.Rows {
		if !d.overlaps(r.Range) {
			rows = append(rows, r)
		}
	}
	rows = append(rows, d.Rows...)
	sort.Slice(rows, func(i, j int) bool { return rows[i].From < rows[j].From })
	return rows
}

// overlaps reports whether a row of the delta overlaps the range. The rows must be sorted.
func (d *Delta) overlaps(r Range) bool {
	i := sort.Search(len(d.Rows), func(i int) bool { return d.Rows[i].To >= r.From })
	return i < len(d.Rows) && d.Rows[i].From <= r.To
}
