// Package identity detects duplicates of non-idempotent requests by their
// idempotency keys, so that each request runs at most once as long as the
// records pass from epoch to epoch without loss. It performs no I/O and takes
// the time as an argument. A Store is not safe for concurrent use.
package identity

import (
	"container/list"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// MaxResponseBytes is the largest size of a stored response, including its headers.
	MaxResponseBytes = 64 << 10
	// MaxKeyBytes is the longest accepted idempotency key. A token has about 80 bytes plus the name of the service.
	MaxKeyBytes = 512
	// recordOverhead is the approximate memory of a record without its strings and body: struct, map entry, list
	// elements and the protobuf message of the response head.
	recordOverhead = 352
	// headerOverhead is the approximate memory of a stored response header without its name and value.
	headerOverhead = 96
	// ClockSkew is the tolerated difference between the wall clocks of two hosts. Records are kept this much longer
	// than their retention, because the age of a token is computed from the clocks of its issuer and its receiver.
	// Tokens issued further than this in the future are refused.
	ClockSkew = time.Minute
)

// Limits are the capacity of a Store.
type Limits struct {
	Records int
	Bytes   int
}

// DefaultLimits are the limits of the store of one node.
var DefaultLimits = Limits{Records: 200_000, Bytes: 32 << 20}

// Verdict is the result of the duplicate check of a request.
type Verdict int

// The results of the duplicate check.
const (
	// Admitted means that the request may run now. The caller must then call Finish, FinishWithoutResponse or Forget.
	Admitted Verdict = iota
	// Completed means that the request ran before; the decision holds the stored response.
	Completed
	// InProgress means that the first request with this idempotency key is still running.
	InProgress
	// OutcomeUnknown means that the request ran or may have run before, and its response is not available.
	OutcomeUnknown
	// StoreFull means that the store has no room for another record.
	StoreFull
	// MalformedKey means that the idempotency key is invalid; a retry with the same key cannot succeed.
	MalformedKey
	// KeyReused means that the idempotency key was used before for a different request.
	KeyReused
	// EpochAhead means that the token was issued in a later epoch than the one this owner knows.
	EpochAhead
)

// Ownership describes which records of a slice its owner holds.
type Ownership struct {
	Slice cluster.SliceID
	Epoch uint64
	// RecordEpoch is the first epoch since which no records of the slice have been lost.
	RecordEpoch uint64
	// TakenOverAt is the time of the last unplanned takeover, which lost the records of the slice, or 0 if there was
	// none. It is kept across planned handovers.
	TakenOverAt clock.Instant
	Retention   time.Duration
}

// Query describes a request whose duplicates Begin looks for.
type Query struct {
	Ownership
	// Key is the key by which the request is routed to a slice.
	Key            string
	IdempotencyKey string
	// Fingerprint is a hash of the request that detects the reuse of an idempotency key for a different request.
	Fingerprint uint64
}

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	// Record is set if the verdict is Admitted.
	Record *Record
	// Head and Body are set if the verdict is Completed. The caller must not modify them.
	Head *wire.ResponseHead
	Body []byte
	// Detail is the reason for OutcomeUnknown, MalformedKey and KeyReused, as shown to the sender of the request.
	Detail string
}

type recordState int

const (
	inProgress recordState = iota
	completed
	withoutResponse
)

type recordKey struct {
	routingKey     string
	idempotencyKey string
}

// Record is the entry of one request in a Store.
type Record struct {
	slice cluster.SliceID
	key   recordKey
	// fingerprint is Query.Fingerprint, or 0 if an earlier owner of the slice did not know it.
	fingerprint     uint64
	state           recordState
	head            *wire.ResponseHead
	body            []byte
	updated         clock.Instant
	retention       time.Duration
	finishedElement *list.Element
	responseElement *list.Element
}

func (r *Record) responseBytes() int {
	n := len(r.body)
	for _, h := range r.head.GetHeaders() {
		n += headerOverhead + len(h.Name) + len(h.Value)
	}
	return n
}

func (r *Record) bytes() int {
	return recordOverhead + len(r.key.routingKey) + len(r.key.idempotencyKey) + r.responseBytes()
}

