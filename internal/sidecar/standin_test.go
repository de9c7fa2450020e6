package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeStandin speaks the published protocol of the platform's store. Each node has a door of its own, so that the
// store can be down, slow or lossy for some nodes only.
type storeStandin struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*storedObject
	events   []storedEvent
	changed  chan struct{}
	// deaf makes watches hear nothing.
	deaf bool
}

type storedObject struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type storedEvent struct {
	kind    string
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

func newStoreStandin() *storeStandin {
	return &storeStandin{revision: 1, objects: map[string]map[string]*storedObject{}, changed: make(chan struct{})}
}

// door is one node's way to the store.
type door struct {
	store *storeStandin
	mu    sync.Mutex
	down  bool
	slow  time.Duration
	// loseAnswers executes writes and closes the connection.
	loseAnswers bool
	address     string
}

func (s *storeStandin) door(t *testing.T) *door {
	t.Helper()
	d := &door{store: s}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.address = l.Addr().String()
	server := &http.Server{Handler: d}
	go server.Serve(l)
	t.Cleanup(func() { _ = server.Close() })
	return d
}

func (d *door) set(change func(*door)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	down, slow, lose := d.down, d.slow, d.loseAnswers
	d.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(slow)
	status, body := d.store.serve(r)
	d.mu.Lock()
	down = d.down
	d.mu.Unlock()
	if lose && r.Method != http.MethodGet || down {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *storeStandin) serve(r *http.Request) (int, any) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if since := r.URL.Query().Get("watch"); since != "" {
		return s.watch(r, kind, since)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storedObject{}
	}
	var sent storedObject
	if r.Method != http.MethodGet {
		data, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(data, &sent)
	}
	old := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []*storedObject{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		return 200, map[string]any{"items": items, "more": false, "current_rev": s.revision}
	case r.Method == http.MethodPost:
		if existing := s.objects[kind][sent.Metadata.Name]; existing != nil {
			return 409, existing
		}
		return 201, s.put(kind, sent)
	case old == nil:
		return 404, struct{}{}
	case r.Method == http.MethodGet:
		return 200, old
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		gone := *old
		gone.Metadata.Revision = s.revision
		s.tell(storedEvent{kind, gone, true})
		return 200, gone
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.Metadata.Revision:
		return 409, old
	}
	sent.Metadata.Name = name
	return 200, s.put(kind, sent)
}

func (s *storeStandin) put(kind string, o storedObject) *storedObject {
	s.revision++
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = &o
	s.tell(storedEvent{kind, o, false})
	return &o
}

func (s *storeStandin) tell(e storedEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeStandin) watch(r *http.Request, kind, text string) (int, any) {
	since, _ := strconv.ParseUint(text, 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storedEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > since && !s.deaf {
				events = append(events, e)
			}
		}
		answer := map[string]any{"events": events, "current_rev": s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return 200, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return 200, answer
		case <-r.Context().Done():
			return 503, nil
		}
	}
}

// write puts an object as the operator does.
func (s *storeStandin) write(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storedObject{}
	}
	o := storedObject{Spec: json.RawMessage(spec)}
	o.Metadata.Name = name
	s.put(kind, o)
}

// hold is a range that a target holds, with the time until which it does.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
}

// run is one request that a target ran.
type ran struct {
	id, host string
	key      int
	at       time.Time
}

// history collects what the targets did.
type history struct {
	mu    sync.Mutex
	runs  []ran
	fault []string
	// held maps each key to the last holder.
	held map[int]heldBy
}

type heldBy struct {
	target *targetStandin
	fence  uint64
}

// targetStandin is a target that announces itself to the node beside it and runs requests for the keys that it holds.
type targetStandin struct {
	t        *testing.T
	history  *history
	host     string
	service  string
	control  string
	instance string
	born     int64
	work     time.Duration

	mu       sync.Mutex
	holds    []hold
	released []hold
	sequence int
	state    string
	dead     bool
	server   *http.Server
}

const standinBeat = 200 * time.Millisecond

func (s *targetStandin) start(address string) {
	l, err := net.Listen("tcp", address)
	require.NoError(s.t, err)
	s.server = &http.Server{Handler: s}
	s.state = "ready"
	go s.server.Serve(l)
	go s.beat()
}

