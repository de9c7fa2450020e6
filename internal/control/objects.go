package control

import (
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/store"
)

const zoneOut = config.ZoneOut

const (
	// firstRetry and longestRetry bound the jittered waits between calls about one object.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 10 * time.Second

	// maxNotified bounds the nodes that are told of a write; all others follow the platform or a peer.
	maxNotified = 8
)

// object is what control knows about its calls for one object of the platform.
type object struct {
	// busy says that a call is under way.
	busy bool
	// mustRead says that the content is uncertain and has to be read before anything else.
	mustRead bool
	// written is the version of the last own write; the view may not include it yet.
	written uint64
	retryAt clock.Instant
	retry   *backoff.ExponentialBackOff
}

func (s *state) object(key Key) *object {
	o := s.objects[key]
	if o == nil {
		retry := backoff.NewExponentialBackOff()
		retry.InitialInterval = firstRetry
		retry.MaxInterval = longestRetry
		retry.Multiplier = 2
		// The wait is anything between nothing and twice the interval, so that nodes spread out.
		retry.RandomizationFactor = 1
		o = &object{retry: retry}
		s.objects[key] = o
	}
	return o
}

// idle reports whether a call about the object may start now.
func (s *state) idle(key Key) bool {
	o := s.objects[key]
	return o == nil || !o.busy && s.now >= o.retryAt
}

// ready reports whether the view is good enough to write the object.
func (s *state) ready(key Key) bool {
	o := s.objects[key]
	return s.idle(key) && (o == nil || !o.mustRead && s.viewVersion(key) >= o.written)
}

func (s *state) viewVersion(key Key) uint64 {
	switch key.Kind {
	case cluster.KindNode:
		if n := s.view.Nodes[key.Name]; n != nil {
			return n.Version
		}
	case cluster.KindSlices:
		id, _ := cluster.ParseGroupID(key.Name)
		if g := s.view.Groups[id]; g != nil {
			return g.Version
		}
	case cluster.KindConfiguration:
		return s.view.ConfigurationVersion
	}
	return 0
}

func (s *state) read(key Key) {
	s.object(key).busy = true
	s.do(Read{Key: key})
}

func (s *state) write(w Write) {
	s.object(w.key()).busy = true
	s.do(w)
}

func (s *state) retryReads() {
	for key, o := range s.objects {
		if o.mustRead && s.idle(key) {
			s.read(key)
		}
	}
}

func (s *state) failed(o *object, key Key, err error) {
	o.retryAt = s.now.Add(o.retry.NextBackOff())
	s.do(Log{Event: event.PlatformFailed, Subject: key.Kind + "/" + key.Name, Err: err})
}

func (s *state) readDone(e ReadDone) {
	o := s.object(e.Key)
	o.busy = false
	missing := errs.Is(e.Err, errs.NotFound)
	if e.Err != nil && !missing {
		s.failed(o, e.Key, e.Err)
		return
	}
	o.mustRead = false
	o.retry.Reset()
	if missing {
		o.written = 0
	} else {
		s.do(Feed{Change: store.Change{Object: e.Object}})
	}
	if e.Key.Kind == cluster.KindNode {
		s.nodeRead(e, missing)
	}
}

func (s *state) nodeRead(e ReadDone, missing bool) {
	var record *cluster.Node
	if !missing {
		var ok bool
		if record, ok = decodeNode(e.Object.Value, e.Object.Version); !ok {
			s.failed(s.object(e.Key), e.Key, errs.New(errs.Invalid, "Delete the node record.", "node record is malformed"))
			return
		}
	}
	if e.Key == s.ownKey() {
		s.setOwn(record, e.Object.Version)
		s.own.readAt = s.now
		return
	}
	s.recordRead(e.Key.Name, record)
}

func (s *state) writeDone(e WriteDone) {
	o := s.object(e.Write.key())
	o.busy = false
	switch errs.KindOf(e.Err) {
	case "":
		o.retry.Reset()
		s.written(o, e)
	case errs.Unavailable, errs.RateLimited:
		s.failed(o, e.Write.key(), e.Err)
		s.rejectOwn(e)
	case errs.Conflict:
		o.mustRead = true
	default:
		o.mustRead = true
		s.do(Log{Event: event.PlatformFailed, Subject: e.Write.Kind + "/" + e.Write.Name, Err: e.Err})
	}
}

func (s *state) written(o *object, e WriteDone) {
	if e.Write.Value == nil {
		// A deletion has no version that could be fed back; the watch brings it.
		return
	}
	o.written = e.Version
	change := store.Change{Object: store.Object{
		Kind: e.Write.Kind, Name: e.Write.Name, Version: e.Version, Value: e.Write.Value,
	}}
	s.do(Feed{Change: change})
	if e.Write.Kind != cluster.KindNode {
		s.notifyOwners(change)
		return
	}
	record, _ := decodeNode(e.Write.Value, e.Version)
	s.notifyCoordinators(record, change)
	if e.Write.Purpose == Revoke {
		delete(s.revocations, record.ID)
		s.do(Log{Event: event.HolderRevoked, Subject: record.ID.String()})
	}
	if e.Write.key() == s.ownKey() {
		s.setOwn(record, e.Version)
		s.own.readAt = s.now
	}
}

// rejectOwn takes back the sets of grantors of a write that had no effect.
func (s *state) rejectOwn(e WriteDone) {
	if e.Write.key() == s.ownKey() && s.holder != nil {
		s.holder.Reject(e.Write.Expect)
	}
}

// notifyCoordinators tells the nodes that may have to take slices over, the node itself and its grantors.
func (s *state) notifyCoordinators(record *cluster.Node, change store.Change) {
	names := s.view.LiveNames()
	names = append(names[:min(3, len(names)):min(3, len(names))], record.ID.Name)
	for _, id := range record.Grantors {
		names = append(names, id.Name)
	}
	s.notify(names, change)
}

// notifyOwners tells the nodes that gained a slice by a write.
func (s *state) notifyOwners(change store.Change) {
	id, ok := cluster.ParseGroupID(change.Name)
	group := &cluster.Group{}
	if !ok || json.Unmarshal(change.Value, group) != nil {
		return
	}
	var before []cluster.Slice
	if held := s.view.Groups[id]; held != nil {
		before = held.Slices
	}
	var names []string
	for i, slice := range group.Slices {
		if i >= len(before) || before[i].Owner != slice.Owner || before[i].Next != slice.Next {
			names = append(names, slice.Owner.Name)
		}
	}
	s.notify(names, change)
}

func (s *state) notify(names []string, change store.Change) {
	var addresses []string
	seen := map[string]bool{s.me.Name: true}
	for _, name := range names {
		n := s.view.Nodes[name]
		if seen[name] || n == nil || n.Addresses.Control == "" || len(addresses) >= maxNotified {
			continue
		}
		seen[name] = true
		addresses = append(addresses, n.Addresses.Control)
	}
	if len(addresses) > 0 {
		s.do(Notify{Addresses: addresses, Change: change})
	}
}

func decodeNode(value []byte, version uint64) (*cluster.Node, bool) {
	record := &cluster.Node{}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, false
	}
	record.Version = version
	return record, true
}

func encode(value any) []byte {
	// The types of package cluster always encode.
	data, _ := json.Marshal(value)
	return data
}
