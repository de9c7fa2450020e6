// Package identity remembers which non-idempotent requests ran, so that each of
// them runs at most once under an unbroken run of epochs. It performs no I/O and
// takes the time as an argument. A Store is not safe for concurrent use.
package identity

import (
	"container/list"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	// MaxResponseBytes bounds a stored answer with its headers.
	MaxResponseBytes = 64 << 10
	// MaxKeyBytes bounds an idempotency key. A token has about 80 bytes plus the name of the service.
	MaxKeyBytes = 512
	// recordOverhead approximates the memory of a record beside its texts: struct, map entry, list elements and
	// the message of the answer's head.
	recordOverhead = 352
	// headerOverhead is the memory of a header of a stored answer beside its texts.
	headerOverhead = 96
	// ClockSkew is added to the lifetime of records, because the age of a token is the difference between wall
	// clocks of two hosts. Tokens that lie further in the future are refused.
	ClockSkew = time.Minute
)

// Limits bound a Store.
type Limits struct {
	Records int
	Bytes   int
}

// DefaultLimits are the bounds of a node.
var DefaultLimits = Limits{Records: 200_000, Bytes: 32 << 20}

// Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request may run now. Its record must be finished or forgotten.
	Admitted Verdict = iota
	// Completed means that the request ran; the decision holds its answer.
	Completed
	// InProgress means that a request with this identity is running.
	InProgress
	// OutcomeUnknown means that a request with this identity ran or may have run, and its answer is not available.
	OutcomeUnknown
	// StoreFull means that the store can't remember another request.
	StoreFull
	// MalformedKey means that the idempotency key is not acceptable; it never was and never will be.
	MalformedKey
	// KeyReused means that another request has this identity.
	KeyReused
	// EpochAhead means that the token was issued under an epoch that this owner doesn't know yet.
	EpochAhead
)

// Ownership is what the owner of a slice knows about its records.
type Ownership struct {
	Slice       cluster.SliceID
	Epoch       uint64
	RecordEpoch uint64
	// TakenOverAt is when the last unplanned takeover lost the records of the slice, 0 if there was none. It is kept
	// across planned handovers.
	TakenOverAt clock.Instant
	Retention   time.Duration
}

// Query asks whether a request may run.
type Query struct {
	Ownership
	Key            string
	IdempotencyKey string
	// Fingerprint tells apart requests with the same identity.
	Fingerprint uint64
}

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	// Record is set if the verdict is Admitted.
	Record *Record
	// Head and Body are set if the verdict is Answered. They must not be changed.
	Head *wire.ResponseHead
	Body []byte
	// Detail explains Unknown and Malformed.
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

// Record is the memory of one request.
type Record struct {
	slice cluster.SliceID
	key   recordKey
	// fingerprint of the request, 0 if an earlier owner of the slice did not know it.
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

// sliceRecords are the records of one slice.
type sliceRecords struct {
	records map[recordKey]*Record
}

// Store holds the records of a node.
type Store struct {
	limits    Limits
	slices    map[cluster.SliceID]*sliceRecords
	finished  list.List // *Record, by update, oldest first
	responses list.List // *Record with an answer, oldest first
	count     int
	bytes     int
	// newestExpired is the latest update of a record that has expired. It keeps a retention that operators raise from
	// reviving tokens whose records are gone.
	newestExpired clock.Instant
	hasExpired    bool
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{limits: limits, slices: map[cluster.SliceID]*sliceRecords{}}
}

// Begin decides about a request and, if it is admitted, records it as running.
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

// checkKey returns the token if the idempotency key is one, and what is wrong with the key.
func checkKey(q Query) (*Token, string) {
	if q.IdempotencyKey == "" || len(q.IdempotencyKey) > MaxKeyBytes {
		return nil, "the Idempotency-Key is empty or too long"
	}
	if !IsToken(q.IdempotencyKey) {
		return nil, ""
	}
	token, err := ParseToken(q.IdempotencyKey)
	if err != nil {
		return nil, err.Error()
	}
	if token.Slice != q.Slice {
		return nil, "the token was issued for another key"
	}
	return &token, ""
}

func decideDuplicate(r *Record, fingerprint uint64) Decision {
	if r.fingerprint != 0 && r.fingerprint != fingerprint {
		return Decision{Verdict: KeyReused, Detail: "another method, path or body came first with this Idempotency-Key"}
	}
	switch r.state {
	case inProgress:
		return Decision{Verdict: InProgress}
	case completed:
		return Decision{Verdict: Completed, Head: r.head, Body: r.body}
	}
	return Decision{Verdict: OutcomeUnknown, Detail: "the request ran or may have run, and its answer is not available"}
}

// decideWithoutRecord decides about a request without a record.
func (s *Store) decideWithoutRecord(now clock.Instant, wall time.Time, q Query, token *Token) Decision {
	if token == nil {
		return s.decideOpaqueKey(now, q)
	}
	age := wall.Sub(token.Issued)
	switch {
	case token.Epoch > q.Epoch:
		return Decision{Verdict: EpochAhead}
	case token.Epoch < q.RecordEpoch:
		return Decision{Verdict: OutcomeUnknown, Detail: "the token was issued before the records were lost"}
	case age > q.Retention:
		return Decision{Verdict: OutcomeUnknown, Detail: "the token is too old"}
	case age < -ClockSkew:
		return Decision{Verdict: OutcomeUnknown, Detail: "the token was issued in the future"}
	case s.hasExpired && now.Add(-age) <= s.newestExpired:
		return Decision{Verdict: OutcomeUnknown, Detail: "the token is older than the records"}
	}
	return Decision{Verdict: Admitted}
}

func (s *Store) decideOpaqueKey(now clock.Instant, q Query) Decision {
	if q.TakenOverAt != 0 && now.Sub(q.TakenOverAt) <= q.Retention {
		return Decision{Verdict: OutcomeUnknown, Detail: "the records of this key were lost a short time ago"}
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

// evictToFit gives up the oldest stored answers until n bytes are free. A repeat of such a request is told that its
// answer is not available; the alternative would be to refuse new requests until old answers expire.
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

// Finish stores the answer of an admitted request. An answer that is too large is not kept.
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

// FinishWithoutResponse records that an admitted request ran or may have run without a whole answer.
func (s *Store) FinishWithoutResponse(now clock.Instant, r *Record) {
	if r.state != inProgress {
		return
	}
	r.state, r.updated = withoutResponse, now
	r.finishedElement = s.finished.PushBack(r)
}

// Forget removes the record of an admitted request that certainly did not run.
func (s *Store) Forget(r *Record) {
	if r.state == inProgress {
		s.remove(r)
		r.state = withoutResponse // A late Finish has no effect.
	}
}

// Expire removes the records whose time is over.
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

// Size returns the number of records and their approximate memory.
func (s *Store) Size() (records, bytes int) { return s.count, s.bytes }
