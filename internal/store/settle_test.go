package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/store/standin"
)

// Guards against a write whose answer was lost being applied twice or reported as failed.
func TestLostAnswerIsSettledAsApplied(t *testing.T) {
	p := standin.New(0)
	client := newStore(t, store.HTTPOptions{URL: serve(t, standin.Handler(p))})
	p.SetFaults(standin.Faults{LoseAnswers: true})

	version, err := store.PutSettled(t.Context(), client, "node", "a", []byte("1"), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), version)
	require.Equal(t, uint64(1), p.Stats().Revision, "the write must take effect once")
	require.NoError(t, store.DeleteSettled(t.Context(), client, "node", "a", version))
	require.Equal(t, uint64(2), p.Stats().Revision)
}

// Guards against a settlement that claims another writer's change as its own.
func TestLostAnswerAfterAnotherWriterIsConflict(t *testing.T) {
	p := standin.New(0)
	s := &interleaved{Platform: p, after: func() {
		_, err := p.Put(context.Background(), "node", "a", []byte("other"), 1)
		require.NoError(t, err)
	}}
	p.SetFaults(standin.Faults{LoseNext: 1})
	_, err := store.PutSettled(t.Context(), s, "node", "a", []byte("mine"), 0)
	require.Equal(t, errs.Conflict, errs.KindOf(err), "%v", err)
}

// interleaved runs after once, after the first write.
type interleaved struct {
	*standin.Platform
	after func()
}

func (s *interleaved) Put(ctx context.Context, kind, name string, value []byte, expect uint64) (uint64, error) {
	version, err := s.Platform.Put(ctx, kind, name, value, expect)
	if s.after != nil {
		s.after()
		s.after = nil
	}
	return version, err
}

// Guards against "the version is unchanged" being taken for "the write will not take effect": a slow
// platform applies the write after the read-back.
func TestWriteThatArrivesLateStaysPending(t *testing.T) {
	p := standin.New(0)
	p.SetFaults(standin.Faults{Slow: 400 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := p.Put(ctx, "node", "a", []byte("1"), 0)
	require.Equal(t, errs.OutcomeUnknown, errs.KindOf(err), "%v", err)

	p.SetFaults(standin.Faults{})
	w := store.Write{Kind: "node", Name: "a", Value: []byte("1")}
	settled, err := store.Settle(t.Context(), p, w)
	require.NoError(t, err)
	require.Equal(t, store.Pending, settled.Settlement)
	require.Eventually(t, func() bool {
		settled, err := store.Settle(t.Context(), p, w)
		return err == nil && settled.Settlement == store.Applied && settled.Current.Version == 1
	}, 2*time.Second, 10*time.Millisecond)
}
