// Package errs defines the kinds of error that citronvane components return.
// Every error carries a kind, which says how a program may react, and a
// remedy, which says what a person can do.
package errs

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error by how its receiver may react to it.
type Kind string

// The error kinds.
const (
	// Invalid means that the input is wrong and will stay wrong.
	Invalid Kind = "invalid"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not_found"
	// Conflict means that a conditional write found another version.
	Conflict Kind = "conflict"
	// Compacted means that a watch position is too old to be continued.
	Compacted Kind = "compacted"
	// Unavailable means that the other side did not accept the call; it had no effect.
	Unavailable Kind = "unavailable"
	// RateLimited means that the call was refused because of a rate limit; it had no effect.
	RateLimited Kind = "rate_limited"
	// OutcomeUnknown means that the call may or may not have taken effect.
	OutcomeUnknown Kind = "outcome_unknown"
	// TooLarge means that a value exceeds its bound.
	TooLarge Kind = "too_large"
	// Denied means that the caller did not prove that it may make the call.
	Denied Kind = "denied"
	// Internal means that an invariant of the program does not hold.
	Internal Kind = "internal"
)

type valueKey int

const (
	kindKey valueKey = iota
	remedyKey
)

// New returns an error of the given kind. The remedy is an imperative sentence.
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

// KindOf returns the kind of err: Internal for an error without a kind, and the empty kind for nil.
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

// Remedy returns what a person can do about err, or an empty string.
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

// Join combines errors as errors.Join does, with the kind and the remedy of the whole.
func Join(kind Kind, remedy string, errList ...error) error {
	joined := errors.Join(errList...)
	if joined == nil {
		return nil
	}
	return merry.Wrap(joined, merry.WithValue(kindKey, kind), merry.WithValue(remedyKey, remedy))
}
