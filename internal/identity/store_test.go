package identity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/wire"
)

const testRetention = 15 * time.Minute

var testSlice = cluster.SliceID{Service: "booking.dar", Index: 3}

// model is the reference model of a state-machine test: one slice that moves between nodes with skewed wall clocks.
type model struct {
	now            clock.Instant
	stores         [3]*Store
	skew           [3]time.Duration
	owner          int
	sliceOwnership Ownership
	takenOverAt    [3]clock.Instant // Ownership.TakenOverAt, by node
	keys           []string
	runCount       map[string]int
	firstSent      map[string]clock.Instant
	responses      map[string]string
	inProgress     map[string]*Record
}

func newModel() *model {
	m := &model{
		now: clock.Instant(time.Hour), skew: [3]time.Duration{0, 25 * time.Second, -30 * time.Second},
		sliceOwnership: Ownership{Slice: testSlice, Epoch: 1, RecordEpoch: 1, Retention: testRetention},
		runCount:       map[string]int{}, firstSent: map[string]clock.Instant{}, responses: map[string]string{}, inProgress: map[string]*Record{},
	}
	for i := range m.stores {
		m.stores[i] = NewStore(Limits{Records: 12, Bytes: 3000})
	}
	return m
}

func (m *model) wall() time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(m.now)).Add(m.skew[m.owner])
}

func (m *model) ownership() Ownership {
	o := m.sliceOwnership
	o.TakenOverAt = m.takenOverAt[m.owner]
	return o
}

func (m *model) newKey(t *rapid.T) {
	if rapid.Bool().Draw(t, "token") {
		m.keys = append(m.keys, IssueToken(testSlice, m.sliceOwnership.Epoch, m.wall()).String())
		return
	}
	m.keys = append(m.keys, fmt.Sprintf("opaque-%d", len(m.keys)))
}

func (m *model) begin(t *rapid.T) {
	if len(m.keys) == 0 {
		return
	}
	key := rapid.SampledFrom(m.keys).Draw(t, "key")
	first, seen := m.firstSent[key]
	if seen && !IsToken(key) && m.now.Sub(first) > testRetention {
		return // Callers may not retry with an opaque key after the retention.
	}
	if !seen {
		m.firstSent[key] = m.now
	}
	d := m.stores[m.owner].Begin(m.now, m.wall(), Query{Ownership: m.ownership(), Key: "room", IdempotencyKey: key})
	m.checkDecision(t, key, d)
}

func (m *model) checkDecision(t *rapid.T, key string, d Decision) {
	switch d.Verdict {
	case Admitted:
		m.runCount[key]++
		m.inProgress[key] = d.Record
		require.Equal(t, 1, m.runCount[key], "the request with key %s ran twice", key)
	case Completed:
		require.Equal(t, m.responses[key], string(d.Body))
	case InProgress:
		require.Contains(t, m.inProgress, key)
	case MalformedKey, EpochAhead:
		t.Fatalf("unexpected verdict %d for the valid key %s", d.Verdict, key)
	}
}

func (m *model) finish(t *rapid.T) {
	for key, r := range m.inProgress {
		store := m.stores[m.owner]
		switch rapid.IntRange(0, 2).Draw(t, "outcome") {
		case 0:
			m.responses[key] = "answer to " + key
			store.Finish(m.now, r, &wire.ResponseHead{Status: 200}, []byte(m.responses[key]))
		case 1:
			store.FinishWithoutResponse(m.now, r)
		default:
			store.Forget(r)
			m.runCount[key]--
		}
		delete(m.inProgress, key)
		return
	}
}

func (m *model) advance(t *rapid.T) {
	steps := []time.Duration{time.Second, time.Minute, testRetention / 2, testRetention, 2 * testRetention}
	m.now = m.now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
}

func (m *model) handOver(t *rapid.T) {
	if len(m.inProgress) > 0 {
		return
	}
	next := rapid.IntRange(0, 2).Draw(t, "next")
	batch := &wire.IdentityBatch{
		Service: testSlice.Service, Slice: int32(testSlice.Index), Epoch: m.sliceOwnership.Epoch,
		Identities: m.stores[m.owner].Export(m.now, testSlice),
	}
	if next == m.owner || !m.stores[next].Import(m.now, batch, testRetention) {
		return
	}
	m.owner, m.takenOverAt[next] = next, m.takenOverAt[m.owner] // A planned handover also transfers TakenOverAt.
	m.sliceOwnership.Epoch++
}

