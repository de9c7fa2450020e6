package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/store"
)

func change(name, value string, version uint64) store.Change {
	return store.Change{Object: store.Object{Kind: Kind, Name: name, Version: version, Value: []byte(value)}}
}

const targetRecord = `{"host":"10.0.0.1","relay":"10.0.0.1:7380","service":"s","term":3,"state":"serving"}`

func TestApplyKeepsNewestVersion(t *testing.T) {
	v := NewView()
	require.NoError(t, v.Apply(change("target.10.0.0.1", targetRecord, 7)))
	require.NoError(t, v.Apply(change("target.10.0.0.1", `{"host":"10.0.0.1","relay":"r","service":"s","term":2}`, 6)))
	require.Equal(t, uint64(3), v.Targets["10.0.0.1"].Term)
	require.Equal(t, uint64(7), v.LatestVersion())
	deletion := change("target.10.0.0.1", "", 9)
	deletion.Deleted = true
	require.NoError(t, v.Apply(deletion))
	require.Empty(t, v.Targets)
}

// Guards against a malformed object of another writer that invalidates the rest of the view.
func TestApplyRejectsMalformedObjects(t *testing.T) {
	v := NewView()
	require.NoError(t, v.Apply(change("target.10.0.0.1", targetRecord, 7)))
	for _, c := range []store.Change{
		change("target.10.0.0.1", `{"host":"10.0.0.1","term":"x"}`, 8),
		change("target.10.0.0.1", `{"host":"10.0.0.2","relay":"r","service":"s","term":4}`, 8),
		change("target.10.0.0.2", `null`, 8),
		change("keys.s", `{"fence":1,"rows":[{"from":3}]}`, 8),
		change("other", `{}`, 8),
	} {
		require.Error(t, v.Apply(c), string(c.Value))
	}
	require.Len(t, v.Targets, 1)
	require.Equal(t, uint64(3), v.Targets["10.0.0.1"].Term)
}

func TestMerge(t *testing.T) {
	a, b := NewView(), NewView()
	a.Revision, b.Revision = 10, 20
	a.Targets["deleted"] = &Target{Host: "deleted", Version: 9}
	a.Targets["own"] = &Target{Host: "own", Version: 25}
	b.Targets["own"] = &Target{Host: "own", Version: 15}
	b.Targets["new"] = &Target{Host: "new", Version: 18}
	b.Tables["s"] = &Table{Version: 12}
	for _, m := range []*View{a.Merge(b), b.Merge(a)} {
		require.Equal(t, uint64(20), m.Revision)
		require.Len(t, m.Targets, 2)
		require.Equal(t, uint64(25), m.Targets["own"].Version)
		require.NotNil(t, m.Targets["new"])
		require.NotNil(t, m.Tables["s"])
	}
}

// Guards against sending the complete view to every node at each change, which loads the network link of the
// coordinator.
func TestSinceUpdatesOlderView(t *testing.T) {
	v := NewView()
	v.Revision = 30
	for i, host := range []string{"a", "b", "c"} {
		v.Targets[host] = &Target{Host: host, Version: uint64(10 + i)}
	}
	v.Tables["s"] = &Table{Version: 11}
	older := NewView()
	older.Revision = 10
	older.Targets["a"] = v.Targets["a"]
	require.Equal(t, uint64(10), older.LatestVersion())
	d := v.Since(older.LatestVersion())
	require.Len(t, d.Targets, 2)
	m := older.Merge(d)
	require.Equal(t, v.Targets, m.Targets)
	require.Equal(t, v.Tables, m.Tables)
	require.Equal(t, v.LatestVersion(), m.LatestVersion())
	require.Empty(t, v.Since(v.LatestVersion()).Targets)
}

// Guards against sending complete tables at each change, which loads the network link of the coordinator: for 60 nodes and
// tables of 400 rows these are 2.6 MB.
func TestHistorySendsTableDeltas(t *testing.T) {
	table := func(version uint64, rows int, host string) *Table {
		k := keyspace.Table{}
		for i := range rows {
			owner := "a"
			if i == 5 {
				owner = host
			}
			k.Assign(keyspace.Range{From: i * 100, To: i*100 + 99}, keyspace.Owner{Host: owner, Term: 1}, "")
		}
		return &Table{Table: k, Version: version}
	}
	h := NewHistory()
	recordVersion := func(version uint64, host string) *View {
		v := NewView()
		v.Revision = version
		v.Tables["s"] = table(version, 400, host)
		h.Record(v)
		return v
	}
	first, latest := recordVersion(10, "a"), recordVersion(12, "b")
	d := h.Since(latest, h.Sequence()-1)
	require.Empty(t, d.Tables)
	require.Len(t, d.Deltas["s"].Rows, 1)
	require.Less(t, len((&Poll{View: d}).Encode()), 1000)

	expanded, err := d.ExpandDeltas(first)
	require.NoError(t, err)
	require.Equal(t, latest.Tables["s"], first.Merge(expanded).Tables["s"])
	expanded, err = d.ExpandDeltas(latest)
	require.NoError(t, err)
	require.Equal(t, latest.Tables["s"], latest.Merge(expanded).Tables["s"], "the local table is at least as new")

	other := NewView()
	other.Tables["s"] = table(11, 400, "c")
	_, err = d.ExpandDeltas(other)
	require.Error(t, err, "different base version")
	_, err = d.ExpandDeltas(NewView())
	require.Error(t, err, "no base table")
	require.NotNil(t, h.Since(latest, 0).Tables["s"], "a node without a view gets the complete table")
	require.Empty(t, h.Since(latest, h.Sequence()).Tables)
}

// Guards against changes that nodes never get: the coordinator learns of a change after another one with a higher version, such as one of
// its own, and nodes that have the other one count as up to date.
func TestHistorySendsChangesThatComeLate(t *testing.T) {
	h := NewHistory()
	v := NewView()
	v.Targets["a"], v.Targets["b"] = &Target{Host: "a", Version: 5}, &Target{Host: "b", Version: 6}
	h.Record(v)
	v = v.Clone()
	v.Targets["a"] = &Target{Host: "a", Version: 20} // Its own write.
	h.Record(v)
	known := h.Sequence()
	v = v.Clone()
	v.Targets["b"] = &Target{Host: "b", Version: 19} // From the watch, later.
	h.Record(v)
	require.Greater(t, h.Sequence(), known)
	d := h.Since(v, known)
	require.Equal(t, map[string]*Target{"b": v.Targets["b"]}, d.Targets)
	require.Empty(t, h.Since(v, h.Sequence()).Targets)
	require.Len(t, h.Since(v, 0).Targets, 2)
}

func TestReportRangeDemandsRoundTrip(t *testing.T) {
	r := &Report{Host: "h", RangeDemands: []RangeDemand{{keyspace.Range{From: 46000, To: 46010}, 1.23456}, {keyspace.Range{From: 65535, To: 65535}, 0.0004}}}
	got, err := DecodeReport(r.Encode())
	require.NoError(t, err)
	require.Equal(t, []RangeDemand{{keyspace.Range{From: 46000, To: 46010}, 1.235}, {keyspace.Range{From: 65535, To: 65535}, 0}}, got.RangeDemands)
	_, err = DecodeReport([]byte(`{"host":"h","segments":[{"from":1}]}`))
	require.Error(t, err)
}
