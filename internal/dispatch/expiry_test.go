package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// Guards against a request that waits past its deadline because no other request arrives or ends: its refusal comes too late for the
// caller.
func TestWaitingRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	clk := clock.Boot{}
	c := NewController(clk, 1, nil)
	running, refused, err := c.Acquire(t.Context(), request("r", 1, clk.Now(), 200*time.Millisecond, 400*time.Millisecond))
	require.NoError(t, err)
	require.Nil(t, refused)
	deadline := clk.Now().Add(400 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, refused, err = c.Acquire(ctx, request("r", 1, clk.Now(), 200*time.Millisecond, 400*time.Millisecond))
	require.NoError(t, err)
	require.NotNil(t, refused)
	require.Equal(t, Late, refused.Reason)
	require.Less(t, clk.Now(), deadline)
	c.Release(running, false, 0)
}
