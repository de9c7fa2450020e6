package fleet

import (
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// historyLength is the number of versions kept of each table. A node that answers polls is only a few versions
// behind.
const historyLength = 16

// TableDelta is the change from one version of a table to a later one.
type TableDelta struct {
	keyspace.Delta
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
}

// History keeps the latest versions of the tables, so that the coordinator can send nodes deltas instead of complete
// tables.
type History struct {
	tables map[string][]*Table // by service, oldest first
	deltas map[string]map[uint64]*TableDelta
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{tables: map[string][]*Table{}, deltas: map[string]map[uint64]*TableDelta{}}
}

// Record adds the tables of the view that are newer than the recorded ones.
func (h *History) Record(v *View) {
	for service, t := range v.Tables {
		recorded := h.tables[service]
		if n := len(recorded); n > 0 && recorded[n-1].Version >= t.Version {
			continue
		}
		recorded = append(recorded, t)
		h.tables[service] = recorded[max(0, len(recorded)-historyLength):]
		h.deltas[service] = map[uint64]*TableDelta{}
	}
}

// Since returns the objects of the view that are newer than the version, as View.Since does. It replaces a table by a
// delta if the history has the version of the table that a node with this view version has.
func (h *History) Since(v *View, version uint64) *View {
	newer := v.Since(version)
	for service, t := range newer.Tables {
		if d := h.deltaSince(service, t, version); d != nil {
			delete(newer.Tables, service)
			if newer.Deltas == nil {
				newer.Deltas = map[string]*TableDelta{}
			}
			newer.Deltas[service] = d
		}
	}
	return newer
}

// deltaSince returns the delta from the table version that a node with the view version has, or nil if there is none.
func (h *History) deltaSince(service string, t *Table, version uint64) *TableDelta {
	var base *Table
	for _, recorded := range h.tables[service] {
		if recorded.Version <= version {
			base = recorded
		}
	}
	if base == nil {
		return nil
	}
	if d, ok := h.deltas[service][base.Version]; ok && d.Version == t.Version {
		return d
	}
	delta, ok := t.DeltaFrom(&base.Table)
	if !ok {
		return nil
	}
	d := &TableDelta{Delta: *delta, Base: base.Version, Version: t.Version}
	h.deltas[service][base.Version] = d
	return d
}

// ExpandDeltas returns the received view with its deltas replaced by complete tables, based on the tables of the
// local view. It fails if a delta has another base version; the sender must then send complete tables.
func (v *View) ExpandDeltas(local *View) (*View, error) {
	if len(v.Deltas) == 0 {
		return v, nil
	}
	expanded := v.Clone()
	for service, d := range v.Deltas {
		base := local.Tables[service]
		if base != nil && base.Version >= d.Version {
			continue // The local table is at least as new.
		}
		if base == nil || base.Version != d.Base {
			return nil, errs.New(errs.Conflict, "The next poll carries the complete table.", "fleet: the delta of table %q needs base version %d, which the node does not have", service, d.Base)
		}
		t, err := d.Apply(&base.Table)
		if err != nil {
			return nil, err
		}
		expanded.Tables[service] = &Table{Table: *t, Version: d.Version}
	}
	return expanded, nil
}
