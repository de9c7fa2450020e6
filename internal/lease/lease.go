// Package lease holds the state machines of node leases: Holder for the node
// that serves, Grantor for the nodes that renew its lease, Election for the
// revocation of a holder, and the choice of grantors. It performs no I/O and
// reads no clock; callers pass instants of their own CLOCK_BOOTTIME.
package lease

import (
	"math"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// GrantDuration is how long a grant holds, counted from when the holder sent the renewal. It
	// leaves 400 ms of the second within which a key has to be served again.
	GrantDuration = 500 * time.Millisecond

	// RenewalInterval lets three renewals in a row get lost before a grant runs out.
	RenewalInterval = 125 * time.Millisecond

	// driftDivisor bounds the drift of two hosts' clocks against each other to 1 part in 100.
	driftDivisor = 100

	// clockMargin covers rounding and the resolution of the clocks.
	clockMargin = 5 * time.Millisecond

	// ExpiryWait is how long after a grantor's last answer the grant has certainly run out.
	ExpiryWait = GrantDuration + GrantDuration/driftDivisor + clockMargin

	// MaxGrantors is the size of a full set of grantors. Three survive the loss of any one.
	MaxGrantors = 3

	// RankDelay separates the grantors of a silent holder so that only one does the work.
	RankDelay = 50 * time.Millisecond

	// livenessWindow is two renewal intervals: a holder that was heard since then is alive, and a
	// vote against it would stop a healthy owner that only the candidate can't reach.
	livenessWindow = 2 * RenewalInterval

	// maxTickGap is the longest gap between two ticks that does not count as a pause of this node.
	maxTickGap = 200 * time.Millisecond

	// holderRetention bounds the memory for holders that no record names. It is far longer than ExpiryWait.
	holderRetention = time.Minute
)

// Unlimited is the end of a lease that has no grantors.
const Unlimited = clock.Instant(math.MaxInt64)

// HolderQuorum is the number of grantors whose grants a holder needs.
func HolderQuorum(grantors int) int { return grantors/2 + 1 }

// RevocationQuorum is the number of votes that a revocation needs. The two quorums always intersect.
func RevocationQuorum(grantors int) int { return grantors/2 + 1 }

// RemainingOnLocalClock converts a remaining time that another host measured into a wait on this
// host's clock.
func RemainingOnLocalClock(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return remaining + remaining/driftDivisor + time.Millisecond
}