func (m *model) takeOver(t *rapid.T) {
	m.inProgress = map[string]*Record{}
	m.stores[m.owner] = NewStore(Limits{Records: 12, Bytes: 3000})
	m.owner = rapid.IntRange(0, 2).Draw(t, "next")
	m.sliceOwnership.Epoch++
	m.sliceOwnership.RecordEpoch, m.takenOverAt[m.owner] = m.sliceOwnership.Epoch, m.now
}

// Checks that no request runs twice: after a retry, the expiry of records, a planned handover, a takeover that loses
// the records, a handover soon after such a takeover, or with skewed wall clocks. Also checks that a duplicate never
// gets the response of another request.
func TestAtMostOnceExecution(t *testing.T) {
	for range 20 { // The 100 cases of one rapid.Check miss the rarer sequences.
		rapid.Check(t, checkModel)
	}
}

func checkModel(t *rapid.T) {
	m := newModel()
	t.Repeat(map[string]func(*rapid.T){
		"key": m.newKey, "begin": m.begin, "again": m.begin, "finish": m.finish, "advance": m.advance,
		"handover": m.handOver, "takeover": m.takeOver,
		"": func(t *rapid.T) {
			for _, s := range m.stores {
				records, bytes := s.Size()
				if records > 12 || bytes > 3000 || bytes < 0 {
					t.Fatalf("the store exceeds its limits or miscounts: %d records, %d bytes", records, bytes)
				}
			}
		},
	})
}

// Checks that a raised retention does not accept tokens whose records have expired, and that a full store refuses a new
// request with StoreFull. A response above MaxResponseBytes is not stored.
func TestRecordLimitAndRaisedRetention(t *testing.T) {
	s, now, wall := NewStore(Limits{Records: 1, Bytes: 1 << 20}), clock.Instant(time.Hour), time.Unix(1_800_000_000, 0)
	q := Query{Ownership: Ownership{Slice: testSlice, Epoch: 1, Retention: testRetention}, Key: "k"}
	q.IdempotencyKey = IssueToken(testSlice, 1, wall).String()
	d := s.Begin(now, wall, q)
	require.Equal(t, Admitted, d.Verdict)
	other := q
	other.IdempotencyKey = "other"
	require.Equal(t, StoreFull, s.Begin(now, wall, other).Verdict)
	s.Finish(now, d.Record, nil, make([]byte, MaxResponseBytes+1))
	require.Equal(t, OutcomeUnknown, s.Begin(now, wall, q).Verdict)
	later := 2 * testRetention
	q.Retention = 4 * testRetention
	require.Equal(t, OutcomeUnknown, s.Begin(now.Add(later), wall.Add(later), q).Verdict)
}

// Checks that a request does not run twice if its token was issued by a node whose clock is ahead.
func TestClockSkew(t *testing.T) {
	s, now, wall := NewStore(DefaultLimits), clock.Instant(time.Hour), time.Unix(1_800_000_000, 0)
	q := Query{Ownership: Ownership{Slice: testSlice, Epoch: 1, Retention: testRetention}, Key: "k"}
	q.IdempotencyKey = IssueToken(testSlice, 1, wall.Add(ClockSkew/2)).String()
	d := s.Begin(now, wall, q)
	require.Equal(t, Admitted, d.Verdict)
	s.FinishWithoutResponse(now, d.Record)
	later := testRetention + ClockSkew/3
	require.Equal(t, OutcomeUnknown, s.Begin(now.Add(later), wall.Add(later), q).Verdict)
}

// Checks that a token has only one accepted text form, and that a token for another slice is refused.
func TestTokenParsing(t *testing.T) {
	token := IssueToken(testSlice, 7, time.Unix(1_800_000_000, 0))
	parsed, err := ParseToken(token.String())
	require.NoError(t, err)
	require.Equal(t, token, parsed)
	for _, wrong := range []string{"cv1.", "cv1.b.1.1.1.", "cv1.b.01.1.1.r", "cv1.b.1.+1.1.r", "cv1.b.-1.1.1.r", "cv1.1.1.1.r"} {
		_, err := ParseToken(wrong)
		require.Error(t, err, wrong)
	}
	q := Query{Ownership: Ownership{Slice: cluster.SliceID{Service: "b"}, Retention: testRetention}, IdempotencyKey: token.String()}
	require.Equal(t, MalformedKey, NewStore(DefaultLimits).Begin(0, time.Time{}, q).Verdict)
}