// sliceRecords holds the records of one slice.
type sliceRecords struct {
	records map[recordKey]*Record
}

// Store holds the records of all slices that a node owns.
type Store struct {
	limits    Limits
	slices    map[cluster.SliceID]*sliceRecords
	finished  list.List // *Record, in the order of finishing or import
	responses list.List // *Record with a stored response, oldest first
	count     int
	bytes     int
	// newestExpired is the latest update time of all expired records. Tokens issued up to that time are refused, because
	// a retention that is raised later would otherwise accept tokens whose records have already expired.
	newestExpired clock.Instant
	hasExpired    bool
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{limits: limits, slices: map[cluster.SliceID]*sliceRecords{}}
}

// Begin checks whether a request is a duplicate and, if it is admitted, records it as in progress.
func (s *Store) Begin(now clock.Instant, wall time.Time, q Query) Decision {
	s.Expire(now)
	token, detail := checkKey(q)
	if detail != "" {
		return Decision{Verdict: MalformedKey, Detail: detail}
	}
	id := recordKey{routingKey: q.Key, idempotencyKey: q.IdempotencyKey}
	if r := s.find(q.Slice, id); r != nil {
		return decideDuplicate(r, q.Fingerprint)
	}
	if d := s.decideWithoutRecord(now, wall, q, token); d.Verdict != Admitted {
		return d
	}
	return s.admit(now, q, id)
}

// checkKey validates the idempotency key. It returns the parsed token if the key is one, and the reason if the key is
// invalid.
func checkKey(q Query) (*Token, string) {
	if q.IdempotencyKey == "" || len(q.IdempotencyKey) > MaxKeyBytes {
		return nil, "Idempotency-Key is empty or too long"
	}
	if !IsToken(q.IdempotencyKey) {
		return nil, ""
	}
	token, err := ParseToken(q.IdempotencyKey)
	if err != nil {
		return nil, err.Error()
	}
	if token.Slice != q.Slice {
		return nil, "the token in Idempotency-Key was issued for another service or slice"
	}
	return &token, ""
}

// decideDuplicate returns the decision about a request that has a record.
func decideDuplicate(r *Record, fingerprint uint64) Decision {
	if r.fingerprint != 0 && r.fingerprint != fingerprint {
		return Decision{Verdict: KeyReused, Detail: "Idempotency-Key was already used for a request with another method, path or body"}
	}
	switch r.state {
	case inProgress:
		return Decision{Verdict: InProgress}
	case completed:
		return Decision{Verdict: Completed, Head: r.head, Body: r.body}
	}
	return Decision{Verdict: OutcomeUnknown, Detail: "the request ran or may have run, and its response is not available"}
}

// decideWithoutRecord returns the decision about a request that has no record. It admits the request only if a record
// of an earlier run would still exist.
func (s *Store) decideWithoutRecord(now clock.Instant, wall time.Time, q Query, token *Token) Decision {
	if token == nil {
		return s.decideOpaqueKey(now, q)
	}
	age := wall.Sub(token.Issued)
	switch {
	case token.Epoch > q.Epoch:
		return Decision{Verdict: EpochAhead}
	case token.Epoch < q.RecordEpoch:
		return Decision{Verdict: OutcomeUnknown, Detail: "the token was issued before a takeover that lost the records of its slice"}
	case age > q.Retention:
		return Decision{Verdict: OutcomeUnknown, Detail: "the token is older than the retention of records"}
	case age < -ClockSkew:
		return Decision{Verdict: OutcomeUnknown, Detail: "the issue time of the token is in the future"}
	case s.hasExpired && now.Add(-age) <= s.newestExpired:
		return Decision{Verdict: OutcomeUnknown, Detail: "the token is older than records that have expired"}
	}
	return Decision{Verdict: Admitted}
}

// decideOpaqueKey is decideWithoutRecord for a key that is not a token and so has no issue time. It relies on callers
// not retrying with such a key after the retention.
func (s *Store) decideOpaqueKey(now clock.Instant, q Query) Decision {
	if q.TakenOverAt != 0 && now.Sub(q.TakenOverAt) <= q.Retention {
		return Decision{Verdict: OutcomeUnknown, Detail: "a recent takeover lost the records of this key"}
	}
	return Decision{Verdict: Admitted}
}

