package replica

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/store"
)

const (
	// selectInterval is how often the choice of the source is checked against the view.
	selectInterval = 250 * time.Millisecond
	// behindLimit is how long a peer may hold a newer revision before the node follows it.
	behindLimit = time.Second
	// aheadHold keeps a node at the peer that was ahead, so that it does not alternate with a source
	// that is stuck.
	aheadHold = 30 * time.Second
	// failedHold keeps a node away from a peer that failed.
	failedHold = 5 * time.Second
	// retryInitial and retryMax give a random delay of up to twice the value: 100 ms to 10 s.
	retryInitial = 50 * time.Millisecond
	retryMax     = 5 * time.Second
)

// Follower keeps a replica up to date from the platform or a peer.
type Follower struct {
	replica *Replica
	store   store.Store
	peers   Peers
	self    string
	seeds   []string
	log     *log.Logger
	metrics metrics

	mu             sync.Mutex
	platformFailed bool
	current        string
	failedUntil    map[string]time.Time
	revisions      map[string]uint64
	behind         behindMark
	// aheadPeer is followed until aheadUntil because the node was behind it.
	aheadPeer  string
	aheadUntil time.Time
	retry      *backoff.ExponentialBackOff

	syncOnce sync.Once
	synced   chan struct{}
}

// behindMark is a revision that the node heard of and does not have yet.
type behindMark struct {
	peer     string
	revision uint64
	since    time.Time
}

// FollowerOptions are the surroundings of a Follower.
type FollowerOptions struct {
	Replica *Replica
	Store   store.Store
	Peers   Peers
	// Self is the name of the node.
	Self string
	// Seeds are control addresses of peers, used while the platform is down and no peer is known.
	Seeds []string
	Log   *log.Logger
}

// NewFollower returns a follower that does nothing before Run.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{
		replica:     o.Replica,
		store:       o.Store,
		peers:       o.Peers,
		self:        o.Self,
		seeds:       o.Seeds,
		log:         o.Log,
		metrics:     newMetrics(o.Replica),
		failedUntil: map[string]time.Time{},
		revisions:   map[string]uint64{},
		retry:       newRetry(),
		synced:      make(chan struct{}),
	}
}

// Synced returns a channel that is closed once the replica has caught up with a source for the first
// time, also if the source holds no objects.
func (f *Follower) Synced() <-chan struct{} { return f.synced }

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInitial
	b.MaxInterval = retryMax
	b.Multiplier = 2
	b.RandomizationFactor = 1
	b.Reset()
	return b
}

// HeardRevision records the revision that a peer reported in a heartbeat.
func (f *Follower) HeardRevision(peer string, revision uint64) {
	own := f.replica.Revision()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revisions[peer] = revision
	if f.behind.peer != "" && own >= f.behind.revision {
		f.behind = behindMark{}
	}
	if f.behind.peer == "" && revision > own {
		f.behind = behindMark{peer: peer, revision: revision, since: time.Now()}
	}
}

// Run follows the best source until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	probes.Go(func() { f.probePlatform(ctx) })
	for ctx.Err() == nil {
		source := f.choose()
		event.ReplicaSource.On(f.log).Any("source", source).Uint64("revision", f.replica.Revision()).Send()
		f.metrics.followed.Add(ctx, 1, sourceKind(source))
		err := f.followWhileBest(ctx, source)
		if err == nil || ctx.Err() != nil {
			continue
		}
		event.ReplicaFailed.On(f.log).Any("source", source).Err(err).Send()
		f.metrics.failed.Add(ctx, 1, sourceKind(source))
		clock.Sleep(ctx, f.failed(source))
	}
}

// followWhileBest follows the source until it fails or another one is better; the error is nil then.
func (f *Follower) followWhileBest(ctx context.Context, source Source) error {
	f.mu.Lock()
	f.current = source.Peer
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.follow(ctx, source) }()
	ticker := time.NewTicker(selectInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			if f.choose() == source {
				continue
			}
			cancel()
			<-done
			return nil
		}
	}
}

func (f *Follower) follow(ctx context.Context, source Source) error {
	if source.Platform() {
		return f.followPlatform(ctx)
	}
	err := f.followPeer(ctx, source)
	if err == nil {
		return errs.New(errs.Unavailable, "", "the peer ended the stream")
	}
	return err
}

func (f *Follower) choose() Source {
	view := f.replica.View()
	return SelectSource(view, f.self, f.health(view, time.Now()))
}

// health returns the state of the sources at the time.
func (f *Follower) health(view *cluster.View, now time.Time) Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := Health{
		PlatformFailed: f.platformFailed,
		Failed:         map[string]bool{},
		Revisions:      make(map[string]uint64, len(f.revisions)),
		Current:        f.current,
		Seeds:          f.seeds,
	}
	for address, until := range f.failedUntil {
		if now.Before(until) {
			h.Failed[address] = true
			continue
		}
		delete(f.failedUntil, address)
	}
	for peer, revision := range f.revisions {
		if view.Nodes[peer] == nil {
			delete(f.revisions, peer)
			continue
		}
		h.Revisions[peer] = revision
	}
	h.Ahead = f.ahead(view.Revision, now)
	return h
}

// ahead returns the peer to follow because the node has been behind it for too long.
func (f *Follower) ahead(own uint64, now time.Time) string {
	if now.Before(f.aheadUntil) {
		return f.aheadPeer
	}
	if f.aheadPeer != "" || own >= f.behind.revision {
		f.aheadPeer, f.behind = "", behindMark{}
	}
	if f.behind.peer == "" || now.Sub(f.behind.since) < behindLimit {
		return ""
	}
	f.aheadPeer, f.aheadUntil = f.behind.peer, now.Add(aheadHold)
	event.ReplicaBehind.On(f.log).Str("peer", f.aheadPeer).Uint64("revision", f.behind.revision).Send()
	return f.aheadPeer
}

// failed records the failure of a source and returns how long to wait before the next attempt.
func (f *Follower) failed(s Source) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Platform() {
		f.platformFailed = true
	} else {
		f.failedUntil[s.Address] = time.Now().Add(failedHold)
	}
	if s.Peer != "" && s.Peer == f.aheadPeer {
		f.aheadPeer, f.aheadUntil, f.behind = "", time.Time{}, behindMark{}
	}
	return f.retry.NextBackOff()
}

func (f *Follower) succeeded(s Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Platform() {
		f.platformFailed = false
	}
	f.retry.Reset()
}

// probePlatform tries the platform again while a node that should follow it follows a peer instead.
func (f *Follower) probePlatform(ctx context.Context) {
	retry := newRetry()
	for clock.Sleep(ctx, retry.NextBackOff()+selectInterval) {
		if !f.needsProbe() {
			retry.Reset()
			continue
		}
		err := f.watchPlatform(ctx, 0)
		if errs.Is(err, errs.Compacted) {
			f.succeeded(Source{})
		}
	}
}

func (f *Follower) needsProbe() bool {
	view := f.replica.View()
	h := f.health(view, time.Now())
	if !h.PlatformFailed {
		return false
	}
	current := SelectSource(view, f.self, h)
	h.PlatformFailed = false
	return !current.Platform() && SelectSource(view, f.self, h).Platform()
}
