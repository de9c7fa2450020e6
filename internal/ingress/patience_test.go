package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: callers with a timeout of 6 s retry twice after refusals, so that about a third of the requests are first
// attempts; one caller in twenty-five has a longer timeout. Guards against retries that count as first attempts.
func TestRetriesAreRecognisedByRemainingTime(t *testing.T) {
	const timeout = 6 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	var p RequestAgeEstimator
	for i := range 5000 {
		if random.IntN(25) == 0 {
			p.Age(9 * time.Second)
		}
		firstAge := p.Age(timeout)
		elapsed := time.Duration(500+random.IntN(130)) * time.Millisecond
		retryAge := p.Age(timeout - elapsed)
		p.Age(timeout - 2*elapsed)
		if i > 20 {
			require.Zero(t, firstAge)
			require.Equal(t, elapsed, retryAge)
		}
	}
	require.LessOrEqual(t, len(p.counts), maxDistinctTimes)
	require.Zero(t, p.Age(0), "a caller that states no remaining time")
}

// Guards against ages of requests whose remaining time does not show them, such as calls of targets that inherit the
// deadline of the request they serve.
func TestNoAgeWithoutACommonTimeout(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var p RequestAgeEstimator
	for range 5000 {
		p.Age(time.Duration(1+random.IntN(1000)) * time.Millisecond)
	}
	require.Zero(t, p.Age(time.Millisecond))
}
