// Package config defines the numbered configuration that operators patch: its
// document, the validation of a document as a whole, merge patches and the
// matching of requests to rules. It performs no I/O.
package config

import (
	"encoding/json"
	"time"
)

// Versioned is the value of the configuration object.
type Versioned struct {
	// Number counts accepted patches. Operators patch against it.
	Number uint64 `json:"number"`
	// Attempts holds the identities of the last accepted patches, newest last.
	Attempts []Attempt `json:"attempts,omitempty"`
	Document Document  `json:"document"`
}

// Attempt records an accepted patch.
type Attempt struct {
	Identity string    `json:"identity"`
	Number   uint64    `json:"number"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
}

// Document is what operators write.
type Document struct {
	AvailabilityZones map[string]AvailabilityZone `json:"availability_zones,omitempty"`
	Services          map[string]Service          `json:"services,omitempty"`
	Rules             []Rule                      `json:"rules,omitempty"`
}

// ZoneState says whether an availability zone takes new work.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is the configuration of an availability zone.
type AvailabilityZone struct {
	State ZoneState `json:"state"`
}

// ServiceKind says whether the keys of a service have owners.
type ServiceKind string

// The kinds of service.
const (
	// Keyed services have one owner for each key.
	Keyed ServiceKind = "keyed"
	// Pooled services may be answered by any of their targets.
	Pooled ServiceKind = "pooled"
)

// Service is the configuration of a service.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Slices is the number of slices of a keyed service. It can't be changed.
	Slices int `json:"slices,omitempty"`
	// MaxRequest is the longest time that a request may run at a target.
	MaxRequest Duration `json:"max_request,omitempty"`
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// IdentityRetention is how long the identity of a non-idempotent request is remembered.
	IdentityRetention Duration  `json:"identity_retention,omitempty"`
	ColdStart         ColdStart `json:"cold_start,omitzero"`
	// Hedge allows a second copy of slow idempotent requests of a pooled service.
	Hedge bool `json:"hedge,omitempty"`
}

// ColdStart says what a target of the service bears after it started.
type ColdStart struct {
	// Concurrency is the number of requests that a cold target bears at once.
	Concurrency int `json:"concurrency,omitempty"`
	// Ramp is the time from cold to warm under load.
	Ramp Duration `json:"ramp,omitempty"`
}

// Priority orders requests at a target that is busy.
type Priority string

// The priorities, highest first.
const (
	Internal    Priority = "internal"
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// Rule routes the requests below a path prefix to a service.
type Rule struct {
	// Prefix matches a path that equals it, or starts with it followed by a slash. The longest prefix wins.
	Prefix   string    `json:"prefix"`
	Service  string    `json:"service"`
	Key      KeySource `json:"key,omitzero"`
	Priority Priority  `json:"priority,omitempty"`
}

// KeySource says where a request carries its key. Exactly one field is set.
type KeySource struct {
	// PathSegment counts the segments after the prefix from 1.
	PathSegment int    `json:"path_segment,omitempty"`
	Header      string `json:"header,omitempty"`
	Query       string `json:"query,omitempty"`
}

// IsZero reports whether no source is set.
func (k KeySource) IsZero() bool { return k == KeySource{} }

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a duration from text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
