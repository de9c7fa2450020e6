package entrance

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/relay"
)

// Guards against a takeover that uses up the retry budget, so that callers get errors although they
// would have waited: a dead owner is probed by few requests and the others wait for the next owner.
func TestRequestsWaitOutATakeover(t *testing.T) {
	f := newFixture(t, func(_ context.Context, _ int, c call) (*relay.Response, error) {
		if c.node == "a" {
			return nil, fmt.Errorf("dial: %w", relay.ErrNotSent)
		}
		return ok(c.node), nil
	})
	const requests = 200
	time.AfterFunc(600*time.Millisecond, func() { f.own("b", 2) })
	var wg sync.WaitGroup
	for i := range requests {
		time.Sleep(2 * time.Millisecond)
		wg.Go(func() {
			kind, _, body, err := f.do("POST", fmt.Sprint("/booking/", i), "v", identity, fmt.Sprint(i))
			if err != nil || kind != "" || body != "b" {
				t.Errorf("%d: %s %q %v", i, kind, body, err)
			}
		})
	}
	wg.Wait()
	require.Less(t, f.count(), requests+30)
}

// Guards against an owner that is avoided after it has its lease again, although nothing changed in the table.
func TestOwnerThatComesBackIsUsed(t *testing.T) {
	f := newFixture(t, func(_ context.Context, n int, c call) (*relay.Response, error) {
		if n < 2 {
			return refuse(answer.LeaseLapsed), nil
		}
		return ok(c.node), nil
	})
	for range 3 {
		kind, _, body, err := f.do("POST", "/booking/k", "v", identity, "i")
		require.NoError(t, err)
		require.Empty(t, kind)
		require.Equal(t, "a", body)
	}
}

// Guards against reads that wait for a frozen owner after another node has taken over, and against
// a non-idempotent request that is sent again in the same case.
func TestFrozenOwnerIsLeftWhenItIsRevoked(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		f := newFixture(t, func(ctx context.Context, _ int, c call) (*relay.Response, error) {
			if c.node == "a" {
				<-ctx.Done()
				return nil, context.Cause(ctx)
			}
			return ok(c.node), nil
		})
		time.AfterFunc(150*time.Millisecond, func() {
			f.publish(func(v *cluster.View) {
				v.Nodes["a"].State = cluster.Revoked
				for i := range v.Groups[cluster.GroupID{Service: "booking"}].Slices {
					v.Groups[cluster.GroupID{Service: "booking"}].Slices[i] = cluster.Slice{Epoch: 2, Owner: v.Nodes["b"].ID}
				}
			})
		})
		kind, _, body, err := f.do(method, "/booking/k", "", identity, "i", TimeoutHeader, "600")
		require.NoError(t, err)
		if method == "GET" {
			require.Equal(t, "b", body)
		} else {
			require.Equal(t, answer.DeadlineRunning, kind)
			require.Equal(t, 1, f.count())
		}
	}
}

// Guards against an answer that blames the deadline although the owner could not be reached all the
// time, so that the caller takes a lost owner for a slow one.
func TestUnreachableOwnerIsNamedAtTheDeadline(t *testing.T) {
	f := newFixture(t, func(context.Context, int, call) (*relay.Response, error) {
		return nil, fmt.Errorf("dial: %w", relay.ErrNotSent)
	})
	kind, _, _, err := f.do("GET", "/booking/k", "", TimeoutHeader, "300")
	require.NoError(t, err)
	require.Equal(t, answer.NoOwner, kind)
}

// Guards against a node that just started and answers "no rule", which callers don't repeat, before it
// has read the configuration.
func TestNodeWithoutConfigurationAsksForAnotherAttempt(t *testing.T) {
	f := newFixture(t, func(_ context.Context, _ int, c call) (*relay.Response, error) { return ok(c.node), nil })
	f.publish(func(v *cluster.View) { v.Configuration = &config.Versioned{} })
	kind, _, _, err := f.do("GET", "/booking/k", "")
	require.NoError(t, err)
	require.Equal(t, answer.NoOwner, kind)
}

// Guards against a graceful stop that cuts off requests on connections that callers keep open.
func TestDrainingNodeEndsConnections(t *testing.T) {
	f := newFixture(t, func(_ context.Context, _ int, c call) (*relay.Response, error) { return ok(c.node), nil })
	draining := *f.table.Load()
	draining.Draining = true
	f.table.Publish(&draining)
	response, err := f.client.Get(f.server.URL + "/booking/k")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.True(t, response.Close)
}
