package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/citronvane/citronvane/internal/errs"
)

// Sidecar holds the settings of a node on the users' platform, from deploy/node.yaml.
type Sidecar struct {
	// Node is the name of the node, for people.
	Node string `yaml:"node" validate:"required"`
	// Host is the address of the host without a port.
	Host             string `yaml:"host" validate:"required,ip"`
	AvailabilityZone string `yaml:"availability_zone" validate:"required"`
	// Service is the service that the target on the host belongs to.
	Service string `yaml:"service" validate:"required"`
	// Target is the address of the target on the host.
	Target string `yaml:"target" validate:"required,hostport"`
	// HeartbeatIntervalMs is how often the target reports, in milliseconds.
	HeartbeatIntervalMs float64 `yaml:"heartbeat_interval_ms" validate:"gt=0"`
	// RelayPorts are the first and the last port that nodes may use between themselves.
	RelayPorts []int `yaml:"relay_ports" validate:"len=2,dive,gt=0,lt=65536"`
	// LinkMbps is the rate of the host's network link in megabits a second, 0 if it is not known.
	LinkMbps float64 `yaml:"link_mbps" validate:"gte=0"`
	// MemoryMB is the memory that the process may use, in megabytes, 0 if it is not known.
	MemoryMB float64 `yaml:"memory_mb" validate:"gte=0"`
	// MaxFDs is the number of file descriptors that the process may use, 0 for the limit that the system sets.
	MaxFDs  int            `yaml:"max_fds" validate:"gte=0"`
	Callers SidecarCallers `yaml:"callers"`
	// CostPrediction says whether the node predicts the service times of requests: CostPredictionAuto or CostPredictionOff.
	// Empty means auto.
	CostPrediction string        `yaml:"cost_prediction" validate:"omitempty,oneof=auto off"`
	Listen         SidecarListen `yaml:"listen"`
	Store          SidecarStore  `yaml:"store"`
	// Bounds are the platform's bounds by its own names; package platform reads them.
	Bounds map[string]any `yaml:"bounds"`
}

// SidecarCallers bounds what callers may hold at the entrance. A field that is 0 has a default.
type SidecarCallers struct {
	// MinBytesPerS is the least rate of a request body, and of a response that is being read, in bytes a second.
	MinBytesPerS int `yaml:"min_bytes_per_s" validate:"gte=0"`
	// MinRateWindowMs is the time over which that rate is measured.
	MinRateWindowMs int `yaml:"min_rate_window_ms" validate:"gte=0,lte=3600000"`
	// MemoryShare is the share of memory_mb for bodies, heads, connections and responses of callers.
	MemoryShare float64 `yaml:"memory_share" validate:"gte=0,lte=0.5"`
	// AddressShare is the share of the connections that one caller's address may hold.
	AddressShare float64 `yaml:"address_share" validate:"gte=0,lte=1"`
}

// Defaults of SidecarCallers.
const (
	// The slowest callers within the platform's limits send hundreds of KiB a second.
	defaultMinBytesPerS    = 1 << 10
	defaultMinRateWindowMs = 10_000
	// An eighth leaves room for the node's own data and for what the garbage collector has not freed yet. With a sixth a node of 48 MB
	// came within 20 KB of its memory.
	defaultMemoryShare = 1.0 / 8
	// On most hosts all callers have the same address, so that the share must not be a small one.
	defaultAddressShare = 0.75
)

// WithDefaults returns the bounds with the defaults filled in.
func (c SidecarCallers) WithDefaults() SidecarCallers {
	return SidecarCallers{
		MinBytesPerS: cmp.Or(c.MinBytesPerS, defaultMinBytesPerS), MinRateWindowMs: cmp.Or(c.MinRateWindowMs, defaultMinRateWindowMs),
		MemoryShare: cmp.Or(c.MemoryShare, defaultMemoryShare), AddressShare: cmp.Or(c.AddressShare, defaultAddressShare),
	}
}

// The values of Sidecar.CostPrediction.
const (
	// CostPredictionAuto predicts costs where the features of requests explain them.
	CostPredictionAuto = "auto"
	// CostPredictionOff decides by the mean service time of each route alone.
	CostPredictionOff = "off"
)

// SidecarListen holds the addresses that the node serves.
type SidecarListen struct {
	// Entrance is for callers on the host and the target itself.
	Entrance string `yaml:"entrance" validate:"required,hostport"`
	// Readiness is where the platform asks whether the node takes callers.
	Readiness string `yaml:"readiness" validate:"required,hostport"`
	// Heartbeats is where the target reports.
	Heartbeats string `yaml:"heartbeats" validate:"required,hostport"`
	// Metrics serves the node's own metrics.
	Metrics string `yaml:"metrics" validate:"required,hostport"`
}

// SidecarStore says where the platform's store is.
type SidecarStore struct {
	Address string `yaml:"address" validate:"required,hostport"`
}

// Relay returns the address for requests from other nodes.
func (s *Sidecar) Relay() string { return fmt.Sprintf("%s:%d", s.Host, s.RelayPorts[0]) }

// HeartbeatInterval returns how often the target reports.
func (s *Sidecar) HeartbeatInterval() time.Duration {
	return time.Duration(s.HeartbeatIntervalMs * float64(time.Millisecond))
}

// ReadSidecarFile reads and checks the settings of a node on the users' platform. Unknown fields are ignored, since the
// platform may add some.
func ReadSidecarFile(path string) (*Sidecar, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Name a settings file that can be read.", "settings")
	}
	return ReadSidecar(path, data)
}

// ReadSidecar checks the settings in data; path is used in error messages.
func ReadSidecar(path string, data []byte) (*Sidecar, error) {
	if len(data) > maxFileBytes {
		return nil, errs.New(errs.TooLarge, "Check that this is the settings file.", "%s: has %d bytes, more than %d", path, len(data), maxFileBytes)
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(path, err)
	}
	s := &Sidecar{}
	if err := yaml.NewDecoder(bytes.NewReader(data)).Decode(s); err != nil {
		return nil, syntaxError(path, err)
	}
	if err := newValidator().Struct(s); err != nil {
		return nil, fieldErrors(path, file, err)
	}
	return s, nil
}
