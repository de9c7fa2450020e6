package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/target"
)

// fixture is a target with a manual clock whose handler is served over HTTP.
type fixture struct {
	*Target
	clock *clock.Manual
	url   string
	exits atomic.Int32
}

func start(t *testing.T, o Options, change func(*Behaviour)) *fixture {
	t.Helper()
	f := &fixture{clock: &clock.Manual{}}
	b := DefaultBehaviour()
	b.ServiceTime = 0
	if change != nil {
		change(&b)
	}
	o.Name, o.Clock, o.LeaveTimeout = "t", f.clock, 10*time.Second
	o.Slots, o.Connections = cmp.Or(o.Slots, 4), cmp.Or(o.Connections, 50)
	o.Exit = func(int) { f.exits.Add(1) }
	var err error
	f.Target, err = New(o, b)
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(f)
	server.Config.ConnState = f.limitConnections
	server.Start()
	f.url = server.URL
	t.Cleanup(server.Close)
	return f
}

// answered is what a client saw of an answer.
type answered struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (f *fixture) post(ctx context.Context, path string, headers map[string]string) answered {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, strings.NewReader("order"))
	if err != nil {
		return answered{err: err}
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answered{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answered{resp.StatusCode, resp.Header, body, err}
}

func (a answered) notRun() string { return a.header.Get(answer.NotRunHeader) }

var keyed = map[string]string{target.HeaderKey: "k", target.HeaderSlice: "3", target.HeaderEpoch: "7", HeaderRequestID: "r1"}

func granting(ttl time.Duration) target.Grant {
	return target.Grant{Sequence: 1, TTLMS: ttl.Milliseconds(), Slices: []target.GrantedSlice{{Index: 3, Epoch: 7}}}
}

func (f *fixture) outcome(t *testing.T) Outcome {
	t.Helper()
	entries := f.journal.page(0).Entries
	require.Len(t, entries, 1)
	return entries[0].Outcome
}

// Guards against a grant that is extended by the time that its answer was held up.
func TestGrantCountsFromSendTime(t *testing.T) {
	f := start(t, Options{Fenced: true, Node: "unused"}, nil)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f.clock.Advance(400 * time.Millisecond)
		_ = json.NewEncoder(w).Encode(granting(500 * time.Millisecond))
	}))
	defer node.Close()
	f.options.Node = strings.TrimPrefix(node.URL, "http://")
	f.pollOnce(t.Context(), http.DefaultClient)

	require.Equal(t, http.StatusOK, f.post(t.Context(), "/", keyed).status)
	f.clock.Advance(99 * time.Millisecond)
	require.Equal(t, http.StatusOK, f.post(t.Context(), "/", keyed).status)
	f.clock.Advance(time.Millisecond)
	refused := f.post(t.Context(), "/", keyed)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, reasonFenced, refused.notRun())
}

// Guards against requests of another owner's epoch, and against epochs kept from another grant.
func TestGrantCoversOnlyItsEpochs(t *testing.T) {
	var g grants
	g.apply(0, granting(time.Second))
	require.True(t, g.allows(3, 7, 0))
	require.False(t, g.allows(3, 6, 0))
	require.False(t, g.allows(4, 7, 0))
	g.apply(0, target.Grant{Sequence: 2, TTLMS: 5000, Unchanged: true})
	require.False(t, g.allows(3, 7, clock.Instant(2*time.Second)), "a grant that is not held extends nothing")
	require.Zero(t, g.held(), "the next poll asks for all slices")
	g.apply(0, target.Grant{Sequence: 3, TTLMS: 5000})
	require.False(t, g.allows(3, 7, 0), "a grant without slices takes all away")
}

// Guards against an effect after the grant ended while the request was running or frozen, and against
// such a request being reported as one that ran.
func TestGrantIsCheckedBeforeTheEffect(t *testing.T) {
	f := start(t, Options{Fenced: true, Node: "unused"}, func(b *Behaviour) { b.ServiceTime = config.Duration(100 * time.Millisecond) })
	f.grants.apply(0, granting(time.Second))
	go func() {
		for f.State().Running == 0 {
			time.Sleep(time.Millisecond)
		}
		f.clock.Advance(time.Second)
	}()
	refused := f.post(t.Context(), "/", keyed)
	require.Equal(t, reasonFenced, refused.notRun())
	require.Equal(t, Fenced, f.outcome(t))
}

// Guards against a journal that leaves open whether a run took effect that a freeze of the target carried beyond its
// grant and its deadline.
func TestStoppedRunWithoutGrantIsFenced(t *testing.T) {
	f := start(t, Options{Fenced: true, Node: "unused"}, func(b *Behaviour) { b.ServiceTime = config.Duration(time.Minute) })
	f.grants.apply(0, granting(time.Second))
	go func() {
		for f.State().Running == 0 {
			time.Sleep(time.Millisecond)
		}
		f.clock.Advance(time.Second)
	}()
	headers := maps.Clone(keyed)
	headers[target.HeaderDeadline] = "100"
	stopped := f.post(t.Context(), "/", headers)
	require.Equal(t, http.StatusGatewayTimeout, stopped.status)
	require.Empty(t, stopped.notRun())
	require.Equal(t, Fenced, f.outcome(t))
}

// Guards against work that goes on for a client that is gone, and against a target that was told not
// to honour cancellation doing so.
func TestCancellation(t *testing.T) {
	for _, honoured := range []bool{true, false} {
		f := start(t, Options{}, func(b *Behaviour) {
			b.ServiceTime, b.Cancellation = config.Duration(300*time.Millisecond), honoured
		})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		require.Error(t, f.post(ctx, "/", nil).err)
		cancel()
		want := Completed
		if honoured {
			want = Cancelled
		}
		require.Eventually(t, func() bool { return f.outcome(t) == want }, 5*time.Second, 5*time.Millisecond)
	}
}

