package peer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/replica"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeBackend struct {
	Backend
	parts    int
	age      int64
	refuse   int // number of the part that is not accepted
	deadline bool
	err      error
}

func (b *fakeBackend) Vote(ctx context.Context, _ *wire.VoteRequest) (*wire.VoteResponse, error) {
	_, b.deadline = ctx.Deadline()
	return &wire.VoteResponse{Promised: true}, b.err
}

func (b *fakeBackend) ImportIdentities(_ context.Context, batch *wire.IdentityBatch) (*wire.ImportResponse, error) {
	b.parts++
	b.age = batch.GetTakeoverAgeMs()
	return &wire.ImportResponse{Accepted: b.parts != b.refuse}, nil
}

func (b *fakeBackend) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return &wire.StatusResponse{Revision: 7}, nil
}

type fixture struct {
	address string
	backend *fakeBackend
	replica *replica.Replica
	server  *Server
	client  *Client
}

func start(t *testing.T, clientSecret string) *fixture {
	quiet := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{address: l.Addr().String(), backend: &fakeBackend{}, replica: replica.New(quiet), client: NewClient(clientSecret)}
	f.server = NewServer("secret", f.backend, f.replica, quiet)
	go func() { _ = f.server.Serve(l) }()
	t.Cleanup(func() {
		f.client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		f.server.Stop(ctx)
	})
	return f
}

func change(name string, version uint64, size int) store.Change {
	value := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{byte(version)}).Read(value) // does not compress
	return store.Change{Object: store.Object{Kind: "test", Name: name, Version: version, Value: value}}
}

// Guards against calls from outside the cluster, also on streams, where unary checks do not run.
func TestCallWithoutSecretIsDenied(t *testing.T) {
	f := start(t, "another secret")
	_, err := f.client.Status(t.Context(), f.address)
	require.True(t, errs.Is(err, errs.Denied), "%v", err)
	err = f.client.Follow(t.Context(), f.address, "me", 0, func(replica.Batch) { t.Error("received a batch") })
	require.True(t, errs.Is(err, errs.Denied), "%v", err)
}

