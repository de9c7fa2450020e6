package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/quarantine"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/internal/wire"
)

// crashingTarget answers all requests but those to /poison, whose connections it closes.
func crashingTarget(t *testing.T) *node {
	n := newIdleNode(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/poison" {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Signature", "s")
	}))
	t.Cleanup(server.Close)
	n.ctx = t.Context()
	n.settings.Target = server.Listener.Addr().String()
	n.upstream = upstream.NewClient(n.settings.Target)
	t.Cleanup(n.upstream.Reset)
	n.state.localTarget.Store(&localTarget{serving: true, instance: "i"})
	return n
}

func (n *node) serveOnce(t *testing.T, path string) (*refusal, error) {
	_, refused, err := n.gate.serve(t.Context(), &wire.RequestHead{
		Service: "s", Method: "GET", Path: path, ObjectiveMs: 500, TimeoutMs: 1000, RequestId: "1", Repeatable: true, Headers: relay.FromHTTP(forwardedHeader()),
	}, nil)
	return refused, err
}

// Guards against a request that crashes its targets and is run again, and against others that are refused with it.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	n := crashingTarget(t)
	for range 2 {
		refused, err := n.serveOnce(t, "/poison")
		require.Error(t, err)
		require.Nil(t, refused)
		n.crashes.beginRun(n.clock.Now(), 99, "x") // Another request runs there meanwhile.
		n.gate.recordTargetEnd(n.clock.Now(), "i")
		n.crashes.endRun(n.clock.Now(), 99, runEnded)
		n.crashes.endRun(n.clock.Now(), 99, runCompleted) // It runs again, to its end.
		time.Sleep(60 * time.Millisecond)
	}
	refused, err := n.serveOnce(t, "/poison")
	require.NoError(t, err)
	require.NotNil(t, refused)
	require.Equal(t, answer.Quarantined, refused.kind)
	require.Greater(t, refused.retryAfter, 50*time.Second, "the caller need not come back before")
	require.Zero(t, n.crashes.quarantineRemaining(n.clock.Now(), 99))
	refused, err = n.serveOnce(t, "/other")
	require.NoError(t, err)
	require.Nil(t, refused)
}

// Guards against a request that is recognised only where the same service called: a retry may come at any host.
func TestFingerprintIsTheSameAtAllHosts(t *testing.T) {
	n := crashingTarget(t)
	fingerprint := func(caller, path string) uint64 {
		j, refused, err := n.gate.newJob(&wire.RequestHead{Service: "s", Method: "GET", Path: path, CallerService: caller}, nil)
		require.NoError(t, err)
		require.Nil(t, refused)
		return j.fingerprint
	}
	require.Equal(t, fingerprint("a", "/x"), fingerprint("b", "/x"))
	require.NotEqual(t, fingerprint("a", "/x"), fingerprint("a", "/y"))
}

// Guards against popular requests, which run during most crashes, that are taken for their cause.
func TestRequestThatHasRunToItsEndIsNoSuspect(t *testing.T) {
	n := crashingTarget(t)
	w, now := n.crashes, n.clock.Now()
	w.beginRun(now, 5, "x")
	w.endRun(now.Add(time.Millisecond), 5, runCompleted)
	for i := range 5 {
		at := now.Add(time.Duration(1+i) * time.Second)
		w.beginRun(at, 5, "x")
		suspects, _ := w.recordTargetEnd(at.Add(100 * time.Millisecond))
		require.Empty(t, suspects)
		w.endRun(at.Add(100*time.Millisecond), 5, runBroken)
	}
	require.Zero(t, w.quarantineRemaining(now.Add(6*time.Second), 5))
}

// Guards against a map that grows with each broken connection.
func TestBrokenRunsAreBounded(t *testing.T) {
	w := newCrashWatch(1)
	for i := range 10 * maxBroken {
		now := clock.Instant(time.Duration(i) * time.Second)
		w.beginRun(now, uint64(i), "x")
		w.endRun(now, uint64(i), runBroken)
	}
	require.LessOrEqual(t, len(w.broken), maxBroken)
	require.Empty(t, w.running)
	suspects, _ := w.recordTargetEnd(clock.Instant(10 * maxBroken * int(time.Second)))
	require.LessOrEqual(t, len(suspects), 3, "only those of the last seconds")
}

// Guards against a quarantine that ends with the process that decided it: the request would crash targets again after each round of
// restarts.
func TestQuarantineOutlastsRestarts(t *testing.T) {
	t.Parallel()
	const poison = 4711
	r := newTestFleet(t, 3)
	for i, h := range r.hosts[:2] { // Two targets end during a run of the request, one after the other.
		onControl(h.node, func(now clock.Instant) bool {
			h.node.crashes.beginRun(now, poison, "x")
			h.node.gate.recordTargetEnd(now.Add(time.Duration(i+1)*time.Millisecond), "i")
			h.node.crashes.endRun(now.Add(time.Duration(i+1)*time.Millisecond), poison, runEnded)
			return true
		})
		time.Sleep(300 * time.Millisecond)
	}
	quarantined := func(h *testHost) bool {
		return h.node.crashes.quarantineRemaining(h.node.clock.Now(), poison) > 0
	}
	for _, h := range r.hosts {
		require.Eventually(t, func() bool { return quarantined(h) }, contactTime, 10*time.Millisecond, "the leader tells all nodes")
	}
	require.Eventually(t, func() bool {
		for _, h := range r.hosts {
			if h.isLeader() {
				return onControl(h.node, func(clock.Instant) bool {
					c := h.node.coordinator
					return c.savedQuarantine == c.quarantined.Version && c.savedQuarantine != 0
				})
			}
		}
		return false
	}, contactTime, 10*time.Millisecond, "the store keeps it")
	for _, h := range r.hosts {
		r.restart(h)
		require.Eventually(t, h.node.state.viewLoaded.Load, 3*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return quarantined(h) }, 100*time.Millisecond, time.Millisecond, "before the node serves")
	}
	for _, h := range r.hosts {
		require.Eventually(t, func() bool { return quarantined(h) }, time.Second, 10*time.Millisecond)
	}
}

// Guards against a leader that counts one crash twice, because a node repeats its report until it is old.
func TestRepeatedReportsOfACrashCountOnce(t *testing.T) {
	now := clock.Instant(time.Hour)
	node, leader := newCrashWatch(1), newCrashWatch(2)
	node.beginRun(now, 5, "x")
	node.recordTargetEnd(now.Add(10 * time.Millisecond))
	for i := range 20 {
		sent := now.Add(time.Duration(i) * time.Second)
		runs, _ := node.report(sent)
		require.Len(t, runs, 1)
		require.Empty(t, leader.recordReport(sent.Add(time.Duration(i%5)*100*time.Millisecond), &fleet.Report{SuspectRuns: runs}))
	}
	runs, _ := node.report(now.Add(crashReportRetention + time.Second))
	require.Empty(t, runs)
	require.Empty(t, leader.quarantineList().Entries)
	require.Equal(t, []uint64{5}, leader.recordReport(now.Add(20*time.Second), &fleet.Report{SuspectRuns: []fleet.SuspectRun{{Fingerprint: 5, CrashID: 77, Request: 3, StartedMsAgo: 20, EndedMsAgo: 10}}}))
	require.Equal(t, 1, leader.quarantineList().Entries[0].Level)
	require.IsType(t, quarantine.Entry{}, leader.quarantineList().Entries[0])
}