// Guards against a deadline that is ignored, and against one that passed in the queue being told as a run.
func TestDeadline(t *testing.T) {
	f := start(t, Options{Slots: 4}, func(b *Behaviour) { b.ServiceTime = config.Duration(time.Minute) })
	headers := map[string]string{target.HeaderDeadline: "100"}
	running := f.post(t.Context(), "/", headers)
	require.Equal(t, http.StatusGatewayTimeout, running.status)
	require.Empty(t, running.notRun())
	require.Equal(t, Cancelled, f.outcome(t))
	for range cap(f.slots) {
		f.slots <- struct{}{}
	}
	require.Equal(t, reasonShed, f.post(t.Context(), "/", headers).notRun())
}

// Guards against a cold target that bears full load, and against one that gets warm without work.
func TestColdTargetFallsOver(t *testing.T) {
	cold := func(b *Behaviour) { b.ColdConcurrency, b.FallOver = 1, FallOverRefuse }
	f := start(t, Options{Slots: 20}, cold)
	f.clock.Advance(time.Hour)
	require.Empty(t, f.checkLoad(2))
	require.EqualValues(t, reasonCold, f.checkLoad(3))
	require.Equal(t, reasonCold, f.post(t.Context(), "/", nil).notRun())
	f.clock.Advance(f.behaviour.FallOverTime.Std())
	require.Equal(t, http.StatusOK, f.post(t.Context(), "/", nil).status)

	f.warmth.start(f.clock.Now())
	f.clock.Advance(f.behaviour.ColdTime.Std())
	require.Empty(t, f.checkLoad(20), "a target that has worked for the cold time is warm")
	f.TurnCold()
	f.clock.Advance(f.behaviour.ColdTime.Std() / 2)
	require.EqualValues(t, reasonCold, f.checkLoad(40))
	require.Equal(t, 1.0, f.State().Bears, "a target that fell over is cold again")
	f.behaviour.FallOver = FallOverExit
	f.checkLoad(20)
	require.EqualValues(t, 1, f.exits.Load())
}

// Guards against a frozen target that answers, and against a run that ends while its target is frozen.
func TestFreeze(t *testing.T) {
	f := start(t, Options{}, nil)
	f.Freeze(time.Millisecond)
	answers := make(chan answered, 1)
	go func() { answers <- f.post(context.Background(), "/", nil) }()
	require.Never(t, func() bool { return len(answers) > 0 }, 100*time.Millisecond, 10*time.Millisecond)
	f.clock.Advance(time.Millisecond)
	require.Equal(t, http.StatusOK, (<-answers).status)
}

// Guards against a target that takes more connections than it declares, or never takes new ones again.
func TestConnectionsAreBounded(t *testing.T) {
	f := start(t, Options{Connections: 1}, nil)
	address := strings.TrimPrefix(f.url, "http://")
	first, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.connections.Load() == 1 }, 5*time.Second, time.Millisecond)
	second, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer second.Close()
	require.NoError(t, second.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = second.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return f.connections.Load() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a stop before the node said that no work is left, and against new work after that.
func TestLeaveWaitsForTheNode(t *testing.T) {
	f := start(t, Options{Node: "unused"}, nil)
	var idle atomic.Bool
	var askedToLeave atomic.Bool
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a target.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		askedToLeave.Store(a.Leaving)
		_ = json.NewEncoder(w).Encode(target.Grant{Sequence: 1, TTLMS: 500, Idle: idle.Load()})
	}))
	defer node.Close()
	f.options.Node = strings.TrimPrefix(node.URL, "http://")
	requests, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- f.Run(ctx, requests, admin) }()
	stop()
	require.Eventually(t, askedToLeave.Load, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, f.post(t.Context(), "/", nil).status)
	require.Empty(t, stopped)
	idle.Store(true)
	require.NoError(t, <-stopped)
	require.Equal(t, reasonDraining, f.post(t.Context(), "/", nil).notRun())
}

// Guards against answers that can't be told from those to other requests, and against a load report
// that is newer than the configured lag.
func TestAnswersAndLoadReport(t *testing.T) {
	f := start(t, Options{}, func(b *Behaviour) { b.LoadLag = config.Duration(time.Second) })
	echo := f.post(t.Context(), "/", map[string]string{HeaderRequestID: "r9"})
	require.Equal(t, "order", string(echo.body))
	require.Equal(t, "r9", echo.header.Get(HeaderRequestID))
	generated := f.post(t.Context(), "/?size=1000", map[string]string{HeaderRequestID: "r9"})
	require.Equal(t, Generate("r9", 1000), generated.body)
	require.Equal(t, Checksum(generated.body), generated.header.Get(HeaderChecksum))
	require.Error(t, f.post(t.Context(), "/?size=1000&truncate=1&chunked=1", nil).err)

	f.slots <- struct{}{}
	require.Zero(t, f.reportedLoad())
	f.clock.Advance(999 * time.Millisecond)
	require.Zero(t, f.reportedLoad())
	f.clock.Advance(time.Millisecond)
	require.Equal(t, 1, f.reportedLoad())
}

// Guards against a journal that grows without bound or hides that entries were dropped.
func TestJournalIsBounded(t *testing.T) {
	j := newJournal(3)
	for range 5 {
		j.end(j.begin(Entry{}, 1), Completed, 2)
	}
	late := j.begin(Entry{RequestID: "late"}, 3)
	p := j.page(0)
	require.Equal(t, uint64(4), p.First)
	require.Len(t, p.Entries, 3)
	require.Equal(t, late, p.Next, "a run that has not ended is read again")
	j.end(late, Completed, 4)
	require.Equal(t, late+1, j.page(p.Next).Next)
}
