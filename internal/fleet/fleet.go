// Package fleet defines the data that nodes exchange about the fleet: the records in the store, the view that the
// coordinator distributes, and the messages of its polls. It performs no I/O.
package fleet

import (
	"encoding/json"
	"maps"
	"net/netip"
	"strings"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/internal/store"
)

// Kinds and names of the objects that nodes, not operators, write to the store.
const (
	Kind            = "citronvane"
	CoordinatorKind = "citronvane-lead"
	CoordinatorName = "coordinator"
	targetPrefix    = "target."
	keysPrefix      = "keys."
)

// Limits of numbers in records that are read from the store.
const (
	// MaxNumber is the highest term, epoch or fencing token of a valid record. Higher ones, which only another program writes, could not be
	// increased any more.
	MaxNumber = 1 << 53
	// maxSlots is the highest number of slots of a valid record.
	maxSlots = 1 << 20
)

// State says whether a target accepts requests.
type State string

// The states of a target.
const (
	// Serving means that the target accepts requests.
	Serving State = "serving"
	// Leaving means that the target finishes running requests and accepts no new ones.
	Leaving State = "leaving"
	// Down means that the target is proven to hold no keys under its term.
	Down State = "down"
	// Revoked means that the coordinator has revoked the term. The target may hold keys until its lease expires, at
	// most one lease term later.
	Revoked State = "revoked"
)

// known reports whether the state is one of the named ones.
func (s State) known() bool { return s == Serving || s == Leaving || s == Down || s == Revoked }

// Target is the record of the target on one host. The node on that host writes it, except that the coordinator writes
// a revocation.
type Target struct {
	// Host is the address of the host without a port. The object name of the record contains it.
	Host string `json:"host"`
	// Node is the display name of the node.
	Node     string `json:"node"`
	Relay    string `json:"relay"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	Instance string `json:"instance"`
	// StartTimeMs is the start time of the target in Unix milliseconds, as the target reports it.
	StartTimeMs int64 `json:"born"`
	// Term is increased for each new owner on the host. A record with a term proves that the host holds no keys under
	// lower terms.
	Term  uint64 `json:"term"`
	State State  `json:"state"`
	// Departing means that this incarnation of the target has said that it leaves. It holds in every state: a target
	// whose term was revoked, or which is silent, may still be used again after a restart of its node.
	Departing bool `json:"departing,omitempty"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Version is the version of the record in the store.
	Version uint64 `json:"version,omitempty"`
}

// Owner returns the identity of the target as an owner of keys.
func (t *Target) Owner() keyspace.Owner { return keyspace.Owner{Host: t.Host, Term: t.Term} }

// Leaves reports whether the target has said that it leaves.
func (t *Target) Leaves() bool { return t.Departing || t.State == Leaving }

// Departure returns the departure that the record states. It is only valid if Leaves is true.
func (t *Target) Departure() Departure {
	return Departure{Host: t.Host, Instance: t.Instance, StartTimeMs: t.StartTimeMs}
}

// Departure says that one incarnation of a target leaves.
type Departure struct {
	Host     string `json:"host"`
	Instance string `json:"instance"`
	// StartTimeMs is the start time of the incarnation in Unix milliseconds, 0 if it is not known.
	StartTimeMs int64 `json:"born,omitempty"`
}

// IsZero reports whether the departure names no target.
func (d Departure) IsZero() bool { return d.Instance == "" }

// Names reports whether the departure is that of the incarnation.
func (d Departure) Names(instance string, startTimeMs int64) bool {
	return d.Instance != "" && d.Instance == instance && (d.StartTimeMs == 0 || d.StartTimeMs == startTimeMs)
}

// Table is an assignment table with the version of its object in the store.
type Table struct {
	keyspace.Table
	Version uint64 `json:"version"`
}

// View is the state of the fleet at a revision of the store.
type View struct {
	Revision uint64             `json:"revision"`
	Targets  map[string]*Target `json:"targets"`
	Tables   map[string]*Table  `json:"tables"`
	// Deltas replace tables in a message; see History.
	Deltas map[string]*TableDelta `json:"deltas,omitempty"`
}

// NewView returns an empty view.
func NewView() *View {
	return &View{Targets: map[string]*Target{}, Tables: map[string]*Table{}}
}

// Clone returns a view whose maps can be modified. The records are shared and must not be modified.
func (v *View) Clone() *View {
	return &View{Revision: v.Revision, Targets: maps.Clone(v.Targets), Tables: maps.Clone(v.Tables)}
}

// WithTarget returns a copy of the view that has the record unless the view has a newer version of it.
func (v *View) WithTarget(t *Target) *View {
	clone := v.Clone()
	if old := clone.Targets[t.Host]; old == nil || old.Version < t.Version {
		clone.Targets[t.Host] = t
	}
	return clone
}

// FindRow returns the row of the service's table that has the key. It reports false if there is none, or no table.
func (v *View) FindRow(service string, key int) (keyspace.Row, bool) {
	if t := v.Tables[service]; t != nil {
		return t.Find(key)
	}
	return keyspace.Row{}, false
}

