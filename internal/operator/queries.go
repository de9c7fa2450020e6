package operator

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// statusTimeout bounds how long a status query waits for each node.
	statusTimeout = time.Second
	// maxStatusCalls bounds the calls to other nodes that a status query makes at once.
	maxStatusCalls = 32
)

func (a *API) getConfiguration(*http.Request) (*config.Versioned, error) {
	return a.Table.Load().View.Configuration, nil
}

// Status is what the asked node knows about the fleet.
type Status struct {
	Node          cluster.NodeID                     `json:"node"`
	Revision      uint64                             `json:"revision"`
	Configuration uint64                             `json:"configuration"`
	LeaseValidMS  int64                              `json:"lease_valid_ms"`
	Nodes         []NodeStatus                       `json:"nodes"`
	Zones         map[string]config.AvailabilityZone `json:"availability_zones"`
	Services      []ServiceStatus                    `json:"services"`
}

// NodeStatus is a node by its record, and by its own answer if it gave one.
type NodeStatus struct {
	ID               cluster.NodeID    `json:"id"`
	State            cluster.NodeState `json:"state"`
	AvailabilityZone string            `json:"availability_zone"`
	Service          string            `json:"service,omitempty"`
	TargetDown       bool              `json:"target_down,omitempty"`
	Slices           int               `json:"slices"`
	Grantors         []string          `json:"grantors"`
	// Reached says that the node answered; the fields below are its own word.
	Reached       bool   `json:"reached"`
	Configuration uint64 `json:"configuration,omitempty"`
	LeaseValid    bool   `json:"lease_valid,omitempty"`
	Version       string `json:"version,omitempty"`
}

// ServiceStatus counts the slices of a keyed service.
type ServiceStatus struct {
	Service   string `json:"service"`
	Slices    int    `json:"slices"`
	Unowned   int    `json:"unowned"`
	Moving    int    `json:"moving"`
	MostSlice int    `json:"most_slices_of_a_node"`
}

func (a *API) getStatus(r *http.Request) (*Status, error) {
	snapshot := a.Table.Load()
	view := snapshot.View
	status := &Status{
		Node:          snapshot.Self,
		Revision:      view.Revision,
		Configuration: view.Configuration.Number,
		LeaseValidMS:  max(0, a.Lease.End().Sub(a.Clock.Now()).Milliseconds()),
		Zones:         view.Configuration.Document.AvailabilityZones,
		Services:      serviceStatus(view),
	}
	owned := slicesByOwner(view)
	for _, node := range view.SortedNodes() {
		status.Nodes = append(status.Nodes, nodeStatus(node, owned[node.ID]))
	}
	a.askNodes(r.Context(), view, status.Nodes)
	return status, nil
}

func nodeStatus(node *cluster.Node, owned int) NodeStatus {
	s := NodeStatus{
		ID:               node.ID,
		State:            node.State,
		AvailabilityZone: node.Location.AvailabilityZone,
		Service:          node.Target.Service,
		TargetDown:       node.Target.Down,
		Slices:           owned,
		Grantors:         []string{},
	}
	for _, g := range node.Grantors {
		s.Grantors = append(s.Grantors, g.String())
	}
	return s
}

// askNodes fills in what each live node says about itself.
func (a *API) askNodes(ctx context.Context, view *cluster.View, nodes []NodeStatus) {
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	for i := range nodes {
		node := view.Node(nodes[i].ID)
		if node == nil || node.Gone() {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			if answer, err := a.Peers.Status(ctx, node.Addresses.Control); err == nil {
				nodes[i].fill(answer)
			}
			return nil // A node that does not answer is shown as not reached.
		})
	}
	_ = group.Wait()
}

func (s *NodeStatus) fill(answer *wire.StatusResponse) {
	s.Reached = answer.GetNode().GetIncarnation() == s.ID.Incarnation
	s.Configuration = answer.GetConfiguration()
	s.LeaseValid = answer.GetLeaseValid()
	s.Version = answer.GetVersion()
}

func slicesByOwner(view *cluster.View) map[cluster.NodeID]int {
	owned := map[cluster.NodeID]int{}
	for _, group := range view.Groups {
		for i := range group.Slices {
			owned[group.Slices[i].Owner]++
		}
	}
	return owned
}

