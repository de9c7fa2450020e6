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

// History numbers the changes of the coordinator's view in the order in which the coordinator learns of them, and keeps the
// latest versions of the tables, so that it can send nodes deltas instead of complete tables. The versions of the store
// don't serve for that: the coordinator learns of some changes later than of others with higher versions.
type History struct {
	// sequence is the number of the latest change.
	sequence uint64
	// targets and services hold the number of the latest change of each object.
	targets  map[string]numberedVersion
	services map[string]numberedVersion
	tables   map[string][]recordedTable // by service, oldest first
	deltas   map[string]map[uint64]*TableDelta
}

// numberedVersion is a version of an object with the number of the change to it.
type numberedVersion struct {
	version, sequence uint64
}

type recordedTable struct {
	*Table
	sequence uint64
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{targets: map[string]numberedVersion{}, services: map[string]numberedVersion{}, tables: map[string][]recordedTable{}, deltas: map[string]map[uint64]*TableDelta{}}
}

// Sequence returns the number of the latest change, 0 if there is none.
func (h *History) Sequence() uint64 { return h.sequence }

// Record numbers the objects of the view that have changed since the last call.
func (h *History) Record(v *View) {
	next := h.sequence + 1
	for host, t := range v.Targets {
		if h.targets[host].version != t.Version {
			h.targets[host], h.sequence = numberedVersion{t.Version, next}, next
		}
	}
	for service, t := range v.Tables {
		if h.services[service].version == t.Version {
			continue
		}
		h.services[service], h.sequence = numberedVersion{t.Version, next}, next
		recorded := append(h.tables[service], recordedTable{t, next})
		h.tables[service] = recorded[max(0, len(recorded)-historyLength):]
		h.deltas[service] = map[uint64]*TableDelta{}
	}
}

// Since returns the objects of the view, which must be the one that was recorded last, that have changed after the change
// with the number. It replaces a table by a delta if the history has the version of the table that was the latest then.
func (h *History) Since(v *View, sequence uint64) *View {
	newer := &View{Targets: map[string]*Target{}, Tables: map[string]*Table{}}
	for host, t := range v.Targets {
		if h.targets[host].sequence > sequence {
			newer.Targets[host] = t
		}
	}
	for service, t := range v.Tables {
		if h.services[service].sequence <= sequence {
			continue
		}
		newer.addTable(service, t, h.deltaSince(service, t, sequence))
	}
	return newer
}

// HeldVersions holds the versions of the objects in the view of a node.
type HeldVersions struct {
	Targets map[string]uint64 `json:"targets"`
	Tables  map[string]uint64 `json:"tables"`
}

// HeldVersions returns the versions of the objects of the view.
func (v *View) HeldVersions() *HeldVersions {
	h := &HeldVersions{Targets: make(map[string]uint64, len(v.Targets)), Tables: make(map[string]uint64, len(v.Tables))}
	for host, t := range v.Targets {
		h.Targets[host] = t.Version
	}
	for service, t := range v.Tables {
		h.Tables[service] = t.Version
	}
	return h
}

// Missing returns the objects of the view, which must be the one that was recorded last, that a node with the versions lacks. It
// replaces a table by a delta if the history has the node's version of it.
func (h *History) Missing(v *View, held *HeldVersions) *View {
	missing := &View{Targets: map[string]*Target{}, Tables: map[string]*Table{}}
	for host, t := range v.Targets {
		if held.Targets[host] < t.Version {
			missing.Targets[host] = t
		}
	}
	for service, t := range v.Tables {
		if version := held.Tables[service]; version < t.Version {
			missing.addTable(service, t, h.deltaFrom(service, t, version))
		}
	}
	return missing
}

// addTable adds a table to the message, or the delta in place of it.
func (v *View) addTable(service string, t *Table, d *TableDelta) {
	if d == nil {
		v.Tables[service] = t
		return
	}
	if v.Deltas == nil {
		v.Deltas = map[string]*TableDelta{}
	}
	v.Deltas[service] = d
}

// deltaSince returns the delta from the table that was the latest after the change with the number, or nil if there is none.
func (h *History) deltaSince(service string, t *Table, sequence uint64) *TableDelta {
	var base *Table
	for _, recorded := range h.tables[service] {
		if recorded.sequence <= sequence {
			base = recorded.Table
		}
	}
	return h.deltaBetween(service, t, base)
}

// deltaFrom returns the delta from the version of the table, or nil if the history does not have that version.
func (h *History) deltaFrom(service string, t *Table, version uint64) *TableDelta {
	for _, recorded := range h.tables[service] {
		if recorded.Version == version {
			return h.deltaBetween(service, t, recorded.Table)
		}
	}
	return nil
}

func (h *History) deltaBetween(service string, t, base *Table) *TableDelta {
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
