// Package peer is the control service between nodes: its gRPC server and client.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/replica"
	"github.com/citronvane/citronvane/internal/wire"
)

const (
	maxMessageBytes = 4 << 20
	// maxStreams bounds the calls of one connection. A node makes a handful at a time.
	maxStreams = 256
	// defaultDeadline bounds calls whose caller set no deadline.
	defaultDeadline = 5 * time.Second
	// signOfLife is how often a follow stream carries a message when nothing changes.
	signOfLife = time.Second
	// keepaliveTime is the shortest that gRPC clients may use.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// keepaliveMin is below keepaliveTime, because a server cuts off clients that ping too often.
	keepaliveMin = 5 * time.Second
)

// Backend carries out the calls that this package does not serve from the replica.
type Backend interface {
	// Vote answers a candidate that wants to revoke a holder.
	Vote(ctx context.Context, r *wire.VoteRequest) (*wire.VoteResponse, error)
	// ImportIdentities takes identity records from the previous owner of a slice.
	ImportIdentities(ctx context.Context, b *wire.IdentityBatch) (*wire.ImportResponse, error)
	// ReportPoison takes the fingerprints of requests that may have crashed a target.
	ReportPoison(ctx context.Context, r *wire.PoisonReport) (*wire.PoisonResponse, error)
	// Status reports what the node has in force.
	Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusResponse, error)
}

// Server serves the calls of other nodes.
type Server struct {
	grpc *grpc.Server
	log  *log.Logger
	// stopping is closed to end the follow streams, which have no end of their own.
	stopping chan struct{}
	stopOnce sync.Once
}

type service struct {
	wire.UnimplementedPeerServer
	backend   Backend
	replica   *replica.Replica
	encoder   *encoder
	log       *log.Logger
	followers metric.Int64UpDownCounter
	stopping  chan struct{}
}

// NewServer returns a server that serves nothing before Serve.
func NewServer(secret string, backend Backend, r *replica.Replica, logger *log.Logger) *Server {
	g := &guard{token: newToken(secret), log: logger, denials: rate.NewLimiter(1, 1)}
	s := &Server{log: logger, stopping: make(chan struct{}), grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(defaultDeadline),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveMin, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(g.unary),
		grpc.StreamInterceptor(g.stream),
	)}
	wire.RegisterPeerServer(s.grpc, &service{
		backend:   backend,
		replica:   r,
		encoder:   newEncoder(),
		log:       logger,
		followers: followerCounter(),
		stopping:  s.stopping,
	})
	return s
}

func followerCounter() metric.Int64UpDownCounter {
	c, err := otel.Meter("citronvane/peer").Int64UpDownCounter("citronvane.peer.followers",
		metric.WithDescription("follow streams that this node serves"))
	if err != nil {
		otel.Handle(err)
	}
	return c
}

// Serve accepts calls until Stop. It closes the listener.
func (s *Server) Serve(l net.Listener) error {
	err := s.grpc.Serve(l)
	if err != nil {
		event.PeerServeFailed.On(s.log).Err(err).Send()
	}
	return err
}

// Stop ends the follow streams, lets other calls finish until ctx is done, and then cuts off the rest.
func (s *Server) Stop(ctx context.Context) {
	s.stopOnce.Do(func() { close(s.stopping) })
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
		<-done
	}
}

// guard admits only calls that carry the token, and gives each of them a deadline.
type guard struct {
	token   token
	log     *log.Logger
	denials *rate.Limiter
}

func (g *guard) admit(ctx context.Context, method string) error {
	err := g.token.check(ctx)
	if err != nil && g.denials.Allow() {
		from := ""
		if p, ok := peer.FromContext(ctx); ok {
			from = p.Addr.String()
		}
		event.PeerDenied.On(g.log).Str("method", method).Str("from", from).Send()
	}
	return err
}

func (g *guard) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := g.admit(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultDeadline)
		defer cancel()
	}
	res, err := next(ctx, req)
	return res, toStatus(err)
}

func (g *guard) stream(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := g.admit(s.Context(), info.FullMethod); err != nil {
		return err
	}
	return toStatus(next(srv, s))
}

// Notify adds changes that the sender wrote to the replica.
func (s *service) Notify(_ context.Context, m *wire.Changes) (*wire.NotifyResponse, error) {
	b, err := decode(m)
	if err != nil {
		return nil, err
	}
	s.replica.Feed(b.Changes...)
	return &wire.NotifyResponse{}, nil
}

// Vote passes the call to the backend.
func (s *service) Vote(ctx context.Context, r *wire.VoteRequest) (*wire.VoteResponse, error) {
	return s.backend.Vote(ctx, r)
}

// ImportIdentities passes the call to the backend.
func (s *service) ImportIdentities(ctx context.Context, b *wire.IdentityBatch) (*wire.ImportResponse, error) {
	return s.backend.ImportIdentities(ctx, b)
}

// ReportPoison passes the call to the backend.
func (s *service) ReportPoison(ctx context.Context, r *wire.PoisonReport) (*wire.PoisonResponse, error) {
	return s.backend.ReportPoison(ctx, r)
}

// Status passes the call to the backend.
func (s *service) Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusResponse, error) {
	return s.backend.Status(ctx, r)
}

// Follow sends what the follower lacks, and then every change.
func (s *service) Follow(r *wire.FollowRequest, stream grpc.ServerStreamingServer[wire.Changes]) error {
	feed, err := s.replica.Subscribe(r.GetSince())
	if err != nil {
		return err
	}
	defer feed.Close()
	s.followers.Add(stream.Context(), 1)
	defer s.followers.Add(context.Background(), -1)
	done := make(chan error, 1)
	go func() { done <- s.send(feed, stream) }()
	// The handler does not send itself, because only its return frees a Send that is blocked by a
	// follower that does not read.
	select {
	case err := <-done:
		return err
	case <-feed.Cut():
		event.PeerFollowerSlow.On(s.log).Str("follower", r.GetFollower()).Send()
		return status.Error(codes.Unavailable, "the follower is too slow; follow again from the revision that was reached")
	case <-s.stopping:
		return status.Error(codes.Unavailable, "the node is stopping; follow another one")
	}
}

func (s *service) send(feed *replica.Feed, stream grpc.ServerStreamingServer[wire.Changes]) error {
	for _, b := range feed.Backlog() {
		if err := stream.Send(s.encoder.encode(b)); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(signOfLife)
	defer ticker.Stop()
	for {
		var message *wire.Changes
		select {
		case b := <-feed.Batches():
			message = s.encoder.encode(b)
			feed.Taken(b)
		case <-ticker.C:
			// Revision 0: batches up to the current revision may still wait in the feed.
			message = &wire.Changes{}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
		if err := stream.Send(message); err != nil {
			return err
		}
	}
}
