package load

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/target"
	"github.com/citronvane/citronvane/internal/target/standin"
)

// fake is an entrance and the journal of its target in one.
type fake struct {
	mu      sync.Mutex
	page    standin.JournalPage
	handler func(w http.ResponseWriter, r *http.Request, number int)
	number  int
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if r.URL.Path == "/journal" {
		defer f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(f.page)
		return
	}
	f.number++
	number := f.number
	f.mu.Unlock()
	f.handler(w, r, number)
}

// ran adds a run of the request to the journal.
func (f *fake) ran(r *http.Request, outcome standin.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.page.Next++
	f.page.Entries = append(f.page.Entries, standin.Entry{
		Sequence: f.page.Next, RequestID: r.Header.Get(standin.HeaderRequestID), Outcome: outcome,
		Method: r.Method, Key: r.URL.Path, Identity: r.Header.Get(target.HeaderIdentity),
	})
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(standin.HeaderTarget, "t")
	body := make([]byte, r.ContentLength)
	_, _ = r.Body.Read(body)
	write(w, r.Header.Get(standin.HeaderRequestID), body, body)
}

// run drives the fake with keyed POST requests.
func (f *fake) run(t *testing.T, change func(*Options)) *Report {
	t.Helper()
	f.page.Incarnation = "i"
	server := httptest.NewServer(f)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	mix, err := ParseMix("keyed-post=1")
	require.NoError(t, err)
	o := Options{
		Nodes: []string{address}, Concurrency: 1, Duration: 10 * time.Second, MaxRequests: 5, MaxInFlight: 10,
		Timeout: 5 * time.Second, Mix: mix, KeyedPath: "/booking", Keys: 10, BodySize: 20, Tokens: true,
		Journals: []string{address}, Limits: NoLimits,
	}
	if change != nil {
		change(&o)
	}
	report, err := Run(t.Context(), o)
	require.NoError(t, err)
	return report
}

func (r *Report) verdictOf(name string) Verdict {
	for _, c := range r.Checks {
		if c.Name == name {
			return c.Verdict
		}
	}
	return ""
}

// Guards against a false "not run" that stays unnoticed, and against a run that the target itself
// refused before its effect being taken for one.
func TestFalseNotRunIsFound(t *testing.T) {
	for outcome, verdict := range map[standin.Outcome]Verdict{
		standin.Completed: Failed, standin.Running: Failed, standin.Cancelled: Failed, standin.Fenced: Passed,
	} {
		f := &fake{}
		f.handler = func(w http.ResponseWriter, r *http.Request, number int) {
			if number == 2 {
				f.ran(r, outcome)
				answer.Refuse(answer.Moving, "").Write(w)
				return
			}
			echo(w, r)
		}
		report := f.run(t, nil)
		require.Equal(t, verdict, report.verdictOf("not run"), outcome)
		require.Equal(t, verdict, report.Verdict())
		require.EqualValues(t, 1, report.Answers["moving"])
	}
}

// Guards against retries under a new identity, against the HTTP client sending requests again by
// itself, and against a second run that stays unnoticed.
func TestRetryKeepsItsIdentityAndSecondRunIsFound(t *testing.T) {
	for _, ranTwice := range []bool{false, true} {
		f := &fake{}
		var identities sync.Map
		var received atomic.Int32
		f.handler = func(w http.ResponseWriter, r *http.Request, number int) {
			received.Add(1)
			identities.Store(r.Header.Get(target.HeaderIdentity), true)
			if number%2 == 1 || ranTwice {
				f.ran(r, standin.Completed)
			}
			if number > 1 && number%2 == 1 {
				panic(http.ErrAbortHandler) // on a connection that was used before
			}
			w.Header().Set(headerToken, r.Header.Get(standin.HeaderRequestID))
			echo(w, r)
		}
		report := f.run(t, func(o *Options) { o.Retries, o.MaxRequests, o.Keys = 1, 4, 1 })
		require.EqualValues(t, 4, report.Answers[OK])
		require.EqualValues(t, received.Load(), report.Attempts)
		distinct := 0
		identities.Range(func(any, any) bool { distinct++; return true })
		require.Equal(t, 4, distinct, "one identity for each request")
		require.Equal(t, ranTwice, report.verdictOf("at most once") == Failed)
	}
}

