// Package store is the client side of the platform's object API. Store is
// the interface that the rest of the system uses; HTTPStore is its adapter.
package store

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Object is a stored value with the platform revision of its last write.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Change is the newest state of an object that changed.
type Change struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// Store reads and writes objects. Errors carry the kinds of package errs:
// Unavailable and RateLimited had no effect, OutcomeUnknown may have had.
type Store interface {
	// Get returns one object, or an error of kind NotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects and the revision that the list reflects.
	List(ctx context.Context) ([]Object, uint64, error)
	// Put writes a value if the object's version is expect; 0 means that it must not exist.
	// It returns the new version, or an error of kind Conflict.
	Put(ctx context.Context, kind, name string, value []byte, expect uint64) (uint64, error)
	// Delete removes an object if its version is expect.
	Delete(ctx context.Context, kind, name string, expect uint64) error
	// Watch waits until there is a change after the revision or the wait is over. It returns
	// the changes and the revision to continue from, or an error of kind Compacted.
	Watch(ctx context.Context, since uint64, wait time.Duration) ([]Change, uint64, error)
}

// Objects reads and writes the objects of a store that lists and watches by kind. Errors carry the same kinds as
// those of Store.
type Objects interface {
	// Era returns how often the store came back from a copy, as far as its responses have told it. Versions order by era first.
	Era() uint64
	// Get returns one object as it is now, or an error of kind NotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind and the revision that the list reflects.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put writes a value if the object's version is expect; the first version of the current era means that it must not exist.
	// It returns the new version, or an error of kind Conflict.
	Put(ctx context.Context, kind, name string, value []byte, expect uint64) (uint64, error)
	// Delete removes an object if its version is expect.
	Delete(ctx context.Context, kind, name string, expect uint64) error
	// Watch waits until objects of the kind change after the revision or the wait is over. It returns the changes
	// and the revision to continue from, or an error of kind Compacted.
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Change, uint64, error)
}