// crash ends the target without a word.
func (s *targetStandin) crash() {
	s.mu.Lock()
	s.dead = true
	s.holds = nil
	s.mu.Unlock()
	_ = s.server.Close()
}

func (s *targetStandin) beat() {
	for {
		s.mu.Lock()
		if s.dead {
			s.mu.Unlock()
			return
		}
		s.expire()
		s.sequence++
		holds, released := [][3]int{}, [][3]any{}
		for _, h := range s.holds {
			holds = append(holds, [3]int{h.from, h.to, int(h.fence)})
		}
		for _, h := range s.released {
			released = append(released, [3]any{h.from, h.to, fmt.Sprintf("t%d", h.fence)})
		}
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": "x:1", "zone": "z", "version": "v1", "slots": 18, "state": s.state,
			"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born, "holds": holds, "released": released,
		})
		s.mu.Unlock()
		sent := time.Now()
		client := http.Client{Timeout: time.Second}
		response, err := client.Post("http://"+s.control+"/instances/"+s.instance+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			data, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == 200 {
				s.take(sent, data)
			}
		}
		time.Sleep(standinBeat)
	}
}

func (s *targetStandin) expire() {
	kept := s.holds[:0]
	for _, h := range s.holds {
		if time.Now().Before(h.until) {
			kept = append(kept, h)
		}
	}
	s.holds = kept
}

// take applies the answer to a heartbeat and checks that nobody else holds what is granted.
func (s *targetStandin) take(sent time.Time, data []byte) {
	var grant struct {
		Holds  *[][4]any `json:"holds"`
		HoldMs int       `json:"hold_ms"`
	}
	if json.Unmarshal(data, &grant) != nil || grant.Holds == nil {
		return
	}
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	old := s.holds
	s.holds, s.released = nil, nil
	for _, row := range *grant.Holds {
		h := hold{int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64)), sent.Add(time.Duration(grant.HoldMs) * time.Millisecond)}
		s.holds = append(s.holds, h)
		s.history.granted(s, h)
	}
	for _, h := range old {
		s.released = append(s.released, s.without(h)...)
	}
}

// without returns the parts of an old hold that are not held any more.
func (s *targetStandin) without(h hold) []hold {
	parts := []hold{h}
	for _, now := range s.holds {
		var next []hold
		for _, p := range parts {
			if now.to < p.from || p.to < now.from {
				next = append(next, p)
				continue
			}
			if p.from < now.from {
				next = append(next, hold{p.from, now.from - 1, p.fence, p.until})
			}
			if now.to < p.to {
				next = append(next, hold{now.to + 1, p.to, p.fence, p.until})
			}
		}
		parts = next
	}
	return parts
}

func (s *targetStandin) holding(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, h := range s.holds {
		if h.from <= key && key <= h.to {
			return true
		}
	}
	return false
}

// granted checks a grant: no other target holds the keys, and a new holder has a higher fencing token.
func (h *history) granted(s *targetStandin, g hold) {
	for key := g.from; key <= g.to; key += max(1, (g.to-g.from)/64) {
		last, known := h.held[key]
		if known && last.target != s {
			last.target.mu.Lock()
			for _, other := range last.target.holds {
				if other.from <= key && key <= other.to && time.Now().Before(other.until) && !last.target.dead {
					h.fault = append(h.fault, fmt.Sprintf("key %d is held by %s and granted to %s", key, last.target.instance, s.instance))
				}
			}
			last.target.mu.Unlock()
			if g.fence <= last.fence {
				h.fault = append(h.fault, fmt.Sprintf("key %d goes from fence %d to %d", key, last.fence, g.fence))
			}
		}
		h.held[key] = heldBy{s, g.fence}
	}
}

func (s *targetStandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Target-Instance") != s.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	key := -1
	if text := r.Header.Get("Shard-Key"); text != "" && s.service == "keyed" {
		key, _ = strconv.Atoi(text)
		if !s.holding(key) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	if r.Header.Get("Caller-Service") == "" || r.Header.Get("Deadline-Ms") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.history.mu.Lock()
	s.history.runs = append(s.history.runs, ran{id, s.host, key, time.Now()})
	s.history.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("Server-Signature", "sig."+id)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}
