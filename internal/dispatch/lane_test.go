package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
)

// simulateLink sends large and small responses over a FIFO link and returns the latency of each. If chunked is set,
// large responses go through a chunkQueue.
func simulateLink(rate, largePerSecond, smallPerSecond float64, large, small int, chunked bool) (largeTook, smallTook []time.Duration) {
	random := rand.New(rand.NewPCG(5, 6))
	queue := chunkQueue{rate: chunkRateShare * rate}
	free := at(0) // when the link itself is idle
	send := func(now clock.Instant, bytes float64) clock.Instant {
		free = max(free, now).Add(seconds(bytes / rate))
		return free
	}
	type response struct {
		began clock.Instant
		left  int
	}
	owner := map[*chunk]*response{}
	next := func(a *response, now clock.Instant) {
		n := min(a.left, ChunkSize)
		owner[queue.add(float64(n), a.began)] = a
	}
	for ms := 0.0; ms < 30_000; ms++ {
		now := at(ms)
		if random.Float64() < largePerSecond/1000 {
			if chunked {
				next(&response{now, large}, now)
			} else {
				largeTook = append(largeTook, send(now, float64(large)).Sub(now))
			}
		}
		if random.Float64() < smallPerSecond/1000 {
			smallTook = append(smallTook, send(now, float64(small)).Sub(now))
		}
		for _, p := range queue.poll(now) {
			a := owner[p]
			delete(owner, p)
			left := send(now, p.bytes)
			if a.left -= int(p.bytes); a.left > 0 {
				next(a, now)
			} else {
				largeTook = append(largeTook, left.Sub(a.began))
			}
		}
	}
	return largeTook, smallTook
}

func quantile(took []time.Duration, q float64) time.Duration {
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took[int(q*float64(len(took)))]
}

// Load of a small host of a grown site: downloads of 90 KB take two thirds of a link of 11 Mbit/s, and 130 responses of
// 1 KB per second share it. Guards against small responses that wait behind downloads.
func TestSmallResponsesDoNotWaitForLargeOnes(t *testing.T) {
	const rate = 11e6 / 8
	whole, behind := simulateLink(rate, 10, 130, 90_000, 1000, false)
	chunked, small := simulateLink(rate, 10, 130, 90_000, 1000, true)
	t.Logf("small: p99 %v, %v without chunks; large: median %v, %v without", quantile(small, 0.99), quantile(behind, 0.99), quantile(chunked, 0.5), quantile(whole, 0.5))
	require.Less(t, quantile(small, 0.99), 2*maxLinkBacklog+2*seconds(ChunkSize/rate), "two chunks plus the link backlog")
	require.Greater(t, quantile(behind, 0.99), 200*time.Millisecond, "without chunks small responses are slow under this load")
	require.Less(t, quantile(chunked, 0.5), 500*time.Millisecond, "half of the latency objective of downloads")
}

func TestChunksAreReleasedByDeadline(t *testing.T) {
	l := chunkQueue{rate: 1e6}
	late, soon := l.add(100_000, at(900)), l.add(100_000, at(500))
	gone := l.add(100_000, at(100))
	l.remove(gone)
	require.Equal(t, []*chunk{soon}, l.poll(at(0)))
	require.Empty(t, l.poll(at(50)))
	require.Equal(t, 85*time.Millisecond, l.nextPoll(at(0)))
	require.Equal(t, []*chunk{late}, l.poll(at(85)))
	l.remove(late) // No effect: the chunk was released.
}

func TestChunkSchedulerWaitsAndCancels(t *testing.T) {
	require.NoError(t, NewChunkScheduler(clock.Boot{}, 0).Wait(t.Context(), 1<<30, 0), "a link without a rate limit")
	l := NewChunkScheduler(clock.Boot{}, 1e6)
	require.NoError(t, l.Wait(t.Context(), 100_000, 1))
	started := time.Now()
	require.NoError(t, l.Wait(t.Context(), 50_000, 1))
	require.Greater(t, time.Since(started), 50*time.Millisecond)
	left := errors.New("left")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(left)
	require.ErrorIs(t, l.Wait(ctx, 100_000, 1), left)
	require.Empty(t, l.queue.waiting)
}
