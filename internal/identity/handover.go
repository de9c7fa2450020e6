package identity

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/wire"
)

// Export returns the records of a slice for its next owner. The slice must have no requests in progress; a record that
// is in progress nevertheless is exported as UNKNOWN.
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

// Import adds the records of the previous owner. It returns false and adds no record if the batch is malformed or
// exceeds the limits of the store. Import is idempotent.
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

// canImport validates a batch and evicts stored responses to make room for its records. The size of the imported
// responses does not count, because a record can be imported without its response.
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

// importRecord adds a record. Of a record that already exists, it only adds a missing response. Imported records are
// appended to the expiry list, so an older one may be kept longer than its retention, but never shorter.
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
