// Package memory accounts for bytes that a process holds on behalf of others, so that their sum stays within the process's memory.
package memory

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// highWaterShare is the share of an account above which callers wait for room and holders without progress are ended. The rest is for
// small requests, which must not wait behind large ones.
const highWaterShare = 0.875

// Account holds the number of bytes that are in use. Reserving and releasing take one atomic addition unless something waits.
type Account struct {
	limit, highWater int64
	used             atomic.Int64
	waiting          atomic.Int64

	mu      sync.Mutex
	waiters []*waiter
}

type waiter struct {
	bytes   int64
	granted chan struct{}
}

// NewAccount returns an account of limit bytes, 0 for an unlimited one.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, highWater: int64(highWaterShare * float64(limit))}
}

// Limit returns the size of the account, 0 if it is unlimited.
func (a *Account) Limit() int64 { return a.limit }

// Used returns the bytes in use.
func (a *Account) Used() int64 { return a.used.Load() }

// Pressed reports whether the account is above its high-water mark or something waits for room.
func (a *Account) Pressed() bool {
	return a.limit > 0 && (a.used.Load() > a.highWater || a.waiting.Load() > 0)
}

// TryReserve reserves bytes up to the limit and reports whether there was room.
func (a *Account) TryReserve(bytes int64) bool { return a.tryWithin(bytes, a.limit) }

// TryReserveLarge reserves bytes up to the high-water mark, unless others wait, and reports whether there was room.
func (a *Account) TryReserveLarge(bytes int64) bool {
	return a.waiting.Load() == 0 && a.tryWithin(bytes, a.highWater)
}

func (a *Account) tryWithin(bytes, limit int64) bool {
	if a.used.Add(bytes) <= limit || a.limit == 0 {
		return true
	}
	a.Release(bytes)
	return false
}

// Force reserves bytes without regard to the limit, for what is held already.
func (a *Account) Force(bytes int64) { a.used.Add(bytes) }

// Reserve reserves bytes up to the high-water mark. It waits for room in the order of the calls, up to the given time and until the
// context ends, and reports whether it got it.
func (a *Account) Reserve(ctx context.Context, bytes int64, wait time.Duration) bool {
	if a.TryReserveLarge(bytes) {
		return true
	}
	w := &waiter{bytes, make(chan struct{})}
	a.mu.Lock()
	// Counting before the second attempt makes Release see this waiter, or the attempt see what was released.
	a.waiting.Add(1)
	a.waiters = append(a.waiters, w)
	a.grant()
	a.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !a.withdraw(w)
}

// withdraw removes a waiter and reports whether it had not been granted its bytes.
func (a *Account) withdraw(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	a.waiting.Add(-1)
	a.grant() // The next one may need less.
	return true
}

// Release returns reserved bytes.
func (a *Account) Release(bytes int64) {
	a.used.Add(-bytes)
	if a.waiting.Load() > 0 {
		a.mu.Lock()
		a.grant()
		a.mu.Unlock()
	}
}

// grant serves the first waiters for which there is room. It needs the lock.
func (a *Account) grant() {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if a.used.Add(w.bytes) > a.highWater {
			a.used.Add(-w.bytes)
			return
		}
		a.waiters = slices.Delete(a.waiters, 0, 1)
		a.waiting.Add(-1)
		close(w.granted)
	}
}

// Hold is the sum of what one holder has reserved. The zero value with an account holds nothing. It is for one goroutine.
type Hold struct {
	Account *Account
	bytes   int64
}

// Bytes returns the reserved bytes.
func (h *Hold) Bytes() int64 { return h.bytes }

// Reserve reserves further bytes; see Account.Reserve.
func (h *Hold) Reserve(ctx context.Context, bytes int64, wait time.Duration) bool {
	return h.add(bytes, h.Account.Reserve(ctx, bytes, wait))
}

// TryReserve reserves further bytes; see Account.TryReserve.
func (h *Hold) TryReserve(bytes int64) bool { return h.add(bytes, h.Account.TryReserve(bytes)) }

// TryReserveLarge reserves further bytes; see Account.TryReserveLarge.
func (h *Hold) TryReserveLarge(bytes int64) bool {
	return h.add(bytes, h.Account.TryReserveLarge(bytes))
}

// Force reserves further bytes; see Account.Force.
func (h *Hold) Force(bytes int64) {
	h.Account.Force(bytes)
	h.add(bytes, true)
}

func (h *Hold) add(bytes int64, reserved bool) bool {
	if reserved {
		h.bytes += bytes
	}
	return reserved
}

// Release returns all that was reserved.
func (h *Hold) Release() {
	if h.bytes > 0 {
		h.Account.Release(h.bytes)
	}
	h.bytes = 0
}

type holdKey struct{}

// WithHold returns a context that carries the hold of a request.
func WithHold(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, holdKey{}, h)
}

// HoldOf returns the hold that the context carries, or nil.
func HoldOf(ctx context.Context) *Hold {
	h, _ := ctx.Value(holdKey{}).(*Hold)
	return h
}
