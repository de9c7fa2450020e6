package store

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/citronvane/citronvane/internal/errs"
)

// Bounds of the pause between attempts to reach the platform. The upper bound keeps 600 clients
// at 60 attempts/s while the platform is down.
const (
	BackOffBase = 100 * time.Millisecond
	BackOffCap  = 10 * time.Second
)

// NewBackOff returns a full-jitter back-off: the n-th pause is uniform between 0 and
// min(ceiling, base * 2^n). It is not safe for concurrent use.
func NewBackOff(base, ceiling time.Duration) *backoff.ExponentialBackOff {
	// With a randomization factor of 1 the library picks between 0 and twice the current interval.
	return &backoff.ExponentialBackOff{
		InitialInterval:     base / 2,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         ceiling / 2,
	}
}

// Retry calls f until it succeeds, fails with an error that had another cause than Unavailable or
// RateLimited, or the context ends. It returns the last error of f.
func Retry[T any](ctx context.Context, f func() (T, error)) (T, error) {
	pauses := NewBackOff(BackOffBase, BackOffCap)
	for {
		result, err := f()
		if !Retryable(err) || Pause(ctx, pauses) != nil {
			return result, err
		}
	}
}

// Retryable reports whether a call failed without effect and may succeed later.
func Retryable(err error) bool {
	return errs.Is(err, errs.Unavailable) || errs.Is(err, errs.RateLimited)
}

// Pause waits for the next interval of the back-off, or returns the error of the context.
func Pause(ctx context.Context, pauses backoff.BackOff) error {
	timer := time.NewTimer(pauses.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
