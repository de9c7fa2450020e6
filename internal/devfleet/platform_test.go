package devfleet_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/devfleet"
	"github.com/citronvane/citronvane/internal/load"
	"github.com/citronvane/citronvane/internal/store"
)

// Guards against traffic that depends on the platform, and against keys of a host lost during an
// outage that are served by two owners meanwhile or by none afterwards.
func TestPlatformDown(t *testing.T) {
	r := newRig(t)
	lost := r.Hosts[3]
	entrances := r.callers(lost)
	owned := r.keysOf(lost, r.Hosts[0])
	var rest []string
	for _, h := range r.Hosts[:3] {
		rest = append(rest, r.keysOf(h, r.Hosts[0])...)
	}

	r.faults(map[string]any{"down": true})
	wait := r.load(r.callers(), func(o *load.Options) { o.Retries = 0 })
	time.Sleep(3 * time.Second)
	report := wait()
	require.Equal(t, report.Requests, report.Answers[load.OK], "no request fails while the platform is down")
	r.requireSafe(report, load.Passed)

	wait = r.load(entrances, nil)
	require.NoError(t, lost.Node.Kill())
	require.NoError(t, lost.Target.Kill())
	time.Sleep(servedAgain)
	var waiting, going map[string]int
	var group sync.WaitGroup
	group.Go(func() { waiting = r.count(time.Second, owned, entrances) })
	group.Go(func() { going = r.count(time.Second, rest, entrances) })
	group.Wait()
	t.Logf("host lost during the outage: its %d keys %v, the %d others %v", len(owned), waiting, len(rest), going)
	require.Equal(t, []string{"no_owner"}, kindsOf(waiting))
	require.Equal(t, []string{"ok"}, kindsOf(going))

	back := time.Now()
	r.faults(map[string]any{"down": false})
	served := r.untilServed(back, owned, entrances)
	t.Logf("served again %v after the platform is back", served)
	require.Less(t, served, servedAgain+store.BackOffCap)
	r.requireSafe(wait(), load.Incomplete)
}

func kindsOf(answers map[string]int) []string {
	var kinds []string
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// Guards against a takeover that acts on what it believes to have written, or that gives up, when the
// platform is slow or loses the answers of writes while a node is lost.
func TestPlatformFaultsWithLoss(t *testing.T) {
	const slow = 500 * time.Millisecond
	// A takeover reads the record, writes the revocation, learns of it by a watch, writes the slices
	// and learns of them by a watch; each of these calls takes the delay.
	const callsInSeries = 5
	r := newRig(t)
	for _, c := range []struct {
		name  string
		fault map[string]any
		clear map[string]any
		lost  *devfleet.Host
		bound time.Duration
	}{
		{"answers lost", map[string]any{"lose_answers": true}, map[string]any{"lose_answers": false}, r.Hosts[1], servedAgain},
		{"platform slow", map[string]any{"slow": slow.String()}, map[string]any{"slow": "0s"}, r.Hosts[2], servedAgain + callsInSeries*slow},
	} {
		owned := r.keysOf(c.lost, r.Hosts[0])
		entrances := r.callers(c.lost)
		report := r.load(entrances, nil)
		r.faults(c.fault)
		time.Sleep(time.Second)
		killed := time.Now()
		require.NoError(t, c.lost.Node.Kill())
		served := r.untilServed(killed, owned, entrances)
		t.Logf("%s: %d keys served again after %v", c.name, len(owned), served)
		require.Less(t, served, c.bound, c.name)
		r.requireSafe(report(), load.Passed)
		r.faults(c.clear)
		require.NoError(t, c.lost.Node.Start())
		t.Logf("%s: restarted node has its share after %v", c.name, r.waitBalanced())
	}
}
