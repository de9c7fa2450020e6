package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/replica"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// deflateMin leaves node records as they are; slice groups have about 20 KB and shrink to a tenth.
	deflateMin = 1 << 10
	// deflatedValues is twice the number of slice groups of the design scale.
	deflatedValues = 128
)

type valueKey struct {
	kind, name string
	version    uint64
}

// encoder turns batches into messages. It compresses each value once for all followers.
type encoder struct {
	mu       sync.Mutex
	writer   *flate.Writer
	deflated *simplelru.LRU[valueKey, []byte]
}

func newEncoder() *encoder {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("peer: the compression level is valid: " + err.Error())
	}
	deflated, err := simplelru.NewLRU[valueKey, []byte](deflatedValues, nil)
	if err != nil {
		panic("peer: the cache size is valid: " + err.Error())
	}
	return &encoder{writer: writer, deflated: deflated}
}

func (e *encoder) encode(b replica.Batch) *wire.Changes {
	changes := make([]*wire.Change, 0, len(b.Changes))
	for _, c := range b.Changes {
		change := &wire.Change{
			Kind:    c.Kind,
			Name:    c.Name,
			Version: c.Version,
			Value:   c.Value,
			Deleted: c.Deleted,
		}
		if len(c.Value) >= deflateMin {
			change.Value, change.Deflated = e.deflate(c.Object), true
		}
		changes = append(changes, change)
	}
	return &wire.Changes{Changes: changes, Revision: b.Revision}
}

// deflate returns the compressed value. Callers that need the same value at once wait for one of them.
func (e *encoder) deflate(o store.Object) []byte {
	key := valueKey{o.Kind, o.Name, o.Version}
	e.mu.Lock()
	defer e.mu.Unlock()
	if value, ok := e.deflated.Get(key); ok {
		return value
	}
	var out bytes.Buffer
	e.writer.Reset(&out)
	_, err := e.writer.Write(o.Value)
	if err == nil {
		err = e.writer.Close()
	}
	if err != nil {
		panic("peer: a write to memory does not fail: " + err.Error())
	}
	e.deflated.Add(key, out.Bytes())
	return out.Bytes()
}

// decode returns the batch in a message, or an error of kind Invalid or TooLarge.
func decode(m *wire.Changes) (replica.Batch, error) {
	changes := make([]store.Change, 0, len(m.GetChanges()))
	for _, c := range m.GetChanges() {
		value, err := inflate(c)
		if err != nil {
			return replica.Batch{}, err
		}
		changes = append(changes, store.Change{
			Object:  store.Object{Kind: c.GetKind(), Name: c.GetName(), Version: c.GetVersion(), Value: value},
			Deleted: c.GetDeleted(),
		})
	}
	return replica.Batch{Changes: changes, Revision: m.GetRevision()}, nil
}

func inflate(c *wire.Change) ([]byte, error) {
	if !c.GetDeflated() {
		return c.GetValue(), nil
	}
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(c.GetValue())), store.MaxValueBytes+1)
	value, err := io.ReadAll(limited)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "", "decompress object %s/%s", c.GetKind(), c.GetName())
	}
	if len(value) > store.MaxValueBytes {
		return nil, errs.New(errs.TooLarge, "", "object %s/%s has more than %d bytes", c.GetKind(), c.GetName(), store.MaxValueBytes)
	}
	return value, nil
}
