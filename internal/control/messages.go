package control

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/control/plan"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/lease"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/wire"
)

// Event is something that the decision function reacts to.
type Event interface{ isEvent() }

// The events.
type (
	// Tick tells that time has passed.
	Tick struct{}
	// ViewChanged brings a newer view of the stored objects.
	ViewChanged struct{ View *cluster.View }
	// GrantReceived is the answer of a grantor to a renewal.
	GrantReceived struct {
		Holder, Grantor cluster.NodeID
		Sequence        uint64
	}
	// TargetChanged says that this host's target is new, changed, leaving, lost (Down) or back.
	TargetChanged struct {
		Target  cluster.TargetInfo
		Leaving bool
	}
	// ReadDone is the outcome of Read.
	ReadDone struct {
		Key    Key
		Object store.Object
		Err    error
	}
	// WriteDone is the outcome of Write.
	WriteDone struct {
		Write   Write
		Version uint64
		Err     error
	}
	// VoteReceived is the answer of a grantor to RequestVote.
	VoteReceived struct {
		Holder, Grantor cluster.NodeID
		Vote            lease.Vote
	}
	// HandoverSent is the outcome of StartHandover.
	HandoverSent struct {
		Move Move
		Err  error
	}
	// IdentitiesImported tells that another node sent the identity records of a slice.
	IdentitiesImported struct {
		Slice       cluster.SliceID
		Epoch       uint64
		TakeoverAge time.Duration
	}
	// DrainRequested starts the graceful stop.
	DrainRequested struct{}
	// LeaveRequested ends the lease and the registration for good.
	LeaveRequested struct{}
)

func (Tick) isEvent()               {}
func (ViewChanged) isEvent()        {}
func (GrantReceived) isEvent()      {}
func (TargetChanged) isEvent()      {}
func (ReadDone) isEvent()           {}
func (WriteDone) isEvent()          {}
func (VoteReceived) isEvent()       {}
func (HandoverSent) isEvent()       {}
func (IdentitiesImported) isEvent() {}
func (DrainRequested) isEvent()     {}
func (LeaveRequested) isEvent()     {}

// Action is something that the loop does for the decision function.
type Action interface{ isAction() }

// Purpose says why an object is written.
type Purpose string

// The purposes.
const (
	Register Purpose = "register"
	Update   Purpose = "update"
	Resign   Purpose = "resign"
	Revoke   Purpose = "revoke"
	Handover Purpose = "handover"
	Planned  Purpose = "planned"
)

// Key names an object.
type Key struct{ Kind, Name string }

// Move is the handover of one slice at one epoch.
type Move struct {
	Slice cluster.SliceID
	Epoch uint64
	To    cluster.NodeID
}

// The actions. None blocks the control goroutine; outcomes arrive as events.
type (
	// Publish replaces the snapshot that traffic reads.
	Publish struct{ Snapshot *routing.Snapshot }
	// SetLease publishes the end of the lease.
	SetLease struct{ End clock.Instant }
	// Renew sends a renewal.
	Renew struct {
		Address string
		Renewal *wire.Renewal
	}
	// Read reads an object from the platform.
	Read struct{ Key Key }
	// Write is a conditional write to the platform.
	Write struct {
		plan.Write
		Purpose Purpose
	}
	// RequestVote asks a grantor to give up a holder.
	RequestVote struct {
		Address                    string
		Holder, Grantor, Candidate cluster.NodeID
	}
	// StartHandover waits until nothing runs in the slice and sends its identity records.
	StartHandover struct {
		Move        Move
		Address     string
		TakeoverAge time.Duration
	}
	// StopHandover abandons StartHandover.
	StopHandover struct{ Slice cluster.SliceID }
	// Feed hands a change to the replica ahead of the watch.
	Feed struct{ Change store.Change }
	// Notify sends a change to the nodes that have to act on it.
	Notify struct {
		Addresses []string
		Change    store.Change
	}
	// Log writes a log event about a node or a slice.
	Log struct {
		Event   event.Event
		Subject string
		Err     error
	}
	// Finished tells that the node has left.
	Finished struct{}
)

func (Publish) isAction()       {}
func (SetLease) isAction()      {}
func (Renew) isAction()         {}
func (Read) isAction()          {}
func (Write) isAction()         {}
func (RequestVote) isAction()   {}
func (StartHandover) isAction() {}
func (StopHandover) isAction()  {}
func (Feed) isAction()          {}
func (Notify) isAction()        {}
func (Log) isAction()           {}
func (Finished) isAction()      {}

// key returns the key of the object that is written.
func (w Write) key() Key { return Key{Kind: w.Kind, Name: w.Name} }
