package standin

import (
	"sync"

	"github.com/citronvane/citronvane/internal/clock"
)

// Outcome says how a run ended.
type Outcome string

// The outcomes of a run.
const (
	Running   Outcome = "running"
	Completed Outcome = "completed"
	// Cancelled means that the work was stopped before its effect: the client went away, the deadline
	// passed, or the target fell over.
	Cancelled Outcome = "cancelled"
	// Fenced means that the grant was over when the work ended, by itself or stopped, so that it had no effect.
	Fenced Outcome = "fenced"
)

// Entry is one run of a request.
type Entry struct {
	Sequence  uint64 `json:"sequence"`
	RequestID string `json:"request_id,omitempty"`
	Service   string `json:"service,omitempty"`
	Key       string `json:"key,omitempty"`
	// Slice is -1 for requests without one.
	Slice    int     `json:"slice"`
	Epoch    uint64  `json:"epoch,omitempty"`
	Identity string  `json:"identity,omitempty"`
	Method   string  `json:"method"`
	Path     string  `json:"path"`
	Outcome  Outcome `json:"outcome"`
	// StartNS and EndNS are CLOCK_BOOTTIME in ns; EndNS is 0 while the request runs.
	StartNS int64 `json:"start_ns"`
	EndNS   int64 `json:"end_ns,omitempty"`
}

// Ran reports whether the request may have had an effect.
func (e Entry) Ran() bool { return e.Outcome != Fenced }

// JournalPage is the answer to GET /journal.
type JournalPage struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// First is the sequence of the oldest entry that is kept. Entries before it were dropped.
	First uint64 `json:"first"`
	// Next is the sequence to continue from. Runs that had not ended are part of the next page again.
	Next    uint64  `json:"next"`
	More    bool    `json:"more"`
	Entries []Entry `json:"entries"`
}

// maxPageEntries bounds one answer to GET /journal.
const maxPageEntries = 10_000

// journal keeps the last runs. Sequences count from 1; entry i of the ring has a sequence that equals
// i modulo the ring's length.
type journal struct {
	mu   sync.Mutex
	ring []Entry
	next uint64
}

func newJournal(entries int) *journal {
	if entries <= 0 {
		entries = DefaultJournalEntries
	}
	return &journal{ring: make([]Entry, entries), next: 1}
}

// begin records the start of a run and returns its sequence.
func (j *journal) begin(e Entry, now clock.Instant) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Sequence, e.Outcome, e.StartNS = j.next, Running, int64(now)
	*j.at(e.Sequence) = e
	j.next++
	return e.Sequence
}

// end records the end of a run, unless its entry was dropped in the meantime.
func (j *journal) end(sequence uint64, outcome Outcome, now clock.Instant) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.at(sequence)
	if e.Sequence == sequence {
		e.Outcome, e.EndNS = outcome, int64(now)
	}
}

// page returns the entries from a sequence on.
func (j *journal) page(from uint64) JournalPage {
	j.mu.Lock()
	defer j.mu.Unlock()
	first := uint64(1)
	if kept := uint64(len(j.ring)); j.next > kept {
		first = j.next - kept
	}
	start := max(first, from)
	end := min(j.next, start+maxPageEntries)
	p := JournalPage{First: first, Next: end, More: end < j.next, Entries: []Entry{}}
	for sequence := start; sequence < end; sequence++ {
		e := *j.at(sequence)
		p.Entries = append(p.Entries, e)
		if e.Outcome == Running && !p.More {
			p.Next = min(p.Next, sequence)
		}
	}
	return p
}

func (j *journal) at(sequence uint64) *Entry { return &j.ring[sequence%uint64(len(j.ring))] }
