package standin

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

// Guards against two winners of one conditional update, and against a race without a winner.
func TestConditionalUpdateHasOneWinner(t *testing.T) {
	p := New(0)
	version := uint64(0)
	for range 50 {
		var winners atomic.Int32
		var next atomic.Uint64
		var group sync.WaitGroup
		for i := range 8 {
			group.Go(func() {
				v, err := p.Put(context.Background(), "slices", "booking/0", fmt.Append(nil, i), version)
				if err == nil {
					winners.Add(1)
					next.Store(v)
					return
				}
				if !errs.Is(err, errs.Conflict) {
					t.Errorf("unexpected error: %v", err)
				}
			})
		}
		group.Wait()
		require.Equal(t, int32(1), winners.Load())
		version = next.Load()
	}
}

// follower keeps a copy of the objects from watches alone.
type follower struct {
	revision uint64
	copied   map[string]store.Object
}

func (f *follower) follow(ctx context.Context, s store.Store) error {
	changes, revision, err := s.Watch(ctx, f.revision, 0)
	if err != nil {
		return err
	}
	last := f.revision
	for _, c := range changes {
		if c.Version <= last || c.Version > revision {
			return fmt.Errorf("version %d after %d in an answer for revision %d", c.Version, last, revision)
		}
		last = c.Version
		if c.Deleted {
			delete(f.copied, c.Name)
		} else {
			f.copied[c.Name] = c.Object
		}
	}
	f.revision = revision
	return nil
}

// Guards against a watch that skips a change, repeats one, or leaves out a deletion, also while the
// change log is being compacted.
func TestWatchNeverSkipsAChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		p := New(rapid.IntRange(1, 20).Draw(rt, "log"))
		f := &follower{copied: map[string]store.Object{}}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
			current, err := p.Get(ctx, "node", name)
			switch action := rapid.IntRange(0, 3).Draw(rt, "action"); {
			case action == 0 && err == nil:
				require.NoError(rt, p.Delete(ctx, "node", name, current.Version))
			case action <= 2:
				_, err = p.Put(ctx, "node", name, fmt.Append(nil, action), current.Version)
				require.NoError(rt, err)
			default:
				f.catchUp(rt, ctx, p)
			}
		}
		f.catchUp(rt, ctx, p)
	})
}

func (f *follower) catchUp(rt *rapid.T, ctx context.Context, p *Platform) {
	objects, revision, err := p.List(ctx)
	require.NoError(rt, err)
	listed := map[string]store.Object{}
	for _, o := range objects {
		listed[o.Name] = o
	}
	if err := f.follow(ctx, p); errs.Is(err, errs.Compacted) {
		require.Less(rt, f.revision, p.state.compacted, "only a position before the log is compacted")
		f.copied, f.revision = listed, revision
		return
	} else {
		require.NoError(rt, err)
	}
	require.Equal(rt, revision, f.revision)
	require.Equal(rt, listed, f.copied)
}

// Guards against a bounded answer whose revision lies beyond the changes that it holds.
func TestLongWatchAnswerIsContinued(t *testing.T) {
	p := New(0)
	const objects = 2*maxChangesPerWatch + 5
	for i := range objects {
		_, err := p.Put(t.Context(), "node", fmt.Sprint("n", i), nil, 0)
		require.NoError(t, err)
	}
	f := &follower{copied: map[string]store.Object{}}
	for range 3 {
		require.NoError(t, f.follow(t.Context(), p))
	}
	require.Len(t, f.copied, objects)
}

// Guards against a watch that sleeps through a change or through the start of an outage.
func TestWaitingWatchIsWoken(t *testing.T) {
	for name, wake := range map[string]func(*Platform){
		"change": func(p *Platform) { _, _ = p.Put(context.Background(), "node", "a", nil, 0) },
		"outage": func(p *Platform) { p.SetFaults(Faults{Down: true}) },
	} {
		p := New(0)
		done := make(chan error, 1)
		go func() {
			changes, _, err := p.Watch(context.Background(), 0, 30*time.Second)
			if err == nil && len(changes) != 1 {
				err = fmt.Errorf("%d changes", len(changes))
			}
			done <- err
		}()
		require.Eventually(t, func() bool { return p.Stats().Waiting == 1 }, 5*time.Second, time.Millisecond)
		wake(p)
		select {
		case err := <-done:
			require.Equal(t, name == "outage", errs.Is(err, errs.Unavailable), "%v", err)
			require.Equal(t, name == "change", err == nil, "%v", err)
		case <-time.After(5 * time.Second):
			t.Fatalf("the watch was not woken by the %s", name)
		}
	}
}
