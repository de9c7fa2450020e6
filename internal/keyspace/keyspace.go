// Package keyspace defines key ranges and the table that assigns them to owners. It performs no I/O.
package keyspace

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/citronvane/citronvane/internal/errs"
)

// MaxKey is the highest key.
const MaxKey = 65535

// Range is a range of keys. Both ends are inclusive.
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Size returns the number of keys.
func (r Range) Size() int { return r.To - r.From + 1 }

// Contains reports whether the key is in the range.
func (r Range) Contains(key int) bool { return r.From <= key && key <= r.To }

// Covers reports whether all keys of o are in the range.
func (r Range) Covers(o Range) bool { return r.From <= o.From && o.To <= r.To }

// Overlaps reports whether the ranges share a key.
func (r Range) Overlaps(o Range) bool { return r.From <= o.To && o.From <= r.To }

// Valid reports whether the range is not empty and within the keyspace.
func (r Range) Valid() bool { return 0 <= r.From && r.From <= r.To && r.To <= MaxKey }

// Owner identifies a target by its host and its term there. The zero value means no owner.
type Owner struct {
	Host string `json:"host,omitempty"`
	Term uint64 `json:"term,omitempty"`
}

// IsZero reports whether there is no owner.
func (o Owner) IsZero() bool { return o == Owner{} }

// Row assigns a range to an owner.
type Row struct {
	Range
	Owner Owner `json:"owner"`
	// Fence is the fencing token of the assignment.
	Fence uint64 `json:"fence"`
	// NextOwner is the destination of a move in progress.
	NextOwner Owner `json:"next,omitzero"`
	// Handover is a token of the previous owner that lets the new one start with warm state.
	Handover string `json:"handover,omitempty"`
}

// Table assigns the ranges of one service. Rows are sorted and disjoint; keys without a row have no
// owner.
type Table struct {
	// Fence is the highest fencing token that was ever issued.
	Fence uint64 `json:"fence"`
	Rows  []Row  `json:"rows"`
}

// Decode decodes a table from JSON and validates it.
func Decode(data []byte) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Check which program wrote the assignment table.", "assignment table")
	}
	return t, t.Validate()
}

// Encode encodes the table as JSON.
func (t *Table) Encode() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic("keyspace: cannot encode the table: " + err.Error()) // Not reachable: the type has only numbers and strings.
	}
	return data
}

// MaxFence is the highest fencing token of a valid table. A higher one, which only another program writes, could not be increased
// any more.
const MaxFence = 1 << 53

// Validate checks that ranges are valid, sorted and disjoint, that each row has an owner, and that no
// fencing token is above the highest one issued.
func (t *Table) Validate() error {
	if t.Fence > MaxFence {
		return errs.New(errs.Invalid, "Check which program wrote the assignment table.", "assignment table: fencing token %d is out of range", t.Fence)
	}
	last := -1
	for _, r := range t.Rows {
		if !r.Valid() || r.From <= last || r.Fence > t.Fence || r.Owner.IsZero() {
			return errs.New(errs.Invalid, "Check which program wrote the assignment table.",
				"assignment table: row %d to %d: the range is invalid or out of order, the owner is missing, or fencing token %d is too high", r.From, r.To, r.Fence)
		}
		last = r.To
	}
	return nil
}

// Find returns the row that contains the key.
func (t *Table) Find(key int) (Row, bool) {
	if t == nil {
		return Row{}, false
	}
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].To >= key })
	if i == len(t.Rows) || !t.Rows[i].Contains(key) {
		return Row{}, false
	}
	return t.Rows[i], true
}

// Clone returns a copy that shares no rows with the table.
func (t *Table) Clone() *Table {
	return &Table{Fence: t.Fence, Rows: append([]Row(nil), t.Rows...)}
}

// Gaps returns the ranges that no row covers.
func (t *Table) Gaps() []Range {
	var gaps []Range
	next := 0
	for _, r := range t.Rows {
		if r.From > next {
			gaps = append(gaps, Range{next, r.From - 1})
		}
		next = r.To + 1
	}
	if next <= MaxKey {
		gaps = append(gaps, Range{next, MaxKey})
	}
	return gaps
}

// Assign assigns a free range to the owner under a new fencing token. Rows within the range are
// replaced. It panics if the range covers a row only in part.
func (t *Table) Assign(r Range, owner Owner, handover string) {
	t.Fence++
	row := Row{Range: r, Owner: owner, Fence: t.Fence, Handover: handover}
	rows := make([]Row, 0, len(t.Rows)+1)
	for _, old := range t.Rows {
		switch {
		case r.Covers(old.Range):
		case r.Overlaps(old.Range):
			panic(fmt.Sprintf("keyspace: assigned range %v covers only part of row %v", r, old.Range))
		default:
			rows = append(rows, old)
		}
	}
	rows = append(rows, row)
	sort.Slice(rows, func(i, j int) bool { return rows[i].From < rows[j].From })
	t.Rows = rows
}

// Split divides rows at the ends of the range. The parts of a row keep its owner and fencing token.
func (t *Table) Split(r Range) {
	rows := make([]Row, 0, len(t.Rows)+2)
	for _, old := range t.Rows {
		rows = append(rows, cutRow(old, r)...)
	}
	t.Rows = rows
}

func cutRow(old Row, r Range) []Row {
	if !r.Overlaps(old.Range) || r.Covers(old.Range) {
		return []Row{old}
	}
	var parts []Row
	add := func(from, to int) {
		if from <= to {
			part := old
			part.Range = Range{from, to}
			parts = append(parts, part)
		}
	}
	add(old.From, min(old.To, r.From-1))
	add(max(old.From, r.From), min(old.To, r.To))
	add(max(old.From, r.To+1), old.To)
	return parts
}

// MergeAdjacent merges adjacent rows that differ only in their ranges.
func (t *Table) MergeAdjacent() {
	rows := t.Rows[:0:0]
	for _, r := range t.Rows {
		if n := len(rows); n > 0 && rows[n-1].To+1 == r.From && sameButRange(rows[n-1], r) {
			rows[n-1].To = r.To
			continue
		}
		rows = append(rows, r)
	}
	t.Rows = rows
}

func sameButRange(a, b Row) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && a.NextOwner == b.NextOwner && a.Handover == b.Handover
}
