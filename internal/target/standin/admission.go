package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Reasons in the header Citronvane-Not-Run.
const (
	reasonShed     = "shed"
	reasonCold     = "cold"
	reasonDraining = "draining"
	reasonFenced   = "fenced"
)

// refusal is a reason for not running a request.
type refusal string

// Error says why the request did not run.
func (r refusal) Error() string { return "not run: " + string(r) }

// Causes for stopping work that has begun.
var (
	errFellOver = errors.New("the target fell over")
	errDeadline = errors.New("the deadline passed")
)

// refuse returns the reason for which the target takes no request now, or an empty string.
func (t *Target) refuse() refusal {
	select {
	case <-t.drained:
		return reasonDraining
	default:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.options.Clock.Now() < t.refuseUntil {
		return reasonCold
	}
	return ""
}

// admit waits for a slot. It returns a refusal, or the cause for which the wait ended.
func (t *Target) admit(ctx context.Context) error {
	load := len(t.slots) + int(t.waiting.Load()) + 1
	if r := t.checkLoad(load); r != "" {
		return r
	}
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// checkLoad decides whether the target bears one more request, and fells it over if it doesn't.
func (t *Target) checkLoad(load int) refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	bears, cold := t.warmth.bears(now, t.behaviour, t.options.Slots)
	if !cold {
		if t.behaviour.ShedQueue >= 0 && load > t.options.Slots+t.behaviour.ShedQueue {
			return reasonShed
		}
		return ""
	}
	overload := float64(load) / bears
	t.warmth.peak = max(t.warmth.peak, overload)
	if t.behaviour.ColdRefuse && overload > 1 {
		return reasonCold
	}
	if t.behaviour.FallOver != FallOverNever && overload > t.behaviour.FallOverAt {
		t.fallOver(now)
		return reasonCold
	}
	return ""
}

// workTime picks the time that a request takes: longer while the target straggles, and while it is
// cold and runs more than it bears.
func (t *Target) workTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	d := t.behaviour.ServiceTime.Std()
	if jitter := int64(t.behaviour.ServiceJitter); jitter > 0 {
		d += time.Duration(rand.Int64N(2*jitter+1) - jitter)
	}
	if now < t.straggleUntil {
		d = time.Duration(float64(d) * t.straggleFactor)
	}
	bears, cold := t.warmth.bears(now, t.behaviour, t.options.Slots)
	if cold {
		d = time.Duration(float64(d) * max(1, float64(len(t.slots))/bears))
	}
	return max(0, d)
}

// work spends the time of a request. It returns the cause for which the work was stopped.
func (t *Target) work(ctx context.Context) error {
	t.mu.Lock()
	fallen := t.fallen
	t.warmth.start(t.options.Clock.Now())
	t.mu.Unlock()
	defer t.finishWork()

	timer := time.NewTimer(t.workTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-fallen:
		return errFellOver
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (t *Target) finishWork() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmth.finish(t.options.Clock.Now())
}

// thaw waits until the handlers are not frozen.
func (t *Target) thaw() {
	for {
		t.mu.Lock()
		left := t.frozenUntil.Sub(t.options.Clock.Now())
		t.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}
