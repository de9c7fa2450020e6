package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
)

var testTarget = TargetCapacity{Slots: 20, ColdStart: ColdStart{Concurrency: 2, Ramp: 10 * time.Second}}

// coreModel drives a Core and checks it against a model of the ramp.
type coreModel struct {
	*Core
	now           clock.Instant
	timeUnderLoad time.Duration // time under load since the last restart, at most what the ramp may count
	arrived       []uint64
	granted       []uint64
	decided       map[uint64]answer.Kind
	class         map[uint64]Class
	violation     string
}

func newCoreModel(target TargetCapacity) *coreModel {
	now := clock.Instant(time.Hour)
	return &coreModel{Core: NewCore(now, target), now: now, decided: map[uint64]answer.Kind{}, class: map[uint64]Class{}}
}

func (r *coreModel) advance(d time.Duration) {
	if len(r.granted) > 0 {
		r.timeUnderLoad += d
	}
	r.now = r.now.Add(d)
}

func (r *coreModel) apply(decisions []Decision) {
	for _, e := range decisions {
		if _, twice := r.decided[e.RequestID]; twice {
			r.violation = "two events for one request"
		}
		r.decided[e.RequestID] = e.Refusal
		if e.Refusal == "" {
			r.granted = append(r.granted, e.RequestID)
			r.checkGrant()
		}
	}
}

func (r *coreModel) checkGrant() {
	cold, slots := r.limiter.target.ColdStart, r.limiter.target.Slots
	ramp := cold.Concurrency + int(float64(slots-cold.Concurrency)*float64(r.timeUnderLoad)/float64(cold.Ramp))
	if len(r.granted) > max(1, min(ramp, slots)) {
		r.violation = "more running than the ramp allows"
	}
	if len(r.granted) > r.Stats(r.now).Limit {
		r.violation = "more running than the limit"
	}
}

func (r *coreModel) arrive(class Class, wait time.Duration) uint64 {
	id, decisions := r.Arrive(r.now, class, r.now.Add(wait))
	r.class[id] = class
	r.arrived = append(r.arrived, id)
	r.apply(decisions)
	return id
}

func (r *coreModel) done(o Outcome) {
	r.granted = r.granted[1:]
	r.apply(r.Done(r.now, o.Latency, o))
}

func (r *coreModel) pending() (n int) {
	for _, id := range r.arrived {
		if _, decided := r.decided[id]; !decided {
			n++
		}
	}
	return n
}

// Guards against more running requests than the limit or the cold start ramp allows, an unbounded queue, and
// requests that are granted twice, never, or after they were cancelled.
func TestCoreProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := testTarget
		target.Slots = rapid.IntRange(2, 20).Draw(t, "slots")
		r := newCoreModel(target)
		drawWait := func() time.Duration {
			return time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
		}
		arrive := func(t *rapid.T) { r.arrive(Class(rapid.IntRange(0, 2).Draw(t, "class")), drawWait()) }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive again": arrive,
			"advance": func(t *rapid.T) {
				r.advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				r.apply(r.Poll(r.now))
			},
			"done": func(t *rapid.T) {
				if len(r.granted) > 0 {
					r.done(Outcome{Result(rapid.IntRange(0, 3).Draw(t, "result")), drawWait()})
				}
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(1, r.lastID+1).Draw(t, "id")
				_, decided := r.decided[id]
				if r.Cancel(id) != (!decided && id <= r.lastID) {
					t.Fatal("a request is cancelled if and only if it waits")
				}
				if id <= r.lastID && !decided {
					r.decided[id] = answer.Deadline
				}
			},
			"restart": func(t *rapid.T) { r.Restart(r.now, target); r.timeUnderLoad = 0 },
			"report":  func(t *rapid.T) { r.ReportRunning(r.now, rapid.IntRange(0, 1000).Draw(t, "reported")) },
			"": func(t *rapid.T) {
				s := r.Stats(r.now)
				if r.violation != "" || s.Running != len(r.granted) || s.Waiting != r.pending() || s.Waiting > 4*target.Slots {
					t.Fatalf("%s: %+v, model has %d running, %d waiting", r.violation, s, len(r.granted), r.pending())
				}
			},
		})
	})
}

