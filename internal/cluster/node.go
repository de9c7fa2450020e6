// Package cluster defines the objects that nodes keep in the platform's object
// API, and the immutable View that a node has of them. It performs no I/O.
package cluster

import "fmt"

// Kinds of object in the platform's object API.
const (
	KindConfiguration = "configuration"
	KindNode          = "node"
	KindSlices        = "slices"
)

// ConfigurationName is the name of the only object of KindConfiguration.
const ConfigurationName = "current"

// NodeState is the state of a node record.
type NodeState string

// The states of a node record. A record in state Left or Revoked never returns
// to another state under the same incarnation.
const (
	Live     NodeState = "live"
	Draining NodeState = "draining"
	Left     NodeState = "left"
	Revoked  NodeState = "revoked"
)

// NodeID names one incarnation of a node.
type NodeID struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// String returns name#incarnation.
func (n NodeID) String() string { return fmt.Sprintf("%s#%d", n.Name, n.Incarnation) }

// IsZero reports whether n names no node.
func (n NodeID) IsZero() bool { return n == NodeID{} }

// Location says where a host stands. Grantors are spread by it.
type Location struct {
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
}

// Addresses are the host:port addresses of a node.
type Addresses struct {
	Callers   string `json:"callers"`
	Relay     string `json:"relay"`
	Heartbeat string `json:"heartbeat"`
	Control   string `json:"control"`
	Operators string `json:"operators"`
}

// TargetInfo is what a target announced about itself.
type TargetInfo struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Fenced says that the target refuses requests outside its grant.
	Fenced      bool `json:"fenced"`
	Slots       int  `json:"slots"`
	Connections int  `json:"connections"`
	// Down says that the node has not heard from the target within its time limit.
	Down bool `json:"down,omitempty"`
}

// Node is the record of a node: the value of an object of KindNode.
type Node struct {
	ID        NodeID     `json:"id"`
	State     NodeState  `json:"state"`
	Location  Location   `json:"location"`
	Addresses Addresses  `json:"addresses"`
	Target    TargetInfo `json:"target"`
	// Grantors renew the lease of the node. An empty set means that the lease never runs out.
	Grantors []NodeID `json:"grantors,omitempty"`
	// NextGrantors is the set that is about to replace Grantors; until it does, a majority of both is needed.
	NextGrantors []NodeID `json:"next_grantors,omitempty"`
	// RevokedBy is the node or operator that revoked the record.
	RevokedBy string `json:"revoked_by,omitempty"`

	// Version is the version of the object that held this record. It is not part of the value.
	Version uint64 `json:"-"`
}

// Serves reports whether the node may own slices or get pooled work of the service.
func (n *Node) Serves(service string) bool {
	return n.State == Live && n.Target.Service == service && !n.Target.Down
}

// Gone reports whether the incarnation in the record will never serve again.
func (n *Node) Gone() bool { return n.State == Left || n.State == Revoked }

// Clone returns a copy that shares no memory with n.
func (n *Node) Clone() *Node {
	c := *n
	c.Grantors = append([]NodeID(nil), n.Grantors...)
	c.NextGrantors = append([]NodeID(nil), n.NextGrantors...)
	return &c
}
