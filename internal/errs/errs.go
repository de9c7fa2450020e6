// Package errs defines the errors that citronvane components return. Every
// error carries a kind, by which a program decides how to handle it, and a
// remedy, which tells the user or operator how to fix it.
package errs

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error by how a program can handle it.
type Kind string

// The error kinds.
const (
	// Invalid means that the input is invalid; a retry cannot succeed.
	Invalid Kind = "invalid"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not_found"
	// Conflict means that a conditional write found a version other than the expected one.
	Conflict Kind = "conflict"
	// Compacted means that a watch cannot resume, because the changes after its position are no longer kept.
	Compacted Kind = "compacted"
	// Unavailable means that the server did not accept the call, which had no effect.
	Unavailable Kind = "unavailable"
	// RateLimited means that a rate limit refused the call, which had no effect.
	RateLimited Kind = "rate_limited"
	// OutcomeUnknown means that the call may or may not have taken effect.
	OutcomeUnknown Kind = "outcome_unknown"
	// TooLarge means that a value exceeds its size limit.
	TooLarge Kind = "too_large"
	// Denied means that the caller is not authenticated or not authorised to make the call.
	Denied Kind = "denied"
	// Internal means that an invariant of the program is violated.
	Internal Kind = "internal"
)

// valueKey is the type of the keys under which merry attaches the kind and the remedy to an error.
type valueKey int

const (
	kindKey valueKey = iota
	remedyKey
)

// New returns an error of the given kind with a formatted message. The remedy is an imperative sentence.
func New(kind Kind, remedy, format string, args ...any) error {
	return merry.Wrap(fmt.Errorf(format, args...), merry.WithValue(kindKey, kind), merry.WithValue(remedyKey, remedy))
}

// Wrap adds a kind, a remedy and a message prefix to err. It returns nil for a nil error.
func Wrap(err error, kind Kind, remedy, format string, args ...any) error {
	if err == nil {
		return nil
	}
	prefix := fmt.Sprintf(format, args...)
	return merry.Wrap(fmt.Errorf("%s: %w", prefix, err),
		merry.WithValue(kindKey, kind), merry.WithValue(remedyKey, remedy))
}

// KindOf returns the kind of err. It returns Internal for an error without a kind, and the empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	kind, ok := merry.Value(err, kindKey).(Kind)
	if !ok {
		return Internal
	}
	return kind
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// Remedy returns the remedy of err, or an empty string if it has none.
func Remedy(err error) string {
	remedy, _ := merry.Value(err, remedyKey).(string)
	return remedy
}

// Describe returns the message of err followed by its remedy.
func Describe(err error) string {
	remedy := Remedy(err)
	if remedy == "" {
		return err.Error()
	}
	return err.Error() + ". " + remedy
}

// Join combines errors as errors.Join does and gives the result a kind and a remedy. It returns nil if all errors are
// nil.
func Join(kind Kind, remedy string, errList ...error) error {
	joined := errors.Join(errList...)
	if joined == nil {
		return nil
	}
	return merry.Wrap(joined, merry.WithValue(kindKey, kind), merry.WithValue(remedyKey, remedy))
}
