package ctl

import (
	"errors"

	"github.com/citronvane/citronvane/internal/errs"
)

// Exit codes of citronctl.
const (
	ExitOK             = 0
	ExitFailure        = 1
	ExitInvalid        = 2
	ExitConflict       = 3
	ExitNotFound       = 4
	ExitUnavailable    = 5
	ExitOutcomeUnknown = 6
	ExitDenied         = 7
)

var exitCodes = map[errs.Kind]int{
	errs.Invalid:        ExitInvalid,
	errs.TooLarge:       ExitInvalid,
	errs.Conflict:       ExitConflict,
	errs.NotFound:       ExitNotFound,
	errs.Unavailable:    ExitUnavailable,
	errs.RateLimited:    ExitUnavailable,
	errs.OutcomeUnknown: ExitOutcomeUnknown,
	errs.Denied:         ExitDenied,
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	kind := errs.KindOf(err)
	var failure *FailureError
	if errors.As(err, &failure) {
		kind = failure.Failure.Kind
	}
	if code, known := exitCodes[kind]; known {
		return code
	}
	return ExitFailure
}
