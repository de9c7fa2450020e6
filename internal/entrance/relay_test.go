package entrance

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/relay"
)

// Guards against bodies and answers that get mixed up or cut on the whole way from the caller over a
// real connection to the gate of another node, small and streamed ones at once.
func TestBodiesOverTheRelay(t *testing.T) {
	gate := &nodes{respond: func(_ context.Context, _ int, c call) (*relay.Response, error) {
		res := ok("")
		res.Head.ContentLength = c.head.ContentLength
		res.Body = io.NopCloser(c.body)
		return res, nil
	}}
	server, err := relay.Listen(relay.ServerOptions{Address: "127.0.0.1:0", Secret: []byte("s"), Handler: gate,
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}})
	require.NoError(t, err)
	address, err := server.Address()
	require.NoError(t, err)
	client := relay.NewClient(relay.ClientOptions{Secret: []byte("s")})
	defer func() {
		client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.NoError(t, server.Close(ctx))
	}()
	f := newFixture(t, func(ctx context.Context, _ int, c call) (*relay.Response, error) {
		return client.Do(ctx, address, &relay.Request{Head: c.head, Body: c.body})
	})
	f.publish(func(v *cluster.View) {
		for i := range v.Groups[cluster.GroupID{Service: "booking"}].Slices {
			v.Groups[cluster.GroupID{Service: "booking"}].Slices[i] = cluster.Slice{Epoch: 1, Owner: v.Nodes["a"].ID}
		}
	})
	// The relay connects before the load: callers who wait for that too long get no_owner, which is not what is checked.
	kind, _, got, err := f.do("POST", "/booking/first", "first", identity, "first")
	require.NoError(t, err)
	require.Empty(t, kind)
	require.Equal(t, "first", got)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			want := strings.Repeat(fmt.Sprint(i, ";"), 1+i*6000)
			kind, _, got, err := f.do("POST", fmt.Sprint("/booking/", i), want, identity, fmt.Sprint(i))
			if err != nil || kind != "" || got != want {
				t.Errorf("%d: kind %s, %d of %d bytes, %v", i, kind, len(got), len(want), err)
			}
		})
	}
	wg.Wait()
}
