package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/wire"
)

const now = clock.Instant(time.Hour)

// Guards against a poison request that keeps crashing targets, whether the lost connection or the confirmation of the
// crash is recorded first, and against counting one crash twice.
func TestQuarantineAfterTwoCrashes(t *testing.T) {
	a, b := NewList("a"), NewList("b")
	require.Nil(t, a.Finish(now, a.Begin(7, "a1"), ConnectionLost))
	first := a.TargetGone(now+1, "a1")
	require.Equal(t, []uint64{7}, first.GetFingerprints())
	require.Nil(t, a.TargetGone(now+2, "a1"))

	require.Nil(t, b.TargetGone(now, "b1"))
	second := b.Finish(now+1, b.Begin(7, "b1"), ConnectionLost)
	require.NotNil(t, second)
	for range 2 {
		b.Add(now, second)
		require.Zero(t, b.QuarantineRemaining(now, 7), "one crash is not enough")
	}
	quarantined, ok := b.Add(now, first)
	require.True(t, ok)
	require.Equal(t, []uint64{7}, quarantined)
	require.Equal(t, quarantineDuration, b.QuarantineRemaining(now, 7))
	require.Zero(t, b.QuarantineRemaining(now, 8))
	require.Zero(t, b.QuarantineRemaining(now.Add(quarantineDuration), 7))
}

// Guards against quarantine of requests that did not cause a crash: those of a target that only closed a connection,
// froze or returned, those that this node cancelled, and popular ones that are answered between two crashes.
func TestUnrelatedRequestsAreNotQuarantined(t *testing.T) {
	l := NewList("a")
	l.Finish(now, l.Begin(1, "x"), ConnectionLost)
	require.Nil(t, l.TargetGone(now.Add(crashConfirmationTimeout+1), "x"), "the lost connection is too old to belong to this crash")
	require.Nil(t, l.Finish(now, l.Begin(2, "x"), Cancelled))
	l.TargetReturned("x")
	require.Nil(t, l.Finish(now, l.Begin(3, "x"), ConnectionLost), "the target did not crash")

	for _, incarnation := range []string{"y", "z"} {
		l.Finish(now, l.Begin(4, incarnation), ConnectionLost)
		require.NotNil(t, l.TargetGone(now, incarnation))
		l.Finish(now, l.Begin(4, "next"), Completed)
	}
	require.Zero(t, l.QuarantineRemaining(now, 4))
}

// Guards against unbounded memory for malformed or excessive reports.
func TestReportsAreBounded(t *testing.T) {
	l := NewList("a")
	_, ok := l.Add(now, &wire.PoisonReport{Reporter: "b", TargetIncarnation: "i", Fingerprints: make([]uint64, maxReportFingerprints+1)})
	require.False(t, ok)
	for i := range uint64(2 * maxSuspects) {
		l.Add(now, &wire.PoisonReport{Reporter: "b", TargetIncarnation: "i", Fingerprints: []uint64{i}})
		l.Finish(now, l.Begin(i, "i"), ConnectionLost)
	}
	require.Equal(t, maxSuspects, l.suspects.Len())
	require.Len(t, l.lostConnections, maxLostConnections)
}

// Guards against different requests that share a fingerprint.
func TestFingerprintSeparatesRequests(t *testing.T) {
	requests := []Request{
		{Service: "ab", Method: "c"}, {Service: "a", Method: "bc"}, {Path: "x"}, {Key: "x"}, {Body: []byte("x")},
		{Streamed: true, ContentLength: 1}, {Streamed: true, ContentLength: -1}, {},
	}
	seen := map[uint64]bool{}
	for _, r := range requests {
		require.False(t, seen[r.Fingerprint()])
		require.Equal(t, r.Fingerprint(), r.Fingerprint())
		seen[r.Fingerprint()] = true
	}
}
