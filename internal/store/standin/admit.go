package standin

import (
	"context"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

const remedyReadBack = "Read the object back and compare its version and content."

// admit counts the call and refuses it while the platform is down or above its rate limit. It
// returns the delay of a slow platform.
func (p *Platform) admit(count *uint64) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*count++
	if p.faults.Down {
		p.stats.Refused++
		return 0, errDown()
	}
	limiter := p.reads
	if count == &p.stats.Writes {
		limiter = p.writes
	}
	if !limiter.Allow() {
		p.stats.RateLimited++
		return 0, errs.New(errs.RateLimited, "Send fewer calls.", "the platform's rate limit is exceeded")
	}
	return p.faults.Slow, nil
}

func errDown() error {
	return errs.New(errs.Unavailable, "Wait until the platform is up.", "the platform is down")
}

func unreachable(err error) error {
	return errs.Wrap(err, errs.Unavailable, "Repeat the call.", "the caller stopped waiting")
}

// sleep waits for d, or returns an error of kind Unavailable when the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unreachable(ctx.Err())
	}
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
