package keyspace

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAssignSplitAndMerge(t *testing.T) {
	a, b := Owner{"a", 1}, Owner{"b", 3}
	table := &Table{}
	require.Equal(t, []Range{{0, MaxKey}}, table.Gaps())
	table.Assign(Range{0, 999}, a, "")
	table.Assign(Range{2000, 2999}, b, "token")
	require.Equal(t, []Range{{1000, 1999}, {3000, MaxKey}}, table.Gaps())
	table.Split(Range{100, 199})
	require.Len(t, table.Rows, 4)
	row, ok := table.Find(150)
	require.True(t, ok)
	require.Equal(t, Row{Range: Range{100, 199}, Owner: a, Fence: 1}, row)
	table.MergeAdjacent()
	require.Len(t, table.Rows, 2)
	_, ok = table.Find(1500)
	require.False(t, ok)
	require.Panics(t, func() { table.Assign(Range{500, 1500}, b, "") })
}

func TestDecodeRejectsInvalidTables(t *testing.T) {
	for _, data := range []string{
		`{"fence":1,"rows":[{"from":5,"to":4,"owner":{"host":"a","term":1},"fence":1}]}`,
		`{"fence":1,"rows":[{"from":5,"to":9,"owner":{"host":"a","term":1},"fence":2}]}`,
		`{"fence":1,"rows":[{"from":5,"to":9,"fence":1}]}`,
		`{"fence":2,"rows":[{"from":5,"to":9,"owner":{"host":"a","term":1},"fence":1},{"from":9,"to":10,"owner":{"host":"a","term":1},"fence":2}]}`,
		`{"fence":1,"rows":[{"from":5,"to":65536,"owner":{"host":"a","term":1},"fence":1}]}`,
		`[]`,
	} {
		_, err := Decode([]byte(data))
		require.Error(t, err, data)
	}
}

// changeRange splits the table at a random range, assigns that range to an owner or leaves it, and
// returns it.
func changeRange(t *rapid.T, table *Table) Range {
	from := rapid.IntRange(0, MaxKey).Draw(t, "from")
	r := Range{from, rapid.IntRange(from, MaxKey).Draw(t, "to")}
	table.Split(r)
	if rapid.Bool().Draw(t, "assign") {
		table.Assign(r, Owner{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"), 1}, "")
	}
	table.MergeAdjacent()
	return r
}

// Each key has at most one owner, and a change of owner raises its fencing token.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &Table{}
		fences := map[int]uint64{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			r := changeRange(t, table)
			if err := table.Validate(); err != nil {
				t.Fatal(err)
			}
			for _, key := range []int{r.From, r.To, 0, MaxKey} {
				if row, ok := table.Find(key); ok {
					if row.Fence < fences[key] {
						t.Fatalf("key %d: the fencing token fell from %d to %d", key, fences[key], row.Fence)
					}
					fences[key] = row.Fence
				}
			}
		}
	})
}
