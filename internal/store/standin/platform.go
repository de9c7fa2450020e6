package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

const (
	// DefaultLogEntries is the default length of the change log.
	DefaultLogEntries = 10_000
	// MaxWatchWait bounds how long a watch may wait.
	MaxWatchWait = time.Minute
)

// Faults is what the platform currently does wrong. The zero value is a platform without faults.
type Faults struct {
	// Down refuses every call and ends the watches that wait.
	Down bool
	// Slow delays every answer by this time. A write takes effect after half of it, also if its caller
	// has given up by then.
	Slow time.Duration
	// LoseAnswers loses the answer of every write that took effect.
	LoseAnswers bool
	// LoseNext loses the answers of that many of the next writes that take effect.
	LoseNext int
	// ReadsPerSecond limits reads and watches; 0 means no limit.
	ReadsPerSecond float64
	// WritesPerSecond limits writes; 0 means no limit.
	WritesPerSecond float64
}

// Stats counts calls, including refused ones.
type Stats struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Watches     uint64 `json:"watches"`
	RateLimited uint64 `json:"rate_limited"`
	Refused     uint64 `json:"refused_while_down"`
	LostAnswers uint64 `json:"lost_answers"`
	Waiting     int    `json:"waiting_watches"`
	Objects     int    `json:"objects"`
	Revision    uint64 `json:"revision"`
}

// Platform is the in-memory platform. It is a store.Store by itself; Handler serves it over HTTP.
type Platform struct {
	mu     sync.Mutex
	state  *state
	faults Faults
	stats  Stats
	reads  *rate.Limiter
	writes *rate.Limiter
	// woken is closed and replaced at each change and each change of faults.
	woken chan struct{}
}

var _ store.Store = (*Platform)(nil)

// New returns an empty platform that keeps logEntries changes for watches; 0 means the default.
func New(logEntries int) *Platform {
	if logEntries <= 0 {
		logEntries = DefaultLogEntries
	}
	return &Platform{
		state:  newState(logEntries),
		reads:  rate.NewLimiter(rate.Inf, 0),
		writes: rate.NewLimiter(rate.Inf, 0),
		woken:  make(chan struct{}),
	}
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) { p.ChangeFaults(func(current *Faults) { *current = f }) }

// ChangeFaults changes some of the faults in one step.
func (p *Platform) ChangeFaults(change func(*Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.faults
	change(&p.faults)
	if p.faults.ReadsPerSecond != before.ReadsPerSecond {
		p.reads = newLimiter(p.faults.ReadsPerSecond)
	}
	if p.faults.WritesPerSecond != before.WritesPerSecond {
		p.writes = newLimiter(p.faults.WritesPerSecond)
	}
	p.wake()
}

// newLimiter allows bursts of a tenth of a second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Revision = p.state.revision
	stats.Objects = len(p.state.list(""))
	return stats
}

// wake ends the wait of all watches. The caller holds the lock.
func (p *Platform) wake() {
	close(p.woken)
	p.woken = make(chan struct{})
}

// Get implements store.Store.
func (p *Platform) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if err := store.CheckName(kind, name); err != nil {
		return store.Object{}, err
	}
	var object store.Object
	err := p.read(ctx, &p.stats.Reads, func() (err error) {
		object, err = p.state.get(objectID{kind, name})
		return err
	})
	return object, err
}

// List implements store.Store.
func (p *Platform) List(ctx context.Context) ([]store.Object, uint64, error) {
	return p.ListKind(ctx, "")
}

// ListKind returns the objects of one kind, or of all kinds if kind is empty.
func (p *Platform) ListKind(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	var objects []store.Object
	var revision uint64
	err := p.read(ctx, &p.stats.Reads, func() error {
		objects, revision = p.state.list(kind), p.state.revision
		return nil
	})
	return objects, revision, err
}

// Put implements store.Store.
func (p *Platform) Put(ctx context.Context, kind, name string, value []byte, expect uint64) (uint64, error) {
	if err := store.CheckName(kind, name); err != nil {
		return 0, err
	}
	if err := store.CheckValue(kind, name, value); err != nil {
		return 0, err
	}
	return p.write(ctx, func() (uint64, error) { return p.state.put(objectID{kind, name}, value, expect) })
}

// Delete implements store.Store.
func (p *Platform) Delete(ctx context.Context, kind, name string, expect uint64) error {
	if err := store.CheckDelete(kind, name, expect); err != nil {
		return err
	}
	_, err := p.write(ctx, func() (uint64, error) { return 0, p.state.remove(objectID{kind, name}, expect) })
	return err
}

// Watch implements store.Store.
func (p *Platform) Watch(ctx context.Context, since uint64, wait time.Duration) ([]store.Change, uint64, error) {
	slow, err := p.admit(&p.stats.Watches)
	if err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(min(wait, MaxWatchWait))
	defer timer.Stop()
	expired := false
	for {
		changes, revision, woken, err := p.poll(since)
		if err != nil || len(changes) > 0 || expired {
			return changes, revision, firstError(err, sleep(ctx, slow))
		}
		p.countWaiting(1)
		select {
		case <-woken:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			err = unreachable(ctx.Err())
		}
		p.countWaiting(-1)
		if err != nil {
			return nil, 0, err
		}
	}
}

// poll returns the changes after since, and the channel that is closed at the next change.
func (p *Platform) poll(since uint64) ([]store.Change, uint64, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return nil, 0, nil, errDown()
	}
	changes, revision, err := p.state.changes(since)
	return changes, revision, p.woken, err
}

func (p *Platform) countWaiting(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Waiting += delta
}

// read runs f under the lock, in the middle of the delay of a slow platform.
func (p *Platform) read(ctx context.Context, count *uint64, f func() error) error {
	slow, err := p.admit(count)
	if err != nil {
		return err
	}
	if err := sleep(ctx, slow/2); err != nil {
		return err
	}
	p.mu.Lock()
	err = f()
	p.mu.Unlock()
	return firstError(sleep(ctx, slow-slow/2), err)
}

// write runs f like read, but goes on if the caller gives up, as a remote platform would.
func (p *Platform) write(ctx context.Context, f func() (uint64, error)) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, unreachable(err)
	}
	slow, err := p.admit(&p.stats.Writes)
	if err != nil {
		return 0, err
	}
	if slow == 0 {
		return p.apply(f)
	}
	type result struct {
		version uint64
		err     error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(slow / 2)
		version, err := p.apply(f)
		time.Sleep(slow - slow/2)
		done <- result{version, err}
	}()
	select {
	case r := <-done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, errs.Wrap(ctx.Err(), errs.OutcomeUnknown, remedyReadBack, "the caller stopped waiting for the write")
	}
}

// apply makes the change and decides whether its answer is lost.
func (p *Platform) apply(f func() (uint64, error)) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version, err := f()
	if err != nil {
		return 0, err
	}
	p.wake()
	if !p.faults.LoseAnswers && p.faults.LoseNext == 0 {
		return version, nil
	}
	p.faults.LoseNext = max(0, p.faults.LoseNext-1)
	p.stats.LostAnswers++
	return 0, errs.New(errs.OutcomeUnknown, remedyReadBack, "the answer of the write was lost")
}
