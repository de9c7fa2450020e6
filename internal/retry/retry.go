// Package retry decides whether and when a request is retried. It performs no I/O and takes the time as an argument.
package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// BudgetRatio is the share of requests that may be retried. It bounds the extra load on a failing fleet to a tenth.
	BudgetRatio = 0.10
	// BudgetFloor is the number of retries per second that a node may always make, so that a node with few callers can
	// bridge a takeover.
	BudgetFloor = 10
	// rateTimeConstant is the time constant of the decaying counts of requests and retries.
	rateTimeConstant = 10 * time.Second
)

// Budget bounds the retries of a node to the larger of BudgetRatio and BudgetFloor. It is safe for concurrent use.
type Budget struct {
	floor *rate.Limiter

	mu            sync.Mutex
	decayedAt     clock.Instant
	earnedRetries float64 // earned by requests, spent by retries
	fleetRatio    float64
	requests      float64 // decaying counts
	retries       float64
}

// NewBudget returns a budget that allows BudgetFloor retries at once.
func NewBudget(now clock.Instant) *Budget {
	return &Budget{decayedAt: now, floor: rate.NewLimiter(BudgetFloor, BudgetFloor)}
}

// RecordRequest records a request of a caller, which earns a fraction of a retry.
func (b *Budget) RecordRequest(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	b.requests++
	b.earnedRetries = min(b.earnedRetries+BudgetRatio*b.earningFactor(), b.maxEarnedRetries())
}

// Allow reports whether a request may be retried, and spends the budget for it. A retry spends from both parts, so that
// the larger one is the bound and not their sum.
func (b *Budget) Allow(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	allowed := b.floor.AllowN(time.Unix(0, int64(now)), 1)
	if b.earnedRetries >= 1 {
		b.earnedRetries--
		allowed = true
	}
	if allowed {
		b.retries++
	}
	return allowed
}

// SetFleetRatio sets the ratio of retries to requests in the whole fleet. Above BudgetRatio it reduces what requests
// earn; the floor stays.
func (b *Budget) SetFleetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetRatio = ratio
}

// Ratio returns the recent ratio of retries to requests of this node.
func (b *Budget) Ratio(now clock.Instant) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	if b.requests < 1 {
		return 0
	}
	return b.retries / b.requests
}

func (b *Budget) earningFactor() float64 {
	if b.fleetRatio <= BudgetRatio {
		return 1
	}
	return BudgetRatio / b.fleetRatio
}

// maxEarnedRetries bounds earned retries to those of one second, so that quiet minutes don't pay for a retry storm.
func (b *Budget) maxEarnedRetries() float64 {
	return max(1, b.requests/rateTimeConstant.Seconds()*BudgetRatio)
}

func (b *Budget) decay(now clock.Instant) {
	elapsed := now.Sub(b.decayedAt)
	if elapsed <= 0 {
		return
	}
	b.decayedAt = now
	factor := math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	b.requests *= factor
	b.retries *= factor
}

const (
	// initialBackoff is the upper bound of the first backoff; another node often answers at once.
	initialBackoff = 5 * time.Millisecond
	// maxBackoff is the upper bound of all backoffs. It is well below the duration of a takeover.
	maxBackoff = 200 * time.Millisecond
	// maxBackoffDoublings bounds the doublings of initialBackoff; maxBackoff applies long before.
	maxBackoffDoublings = 8
)

// Backoff returns the delay before a retry (attempt 1 is the first one), with full jitter. It returns false if the
// delay would not end within the time remaining until the deadline.
func Backoff(attempt int, remaining time.Duration) (time.Duration, bool) {
	doublings := min(max(attempt-1, 0), maxBackoffDoublings)
	ceiling := min(initialBackoff<<doublings, maxBackoff)
	backoff := time.Duration(rand.Int64N(int64(ceiling) + 1))
	return backoff, backoff < remaining
}
