package keyspace

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A delta applied to the old table must yield the later table.
func TestDeltaYieldsLaterTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		change := func(table *Table) {
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				changeRange(t, table)
			}
		}
		old := &Table{}
		change(old)
		later := old.Clone()
		change(later)
		d, ok := later.DeltaFrom(old)
		if !ok {
			t.Fatal("keys never lose their row here")
		}
		got, err := d.Apply(old)
		if err != nil {
			t.Fatal(err)
		}
		require.Equal(t, later.Fence, got.Fence)
		require.Equal(t, append([]Row{}, later.Rows...), append([]Row{}, got.Rows...))
	})
}

func TestDeltaCannotRemoveRows(t *testing.T) {
	old := &Table{}
	old.Assign(Range{0, 99}, Owner{"a", 1}, "")
	old.Assign(Range{100, 199}, Owner{"a", 1}, "")
	later := &Table{Fence: old.Fence, Rows: old.Rows[:1]}
	_, ok := later.DeltaFrom(old)
	require.False(t, ok)
}
