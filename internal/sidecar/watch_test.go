package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
)

// unwatchableStore counts lists and refuses to watch from any of them, as a store does whose era has gone back.
type unwatchableStore struct {
	store.Objects
	lists int
}

func (s *unwatchableStore) List(context.Context, string) ([]store.Object, uint64, error) {
	s.lists++
	return nil, 9, nil
}

func (s *unwatchableStore) Watch(context.Context, string, uint64, time.Duration) ([]store.Change, uint64, error) {
	return nil, 0, errs.New(errs.Compacted, "List the objects.", "the history is gone")
}

// Guards against lists in a loop without a pause, which use up the store's rate, where no watch can start from a list.
func TestListsWithoutAWatchArePaced(t *testing.T) {
	const length = 3 * time.Second
	n, s := newIdleNode(t), &unwatchableStore{}
	n.store = s
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		n.followKind(ctx, platform.EvacuationKind, func([]store.Change, uint64, bool) {})
	})
	require.Positive(t, s.lists)
	require.LessOrEqual(t, s.lists, int(length/storeRetryDelay)+1)
}