// Guards against starvation of a class by higher classes, both for grants and for places in the queue.
func TestNoClassStarves(t *testing.T) {
	r := newCoreModel(TargetCapacity{Slots: 10})
	for range 10 {
		r.arrive(Internal, time.Hour)
	}
	grants := map[Class]int{}
	for range 300 {
		r.arrive(Batch, time.Hour)
		r.arrive(Interactive, time.Hour)
		r.arrive(Internal, time.Hour)
		before := len(r.granted)
		r.done(Outcome{Result: Inconclusive})
		require.Len(t, r.granted, before)
		grants[r.class[r.granted[len(r.granted)-1]]]++
	}
	require.GreaterOrEqual(t, grants[Batch], 27)
	require.GreaterOrEqual(t, grants[Interactive], 27)
	require.Greater(t, grants[Internal], 200)
}

// Guards against an overloaded queue that serves requests shortly before they time out, and against requests that
// wait although they can't be served before their deadline.
func TestOverload(t *testing.T) {
	r := newCoreModel(TargetCapacity{Slots: 2})
	first := r.arrive(Interactive, time.Hour)
	r.arrive(Interactive, time.Hour)
	require.Contains(t, r.decided, first)
	oldest := r.arrive(Interactive, time.Hour)
	r.arrive(Interactive, time.Hour)
	newest := r.arrive(Interactive, time.Hour)
	r.advance(time.Second)
	r.done(Outcome{Latency: time.Second})
	require.Equal(t, answer.Kind(""), r.decided[newest])
	require.NotContains(t, r.decided, oldest)
	hopeless := r.arrive(Interactive, 900*time.Millisecond)
	require.Equal(t, answer.Shed, r.decided[hopeless])
	for range 20 {
		r.arrive(Interactive, time.Hour)
	}
	require.Equal(t, answer.Shed, r.decided[oldest], "the newest requests replace the oldest in a full queue")
	require.Equal(t, 8, r.Stats(r.now).Waiting)
}

// applyLoad keeps all slots in use for a number of steps, each of which ends one request. perSlot is the time for which a
// request occupies its slot, latency is the reported latency, and refusedOf10 of 10 requests are refused.
func (r *coreModel) applyLoad(steps int, perSlot, latency time.Duration, refusedOf10 int) {
	for i := range steps {
		for r.Stats(r.now).Waiting < 3 {
			r.arrive(Interactive, time.Hour)
		}
		r.advance(perSlot / time.Duration(len(r.granted)))
		if i%10 < refusedOf10 {
			r.done(Outcome{Result: Refused})
		} else {
			r.done(Outcome{Latency: latency})
		}
	}
}

// Guards against full load on a target that becomes cold without a new incarnation, and against a ramp that restarts
// because of a latency jump alone.
func TestColdnessIsInferred(t *testing.T) {
	warm := func() *coreModel {
		r := newCoreModel(testTarget)
		r.applyLoad(30_000, 10*time.Millisecond, 10*time.Millisecond, 0)
		require.Equal(t, Stats{Running: 20, Waiting: 2, Limit: 20}, r.Stats(r.now))
		return r
	}
	refusing := warm()
	refusing.applyLoad(500, 10*time.Millisecond, 35*time.Millisecond, 3)
	require.True(t, refusing.Stats(refusing.now).Cold)
	require.LessOrEqual(t, refusing.Stats(refusing.now).Limit, 4)
	slower := warm()
	slower.applyLoad(60, 80*time.Millisecond, 80*time.Millisecond, 0)
	require.True(t, slower.Stats(slower.now).Cold, "throughput dropped to an eighth")
	straggler := warm()
	straggler.applyLoad(400, 10*time.Millisecond, 35*time.Millisecond, 0)
	require.False(t, straggler.Stats(straggler.now).Cold)
	require.Less(t, straggler.Stats(straggler.now).Limit, 20, "higher latency lowers the limit")
}

// Guards against a wrong load report that lowers the limit too far, and against reports that are used after they expire.
func TestReportOnlyLowersTheLimit(t *testing.T) {
	r := newCoreModel(TargetCapacity{Slots: 20})
	r.ReportRunning(r.now, 5)
	require.Equal(t, 15, r.Stats(r.now).Limit)
	r.ReportRunning(r.now, 1000)
	require.Equal(t, 10, r.Stats(r.now).Limit)
	r.advance(reportMaxAge)
	require.Equal(t, 20, r.Stats(r.now).Limit)
}
