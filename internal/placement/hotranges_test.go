package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/keyspace"
)

const (
	// hotRangeSeconds is the length of a simulated period in which a group of keys becomes hot twice.
	hotRangeSeconds = 40
	hotRangeSeeds   = 3
	// hotRangeWarmup is the second from which requests are counted. Before, the initial load is spread.
	hotRangeWarmup = 8
	// hotRangeShare is the share of all requests that go to the group.
	hotRangeShare = 0.35
)

// hotRangeLoad is a load under which a group of neighbouring keys becomes hot.
type hotRangeLoad struct {
	owners, slots, group int
	perSecond            float64
}

func (l hotRangeLoad) String() string {
	return fmt.Sprintf("%d owners of %d slots, %d keys, %.0f per second", l.owners, l.slots, l.group, l.perSecond)
}

var hotRangeLoads = []hotRangeLoad{
	{41, 6, 60, 927}, {41, 6, 200, 927}, {44, 12, 200, 2350},
}

// hotFrom returns the second from which the group is hot for the n-th time, for 5.5 s.
func hotFrom(n int) float64 { return 12 + 14*float64(n) }

// newHotRangeSimulation returns a simulation in which the group is hot twice, if hot is set. The other
// requests are skewed, or spread evenly over all keys if even is set.
func newHotRangeSimulation(t *testing.T, l hotRangeLoad, hot, even bool, seed uint64) *simulation {
	classes := []simRequestClass{{"read", 1, 168 * time.Millisecond, 400 * time.Millisecond, 2}}
	s := newSimulationOf(t, l.owners, l.slots, []float64{0.5, 1, 1, 1.5}, classes, seed)
	s.tableDelay = 40 * time.Millisecond
	busy := busyKeys(s.random)
	firstKeys := []int{s.random.IntN(60_000), s.random.IntN(60_000)}
	s.nextKey = func(now clock.Instant) int {
		for n, first := range firstKeys {
			if hot && now >= at(hotFrom(n)) && now < at(hotFrom(n)+5.5) && s.random.Float64() < hotRangeShare {
				return first + s.random.IntN(l.group)
			}
		}
		if even {
			return s.random.IntN(keyspace.MaxKey + 1)
		}
		return busy()
	}
	s.run(l.perSecond, hotRangeSeconds)
	return s
}

// lost returns the number of requests that arrived in the seconds from..to-1 and were refused or late.
func (s *simulation) lost(from, to int) int {
	lost := 0
	for i := from; i < to; i++ {
		lost += s.total[i] - s.inTime[i]
	}
	return lost
}

// hotRangeResult is the mean of several simulations.
type hotRangeResult struct {
	// lost is the number of requests refused or late from second hotRangeWarmup on, lostBySecond the same by second.
	lost         float64
	lostBySecond [hotRangeSeconds]float64
	// moves is the number of balancing moves that were planned from second hotRangeWarmup on, rows the number of rows at the end.
	moves, rows float64
}

// simulateHotRanges runs the load with several seeds.
func simulateHotRanges(t *testing.T, l hotRangeLoad, hot, even bool) (mean hotRangeResult) {
	var runs [hotRangeSeeds]*simulation
	t.Run(fmt.Sprintf("hot %v, even %v", hot, even), func(t *testing.T) { // Ends when all parallel subtests have ended.
		for seed := range runs {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				runs[seed] = newHotRangeSimulation(t, l, hot, even, uint64(seed))
			})
		}
	})
	for seed, s := range runs {
		if s == nil {
			continue
		}
		t.Logf("hot %v, seed %d: %d lost, moves %v, %d rows, losses %v", hot, seed, s.lost(hotRangeWarmup, hotRangeSeconds), s.moveReasons, len(s.table().Rows), s.losses)
		mean.lost += float64(s.lost(hotRangeWarmup, hotRangeSeconds)) / hotRangeSeeds
		for at, n := range s.balanceMoves {
			if at >= hotRangeWarmup {
				mean.moves += float64(n) / hotRangeSeeds
			}
		}
		mean.rows += float64(len(s.table().Rows)) / hotRangeSeeds
		for i := range mean.lostBySecond {
			mean.lostBySecond[i] += float64(s.lost(i, i+1)) / hotRangeSeeds
		}
	}
	return mean
}

// Guards against a group of keys that becomes hot and stays with one owner, because the skewed load before has filled the table with
// rows or because the plans move too little.
func TestHotRangeLosses(t *testing.T) {
	for _, l := range hotRangeLoads {
		t.Run(l.String(), func(t *testing.T) {
			hot, calm, even := simulateHotRanges(t, l, true, false), simulateHotRanges(t, l, false, false), simulateHotRanges(t, l, false, true)
			t.Logf("lost by second %.0f", hot.lostBySecond[hotRangeWarmup:])
			t.Logf("hot: lost %.0f, moves %.0f, rows %.0f; calm: lost %.0f, moves %.0f, rows %.0f; calm and even: lost %.0f, moves %.0f", hot.lost, hot.moves, hot.rows, calm.lost, calm.moves, calm.rows, even.lost, even.moves)
			require.Zero(t, calm.moves, "no moves without hot keys, once the initial load is spread")
			requests := 2 * 5.5 * hotRangeShare * l.perSecond
			require.Less(t, hot.lost-calm.lost, requests/2, "at least half of the requests to hot keys are answered in time")
		})
	}
}
