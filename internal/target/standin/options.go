// Package standin is a target for tests and development: it takes requests
// from its node, polls the node for its grant, keeps a journal of what ran, and
// misbehaves on demand.
package standin

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
)

// Exit codes of the process when it ends by fault injection.
const (
	ExitFellOver = 3
	ExitCrashed  = 4
)

// DefaultJournalEntries is the default length of the journal, about 30 MiB.
const DefaultJournalEntries = 100_000

// Options are the properties of a target that stay the same while it runs.
type Options struct {
	Name    string
	Service string
	// Node is the host:port at which the node takes announcements; empty means that there is no node.
	Node string
	// Address is the host:port that the target announces.
	Address string
	// Incarnation differs after each start.
	Incarnation string
	// Fenced makes the target refuse requests outside its grant.
	Fenced bool
	// Slots is the number of requests that run at once.
	Slots int
	// Connections is the number of connections above which new ones are closed.
	Connections    int
	JournalEntries int
	// LeaveTimeout bounds the wait for the node when the target leaves.
	LeaveTimeout time.Duration
	Clock        clock.Clock
	// Exit ends the process at once.
	Exit func(code int)
}

// FallOver says how a target fails under full load while it is cold.
type FallOver string

// The ways to fall over.
const (
	FallOverNever FallOver = "never"
	// FallOverExit ends the process.
	FallOverExit FallOver = "exit"
	// FallOverRefuse aborts running requests and refuses new ones for a time.
	FallOverRefuse FallOver = "refuse"
)

// Behaviour is what can be changed while the target runs.
type Behaviour struct {
	ServiceTime config.Duration `json:"service_time"`
	// ServiceJitter is the largest deviation from ServiceTime in either direction.
	ServiceJitter config.Duration `json:"service_jitter"`
	// ColdConcurrency is what a cold target bears at once; 0 means that the target is never cold.
	ColdConcurrency int `json:"cold_concurrency"`
	// ColdTime is how long the target has to work until it is warm. Idle time does not count.
	ColdTime config.Duration `json:"cold_time"`
	// ColdRefuse makes a cold target refuse what it can't bear.
	ColdRefuse bool     `json:"cold_refuse"`
	FallOver   FallOver `json:"fall_over"`
	// FallOverAt is the load, as a multiple of what the cold target bears, above which it falls over.
	FallOverAt   float64         `json:"fall_over_at"`
	FallOverTime config.Duration `json:"fall_over_time"`
	// ShedQueue is the number of waiting requests at which the target sheds load; negative means never.
	ShedQueue int `json:"shed_queue"`
	// Cancellation stops work when the client goes away.
	Cancellation bool `json:"cancellation"`
	// Deadlines stops work at the request's deadline.
	Deadlines bool `json:"deadlines"`
	// LoadLag is the age of the load that the target reports.
	LoadLag config.Duration `json:"load_lag"`
}

// DefaultBehaviour is a well-behaved target without cold start.
func DefaultBehaviour() Behaviour {
	return Behaviour{
		ServiceTime:  config.Duration(5 * time.Millisecond),
		ColdTime:     config.Duration(5 * time.Second),
		FallOver:     FallOverNever,
		FallOverAt:   2,
		FallOverTime: config.Duration(2 * time.Second),
		ShedQueue:    -1,
		Cancellation: true,
		Deadlines:    true,
	}
}

// Check refuses behaviour that makes no sense.
func (b Behaviour) Check() error {
	switch b.FallOver {
	case FallOverNever, FallOverExit, FallOverRefuse:
	default:
		return invalid("fall_over is %q, not never, exit or refuse", b.FallOver)
	}
	if b.ServiceTime < 0 || b.ServiceJitter < 0 || b.ColdTime < 0 || b.FallOverTime < 0 || b.LoadLag < 0 {
		return invalid("a duration is negative")
	}
	if b.ColdConcurrency < 0 {
		return invalid("cold_concurrency is %d", b.ColdConcurrency)
	}
	if b.FallOverAt < 1 {
		return invalid("fall_over_at is %g, less than 1", b.FallOverAt)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return errs.New(errs.Invalid, "Correct the value as docs/standins.md describes.", format, args...)
}
