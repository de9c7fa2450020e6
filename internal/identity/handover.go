package identity

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/wire"
)

// Export returns the records of a slice for its next owner. The slice must have no running requests; a record that
// is running nevertheless is exported as unknown.
func (s *Store) Export(now clock.Instant, slice cluster.SliceID) []*wire.Identity {
	s.Expire(now)
	var out []*wire.Identity
	sl := s.slices[slice]
	if sl == nil {
		return out
	}
	for _, r := range sl.records {
		out = append(out, exportRecord(now, r))
	}
	return out
}

func exportRecord(now clock.Instant, r *Record) *wire.Identity {
	i := &wire.Identity{
		Key:            r.key.routingKey,
		IdempotencyKey: r.key.idempotencyKey,
		State:          wire.Identity_UNKNOWN,
		AgeMs:          now.Sub(r.updated).Milliseconds(),
		Fingerprint:    r.fingerprint,
	}
	if r.state == completed {
		i.State, i.Head, i.Body = wire.Identity_ANSWERED, r.head, r.body
	}
	return i
}

// Import adds the records of the previous owner. It returns false, and adds nothing, if the batch is malformed or
// exceeds the bounds of the store. Importing a batch again changes nothing.
func (s *Store) Import(now clock.Instant, batch *wire.IdentityBatch, retention time.Duration) bool {
	s.Expire(now)
	slice := cluster.SliceID{Service: batch.GetService(), Index: int(batch.GetSlice())}
	if !s.canImport(slice, batch) {
		return false
	}
	for _, i := range batch.GetIdentities() {
		updated := now.Add(-time.Duration(i.GetAgeMs()) * time.Millisecond)
		s.importRecord(slice, i, updated, retention)
	}
	return true
}

// canImport checks a batch. Answers don't count, because they can be left out.
func (s *Store) canImport(slice cluster.SliceID, batch *wire.IdentityBatch) bool {
	if slice.Service == "" || slice.Index < 0 {
		return false
	}
	count, bytes := 0, 0
	for _, i := range batch.GetIdentities() {
		if i.GetAgeMs() < 0 || len(i.GetIdempotencyKey()) > MaxKeyBytes {
			return false
		}
		count++
		bytes += recordOverhead + len(i.GetKey()) + len(i.GetIdempotencyKey())
	}
	return s.count+count <= s.limits.Records && s.evictToFit(bytes)
}

// importRecord keeps a record that the store has, unless the import adds its answer. Imported records join the end of
// the expiry order, so an older one may be kept longer than needed, never shorter.
func (s *Store) importRecord(slice cluster.SliceID, i *wire.Identity, updated clock.Instant, retention time.Duration) {
	id := recordKey{routingKey: i.GetKey(), idempotencyKey: i.GetIdempotencyKey()}
	r := s.find(slice, id)
	if r == nil {
		r = &Record{slice: slice, key: id, fingerprint: i.GetFingerprint(), state: inProgress, retention: retention}
		s.insert(r)
		s.FinishWithoutResponse(updated, r)
	}
	if r.state == withoutResponse && i.GetState() == wire.Identity_ANSWERED {
		s.storeResponse(r, i.GetHead(), i.GetBody())
	}
}
