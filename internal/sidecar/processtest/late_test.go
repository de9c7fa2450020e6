package processtest

import (
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playLateHeartbeats moves the keys of a target while its node starts again, and lets heartbeats of before arrive first at the new process.
func playLateHeartbeats(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	within := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	f := newDrillFleet(t, "a", "b", "c", "c")
	h, other := f.hosts[0], f.hosts[1]
	number, someRanges, leaves := 1+random.IntN(2), random.IntN(2) == 0, random.IntN(3) == 0
	h.process.IgnoreHeartbeatURL = random.IntN(2) == 0
	restart, lateness, lateBefore := random.IntN(4), within(300*time.Millisecond, 3*time.Second), random.IntN(4) > 0
	takenBack := rand.New(rand.NewPCG(seed, 1)).IntN(3) == 0
	t.Logf("%d late heartbeats, with ranges: %v, the target leaves: %v, restart %d, later ones are %v late, the target ignores heartbeat_url: %v, the zone is taken back: %v",
		number, someRanges, leaves, restart, lateness, h.process.IgnoreHeartbeatURL, takenBack)
	if !someRanges {
		h.process.HoldUpHeartbeats(number)
	}
	f.startNodes()
	if someRanges { // More ranges come to the target after these heartbeats.
		h.process.HoldUpHeartbeats(number)
		time.Sleep(time.Duration(number) * 1200 * time.Millisecond)
		f.store.Evacuate("b")
		require.Eventually(t, func() bool { return other.process.Holds() == 0 && f.history.HeldShare("keyed") == 1 }, servedAgain, 20*time.Millisecond, "the keys of zone b have moved")
		f.store.TakeBack("b")
		time.Sleep(time.Second)
	}
	if lateBefore { // The process that is killed does not learn of the release.
		h.process.DelayHeartbeats(lateness)
	}
	if leaves {
		h.process.Drain()
	} else {
		f.store.Evacuate("a")
	}
	time.Sleep(within(20*time.Millisecond, 250*time.Millisecond))
	h.process.DelayHeartbeats(lateness)
	if takenBack { // A release may be on its way to the leader.
		f.store.TakeBack("a")
	}
	switch pause := within(100*time.Millisecond, 800*time.Millisecond); restart {
	case 0:
		require.NoError(t, h.cmd.Process.Signal(syscall.SIGSTOP))
		go h.process.DeliverHeartbeats()
		time.Sleep(within(200*time.Millisecond, 5*time.Second))
		require.NoError(t, h.cmd.Process.Signal(syscall.SIGCONT))
	case 1:
		f.restart(pause, h)
		time.Sleep(within(50*time.Millisecond, 1500*time.Millisecond))
		fallthrough
	default:
		f.restart(pause, h)
		require.Equal(t, number, h.process.DeliverHeartbeats(), "the late heartbeats have arrived")
	}
	time.Sleep(3 * time.Second)
	h.process.DelayHeartbeats(0)
	began := time.Now()
	require.Eventually(t, func() bool { return f.history.HeldShare("keyed") == 1 }, servedAgainAfterMore, 20*time.Millisecond, "all keys are held again")
	t.Logf("all keys are held %v after the heartbeats arrive in time again", time.Since(began).Round(time.Millisecond))
	time.Sleep(time.Second)
	require.Empty(t, f.history.Violations())
}

// Guards against keys with two owners because heartbeats that were sent before the last grant of a process are the first that the next process gets.
// Set LATE_HEARTBEATS to the number of plays and LATE_SEED to the first seed.
func TestLateHeartbeatsAfterARestart(t *testing.T) {
	playSeeds(t, "LATE_HEARTBEATS", "LATE_SEED", 10, playLateHeartbeats)
}
