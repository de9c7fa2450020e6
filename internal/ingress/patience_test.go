package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load: callers with 6 s come back twice after being refused, so that first attempts are a third of the requests; one caller in
// twenty-five waits longer.
func TestRetriesAreRecognisedByRemainingTime(t *testing.T) {
	const usual = 6 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	var p RequestAgeEstimator
	for i := range 5000 {
		if random.IntN(25) == 0 {
			p.Age(9 * time.Second)
		}
		first := p.Age(usual)
		gone := time.Duration(500+random.IntN(130)) * time.Millisecond
		again := p.Age(usual - gone)
		p.Age(usual - 2*gone)
		if i > 20 {
			require.Zero(t, first)
			require.Equal(t, gone, again)
		}
	}
	require.LessOrEqual(t, len(p.counts), maxDistinctTimes)
	require.Zero(t, p.Age(0), "a caller who does not say")
}

// Guards against ages of requests whose time left says nothing, such as calls of targets that end with their parents.
func TestNoAgeWithoutACommonTimeout(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var p RequestAgeEstimator
	for range 5000 {
		p.Age(time.Duration(1+random.IntN(1000)) * time.Millisecond)
	}
	require.Zero(t, p.Age(time.Millisecond))
}
