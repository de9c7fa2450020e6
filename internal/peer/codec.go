package peer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/citronvane/citronvane/internal/errs"
)

var codeOfKind = map[errs.Kind]codes.Code{
	errs.Invalid:        codes.InvalidArgument,
	errs.NotFound:       codes.NotFound,
	errs.Conflict:       codes.Aborted,
	errs.Compacted:      codes.OutOfRange,
	errs.Unavailable:    codes.FailedPrecondition,
	errs.RateLimited:    codes.FailedPrecondition,
	errs.OutcomeUnknown: codes.Unknown,
	errs.TooLarge:       codes.ResourceExhausted,
	errs.Denied:         codes.PermissionDenied,
	errs.Internal:       codes.Internal,
}

var kindOfCode = map[codes.Code]errs.Kind{
	codes.InvalidArgument:    errs.Invalid,
	codes.NotFound:           errs.NotFound,
	codes.Aborted:            errs.Conflict,
	codes.OutOfRange:         errs.Compacted,
	codes.FailedPrecondition: errs.Unavailable,
	codes.ResourceExhausted:  errs.TooLarge,
	codes.Unauthenticated:    errs.Denied,
	codes.PermissionDenied:   errs.Denied,
	codes.Internal:           errs.Internal,
}

// toStatus turns an error of this node into what the caller receives.
func toStatus(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return status.FromContextError(err).Err()
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	return status.Error(codeOfKind[errs.KindOf(err)], errs.Describe(err))
}

// fromStatus turns what a call returned into a typed error. A connection that breaks may have
// delivered the call, so all codes that no server of this package sends mean an unknown outcome.
func fromStatus(err error, address string) error {
	if err == nil {
		return nil
	}
	kind, ok := kindOfCode[status.Code(err)]
	if !ok {
		kind = errs.OutcomeUnknown
	}
	remedy := "Check that the node runs and that its control address can be reached."
	if kind == errs.Denied {
		remedy = "Check that both nodes have the same cluster secret."
	}
	return errs.Wrap(err, kind, remedy, "call to the node at %s", address)
}
