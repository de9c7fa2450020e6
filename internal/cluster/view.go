package cluster

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

// View is an immutable copy of all stored objects as one node knows them.
type View struct {
	// Revision is the highest platform revision that the view includes.
	Revision uint64
	// Configuration is never nil; its Number is 0 before the first one is stored.
	Configuration *config.Versioned
	// ConfigurationVersion is the object version of the configuration, 0 if there is none.
	ConfigurationVersion uint64
	// Nodes holds the node records by node name.
	Nodes map[string]*Node
	// Groups holds the slice groups.
	Groups map[GroupID]*Group
}

// EmptyView returns the view of a node that has not learned anything yet.
func EmptyView() *View {
	return &View{
		Configuration: &config.Versioned{},
		Nodes:         map[string]*Node{},
		Groups:        map[GroupID]*Group{},
	}
}

// Slice returns the assignment of a slice. It returns false if the slice was never assigned.
func (v *View) Slice(id SliceID) (Slice, bool) {
	group := v.Groups[id.Group()]
	if group == nil {
		return Slice{}, false
	}
	offset := id.Index % GroupSize
	if offset >= len(group.Slices) {
		return Slice{}, false
	}
	return group.Slices[offset], true
}

// Node returns the record of exactly this incarnation, or nil.
func (v *View) Node(id NodeID) *Node {
	n := v.Nodes[id.Name]
	if n == nil || n.ID != id {
		return nil
	}
	return n
}

// LiveNames returns the names of all live and draining nodes in ascending order.
func (v *View) LiveNames() []string {
	var names []string
	for name, n := range v.Nodes {
		if !n.Gone() {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// SortedNodes returns all node records by name.
func (v *View) SortedNodes() []*Node {
	names := slices.Sorted(maps.Keys(v.Nodes))
	nodes := make([]*Node, 0, len(names))
	for _, name := range names {
		nodes = append(nodes, v.Nodes[name])
	}
	return nodes
}

// Apply returns a view with the changes added, and whether anything changed. A change whose version
// is not higher than the one that the view holds is ignored, so that a view never goes back. An
// object that can't be decoded is skipped and reported; the others are applied.
func (v *View) Apply(changes []store.Change, revision uint64) (*View, error) {
	next := &View{
		Revision:             max(v.Revision, revision),
		Configuration:        v.Configuration,
		ConfigurationVersion: v.ConfigurationVersion,
		Nodes:                maps.Clone(v.Nodes),
		Groups:               maps.Clone(v.Groups),
	}
	var failures []error
	for _, c := range changes {
		if err := next.apply(c); err != nil {
			failures = append(failures, err)
		}
	}
	return next, errs.Join(errs.Invalid, "Inspect the object in the platform; another program may have written it.", failures...)
}

func (v *View) apply(c store.Change) error {
	switch c.Kind {
	case KindConfiguration:
		return v.applyConfiguration(c)
	case KindNode:
		return v.applyNode(c)
	case KindSlices:
		return v.applyGroup(c)
	}
	return nil
}

func (v *View) applyConfiguration(c store.Change) error {
	if c.Name != ConfigurationName || c.Deleted || c.Version <= v.ConfigurationVersion {
		return nil
	}
	decoded := &config.Versioned{}
	if err := json.Unmarshal(c.Value, decoded); err != nil {
		return decodeError(c, err)
	}
	v.Configuration = decoded
	v.ConfigurationVersion = c.Version
	return nil
}

func (v *View) applyNode(c store.Change) error {
	held := v.Nodes[c.Name]
	if held != nil && c.Version <= held.Version {
		return nil
	}
	if c.Deleted {
		delete(v.Nodes, c.Name)
		return nil
	}
	decoded := &Node{}
	if err := json.Unmarshal(c.Value, decoded); err != nil {
		return decodeError(c, err)
	}
	decoded.Version = c.Version
	v.Nodes[c.Name] = decoded
	return nil
}

func (v *View) applyGroup(c store.Change) error {
	id, ok := ParseGroupID(c.Name)
	if !ok {
		return errs.New(errs.Invalid, "", "slice group has the malformed name %q", c.Name)
	}
	held := v.Groups[id]
	if c.Deleted || held != nil && c.Version <= held.Version {
		return nil
	}
	decoded := &Group{}
	if err := json.Unmarshal(c.Value, decoded); err != nil {
		return decodeError(c, err)
	}
	if len(decoded.Slices) > GroupSize {
		return errs.New(errs.TooLarge, "", "slice group %s has %d slices, more than %d", id.ObjectName(), len(decoded.Slices), GroupSize)
	}
	decoded.ID = id
	decoded.Version = c.Version
	v.Groups[id] = decoded
	return nil
}

func decodeError(c store.Change, err error) error {
	return errs.Wrap(err, errs.Invalid, "", "decode object %s/%s version %d", c.Kind, c.Name, c.Version)
}