// Guards against calls that wait for ever, and against errors that lose their kind on the way: a
// failure whose outcome is unknown must not look like one that had no effect.
func TestCallKeepsDeadlineAndErrorKind(t *testing.T) {
	f := start(t, "secret")
	for _, kind := range []errs.Kind{errs.Conflict, errs.Compacted, errs.Unavailable, errs.OutcomeUnknown, errs.Internal} {
		f.backend.err = errs.New(kind, "", "refused")
		_, err := f.client.Vote(t.Context(), f.address, &wire.VoteRequest{})
		require.Equal(t, kind, errs.KindOf(err))
		require.True(t, f.backend.deadline)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	f.server.Stop(ctx)
	_, err := f.client.Vote(t.Context(), f.address, &wire.VoteRequest{})
	require.True(t, errs.Is(err, errs.OutcomeUnknown), "%v", err)
}

// Guards against a follower that misses objects, deletions or notifications, and against a node that
// can't stop while it has followers.
func TestFollow(t *testing.T) {
	f := start(t, "secret")
	f.replica.Apply(replica.Batch{Changes: []store.Change{change("old", 1, 1), change("big", 2, 3<<18), change("large", 3, 3<<18)}, Revision: 3})
	received := make(chan replica.Batch, 100)
	done := make(chan error, 1)
	go func() {
		done <- f.client.Follow(context.Background(), f.address, "me", 1, func(b replica.Batch) { received <- b })
	}()
	next := func() replica.Batch {
		for {
			select {
			case b := <-received:
				if len(b.Changes) > 0 {
					return b
				}
			case err := <-done:
				t.Fatal(err)
			}
		}
	}
	first := next()
	require.Equal(t, "big", first.Changes[0].Name)
	require.Zero(t, first.Revision, "the first half of a list does not extend what is known")
	require.Equal(t, uint64(3), next().Revision)
	require.NoError(t, f.client.Notify(t.Context(), f.address, change("new", 9, 1)))
	require.Equal(t, "new", next().Changes[0].Name)
	gone := change("old", 10, 0)
	gone.Deleted = true
	f.replica.Apply(replica.Batch{Changes: []store.Change{gone}, Revision: 10})
	require.True(t, next().Changes[0].Deleted)

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	f.server.Stop(ctx)
	require.NoError(t, ctx.Err(), "the stop does not wait for the follower")
	require.Error(t, <-done)
}

// Guards against a follower that does not read and holds memory and a goroutine of the node for ever.
func TestSlowFollowerIsCutOff(t *testing.T) {
	f := start(t, "secret")
	done := make(chan error, 1)
	release := make(chan struct{})
	go func() {
		done <- f.client.Follow(context.Background(), f.address, "me", 0, func(replica.Batch) { <-release })
	}()
	time.Sleep(50 * time.Millisecond)
	for i := range uint64(64) {
		f.replica.Apply(replica.Batch{Changes: []store.Change{change("a", i+1, 1<<20)}, Revision: i + 1})
	}
	close(release)
	select {
	case err := <-done:
		require.ErrorContains(t, err, "too slow")
	case <-time.After(2 * time.Second):
		t.Fatal("the follower was not cut off")
	}
}

type silentPeer struct{ wire.UnimplementedPeerServer }

func (silentPeer) Follow(_ *wire.FollowRequest, stream grpc.ServerStreamingServer[wire.Changes]) error {
	<-stream.Context().Done()
	return nil
}

// Guards against values that change on the way, and against a small message that expands without bound.
func TestValuesAreCompressedWithinBounds(t *testing.T) {
	e := newEncoder()
	for _, size := range []int{0, deflateMin - 1, deflateMin, store.MaxValueBytes} {
		in := replica.Batch{Changes: []store.Change{change("a", uint64(size), size)}, Revision: 3}
		for range 2 {
			out, err := decode(e.encode(in))
			require.NoError(t, err)
			require.Equal(t, in, out)
		}
	}
	_, err := decode(e.encode(replica.Batch{Changes: []store.Change{change("a", 1, store.MaxValueBytes+1)}}))
	require.True(t, errs.Is(err, errs.TooLarge))
	_, err = decode(&wire.Changes{Changes: []*wire.Change{{Value: []byte("junk"), Deflated: true}}})
	require.True(t, errs.Is(err, errs.Invalid))
}

// Guards against a frozen peer that keeps its connection and its follower.
func TestFollowEndsWhenThePeerIsSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	defer server.Stop()
	wire.RegisterPeerServer(server, silentPeer{})
	go func() { _ = server.Serve(l) }()
	c := NewClient("secret")
	defer c.Close()
	begin := time.Now()
	require.ErrorContains(t, c.Follow(t.Context(), l.Addr().String(), "me", 0, func(replica.Batch) {}), "sent nothing")
	require.Less(t, time.Since(begin), 2*followSilence)
}

// Guards against a handover in one message above the bound, and against one that counts as done
// though the next owner refused a part of it.
func TestIdentitiesAreSplit(t *testing.T) {
	f := start(t, "secret")
	batch := &wire.IdentityBatch{Service: "booking", Slice: 3, Epoch: 4, TakeoverAgeMs: 77}
	for i := range 100 {
		batch.Identities = append(batch.Identities, &wire.Identity{Key: fmt.Sprint(i), Body: make([]byte, 64<<10)})
	}
	require.NoError(t, f.client.ImportIdentities(t.Context(), f.address, batch))
	require.Equal(t, 7, f.backend.parts)
	require.EqualValues(t, 77, f.backend.age)
	f.backend.parts, f.backend.refuse = 0, 2
	require.True(t, errs.Is(f.client.ImportIdentities(t.Context(), f.address, batch), errs.Conflict))
	require.Equal(t, 2, f.backend.parts)
}

// Guards against a connection per call, and against connections to replaced hosts that pile up.
func TestConnectionsAreReusedAndClosed(t *testing.T) {
	f := start(t, "secret")
	for range 3 {
		_, err := f.client.Status(t.Context(), f.address)
		require.NoError(t, err)
	}
	require.Len(t, f.client.pool.conns, 1)
	held, err := f.client.pool.acquire("127.0.0.1:1")
	require.NoError(t, err)
	f.client.pool.closeIdle(time.Now().Add(idleLimit))
	require.Len(t, f.client.pool.conns, 1, "a connection in use stays")
	f.client.pool.release(held)
}