func (s *Store) admit(now clock.Instant, q Query, id recordKey) Decision {
	r := &Record{slice: q.Slice, key: id, fingerprint: q.Fingerprint, state: inProgress, updated: now, retention: q.Retention}
	if !s.evictToFit(r.bytes()) || s.count >= s.limits.Records {
		return Decision{Verdict: StoreFull}
	}
	s.insert(r)
	return Decision{Verdict: Admitted, Record: r}
}

// evictToFit evicts the oldest stored responses until n bytes are free, and reports whether it succeeded. A duplicate
// of an evicted request gets OutcomeUnknown; without eviction, new requests would be refused until old records expire.
func (s *Store) evictToFit(n int) bool {
	for s.bytes+n > s.limits.Bytes {
		oldest := s.responses.Front()
		if oldest == nil {
			return false
		}
		s.evictResponse(oldest.Value.(*Record))
	}
	return true
}

func (s *Store) evictResponse(r *Record) {
	s.bytes -= r.responseBytes()
	s.responses.Remove(r.responseElement)
	r.state, r.head, r.body, r.responseElement = withoutResponse, nil, nil, nil
}

func (s *Store) find(slice cluster.SliceID, id recordKey) *Record {
	sl := s.slices[slice]
	if sl == nil {
		return nil
	}
	return sl.records[id]
}

func (s *Store) getOrCreateSlice(id cluster.SliceID) *sliceRecords {
	sl := s.slices[id]
	if sl == nil {
		sl = &sliceRecords{records: map[recordKey]*Record{}}
		s.slices[id] = sl
	}
	return sl
}

func (s *Store) insert(r *Record) {
	s.getOrCreateSlice(r.slice).records[r.key] = r
	s.count++
	s.bytes += r.bytes()
}

func (s *Store) remove(r *Record) {
	if r.responseElement != nil {
		s.evictResponse(r)
	}
	if r.finishedElement != nil {
		s.finished.Remove(r.finishedElement)
	}
	delete(s.slices[r.slice].records, r.key)
	s.count--
	s.bytes -= r.bytes()
}

// Finish records that an admitted request completed. Its response is not stored if it exceeds MaxResponseBytes or does
// not fit into the store.
func (s *Store) Finish(now clock.Instant, r *Record, head *wire.ResponseHead, body []byte) {
	if r.state != inProgress {
		return
	}
	s.FinishWithoutResponse(now, r)
	s.storeResponse(r, head, body)
}

func (s *Store) storeResponse(r *Record, head *wire.ResponseHead, body []byte) {
	size := (&Record{head: head, body: body}).responseBytes()
	if size > MaxResponseBytes || !s.evictToFit(size) {
		return
	}
	r.state, r.head, r.body = completed, head, body
	r.responseElement = s.responses.PushBack(r)
	s.bytes += size
}

// FinishWithoutResponse records that an admitted request ran or may have run, without a complete response.
func (s *Store) FinishWithoutResponse(now clock.Instant, r *Record) {
	if r.state != inProgress {
		return
	}
	r.state, r.updated = withoutResponse, now
	r.finishedElement = s.finished.PushBack(r)
}

// Forget removes the record of an admitted request that is known not to have run.
func (s *Store) Forget(r *Record) {
	if r.state == inProgress {
		s.remove(r)
		r.state = withoutResponse // Makes a late call of Finish have no effect.
	}
}

// Expire removes the records that are older than their retention plus ClockSkew.
func (s *Store) Expire(now clock.Instant) {
	for e := s.finished.Front(); e != nil; e = s.finished.Front() {
		r := e.Value.(*Record)
		if now.Sub(r.updated) <= r.retention+ClockSkew {
			return
		}
		if !s.hasExpired || r.updated > s.newestExpired {
			s.hasExpired, s.newestExpired = true, r.updated
		}
		s.remove(r)
	}
}

// Size returns the number of records and their approximate memory in bytes.
func (s *Store) Size() (records, bytes int) { return s.count, s.bytes }
