package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
)

var testShape = TargetCapacity{Slots: 20, ColdStart: ColdStart{Concurrency: 2, Ramp: 10 * time.Second}}

// rig drives a Core and checks it against a model of the ramp.
type rig struct {
	*Core
	now      clock.Instant
	busy     time.Duration // time under load since the last restart, at most what the ramp may count
	waiting  []uint64
	granted  []uint64
	settled  map[uint64]answer.Kind
	class    map[uint64]Class
	violated string
}

func newRig(shape TargetCapacity) *rig {
	now := clock.Instant(time.Hour)
	return &rig{Core: NewCore(now, shape), now: now, settled: map[uint64]answer.Kind{}, class: map[uint64]Class{}}
}

func (r *rig) advance(d time.Duration) {
	if len(r.granted) > 0 {
		r.busy += d
	}
	r.now = r.now.Add(d)
}

func (r *rig) take(events []Decision) {
	for _, e := range events {
		if _, twice := r.settled[e.RequestID]; twice {
			r.violated = "two events for one request"
		}
		r.settled[e.RequestID] = e.Refusal
		if e.Refusal == "" {
			r.granted = append(r.granted, e.RequestID)
			r.checkGrant()
		}
	}
}

func (r *rig) checkGrant() {
	cold, slots := r.limiter.target.ColdStart, r.limiter.target.Slots
	ramp := cold.Concurrency + int(float64(slots-cold.Concurrency)*float64(r.busy)/float64(cold.Ramp))
	if len(r.granted) > max(1, min(ramp, slots)) {
		r.violated = "more running than the ramp allows"
	}
	if len(r.granted) > r.Stats(r.now).Limit {
		r.violated = "more running than the limit"
	}
}

func (r *rig) arrive(class Class, wait time.Duration) uint64 {
	id, events := r.Arrive(r.now, class, r.now.Add(wait))
	r.class[id] = class
	r.waiting = append(r.waiting, id)
	r.take(events)
	return id
}

func (r *rig) done(o Outcome) {
	r.granted = r.granted[1:]
	r.take(r.Done(r.now, o.Latency, o))
}

func (r *rig) pending() (n int) {
	for _, id := range r.waiting {
		if _, settled := r.settled[id]; !settled {
			n++
		}
	}
	return n
}

// Guards against more running requests than the limit, a cold target that gets more than the ramp allows, an
// unbounded queue, and requests that are granted twice, never, or after they were cancelled.
func TestCoreProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := testShape
		shape.Slots = rapid.IntRange(2, 20).Draw(t, "slots")
		r := newRig(shape)
		drawWait := func() time.Duration {
			return time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
		}
		arrive := func(t *rapid.T) { r.arrive(Class(rapid.IntRange(0, 2).Draw(t, "class")), drawWait()) }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive again": arrive,
			"advance": func(t *rapid.T) {
				r.advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				r.take(r.Poll(r.now))
			},
			"done": func(t *rapid.T) {
				if len(r.granted) > 0 {
					r.done(Outcome{Result(rapid.IntRange(0, 3).Draw(t, "result")), drawWait()})
				}
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(1, r.lastID+1).Draw(t, "id")
				_, settled := r.settled[id]
				if r.Cancel(id) != (!settled && id <= r.lastID) {
					t.Fatal("a request is cancelled if and only if it waits")
				}
				if id <= r.lastID && !settled {
					r.settled[id] = answer.Deadline
				}
			},
			"restart": func(t *rapid.T) { r.Restart(r.now, shape); r.busy = 0 },
			"report":  func(t *rapid.T) { r.ReportRunning(r.now, rapid.IntRange(0, 1000).Draw(t, "reported")) },
			"": func(t *rapid.T) {
				s := r.Stats(r.now)
				if r.violated != "" || s.Running != len(r.granted) || s.Waiting != r.pending() || s.Waiting > 4*shape.Slots {
					t.Fatalf("%s: %+v, model has %d running, %d waiting", r.violated, s, len(r.granted), r.pending())
				}
			},
		})
	})
}

// Guards against a class that starves behind higher ones, both for grants and for places in the queue.
func TestNoClassStarves(t *testing.T) {
	r := newRig(TargetCapacity{Slots: 10})
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

// Guards against an overloaded queue that serves requests just before they time out, and against requests that wait
// although they can't be served in time.
func TestOverload(t *testing.T) {
	r := newRig(TargetCapacity{Slots: 2})
	first := r.arrive(Interactive, time.Hour)
	r.arrive(Interactive, time.Hour)
	require.Contains(t, r.settled, first)
	oldest := r.arrive(Interactive, time.Hour)
	r.arrive(Interactive, time.Hour)
	newest := r.arrive(Interactive, time.Hour)
	r.advance(time.Second)
	r.done(Outcome{Latency: time.Second})
	require.Equal(t, answer.Kind(""), r.settled[newest])
	require.NotContains(t, r.settled, oldest)
	hopeless := r.arrive(Interactive, 900*time.Millisecond)
	require.Equal(t, answer.Shed, r.settled[hopeless])
	for range 20 {
		r.arrive(Interactive, time.Hour)
	}
	require.Equal(t, answer.Shed, r.settled[oldest], "the newest requests replace the oldest in a full queue")
	require.Equal(t, 8, r.Stats(r.now).Waiting)
}

// load keeps the target full for a while. It ends one request for each place in the given time, reports the given
// latency, and refuses a part of the requests.
func (r *rig) load(steps int, perPlace, latency time.Duration, refusedOf10 int) {
	for i := range steps {
		for r.Stats(r.now).Waiting < 3 {
			r.arrive(Interactive, time.Hour)
		}
		r.advance(perPlace / time.Duration(len(r.granted)))
		if i%10 < refusedOf10 {
			r.done(Outcome{Result: Refused})
		} else {
			r.done(Outcome{Latency: latency})
		}
	}
}

// Guards against a target that becomes cold without a new incarnation and gets the full load, and against a ramp that
// restarts for a latency jump alone.
func TestColdnessIsInferred(t *testing.T) {
	warm := func() *rig {
		r := newRig(testShape)
		r.load(30_000, 10*time.Millisecond, 10*time.Millisecond, 0)
		require.Equal(t, Stats{Running: 20, Waiting: 2, Limit: 20}, r.Stats(r.now))
		return r
	}
	refusing := warm()
	refusing.load(500, 10*time.Millisecond, 35*time.Millisecond, 3)
	require.True(t, refusing.Stats(refusing.now).Cold)
	require.LessOrEqual(t, refusing.Stats(refusing.now).Limit, 4)
	slower := warm()
	slower.load(60, 80*time.Millisecond, 80*time.Millisecond, 0)
	require.True(t, slower.Stats(slower.now).Cold, "throughput fell to an eighth")
	straggler := warm()
	straggler.load(400, 10*time.Millisecond, 35*time.Millisecond, 0)
	require.False(t, straggler.Stats(straggler.now).Cold)
	require.Less(t, straggler.Stats(straggler.now).Limit, 20, "a rise of latency lowers the limit")
}

// Guards against a misleading load report that starves the target, and one that outlives its time.
func TestReportOnlyLowersTheLimit(t *testing.T) {
	r := newRig(TargetCapacity{Slots: 20})
	r.ReportRunning(r.now, 5)
	require.Equal(t, 15, r.Stats(r.now).Limit)
	r.ReportRunning(r.now, 1000)
	require.Equal(t, 10, r.Stats(r.now).Limit)
	r.advance(reportMaxAge)
	require.Equal(t, 20, r.Stats(r.now).Limit)
}
