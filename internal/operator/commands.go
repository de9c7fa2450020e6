package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/store"
)

const (
	// readBackTimeout bounds how long a command tries to learn the outcome of a write whose answer was lost.
	readBackTimeout = 5 * time.Second
	// readBackInterval leaves the platform time to recover between two attempts to read.
	readBackInterval = 200 * time.Millisecond
	// maxZoneAttempts bounds how often a zone command is repeated because other patches came first.
	maxZoneAttempts = 5
)

// Accepted is the answer to an accepted patch.
type Accepted struct {
	Number uint64 `json:"number"`
	// Repeated says that the attempt had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

func (a *API) patchConfiguration(r *http.Request, patch config.Patch) (Accepted, error) {
	accepted, err := a.submit(r.Context(), patch)
	if err != nil {
		event.PatchRefused.On(a.Logger).Str("author", patch.Author).Uint64("base", patch.Base).Err(err).Send()
		return Accepted{}, err
	}
	event.PatchAccepted.On(a.Logger).Str("author", patch.Author).Uint64("number", accepted.Number).Send()
	return accepted, nil
}

// submit applies a patch to the stored configuration. It never repeats a write whose outcome it does
// not know; it reads back whether the attempt was accepted.
func (a *API) submit(ctx context.Context, patch config.Patch) (Accepted, error) {
	stored, version, err := a.readConfiguration(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if number, found := stored.Accepted(patch.Identity); found {
		return Accepted{Number: number, Repeated: true}, nil
	}
	next, err := stored.Apply(patch, time.Now())
	if err != nil {
		return Accepted{}, withNumbers(err, patch.Base, stored.Number)
	}
	if err := checkSlices(a.Table.Load().View, &next.Document); err != nil {
		return Accepted{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Accepted{}, errs.Wrap(err, errs.Internal, "Report this fault.", "encode the configuration")
	}
	written, err := a.Store.Put(ctx, cluster.KindConfiguration, cluster.ConfigurationName, value, version)
	if err == nil {
		a.feed(value, written)
		return Accepted{Number: next.Number}, nil
	}
	if errs.Is(err, errs.Conflict) || errs.Is(err, errs.OutcomeUnknown) {
		return a.settle(ctx, patch, err)
	}
	return Accepted{}, err
}

// checkSlices refuses a keyed service whose name had another number of slices before it was removed:
// its stored assignments, and the epochs in them, belong to other sets of keys.
func checkSlices(view *cluster.View, document *config.Document) error {
	stored := map[string]int{}
	for id, group := range view.Groups {
		stored[id.Service] += len(group.Slices)
	}
	for _, name := range sortedKeys(document.Services) {
		service, count := document.Services[name], stored[name]
		if service.Kind == config.Keyed && count != 0 && count != service.Slices {
			return errs.New(errs.Invalid, "Use the former number of slices, or another name for the service.",
				"services.%s.slices: a service of this name had %d slices, not %d", name, count, service.Slices)
		}
	}
	return nil
}

// settle finds out whether an attempt was accepted although its write did not say so.
func (a *API) settle(ctx context.Context, patch config.Patch, cause error) (Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	for {
		stored, version, err := a.readConfiguration(ctx)
		if err == nil {
			if number, found := stored.Accepted(patch.Identity); found {
				a.feedStored(stored, version)
				return Accepted{Number: number}, nil
			}
			_, err := stored.Apply(patch, time.Now())
			if err != nil {
				return Accepted{}, withNumbers(err, patch.Base, stored.Number)
			}
			// The number is unchanged. A write with an unknown outcome may still arrive, so that only
			// the operator can decide to send the same attempt again.
			return Accepted{}, outcomeUnknown(cause)
		}
		select {
		case <-ctx.Done():
			return Accepted{}, outcomeUnknown(cause)
		case <-time.After(readBackInterval):
		}
	}
}

func outcomeUnknown(cause error) error {
	return errs.Wrap(cause, errs.OutcomeUnknown,
		"Send the same patch again with the same identity; an attempt that was accepted has no second effect.",
		"the platform did not say whether it took the patch")
}

// ZoneCommand sets the state of an availability zone.
type ZoneCommand struct {
	State  config.ZoneState `json:"state"`
	Author string           `json:"author"`
	// Identity is unique to this attempt.
	Identity string `json:"identity"`
	// Force takes the zone out although the others lack slots.
	Force bool `json:"force,omitempty"`
}

// setZoneState patches the state of one zone. Unlike a patch it has no base: it names the one member
// that it sets, so that a patch that came first can't be overwritten by it.
func (a *API) setZoneState(r *http.Request, c ZoneCommand) (Accepted, error) {
	zone := r.PathValue("zone")
	if err := a.checkZone(zone, c); err != nil {
		return Accepted{}, err
	}
	merge, err := json.Marshal(map[string]map[string]config.AvailabilityZone{
		"availability_zones": {zone: {State: c.State}},
	})
	if err != nil {
		return Accepted{}, errs.Wrap(err, errs.Internal, "Report this fault.", "encode the patch")
	}
	var lastErr error
	for range maxZoneAttempts {
		stored, _, err := a.readConfiguration(r.Context())
		if err != nil {
			return Accepted{}, err
		}
		if _, known := stored.Document.AvailabilityZones[zone]; !known {
			return Accepted{}, errs.New(errs.NotFound,
				"Check the name with citronctl status, or create the zone with a patch.",
				"availability zone %q is not configured", zone)
		}
		patch := config.Patch{Base: stored.Number, Identity: c.Identity, Author: c.Author, Merge: merge}
		accepted, err := a.patchConfiguration(r, patch)
		if !errs.Is(err, errs.Conflict) {
			return accepted, err
		}
		lastErr = err
	}
	return Accepted{}, lastErr
}

func (a *API) checkZone(zone string, c ZoneCommand) error {
	if c.State != config.ZoneOut || c.Force || a.Capacity == nil {
		return nil
	}
	shortages := a.Capacity(a.Table.Load().View, zone)
	if len(shortages) == 0 {
		return nil
	}
	err := errs.New(errs.Conflict, "Add targets in other zones, or repeat with --force if less capacity is acceptable.",
		"the other availability zones lack slots without %q", zone)
	return &failureError{error: err, failure: Failure{Shortages: shortages}}
}

// RevokeCommand declares that a host is off, so that its node can't be serving.
type RevokeCommand struct {
	HostIsOff bool   `json:"host_is_off"`
	Author    string `json:"author"`
}

// Revoked is the answer to a revocation.
type Revoked struct {
	Node cluster.NodeID `json:"node"`
}

func (a *API) revokeNode(r *http.Request, c RevokeCommand) (Revoked, error) {
	if !c.HostIsOff {
		return Revoked{}, errs.New(errs.Invalid, "Make sure that the host is off or its process has ended, then repeat with --host-is-off.",
			"a node is revoked by command only if its host is off")
	}
	name := r.PathValue("node")
	object, err := a.Store.Get(r.Context(), cluster.KindNode, name)
	if err != nil {
		return Revoked{}, err
	}
	var node cluster.Node
	if err := json.Unmarshal(object.Value, &node); err != nil {
		return Revoked{}, errs.Wrap(err, errs.Invalid, "Inspect the object in the platform.", "decode the record of node %s", name)
	}
	node.State = cluster.Revoked
	node.RevokedBy = "operator " + c.Author
	value, err := json.Marshal(&node)
	if err != nil {
		return Revoked{}, errs.Wrap(err, errs.Internal, "Report this fault.", "encode the record of node %s", name)
	}
	version, err := a.Store.Put(r.Context(), cluster.KindNode, name, value, object.Version)
	if err != nil {
		return Revoked{}, err
	}
	a.Replica.Feed(store.Change{Object: store.Object{Kind: cluster.KindNode, Name: name, Version: version, Value: value}})
	event.NodeRevokedByOperator.On(a.Logger).Str("node", node.ID.String()).Str("author", c.Author).Send()
	return Revoked{Node: node.ID}, nil
}

// readConfiguration reads the stored configuration; before the first patch it is empty with version 0.
func (a *API) readConfiguration(ctx context.Context) (*config.Versioned, uint64, error) {
	object, err := a.Store.Get(ctx, cluster.KindConfiguration, cluster.ConfigurationName)
	if errs.Is(err, errs.NotFound) {
		return &config.Versioned{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	stored := &config.Versioned{}
	if err := json.Unmarshal(object.Value, stored); err != nil {
		return nil, 0, errs.Wrap(err, errs.Invalid, "Inspect the object in the platform.", "decode the stored configuration")
	}
	return stored, object.Version, nil
}

func (a *API) feedStored(stored *config.Versioned, version uint64) {
	if value, err := json.Marshal(stored); err == nil {
		a.feed(value, version)
	}
}

func (a *API) feed(value []byte, version uint64) {
	a.Replica.Feed(store.Change{Object: store.Object{
		Kind:    cluster.KindConfiguration,
		Name:    cluster.ConfigurationName,
		Version: version,
		Value:   value,
	}})
}

// withNumbers adds both numbers to the refusal of a stale patch.
func withNumbers(err error, base, current uint64) error {
	if !errs.Is(err, errs.Conflict) {
		return err
	}
	return &failureError{error: err, failure: Failure{Base: &base, Current: &current}}
}

func detailsOf(err error) Failure {
	var detailed *failureError
	if errors.As(err, &detailed) {
		return detailed.failure
	}
	return Failure{}
}