// Guards against a check that passes although parts of the journal are missing.
func TestMissingJournalIsIncomplete(t *testing.T) {
	for name, lose := range map[string]func(*fake){
		"dropped entries":  func(f *fake) { f.page.First, f.page.Next = 100, 200 },
		"restarted target": func(f *fake) { f.page.Incarnation = "j" },
	} {
		f := &fake{page: standin.JournalPage{First: 1, Next: 1}}
		f.handler = func(w http.ResponseWriter, r *http.Request, _ int) {
			f.mu.Lock()
			lose(f)
			f.mu.Unlock()
			echo(w, r)
		}
		report := f.run(t, nil)
		require.Equal(t, Incomplete, report.Verdict(), name)
		require.NotEmpty(t, report.Journals.Problems, name)
	}
}

// Guards against coordinated omission: a stall has to show in the latency of all requests that were
// due during it, not only of the one that met it.
func TestStallCountsForAllDueRequests(t *testing.T) {
	f := &fake{handler: func(w http.ResponseWriter, r *http.Request, number int) {
		if number == 10 {
			time.Sleep(500 * time.Millisecond)
		}
		echo(w, r)
	}}
	report := f.run(t, func(o *Options) {
		o.Rate, o.MaxInFlight, o.MaxRequests, o.Duration = 100, 1, 0, 400*time.Millisecond
	})
	require.EqualValues(t, 40, report.Answers[OK], "requests that were due during the stall must be sent")
	require.Greater(t, report.Succeeded[allClasses].P50, 100.0)

	stalled := &fake{handler: func(http.ResponseWriter, *http.Request, int) { time.Sleep(300 * time.Millisecond) }}
	report = stalled.run(t, func(o *Options) {
		o.Rate, o.MaxInFlight, o.MaxRequests, o.Duration, o.Timeout = 100, 1, 0, 200*time.Millisecond, 100*time.Millisecond
	})
	require.EqualValues(t, 20, report.Requests)
	require.Positive(t, report.Answers[NotSent])
}

// Guards against a violated bound that does not fail the run, and against a run in which nothing was served passing.
func TestLimitsFailTheRun(t *testing.T) {
	refuse := &fake{handler: func(w http.ResponseWriter, _ *http.Request, _ int) { answer.Refuse(answer.Shed, "").Write(w) }}
	require.Equal(t, Failed, refuse.run(t, nil).Verdict())
	serve := func(w http.ResponseWriter, r *http.Request, _ int) { echo(w, r) }
	require.Equal(t, Passed, (&fake{handler: serve}).run(t, nil).Verdict())
	require.Equal(t, Failed, (&fake{handler: serve}).run(t, func(o *Options) { o.Limits.P99 = 0 }).Verdict())
}

// Guards against unavailable time that leaves out the time before the first or after the last success,
// or that counts pauses between requests.
func TestUnavailableTime(t *testing.T) {
	start := time.Now()
	k := &keyHistory{lastSuccess: start}
	k.close(start.Add(time.Second))
	require.Zero(t, k.unavailable)
	k.failing = true
	k.close(start.Add(3 * time.Second))
	require.Equal(t, 2*time.Second, k.unavailable)
	require.Equal(t, 2*time.Second, k.longestGap)
	k.failing = true
	r := newRecorder()
	r.keys["k1"] = k
	a := r.availability(start.Add(8 * time.Second))
	require.Equal(t, Availability{Keys: 1, Interrupted: 1, Worst: "k1", Unavailable: 5000,
		UnavailableP50: a.UnavailableP50, UnavailableP99: a.UnavailableP99, LongestGap: 5000}, a)
	require.InEpsilon(t, 5000, a.UnavailableP99, 0.01)
}
