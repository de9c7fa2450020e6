package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Instant { return clock.Instant(time.Hour + time.Since(c.start)) }

// Guards against a request that waits past its deadline because no other request arrives or ends: its refusal comes too late for the
// caller.
func TestWaitingRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := bubbleClock{time.Now()}
		c := NewController(clk, 1, nil)
		running, refused, err := c.Acquire(t.Context(), request("r", 1, clk.Now(), 200*time.Millisecond, 400*time.Millisecond))
		require.NoError(t, err)
		require.Nil(t, refused)
		deadline := clk.Now().Add(400 * time.Millisecond)
		_, refused, err = c.Acquire(t.Context(), request("r", 1, clk.Now(), 200*time.Millisecond, 400*time.Millisecond))
		require.NoError(t, err)
		require.NotNil(t, refused)
		require.Equal(t, Late, refused.Reason)
		require.Less(t, clk.Now(), deadline)
		c.Release(running, false, 0)
		c.timer.Stop()
	})
}
