package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
)

// Guards against slots that leak when a request is granted and cancelled at the same time, and against lost wake-ups.
func TestControllerUnderConcurrency(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := NewController(clock.Boot{}, TargetCapacity{Slots: 4})
	var running, maxRunning atomic.Int32
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%20)*time.Millisecond)
			defer cancel()
			permit, _ := c.Acquire(ctx, Class(i%3))
			if permit == nil {
				return
			}
			maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
			time.Sleep(time.Millisecond)
			running.Add(-1)
			permit.Release(Outcome{Latency: time.Millisecond})
		})
	}
	group.Wait()
	require.LessOrEqual(t, maxRunning.Load(), int32(4))
	s := c.Stats()
	require.Zero(t, s.Running+s.Waiting)
	require.Empty(t, c.results)
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return !c.polling }, time.Second, time.Millisecond)
}

// Guards against a request that waits past its deadline, and against unbounded memory for queued request bodies.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	c := NewController(clock.Boot{}, TargetCapacity{Slots: 1})
	permit, refusal := c.Acquire(t.Context(), Batch)
	require.Nil(t, refusal)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, refusal = c.Acquire(ctx, Internal)
	require.Equal(t, answer.Deadline, refusal.Kind)
	permit.Release(Outcome{})
	permit.Release(Outcome{})
	require.Zero(t, c.Stats().Running)

	b := NewBodyBudget(10)
	require.True(t, b.Reserve(8))
	require.False(t, b.Reserve(3))
	b.Release(8)
	require.True(t, b.Reserve(10))
}
