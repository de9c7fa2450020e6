// Package fleet defines what nodes know of each other: the records in the store, the view that the coordinator
// pushes, and the messages of its poll. It performs no I/O.
package fleet

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/store"
)

// Kinds and names of the product's own objects in the store.
const (
	Kind            = "citronvane"
	CoordinatorKind = "citronvane-lead"
	CoordinatorName = "coordinator"
	targetPrefix    = "target."
	keysPrefix      = "keys."
)

// State says whether a target takes work.
type State string

// The states of a target.
const (
	// Serving means that the target takes work.
	Serving State = "serving"
	// Leaving means that the target finishes its work and takes no more.
	Leaving State = "leaving"
	// Down means that the target is proven to hold no keys under its term.
	Down State = "down"
	// Revoked means that the coordinator has ended the term; its holds run out within the lease term.
	Revoked State = "revoked"
)

// Target is the record of the target on one host. It is written by the node on that host, but for the revocation.
type Target struct {
	// Host is the address of the host without a port. It names the record.
	Host string `json:"host"`
	// Node is the name of the node, for people.
	Node     string `json:"node"`
	Relay    string `json:"relay"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	Instance string `json:"instance"`
	// StartTimeMs is the start of the target in Unix milliseconds, as the target says.
	StartTimeMs int64 `json:"born"`
	// Term numbers the tenures of the host's target. A record with a term proves that nothing is held under lower ones.
	Term  uint64 `json:"term"`
	State State  `json:"state"`
	Slots int    `json:"slots"`
	// Version is the store's version of the record.
	Version uint64 `json:"version,omitempty"`
}

// Owner returns the tenure of the record.
func (t *Target) Owner() keyspace.Owner { return keyspace.Owner{Host: t.Host, Term: t.Term} }

// Table is an assignment table with its version in the store.
type Table struct {
	keyspace.Table
	Version uint64 `json:"version"`
}

// View is what is known of the fleet at a revision of the store.
type View struct {
	Revision uint64             `json:"revision"`
	Targets  map[string]*Target `json:"targets"`
	Tables   map[string]*Table  `json:"tables"`
	// Deltas stand for tables in a message; see History.
	Deltas map[string]*TableDelta `json:"deltas,omitempty"`
}

// NewView returns an empty view.
func NewView() *View {
	return &View{Targets: map[string]*Target{}, Tables: map[string]*Table{}}
}

// Clone returns a view whose maps may be changed. Records are shared and must not be changed.
func (v *View) Clone() *View {
	return &View{Revision: v.Revision, Targets: maps.Clone(v.Targets), Tables: maps.Clone(v.Tables)}
}

// WithTarget returns the view with the record in place of an older one.
func (v *View) WithTarget(t *Target) *View {
	clone := v.Clone()
	if old := clone.Targets[t.Host]; old == nil || old.Version < t.Version {
		clone.Targets[t.Host] = t
	}
	return clone
}

// LatestVersion is the highest version of any part of the view. A view with a higher stamp is newer.
func (v *View) LatestVersion() uint64 {
	latest := uint64(0)
	for _, t := range v.Targets {
		latest = max(latest, t.Version)
	}
	for _, t := range v.Tables {
		latest = max(latest, t.Version)
	}
	return latest
}

// Since returns the parts of the view that are newer than the stamp. Merged into a view with that stamp, they bring it up
// to date but for deletions, which only a whole view shows.
func (v *View) Since(version uint64) *View {
	return &View{Targets: newerThan(v.Targets, version), Tables: newerThan(v.Tables, version)}
}

// Merge returns the newest state of both views. An object that only one of them has counts as deleted if the other
// reflects a later revision.
func (v *View) Merge(other *View) *View {
	return &View{
		Revision: max(v.Revision, other.Revision),
		Targets:  merge(v.Targets, other.Targets, v.Revision, other.Revision),
		Tables:   merge(v.Tables, other.Tables, v.Revision, other.Revision),
	}
}

// versioned is an object of the store with its version.
type versioned interface{ version() uint64 }

func (t *Target) version() uint64 { return t.Version }
func (t *Table) version() uint64  { return t.Version }

func newerThan[T versioned](objects map[string]T, version uint64) map[string]T {
	newer := map[string]T{}
	for name, o := range objects {
		if o.version() > version {
			newer[name] = o
		}
	}
	return newer
}

// merge returns the newest of each object of two views at their revisions.
func merge[T versioned](a, b map[string]T, aRevision, bRevision uint64) map[string]T {
	merged := newest(a, b, bRevision)
	maps.Copy(merged, newest(b, a, aRevision))
	return merged
}

// newest returns the objects that the others have in no newer version and, where the others lack them, have not deleted.
func newest[T versioned](objects, others map[string]T, othersRevision uint64) map[string]T {
	kept := map[string]T{}
	for name, o := range objects {
		other, known := others[name]
		if known && o.version() >= other.version() || !known && o.version() > othersRevision {
			kept[name] = o
		}
	}
	return kept
}

// TargetName returns the object name of a host's record.
func TargetName(host string) string { return targetPrefix + host }

// TableName returns the object name of a service's table.
func TableName(service string) string { return keysPrefix + service }

// Apply puts a changed object into the view. A malformed object is an error and changes nothing.
func (v *View) Apply(c store.Change) error {
	if host, ok := strings.CutPrefix(c.Name, targetPrefix); ok {
		return apply(v.Targets, host, c, DecodeTarget)
	}
	if service, ok := strings.CutPrefix(c.Name, keysPrefix); ok {
		return apply(v.Tables, service, c, decodeTable)
	}
	return errs.New(errs.Invalid, "Delete the object.", "fleet: object %q is of no known kind", c.Name)
}

func apply[T versioned](objects map[string]T, name string, c store.Change, decode func(store.Object) (T, error)) error {
	if old, known := objects[name]; known && old.version() >= c.Version {
		return nil
	}
	if c.Deleted {
		delete(objects, name)
		return nil
	}
	next, err := decode(c.Object)
	if err != nil {
		return err
	}
	objects[name] = next
	return nil
}

func decodeTable(o store.Object) (*Table, error) {
	t, err := keyspace.Decode(o.Value)
	if err != nil {
		return nil, err
	}
	return &Table{Table: *t, Version: o.Version}, nil
}

// DecodeTarget reads a record.
func DecodeTarget(o store.Object) (*Target, error) {
	t := &Target{}
	if err := json.Unmarshal(o.Value, t); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Check which program wrote the record.", "fleet: record %q", o.Name)
	}
	if TargetName(t.Host) != o.Name || t.Relay == "" || t.Service == "" || t.Term == 0 {
		return nil, errs.New(errs.Invalid, "Check which program wrote the record.", "fleet: record %q is incomplete", o.Name)
	}
	t.Version = o.Version
	return t, nil
}

// Encode writes a record.
func (t *Target) Encode() []byte {
	c := *t
	c.Version = 0
	return mustEncode(c)
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("fleet: a message can't be encoded: " + err.Error()) // The types have only numbers and texts.
	}
	return data
}

// CoordinatorRecord is the record of the coordinator.
type CoordinatorRecord struct {
	Host string `json:"host"`
	// Epoch counts the changes of the coordinator.
	Epoch uint64 `json:"round"`
	// Resigned says that the host acts as the coordinator no more, and that no earlier one can.
	Resigned bool `json:"resigned,omitempty"`
}

// Encode writes the record.
func (r CoordinatorRecord) Encode() []byte { return mustEncode(r) }
