package memory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against reservations beyond the limit, and against bytes that are never returned.
func TestSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(1000)
		holds := make([]Hold, 8)
		for i := range holds {
			holds[i].Account = a
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			h, n := &holds[rapid.IntRange(0, 7).Draw(t, "holder")], rapid.Int64Range(1, 400).Draw(t, "bytes")
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				h.TryReserve(n)
			case 1:
				before := a.Used()
				require.Equal(t, before+n <= a.highWater, h.Reserve(context.Background(), n, 0))
			case 2:
				h.Release()
			}
			sum := int64(0)
			for i := range holds {
				sum += holds[i].Bytes()
			}
			require.Equal(t, sum, a.Used())
			require.LessOrEqual(t, sum, a.limit)
		}
	})
}

// Guards against a waiter that is passed over, that is never woken, or whose bytes are lost when it gives up.
func TestReserveWaitsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAccount(1000)
		require.True(t, a.TryReserve(900))
		require.True(t, a.Pressed())
		served := make(chan string, 3)
		for _, w := range []struct {
			name  string
			bytes int64
			wait  time.Duration
		}{{"gives up", 800, time.Second}, {"large", 700, time.Minute}, {"small", 100, time.Minute}} {
			go func() {
				if a.Reserve(t.Context(), w.bytes, w.wait) {
					served <- w.name
				}
			}()
			synctest.Wait()
		}
		a.Release(200) // Would be enough for the small one alone.
		time.Sleep(2 * time.Second)
		require.Empty(t, served)
		a.Release(700)
		synctest.Wait()
		require.ElementsMatch(t, []string{"large", "small"}, []string{<-served, <-served})
		require.EqualValues(t, 800, a.Used())
		require.False(t, a.Pressed())
	})
}

func BenchmarkReserveAndRelease(b *testing.B) {
	a := NewAccount(1 << 30)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if a.TryReserve(4096) {
				a.Release(4096)
			}
		}
	})
}
