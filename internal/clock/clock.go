// Package clock provides the time source for leases. Its readings include the time for which the
// host was suspended and are not affected by changes to the wall clock.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of a Clock: the time since an arbitrary origin. Instants of different hosts
// must not be compared.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Clock reads the current instant.
type Clock interface {
	Now() Instant
}

// Boot is the clock of the host that reads CLOCK_BOOTTIME.
type Boot struct{}

// Now reads CLOCK_BOOTTIME. It panics if the kernel does not provide this clock, because a lease
// can't be kept safely without it.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Manual is a clock for tests that changes only through Advance.
type Manual struct {
	mu  sync.Mutex
	now Instant
}

// Now returns the current instant of the clock.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
