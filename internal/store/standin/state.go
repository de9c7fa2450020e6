// Package standin is an in-memory platform for tests and development. It has
// the semantics of the platform's object API, and faults on demand.
package standin

import (
	"sort"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

// maxChangesPerWatch bounds one answer to a watch; the rest follows in the next.
const maxChangesPerWatch = 1000

// maxBytesPerWatch bounds the values in one answer to a watch. The first change is always included.
const maxBytesPerWatch = 8 << 20

type objectID struct {
	kind string
	name string
}

// record is the newest state of an object, or of its deletion.
type record struct {
	version uint64
	value   []byte
	deleted bool
}

// entry is one line of the change log. The value is looked up when a watch reads the entry.
type entry struct {
	revision uint64
	id       objectID
}

// state is the platform's data without locks, limits or faults.
type state struct {
	revision uint64
	// compacted is the highest revision whose change is no longer in the log.
	compacted uint64
	records   map[objectID]record
	log       []entry
	maxLog    int
}

func newState(maxLog int) *state {
	return &state{records: map[objectID]record{}, maxLog: maxLog}
}

func (s *state) get(id objectID) (store.Object, error) {
	r, found := s.records[id]
	if !found || r.deleted {
		return store.Object{}, errs.New(errs.NotFound, "Check the kind and the name.", "object %s/%s does not exist", id.kind, id.name)
	}
	return r.object(id), nil
}

func (s *state) list(kind string) []store.Object {
	objects := []store.Object{}
	for id, r := range s.records {
		if !r.deleted && (kind == "" || id.kind == kind) {
			objects = append(objects, r.object(id))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	return objects
}

func (s *state) put(id objectID, value []byte, expect uint64) (uint64, error) {
	if err := s.check(id, expect); err != nil {
		return 0, err
	}
	return s.store(id, record{value: append([]byte(nil), value...)}), nil
}

func (s *state) remove(id objectID, expect uint64) error {
	if err := s.check(id, expect); err != nil {
		return err
	}
	s.store(id, record{deleted: true})
	return nil
}

// check compares the object's version, 0 if there is none, to the expected one.
func (s *state) check(id objectID, expect uint64) error {
	current := uint64(0)
	if r := s.records[id]; !r.deleted {
		current = r.version
	}
	if current != expect {
		return errs.New(errs.Conflict, "Read the object again and decide anew.",
			"object %s/%s has version %d, not %d", id.kind, id.name, current, expect)
	}
	return nil
}

func (s *state) store(id objectID, r record) uint64 {
	s.revision++
	r.version = s.revision
	s.records[id] = r
	s.log = append(s.log, entry{revision: s.revision, id: id})
	for len(s.log) > s.maxLog {
		s.compactOldest()
	}
	return s.revision
}

// compactOldest drops the oldest log entry, and the tombstone that only this entry refers to.
func (s *state) compactOldest() {
	oldest := s.log[0]
	s.log = s.log[1:]
	s.compacted = oldest.revision
	if r := s.records[oldest.id]; r.deleted && r.version == oldest.revision {
		delete(s.records, oldest.id)
	}
}

// changes returns the newest state of the objects that changed after since, and the revision up to
// which the answer is complete. A revision that was never given out is answered like one that is too old.
func (s *state) changes(since uint64) ([]store.Change, uint64, error) {
	if since < s.compacted || since > s.revision {
		return nil, 0, errs.New(errs.Compacted, "List all objects and continue from the revision of the list.",
			"revision %d is outside the change log, which continues from %d to %d", since, s.compacted, s.revision)
	}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > since })
	changes := []store.Change{}
	size, upTo := 0, since
	for _, e := range s.log[first:] {
		r := s.records[e.id]
		superseded := r.version != e.revision
		if !superseded {
			size += len(r.value)
			if len(changes) == maxChangesPerWatch || len(changes) > 0 && size > maxBytesPerWatch {
				break
			}
			changes = append(changes, store.Change{Object: r.object(e.id), Deleted: r.deleted})
		}
		upTo = e.revision
	}
	return changes, upTo, nil
}

func (r record) object(id objectID) store.Object {
	return store.Object{Kind: id.kind, Name: id.name, Version: r.version, Value: append([]byte(nil), r.value...)}
}
