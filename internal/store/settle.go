package store

import (
	"bytes"
	"context"

	"github.com/citronvane/citronvane/internal/errs"
)

// Settlement says what reading an object back tells about a write whose answer was lost.
type Settlement int

// The settlements.
const (
	// Pending means that the object still has the version that the write expected. The write was not
	// applied so far, but a slow platform may still apply it, until another write changes the version.
	Pending Settlement = iota
	// Applied means that the object has the content of the write under a newer version.
	Applied
	// Replaced means that the object has another version and other content. The write can no longer
	// be applied; it may have been in force before it was replaced.
	Replaced
)

// Write is a conditional write.
type Write struct {
	Kind string
	Name string
	// Value is ignored if Delete is set.
	Value  []byte
	Expect uint64
	Delete bool
}

// Settled is the outcome of Settle.
type Settled struct {
	Settlement Settlement
	// Current is the object that was read back, zero if there is none.
	Current Object
}

// Settle reads the object of a write back after an error of kind OutcomeUnknown.
func Settle(ctx context.Context, s Store, w Write) (Settled, error) {
	current, err := s.Get(ctx, w.Kind, w.Name)
	if err != nil && !errs.Is(err, errs.NotFound) {
		return Settled{}, err
	}
	return Settled{Settlement: w.compare(current), Current: current}, nil
}

// compare settles the write against the current object; version 0 means that there is none.
func (w Write) compare(current Object) Settlement {
	switch {
	case current.Version == w.Expect:
		return Pending
	case w.Delete && current.Version == 0:
		return Applied
	case !w.Delete && current.Version > w.Expect && bytes.Equal(current.Value, w.Value):
		return Applied
	default:
		return Replaced
	}
}

// PutSettled writes like Store.Put, and settles lost answers: it reads back, and repeats the write
// as long as the object has the expected version. Repeating is safe, because at most one of the
// conditional writes takes effect. It returns an error of kind Conflict if the object was replaced,
// in which case the write may have been in force for a time, and of kind OutcomeUnknown only if the
// context ended before the outcome was known. An object with equal content and a newer version
// counts as the caller's own write.
func PutSettled(ctx context.Context, s Store, kind, name string, value []byte, expect uint64) (uint64, error) {
	w := Write{Kind: kind, Name: name, Value: value, Expect: expect}
	return w.settled(ctx, s)
}

// DeleteSettled deletes like Store.Delete, and settles lost answers as PutSettled does. An object
// that is gone counts as deleted by the caller.
func DeleteSettled(ctx context.Context, s Store, kind, name string, expect uint64) error {
	w := Write{Kind: kind, Name: name, Expect: expect, Delete: true}
	_, err := w.settled(ctx, s)
	return err
}

func (w Write) settled(ctx context.Context, s Store) (uint64, error) {
	version, err := w.do(ctx, s)
	if !errs.Is(err, errs.OutcomeUnknown) {
		return version, err
	}
	pauses := NewBackOff(BackOffBase, BackOffCap)
	for {
		settled, settleErr := Settle(ctx, s, w)
		switch {
		case settleErr != nil:
			// The outcome stays unknown until a read succeeds.
		case settled.Settlement == Applied:
			return settled.Current.Version, nil
		case settled.Settlement == Replaced:
			return 0, w.replaced(settled.Current)
		default:
			if version, err := w.do(ctx, s); err == nil {
				return version, nil
			}
		}
		if Pause(ctx, pauses) != nil {
			return 0, err
		}
	}
}

func (w Write) do(ctx context.Context, s Store) (uint64, error) {
	if w.Delete {
		return 0, s.Delete(ctx, w.Kind, w.Name, w.Expect)
	}
	return s.Put(ctx, w.Kind, w.Name, w.Value, w.Expect)
}

func (w Write) replaced(current Object) error {
	return errs.New(errs.Conflict, "Read the object again and decide anew.",
		"%s/%s has version %d in place of %d after a write whose answer was lost", w.Kind, w.Name, current.Version, w.Expect)
}
