// Package settings reads the YAML settings of a node. Every error names the
// file, the line, the field and a remedy.
package settings

import (
	"time"

	"github.com/citronvane/citronvane/internal/cluster"
)

// Settings are the settings of one node. docs/settings.md describes each field.
type Settings struct {
	Cluster   Cluster   `yaml:"cluster" validate:"required"`
	Node      Node      `yaml:"node" validate:"required"`
	Listen    Listen    `yaml:"listen" validate:"required"`
	Platform  Platform  `yaml:"platform" validate:"required"`
	Seeds     []string  `yaml:"seeds" validate:"max=16,dive,hostport"`
	Log       Log       `yaml:"log"`
	Telemetry Telemetry `yaml:"telemetry"`
}

// Cluster names the fleet and holds the secret that its nodes share.
type Cluster struct {
	Name   string `yaml:"name" validate:"required,name"`
	Secret string `yaml:"secret" validate:"required,min=16,max=256"`
	// OperatorToken is the bearer token for changes through the operators' API.
	OperatorToken string `yaml:"operator_token" validate:"required,min=16,max=256"`
}

// Node says which node this is and where its host stands.
type Node struct {
	Name             string `yaml:"name" validate:"required,name"`
	Region           string `yaml:"region" validate:"required,name"`
	AvailabilityZone string `yaml:"availability_zone" validate:"required,name"`
	Rack             string `yaml:"rack" validate:"required,name"`
}

// Listen holds the host:port addresses of the node. Other nodes use the same addresses to reach it,
// so that they have to name a host that others can reach, by IP number.
type Listen struct {
	Callers   string `yaml:"callers" validate:"required,hostport"`
	Relay     string `yaml:"relay" validate:"required,hostport"`
	Heartbeat string `yaml:"heartbeat" validate:"required,hostport"`
	Control   string `yaml:"control" validate:"required,hostport"`
	Operators string `yaml:"operators" validate:"required,hostport"`
	// Targets is where the target of this host announces itself.
	Targets string `yaml:"targets" validate:"required,hostport"`
}

// Platform says how to reach the platform's object API and how much of its rates a node may use.
type Platform struct {
	Address         string  `yaml:"address" validate:"required,hostport"`
	ReadsPerSecond  float64 `yaml:"reads_per_second" validate:"gt=0,lte=2000"`
	WritesPerSecond float64 `yaml:"writes_per_second" validate:"gt=0,lte=500"`
}

// Log sets the least severe level that is logged.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Telemetry says where traces go. Metrics are scraped from /metrics at the operators' address.
type Telemetry struct {
	Traces      string  `yaml:"traces" validate:"oneof=none file otlp"`
	TraceFile   string  `yaml:"trace_file" validate:"required_if=Traces file"`
	Endpoint    string  `yaml:"endpoint" validate:"required_if=Traces otlp,omitempty,hostport"`
	SampleRatio float64 `yaml:"sample_ratio" validate:"gte=0,lte=1"`
}

// StopTimeout bounds a graceful stop. It exceeds the longest max_request of a service by 5 s for the
// handover of slices.
const StopTimeout = 35 * time.Second

func defaults() Settings {
	return Settings{
		Platform:  Platform{ReadsPerSecond: 50, WritesPerSecond: 20},
		Log:       Log{Level: "info"},
		Telemetry: Telemetry{Traces: "none", SampleRatio: 0.01},
	}
}

// Location returns where the host stands.
func (s *Settings) Location() cluster.Location {
	return cluster.Location{
		Region:           s.Node.Region,
		AvailabilityZone: s.Node.AvailabilityZone,
		Rack:             s.Node.Rack,
	}
}

// Addresses returns the addresses under which other nodes reach this one.
func (s *Settings) Addresses() cluster.Addresses {
	return cluster.Addresses{
		Callers:   s.Listen.Callers,
		Relay:     s.Listen.Relay,
		Heartbeat: s.Listen.Heartbeat,
		Control:   s.Listen.Control,
		Operators: s.Listen.Operators,
	}
}