// NewerThan returns the objects of the view of which the node with the versions has an older one, or none.
func (v *View) NewerThan(held *HeldVersions) *View {
	return &View{Targets: later(v.Targets, held.Targets), Tables: later(v.Tables, held.Tables)}
}

func later[T versioned](objects map[string]T, held map[string]uint64) map[string]T {
	newer := map[string]T{}
	for name, o := range objects {
		if held[name] < o.version() {
			newer[name] = o
		}
	}
	return newer
}

// LatestVersion returns the highest version of any object in the view. A view with a higher latest version is newer.
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

// Since returns the objects of the view that are newer than the version. Merging them into a view with that latest
// version brings it up to date, except for deletions, which only a complete view shows.
func (v *View) Since(version uint64) *View {
	return &View{Targets: newerThan(v.Targets, version), Tables: newerThan(v.Tables, version)}
}

// Merge returns the newest version of each object of both views. An object that only one view has counts as deleted
// if its version is of the same era as the revision of the other view and not higher. One of an earlier era was not deleted: the store came back
// from a copy, and nobody has written the object since.
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

// merge returns the newest version of each object in a and b, which were read at the given revisions.
func merge[T versioned](a, b map[string]T, aRevision, bRevision uint64) map[string]T {
	merged := newest(a, b, bRevision)
	maps.Copy(merged, newest(b, a, aRevision))
	return merged
}

// newest returns the objects that are not outdated by the others: no newer version is among the others, and an object
// missing there is newer than their revision or of an earlier era, so it was not deleted.
func newest[T versioned](objects, others map[string]T, othersRevision uint64) map[string]T {
	kept := map[string]T{}
	for name, o := range objects {
		other, known := others[name]
		if known && o.version() >= other.version() || !known && (o.version() > othersRevision || store.Era(o.version()) < store.Era(othersRevision)) {
			kept[name] = o
		}
	}
	return kept
}

// TargetName returns the object name of the target record of a host.
func TargetName(host string) string { return targetPrefix + host }

// TableName returns the object name of the assignment table of a service.
func TableName(service string) string { return keysPrefix + service }

// Apply applies a change of an object to the view. It returns an error and leaves the view unchanged if the object is
// malformed.
func (v *View) Apply(c store.Change) error {
	if host, ok := strings.CutPrefix(c.Name, targetPrefix); ok {
		return apply(v.Targets, host, c, DecodeTarget)
	}
	if service, ok := strings.CutPrefix(c.Name, keysPrefix); ok {
		return apply(v.Tables, service, c, decodeTable)
	}
	if c.Name == QuarantineName {
		return nil // It is no part of the view.
	}
	return errs.New(errs.Invalid, "Delete the object.", "fleet: object %q is neither a target record nor an assignment table", c.Name)
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

// DecodeTarget decodes and validates a target record.
func DecodeTarget(o store.Object) (*Target, error) {
	t := &Target{}
	if err := json.Unmarshal(o.Value, t); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Check which program wrote the record.", "fleet: target record %q can't be decoded", o.Name)
	}
	if TargetName(t.Host) != o.Name || t.Service == "" || t.Term == 0 || !t.State.known() {
		return nil, errs.New(errs.Invalid, "Check which program wrote the record.", "fleet: target record %q is incomplete or its host does not match its name", o.Name)
	}
	if relay, err := netip.ParseAddrPort(t.Relay); err != nil || relay.Port() == 0 || t.Term > MaxNumber || t.Slots < 0 || t.Slots > maxSlots {
		return nil, errs.New(errs.Invalid, "Check which program wrote the record.", "fleet: target record %q has a relay address that is none, or a term or number of slots out of range", o.Name)
	}
	t.Version = o.Version
	return t, nil
}

// Encode returns the JSON encoding of the record without its version, which the store keeps.
func (t *Target) Encode() []byte {
	c := *t
	c.Version = 0
	return mustEncode(c)
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("fleet: a message can't be encoded: " + err.Error()) // The types contain only numbers and strings.
	}
	return data
}

// CoordinatorRecord names the current coordinator in the store.
type CoordinatorRecord struct {
	Host string `json:"host"`
	// Relay is the address for messages to the coordinator.
	Relay string `json:"relay,omitempty"`
	// Epoch increases with each change of the coordinator.
	Epoch uint64 `json:"round"`
	// Resigned means that the host has stopped acting as the coordinator and that no earlier coordinator can still
	// act.
	Resigned bool `json:"resigned,omitempty"`
}

// DecodeCoordinatorRecord decodes and validates the coordinator record.
func DecodeCoordinatorRecord(value []byte) (CoordinatorRecord, error) {
	var r CoordinatorRecord
	err := json.Unmarshal(value, &r)
	if err == nil && (r.Host == "" || r.Epoch > MaxNumber) {
		err = errs.New(errs.Invalid, "Check which program wrote the record.", "the host is missing or epoch %d is out of range", r.Epoch)
	}
	if err != nil {
		return CoordinatorRecord{}, errs.Wrap(err, errs.Invalid, "Check which program wrote the record.", "fleet: the coordinator record can't be decoded")
	}
	return r, nil
}

// Encode returns the JSON encoding of the record.
func (r CoordinatorRecord) Encode() []byte { return mustEncode(r) }
