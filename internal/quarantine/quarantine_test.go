package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

func second(s float64) clock.Instant {
	return clock.Instant(time.Hour).Add(time.Duration(s * float64(time.Second)))
}

// wall is the time of day at second(0).
var wall = time.Unix(1_800_000_000, 0)

func crash(id uint64, started, ended float64) Crash {
	return Crash{Fingerprint: 7, ID: id, Request: id, Started: second(started), Ended: second(ended)}
}

func TestRequestIsQuarantinedAtItsSecondCrash(t *testing.T) {
	l := NewTracker()
	require.False(t, l.RecordCrash(second(1), wall, crash(1, 0, 1)))
	require.Zero(t, l.Remaining(second(1), 7))
	require.True(t, l.RecordCrash(second(3), wall, crash(2, 2, 3)))
	require.Equal(t, firstQuarantine, l.Remaining(second(3), 7))
	require.Zero(t, l.Remaining(second(64), 7))
	require.True(t, l.RecordCrash(second(66), wall, crash(3, 65, 66)), "it crashes a target again after the quarantine")
	require.Equal(t, quarantineGrowth*firstQuarantine, l.Remaining(second(66), 7))
	require.Equal(t, maxQuarantine, quarantineLength(9))
}

// Guards against innocent requests that are refused because they run on several targets that end together, or because a crash is
// reported more than once.
func TestOnlyLaterRunsCount(t *testing.T) {
	l := NewTracker()
	l.RecordCrash(second(1), wall, crash(1, 0.8, 1))
	require.False(t, l.RecordCrash(second(1.1), wall, crash(2, 0.9, 1.05)), "began before the other target ended")
	require.False(t, l.RecordCrash(second(2), wall, crash(1, 1.2, 1.3)), "a repeated report that was held up on its way")
	require.Zero(t, l.Remaining(second(2), 7))
}

// Guards against a request that crashes two targets with each attempt, because its second run counts as one beside the first.
func TestRetryOfTheSameRequestCounts(t *testing.T) {
	l := NewTracker()
	first, retry := crash(1, 1, 1.001), crash(2, 1.001, 1.002)
	retry.Request = first.Request
	require.False(t, l.RecordCrash(second(1.1), wall, first))
	require.True(t, l.RecordCrash(second(1.1), wall, retry))
}

// Guards against a popular request that is refused for good because it was at work at two crashes, hours apart.
func TestSuspicionEnds(t *testing.T) {
	l := NewTracker()
	l.RecordCrash(second(1), wall, crash(1, 0, 1))
	require.True(t, l.Clear(7), "it has run to its end elsewhere")
	require.False(t, l.RecordCrash(second(5), wall, crash(2, 4, 5)))
	require.False(t, l.RecordCrash(second(5), wall, crash(1, 4, 5)), "a report of the crash before it was cleared")
	require.Zero(t, l.Remaining(second(5), 7))

	l = NewTracker()
	l.RecordCrash(second(1), wall, crash(1, 0, 1))
	for i := range maxTracked {
		l.RecordCrash(second(2), wall, Crash{Fingerprint: uint64(1000 + i), ID: 1, Request: 1, Started: second(1), Ended: second(2)})
	}
	require.LessOrEqual(t, len(l.suspects), maxTracked)
	require.False(t, l.RecordCrash(second(3600), wall, crash(2, 3599, 3600)), "the first crash is forgotten")
}

// Guards against quarantines that end with the process that decided them.
func TestQuarantinesAreHandedOver(t *testing.T) {
	l := NewTracker()
	l.RecordCrash(second(1), wall, crash(1, 0, 1))
	l.RecordCrash(second(3), wall.Add(3*time.Second), crash(2, 2, 3))
	entries := l.Entries()
	require.Equal(t, []Entry{{Fingerprint: 7, Level: 1, Until: wall.Add(63 * time.Second)}}, entries)

	next := NewTracker()
	next.Adopt(clock.Instant(5*time.Second), wall.Add(20*time.Second), entries)
	require.Equal(t, 43*time.Second, next.Remaining(clock.Instant(5*time.Second), 7))
	require.True(t, next.Suspected(7))
	c := Crash{Fingerprint: 7, ID: 9, Request: 9, Started: clock.Instant(60 * time.Second), Ended: clock.Instant(61 * time.Second)}
	require.True(t, next.RecordCrash(c.Ended, wall, c), "one more crash after the quarantine is enough")
	require.Equal(t, quarantineGrowth*firstQuarantine, next.Remaining(c.Ended, 7))

	next.Adopt(c.Ended, wall, []Entry{{Fingerprint: 7, Level: 1, Cleared: true}})
	require.Zero(t, next.Remaining(c.Ended, 7))
	require.False(t, next.Suspected(7))
	later := NewTracker()
	later.Adopt(0, wall.Add(-365*24*time.Hour), entries)
	require.LessOrEqual(t, later.Remaining(0, 7), firstQuarantine, "the time of day is wrong")
}

func TestEntriesAreBounded(t *testing.T) {
	l := NewTracker()
	for i := range uint64(2 * MaxEntries) {
		l.RecordCrash(second(1), wall, Crash{Fingerprint: i, ID: 1, Request: 1, Started: second(0), Ended: second(1)})
		l.RecordCrash(second(3), wall, Crash{Fingerprint: i, ID: 2, Request: 2, Started: second(2), Ended: second(3)})
	}
	require.Len(t, l.Entries(), MaxEntries)
	many := make([]Entry, 10*MaxEntries)
	for i := range many {
		many[i] = Entry{Fingerprint: uint64(i), Level: 1, Until: wall.Add(time.Minute)}
	}
	l.Adopt(second(4), wall, many)
	require.LessOrEqual(t, len(l.suspects), 3*MaxEntries)
}
