package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/routing"
)

const (
	// maxAnnouncementBytes leaves ample room for the fields, which are bounded themselves.
	maxAnnouncementBytes = 4 << 10
	maxNameBytes         = 128
	// maxParallel bounds slots and connections, so that a mistyped number can't size queues and pools.
	maxParallel = 10_000
	// lossAfter is the absence after which the keys of the target are handed over.
	lossAfter = 500 * time.Millisecond
	watchTick = 25 * time.Millisecond
	// ownPause is a gap between two ticks that shows that this process was paused; announcements that arrived
	// meanwhile are still unread, so the target gets a new time limit.
	ownPause = 250 * time.Millisecond
	// maxReplaced bounds the memory of replaced incarnations.
	maxReplaced = 16
)

// Listener learns about the target of this host.
type Listener interface {
	// TargetAnnounced reports a target that is new, changed, leaving or back after a loss.
	TargetAnnounced(info cluster.TargetInfo, leaving bool)
	// TargetLost reports that announcements have stopped.
	TargetLost()
}

// Work says what the gate has in hand.
type Work interface {
	// InFlight returns the number of requests of the slice that are waiting or running.
	InFlight(slice cluster.SliceID) int
	// Idle reports whether no request is waiting or running.
	Idle() bool
}

// ServerConfig holds what a Server needs.
type ServerConfig struct {
	Table  *routing.Table
	Lease  *routing.Lease
	Clock  clock.Clock
	Work   Work
	Logger *log.Logger
	// HostAddresses are the addresses of this host besides the loopback addresses.
	HostAddresses []netip.Addr
	// Load receives the number of running requests that the target reports. It may be nil.
	Load func(running int)
	// Listeners are called in order, one call at a time. They must not block.
	Listeners []Listener
}

// Server takes the announcements of the target and answers them with grants.
type Server struct {
	cfg ServerConfig

	mu       sync.Mutex
	current  cluster.TargetInfo
	leaving  bool
	lost     bool
	lastSeen clock.Instant
	replaced []string // incarnations that a newer one has replaced
	lastLog  clock.Instant

	grantMu  sync.Mutex
	sequence uint64
	granted  []GrantedSlice
}

// NewServer returns a server that has seen no target.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg: cfg,
		// A random start keeps a target from mistaking the grant of this process for one of an earlier process.
		// It stays below 2^52, because some JSON readers lose precision above.
		sequence: rand.Uint64N(1<<51) + 1,
		lost:     true,
	}
}

// ServeHTTP takes an announcement.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, refusal := s.read(w, r)
	if refusal == nil {
		refusal = s.accept(a)
	}
	if refusal != nil {
		s.logRefusal(refusal)
		refusal.Write(w)
		return
	}
	body, err := json.Marshal(s.hold(r.Context(), a))
	if err != nil {
		answer.Refuse(answer.BadRequest, "the grant can't be encoded: %v", err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // A target that is gone polls again when it is back.
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) (*Announcement, *answer.Refusal) {
	if r.Method != http.MethodPost {
		return nil, answer.Refuse(answer.BadRequest, "announcements are sent with POST, not %s", r.Method)
	}
	if err := s.checkLocal(r.RemoteAddr); err != nil {
		return nil, answer.Refuse(answer.BadRequest, "the sender is not on this host: %v", err)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, answer.Refuse(answer.TooLarge, "the announcement exceeds %d bytes", maxAnnouncementBytes)
		}
		return nil, answer.Refuse(answer.BadRequest, "the announcement can't be read: %v", err)
	}
	a := &Announcement{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(a); err != nil {
		return nil, answer.Refuse(answer.BadRequest, "the announcement can't be decoded: %v", err)
	}
	if err := s.check(a); err != nil {
		return nil, answer.Refuse(answer.BadRequest, "the announcement is wrong: %v", err)
	}
	return a, nil
}

func (s *Server) check(a *Announcement) error {
	switch {
	case a.Service == "" || len(a.Service) > maxNameBytes:
		return fmt.Errorf("service must have 1 to %d bytes", maxNameBytes)
	case a.Incarnation == "" || len(a.Incarnation) > maxNameBytes:
		return fmt.Errorf("incarnation must have 1 to %d bytes", maxNameBytes)
	case a.Slots < 1 || a.Slots > maxParallel:
		return fmt.Errorf("slots must lie between 1 and %d", maxParallel)
	case a.Connections < 1 || a.Connections > maxParallel:
		return fmt.Errorf("connections must lie between 1 and %d", maxParallel)
	case a.Running < 0:
		return errors.New("running must not be negative")
	}
	return s.checkLocal(a.Address)
}

// checkLocal accepts host:port with a loopback address or an address of this host.
func (s *Server) checkLocal(address string) error {
	host, err := netip.ParseAddrPort(address)
	if err != nil || host.Port() == 0 {
		return fmt.Errorf("%q is not an IP address with a port", address)
	}
	ip := host.Addr().Unmap()
	if !ip.IsLoopback() && !slices.Contains(s.cfg.HostAddresses, ip) {
		return fmt.Errorf("%s is not an address of this host", net.IP(ip.AsSlice()))
	}
	return nil
}

// accept records the announcement and reports changes.
func (s *Server) accept(a *Announcement) *answer.Refusal {
	info := cluster.TargetInfo{
		Service: a.Service, Address: a.Address, Incarnation: a.Incarnation,
		Fenced: a.Fenced, Slots: a.Slots, Connections: a.Connections,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.replaced, a.Incarnation) {
		return answer.Refuse(answer.TargetRefused, "incarnation %q was replaced by %q", a.Incarnation, s.current.Incarnation)
	}
	s.lastSeen = s.cfg.Clock.Now()
	if s.cfg.Load != nil {
		s.cfg.Load(a.Running)
	}
	if !s.lost && s.current == info && s.leaving == a.Leaving {
		return nil
	}
	s.replace(info)
	s.leaving, s.lost = a.Leaving, false
	event.TargetAnnounced.On(s.cfg.Logger).Str("service", info.Service).Str("address", info.Address).
		Str("incarnation", info.Incarnation).Bool("leaving", a.Leaving).Send()
	for _, l := range s.cfg.Listeners {
		l.TargetAnnounced(info, a.Leaving)
	}
	return nil
}

// replace makes info the current target and remembers the incarnation that it replaces.
func (s *Server) replace(info cluster.TargetInfo) {
	old := s.current.Incarnation
	s.current = info
	if old == "" || old == info.Incarnation {
		return
	}
	s.replaced = append(s.replaced, old)
	if len(s.replaced) > maxReplaced {
		s.replaced = s.replaced[1:]
	}
}

// Watch reports the loss of the target until the context ends.
func (s *Server) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	last := s.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.cfg.Clock.Now()
		s.checkLoss(now, now.Sub(last) > ownPause)
		last = now
	}
}

func (s *Server) checkLoss(now clock.Instant, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if paused {
		s.lastSeen = now
	}
	if s.lost || now.Sub(s.lastSeen) < lossAfter {
		return
	}
	s.lost = true
	event.TargetLost.On(s.cfg.Logger).Str("service", s.current.Service).Str("incarnation", s.current.Incarnation).Send()
	for _, l := range s.cfg.Listeners {
		l.TargetLost()
	}
}

// logRefusal logs at most once a second, so that a faulty target can't flood the log.
func (s *Server) logRefusal(refusal *answer.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if s.lastLog != 0 && now.Sub(s.lastLog) < time.Second {
		return
	}
	s.lastLog = now
	event.AnnouncementRefused.On(s.cfg.Logger).Err(refusal).Send()
}
