package fleet

import (
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// historyLength is the number of versions of a table that deltas can start from. A node that answers polls lags by a few.
const historyLength = 16

// TableDelta leads from one version of a table to a later one.
type TableDelta struct {
	keyspace.Delta
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
}

// History remembers the latest versions of the tables, so that nodes get what changed instead of whole tables.
type History struct {
	tables map[string][]*Table // by service, oldest first
	deltas map[string]map[uint64]*TableDelta
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{tables: map[string][]*Table{}, deltas: map[string]map[uint64]*TableDelta{}}
}

// Record remembers the tables of the view.
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

// Since returns the parts of the view that are newer than the stamp, as View.Since does, with deltas in place of tables where
// a node with that stamp has a version that is remembered.
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

// deltaSince returns what changed since the version that a node with the stamp has, or nil.
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

// ExpandDeltas replaces the deltas of a view that another node sent by tables, from those of the own view. It fails if they start
// from other versions; the sender has to send whole tables then.
func (v *View) ExpandDeltas(local *View) (*View, error) {
	if len(v.Deltas) == 0 {
		return v, nil
	}
	expanded := v.Clone()
	for service, d := range v.Deltas {
		base := local.Tables[service]
		if base != nil && base.Version >= d.Version {
			continue // Known already.
		}
		if base == nil || base.Version != d.Base {
			return nil, errs.New(errs.Conflict, "The next poll carries the whole table.", "fleet: a delta of %q starts from version %d", service, d.Base)
		}
		t, err := d.Apply(&base.Table)
		if err != nil {
			return nil, err
		}
		expanded.Tables[service] = &Table{Table: *t, Version: d.Version}
	}
	return expanded, nil
}
