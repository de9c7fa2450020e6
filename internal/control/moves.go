package control

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/control/plan"
	"github.com/citronvane/citronvane/internal/event"
)

const (
	// moveRetry separates attempts to send the identity records of a slice.
	moveRetry = 100 * time.Millisecond

	// moveAttempts is how often the records are sent before the slice moves without them. Its callers
	// then get repeat_unknown for a while, which is better than a slice that nobody serves.
	moveAttempts = 20
)

// move is a planned handover that this node carries out as the owner.
type move struct {
	Move
	running  bool
	attempts int
	retryAt  clock.Instant
	// sent says that nothing runs in the slice and the next owner has its records.
	sent bool
	// lost says that the slice moves without its records.
	lost bool
}

// stepMoves starts the handover of each slice that has a next owner and writes the new owner of those
// that are ready. It runs after the snapshot that stops new requests was published.
func (s *state) stepMoves() {
	for id, m := range s.moves {
		if w, ok := s.wanted[id]; !ok || w != m.Move {
			s.stopMove(m)
		}
	}
	for id, w := range s.wanted {
		m := s.moves[id]
		if m == nil {
			m = &move{Move: w}
			s.moves[id] = m
		}
		s.startMove(m)
	}
	s.writeMoves()
}

func (s *state) stopMove(m *move) {
	if m.running {
		s.do(StopHandover{Slice: m.Slice})
	}
	delete(s.moves, m.Slice)
}

func (s *state) startMove(m *move) {
	next := s.view.Node(m.To)
	// A slice that still waits for the target of a lost owner moves after the wait, which is not
	// handed on.
	waiting := s.now < s.owned[m.Slice].readyAt
	if m.running || m.sent || waiting || next == nil || next.Gone() || s.now < m.retryAt {
		return
	}
	m.running = true
	s.do(StartHandover{Move: m.Move, Address: next.Addresses.Control, TakeoverAge: s.takeoverAge(m.Slice)})
}

func (s *state) handoverSent(e HandoverSent) {
	m := s.moves[e.Move.Slice]
	if m == nil || m.Move != e.Move {
		return
	}
	m.running = false
	if e.Err == nil {
		m.sent = true
		return
	}
	m.attempts++
	m.retryAt = s.now.Add(moveRetry)
	s.do(Log{Event: event.HandoverFailed, Subject: m.Slice.String(), Err: e.Err})
	if m.attempts >= moveAttempts {
		m.sent = true
		m.lost = true
		s.do(Log{Event: event.RecordsDropped, Subject: m.Slice.String()})
	}
}

// writeMoves gives the slices that are ready to their next owners, all those of a group in one write.
func (s *state) writeMoves() {
	groups := map[cluster.GroupID]*cluster.Group{}
	for id, m := range s.moves {
		key := Key{Kind: cluster.KindSlices, Name: id.Group().ObjectName()}
		if !m.sent || !s.ready(key) {
			continue
		}
		g := groups[id.Group()]
		if g == nil {
			g = s.view.Groups[id.Group()].Clone()
			groups[id.Group()] = g
		}
		m.finish(&g.Slices[id.Index%cluster.GroupSize])
	}
	for id, g := range groups {
		s.write(Write{Purpose: Handover, Write: plan.Write{
			Kind: cluster.KindSlices, Name: id.ObjectName(), Value: encode(g), Expect: g.Version,
		}})
	}
}

func (m *move) finish(slice *cluster.Slice) {
	slice.Owner = m.To
	slice.Next = cluster.NodeID{}
	slice.Epoch++
	slice.WaitMS = 0
	if m.lost {
		slice.RecordEpoch = slice.Epoch
	}
}