func serviceStatus(view *cluster.View) []ServiceStatus {
	byService := map[string]*ServiceStatus{}
	perNode := map[string]map[cluster.NodeID]int{}
	for id, group := range view.Groups {
		s := byService[id.Service]
		if s == nil {
			s = &ServiceStatus{Service: id.Service}
			byService[id.Service] = s
			perNode[id.Service] = map[cluster.NodeID]int{}
		}
		for i := range group.Slices {
			s.count(&group.Slices[i], view, perNode[id.Service])
		}
	}
	services := make([]ServiceStatus, 0, len(byService))
	for _, name := range sortedKeys(byService) {
		services = append(services, *byService[name])
	}
	return services
}

func (s *ServiceStatus) count(slice *cluster.Slice, view *cluster.View, perNode map[cluster.NodeID]int) {
	s.Slices++
	owner := view.Node(slice.Owner)
	if owner == nil || owner.Gone() {
		s.Unowned++
		return
	}
	if !slice.Next.IsZero() {
		s.Moving++
	}
	perNode[slice.Owner]++
	s.MostSlice = max(s.MostSlice, perNode[slice.Owner])
}

// Explanation says who owns a key and why.
type Explanation struct {
	Service  string              `json:"service"`
	Kind     config.ServiceKind  `json:"kind"`
	Key      string              `json:"key,omitempty"`
	Slice    int                 `json:"slice"`
	Owner    *cluster.NodeID     `json:"owner,omitempty"`
	Epoch    uint64              `json:"epoch,omitempty"`
	Next     *cluster.NodeID     `json:"next,omitempty"`
	Reason   string              `json:"reason"`
	Target   *cluster.TargetInfo `json:"target,omitempty"`
	Revision uint64              `json:"revision"`
	// SinceVersion is the platform revision at which the group of the slice was last written.
	SinceVersion uint64 `json:"since_version,omitempty"`
	// RecordEpoch is the first epoch whose identity records were handed on without loss.
	RecordEpoch uint64 `json:"record_epoch,omitempty"`
}

func (a *API) explain(r *http.Request) (*Explanation, error) {
	name, key := r.URL.Query().Get("service"), r.URL.Query().Get("key")
	view := a.Table.Load().View
	service, known := view.Configuration.Document.Services[name]
	if !known {
		return nil, errs.New(errs.NotFound, "Check the name with citronctl config get.", "service %q is not configured", name)
	}
	e := &Explanation{Service: name, Kind: service.Kind, Key: key, Revision: view.Revision}
	if service.Kind == config.Pooled {
		e.Reason = "the service is pooled: any of its targets may answer"
		return e, nil
	}
	if key == "" {
		return nil, errs.New(errs.Invalid, "Name the key.", "service %q is keyed and needs a key", name)
	}
	e.describe(view, cluster.SliceOf(name, key, service.Slices))
	return e, nil
}

func (e *Explanation) describe(view *cluster.View, id cluster.SliceID) {
	e.Slice = id.Index
	slice, assigned := view.Slice(id)
	if !assigned || slice.Owner.IsZero() {
		e.Reason = "the slice has never been assigned: no live target of the service was known"
		return
	}
	e.Owner = &slice.Owner
	e.Epoch = slice.Epoch
	e.RecordEpoch = slice.RecordEpoch
	e.SinceVersion = view.Groups[id.Group()].Version
	owner := view.Node(slice.Owner)
	switch {
	case owner == nil:
		e.Reason = "the owner was replaced by a new incarnation; the slice waits for a takeover"
	case owner.Gone():
		e.Reason = "the owner is " + string(owner.State) + "; the slice waits for a takeover"
	case !slice.Next.IsZero():
		e.Next = &slice.Next
		e.Target = &owner.Target
		e.Reason = "the owner hands the slice over to the next owner"
	case slice.RecordEpoch == slice.Epoch:
		e.Target = &owner.Target
		e.Reason = "the owner got the slice by its first assignment or by a takeover"
	default:
		e.Target = &owner.Target
		e.Reason = "the owner got the slice by a planned handover"
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
