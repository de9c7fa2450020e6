package devfleet_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/load"
	"github.com/citronvane/citronvane/internal/operator"
	"github.com/citronvane/citronvane/internal/target/standin"
)

// stopBound is the bound on the running requests of a graceful stop.
const stopBound = 35 * time.Second

// Guards against planned stops that cut off or lose requests: callers retry only where nothing was
// sent or the answer says that nothing ran.
func TestRollingRestart(t *testing.T) {
	r := newRig(t)
	report := r.load(r.callers(), nil)
	started := time.Now()
	for _, h := range r.Hosts {
		stopping := time.Now()
		require.NoError(t, h.Node.Stop(stopBound), "%s exits with 0 within its bound", h.Spec.Name)
		stopped := time.Since(stopping)
		require.NoError(t, h.Node.Start())
		back := r.eventually(settleTimeout, "the node serves again", func() bool {
			status, err := r.status(h)
			return err == nil && status.LeaseValidMS > 0 && r.get(h.Ports.Callers, "/booking/k1") == "ok"
		})
		t.Logf("%s stopped in %v and serves again after %v", h.Spec.Name, stopped, back)
	}
	t.Logf("restart of all nodes took %v", time.Since(started))
	result := report()
	require.Equal(t, result.Requests, result.Answers[load.OK], "no request is lost")
	for _, cut := range []load.Outcome{load.Truncated, load.ConnectionLost, load.Timeout, "outcome_unknown", "deadline_running", "repeat_unknown"} {
		require.Zero(t, result.AttemptAnswers[cut], "no request is cut off: %s", cut)
	}
	r.requireSafe(result, load.Passed)
}

// startsSince counts the work that the targets of the zone started after the time on the clock of the
// journals.
func (r *rig) startsSince(zone string, from clock.Instant) int {
	r.t.Helper()
	starts := 0
	for _, h := range r.Hosts {
		if h.Spec.AvailabilityZone != zone {
			continue
		}
		var page standin.JournalPage
		require.NoError(r.t, r.call(http.MethodGet, h.Ports.TargetAdmin, "/journal?since=0", nil, &page))
		require.False(r.t, page.More)
		for _, e := range page.Entries {
			if clock.Instant(e.StartNS) > from {
				starts++
			}
		}
	}
	return starts
}

// Guards against an availability zone that goes on with new work after it was taken out, against
// requests that fail because of that, and against slices that stay away once it is back.
func TestZoneOutAndIn(t *testing.T) {
	const zone = "temeke"
	r := newRig(t)
	set := func(state config.ZoneState) {
		c := operator.ZoneCommand{State: state, Author: "test", Identity: uuid.NewString()}
		require.NoError(t, r.call(http.MethodPost, r.Hosts[0].Ports.Operators, "/v1/availability-zones/"+zone+"/state", c, nil))
	}
	report := r.load(r.callers(), nil)
	time.Sleep(time.Second)
	set(config.ZoneOut)
	time.Sleep(3 * time.Second)
	from := clock.Boot{}.Now()
	time.Sleep(time.Second)
	require.Zero(t, r.startsSince(zone, from), "no new work in the zone 3 s after it was taken out")
	set(config.ZoneIn)
	t.Logf("slices are back after %v", r.waitBalanced())
	from = clock.Boot{}.Now() // The load goes on for loadTail.
	result := report()
	require.Positive(t, r.startsSince(zone, from), "the zone works again")
	require.Equal(t, result.Requests, result.Answers[load.OK], "no request fails")
	r.requireSafe(result, load.Passed)
}
