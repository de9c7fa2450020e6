// Package keyspace holds key ranges and the table that assigns them to owners. It performs no I/O.
package keyspace

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/citronvane/citronvane/internal/errs"
)

// MaxKey is the highest key.
const MaxKey = 65535

// Range is a range of keys, both ends included.
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

// Owner is one tenure of the target on a host. The zero value means nobody.
type Owner struct {
	Host string `json:"host,omitempty"`
	Term uint64 `json:"term,omitempty"`
}

// IsZero reports whether the owner is nobody.
func (o Owner) IsZero() bool { return o == Owner{} }

// Row assigns a range.
type Row struct {
	Range
	Owner Owner `json:"owner"`
	// Fence is the fencing token that the owner holds the range with.
	Fence uint64 `json:"fence"`
	// NextOwner is the owner that the range is being moved to.
	NextOwner Owner `json:"next,omitzero"`
	// Handover is the token of the last holder, which lets the owner start warm.
	Handover string `json:"handover,omitempty"`
}

// Table assigns the ranges of one service. Rows are sorted and disjoint; keys without a row have no owner.
type Table struct {
	// Fence is the highest fencing token that was ever given.
	Fence uint64 `json:"fence"`
	Rows  []Row  `json:"rows"`
}

// Decode reads a table and checks it.
func Decode(data []byte) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Check which program wrote the assignment table.", "assignment table")
	}
	return t, t.Validate()
}

// Encode writes the table.
func (t *Table) Encode() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic("keyspace: a table can't be encoded: " + err.Error()) // The type has only numbers and texts.
	}
	return data
}

// Validate checks the invariants: ranges valid, sorted, disjoint, no fencing token above the counter.
func (t *Table) Validate() error {
	last := -1
	for _, r := range t.Rows {
		if !r.Valid() || r.From <= last || r.Fence > t.Fence || r.Owner.IsZero() {
			return errs.New(errs.Invalid, "Check which program wrote the assignment table.",
				"assignment table: row %d to %d with fence %d breaks an invariant", r.From, r.To, r.Fence)
		}
		last = r.To
	}
	return nil
}

// Find returns the row of a key.
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

// Clone returns a copy.
func (t *Table) Clone() *Table {
	return &Table{Fence: t.Fence, Rows: append([]Row(nil), t.Rows...)}
}

// Gaps returns the ranges without a row.
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

// Assign gives a range that is free to the owner with a new fencing token. Rows that it covers are replaced; it must
// not cut a row.
func (t *Table) Assign(r Range, owner Owner, handover string) {
	t.Fence++
	row := Row{Range: r, Owner: owner, Fence: t.Fence, Handover: handover}
	rows := make([]Row, 0, len(t.Rows)+1)
	for _, old := range t.Rows {
		switch {
		case r.Covers(old.Range):
		case r.Overlaps(old.Range):
			panic(fmt.Sprintf("keyspace: assigning %v cuts row %v", r, old.Range))
		default:
			rows = append(rows, old)
		}
	}
	rows = append(rows, row)
	sort.Slice(rows, func(i, j int) bool { return rows[i].From < rows[j].From })
	t.Rows = rows
}

// Split makes the range begin and end at row boundaries. Parts of a row keep its owner and fencing token.
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

// MergeAdjacent merges neighbouring rows that differ in nothing but their ranges.
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
