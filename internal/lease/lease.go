// Package lease implements the state machines of node leases: Holder for the
// node that serves requests, Grantor for the nodes that grant its lease,
// VoteTally for the revocation of a lease, and the choice of grantors. It
// performs no I/O and reads no clock; callers pass their own CLOCK_BOOTTIME.
package lease

import (
	"math"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// GrantDuration is the validity of a grant, counted from the time when the holder sent the
	// renewal. It leaves 400 ms of the second within which a key has to be served again after a failure.
	GrantDuration = 500 * time.Millisecond

	// RenewalInterval tolerates three lost renewals in a row before a grant expires.
	RenewalInterval = 125 * time.Millisecond

	// driftDivisor is the inverse of the maximum relative clock drift between two hosts: 1 part in 100.
	driftDivisor = 100

	// clockMargin covers rounding errors and the resolution of the clocks.
	clockMargin = 5 * time.Millisecond

	// ExpiryWait is the time after a grantor's last answer at which its grant has certainly expired
	// by the clock of any host.
	ExpiryWait = GrantDuration + GrantDuration/driftDivisor + clockMargin

	// MaxGrantors is the size of a full set of grantors. Three tolerate the loss of any one.
	MaxGrantors = 3

	// RankDelay staggers the grantors of a silent holder by rank, so that normally only one starts a revocation.
	RankDelay = 50 * time.Millisecond

	// livenessWindow is two renewal intervals. A holder that sent a renewal within it is alive, and a
	// vote to revoke it would stop a healthy owner that only the candidate can't reach.
	livenessWindow = 2 * RenewalInterval

	// maxTickGap is the longest gap between two ticks that does not count as a pause of this process.
	maxTickGap = 200 * time.Millisecond

	// holderRetention is how long the state of a holder is kept after its record stopped naming this
	// grantor. It is much longer than ExpiryWait.
	holderRetention = time.Minute
)

// Unlimited is the end of a lease without grantors.
const Unlimited = clock.Instant(math.MaxInt64)

// HolderQuorum returns the number of valid grants that a lease requires.
func HolderQuorum(grantors int) int { return grantors/2 + 1 }

// RevocationQuorum returns the number of votes that a revocation requires. It always intersects HolderQuorum.
func RevocationQuorum(grantors int) int { return grantors/2 + 1 }

// RemainingOnLocalClock converts a remaining time that another host measured to the clock of this
// host. The result includes the maximum drift.
func RemainingOnLocalClock(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	return remaining + remaining/driftDivisor + time.Millisecond
}
