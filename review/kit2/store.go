package kit2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyAge is how long a watch can go back.
const historyAge = 20 * time.Second

// Store is a stand-in of the platform's store, as PROTOCOL.md describes it. Each node has an address of its own, so that the store can
// turn some nodes away and serve the others.
type Store struct {
	record *Record
	mu     sync.Mutex
	// away is set while the store answers nobody.
	away     bool
	era      uint64
	revision uint64
	objects  map[string]map[string]object
	events   []watchEvent
	changed  chan struct{}
	lastNode string
	doors    []*door
}

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type watchEvent struct {
	kind    string
	at      time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Copy is a copy of the store.
type Copy struct {
	revision uint64
	at       time.Time
	objects  map[string]map[string]object
}

// door is the store's address for one node.
type door struct {
	store   *Store
	node    string
	address string
	server  *http.Server
	// loseWrites is set while writes of this node are done but not answered.
	loseWrites bool
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store {
	return &Store{record: r, era: 1, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Open returns the store's address for a node.
func (s *Store) Open(node string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Unable("the store can't listen: %v", err)
	}
	d := &door{store: s, node: node, address: l.Addr().String()}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }()
	s.mu.Lock()
	s.doors = append(s.doors, d)
	s.mu.Unlock()
	return d.address
}

// Close ends all servers.
func (s *Store) Close() {
	for _, d := range s.doors {
		_ = d.server.Close()
	}
}

// SetAway makes the store answer nobody: calls hang until it is back, and are lost then.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// LoseWrites makes the store do the writes of a node without an answer.
func (s *Store) LoseWrites(node string, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doors {
		if d.node == node {
			d.loseWrites = lose
		}
	}
}

// Leader returns the node that last wrote under a condition.
func (s *Store) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastNode
}

// Operate writes an object as the operator does.
func (s *Store) Operate(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, json.RawMessage(spec)
	s.put(kind, o)
}

// Copy returns a copy of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{revision: s.revision, at: time.Now(), objects: map[string]map[string]object{}}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Restore replaces what the store has by the copy. Revisions go back, and the era rises by one.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = c.revision, map[string]map[string]object{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.events = slices.DeleteFunc(s.events, func(e watchEvent) bool { return e.Object.Metadata.Revision > c.revision })
	s.wake()
}

// Age returns how old the copy is.
func (c *Copy) Age() time.Duration { return time.Since(c.at) }

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, known := s.objects[kind][o.Metadata.Name]
	if known && bytes.Equal(old.Spec, o.Spec) && bytes.Equal(old.Status, o.Status) {
		return old
	}
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = time.Now().UnixMilli()
	}
	s.objects[kind][o.Metadata.Name] = o
	s.events = append(s.events, watchEvent{kind, time.Now(), o, false})
	s.wake()
	return o
}

// ServeHTTP answers a call of a node.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s := d.store
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	for s.away { // The call is lost, and its connection carries nothing more.
		s.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if since := r.URL.Query().Get("watch"); since != "" {
		s.mu.Unlock()
		d.watch(w, r, kind, since)
		return
	}
	status, answer := s.execute(d.node, r, kind, name, body)
	era, lose := s.era, d.loseWrites && r.Method != http.MethodGet
	s.mu.Unlock()
	if r.Method != http.MethodGet {
		s.record.Line("store %s %s %s by %s: %d lost=%t %s", r.Method, kind, name, d.node, status, lose, bytes.TrimSpace(body))
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	respond(w, era, status, answer)
}

// respond answers a call after the time that an answer takes: 4 ms, as the site files say, 2 ms more or less.
func respond(w http.ResponseWriter, era uint64, status int, answer any) {
	time.Sleep(2*time.Millisecond + time.Duration(rand.Int64N(int64(4*time.Millisecond))))
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) execute(node string, r *http.Request, kind, name string, body []byte) (int, any) {
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return 400, struct{}{}
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		sent.Metadata.Revision, _ = strconv.ParseUint(text, 10, 64)
	}
	name = strings.TrimSuffix(name, "/status")
	old, known := s.objects[kind][name]
	condition := sent.Metadata.Revision
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []object{}
		for _, n := range slices.Sorted(maps.Keys(s.objects[kind])) {
			if n > r.URL.Query().Get("after") {
				items = append(items, s.objects[kind][n])
			}
		}
		return 200, map[string]any{"items": items, "more": false, "current_rev": s.revision}
	case r.Method == http.MethodPost:
		if existing, ok := s.objects[kind][sent.Metadata.Name]; ok {
			return 409, existing
		}
		sent.Metadata.Revision = 0
		s.lastNode = node
		return 201, s.put(kind, sent)
	case !known:
		return 404, struct{}{}
	case r.Method == http.MethodGet:
		return 200, old
	case condition != 0 && condition != old.Metadata.Revision:
		return 409, old
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		old.Metadata.Revision = s.revision
		s.events = append(s.events, watchEvent{kind, time.Now(), old, true})
		s.wake()
		s.lastNode = node
		return 200, old
	case r.Method == http.MethodPut:
		next := old
		next.Spec, next.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		s.lastNode = node
		return 200, s.put(kind, next)
	}
	return 405, struct{}{}
}

func (d *door) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	s := d.store
	since, _ := strconv.ParseUint(text, 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		s.events = slices.DeleteFunc(s.events, func(e watchEvent) bool { return time.Since(e.at) > 3*historyAge })
		status, events := 200, []watchEvent{}
		if since > s.revision {
			status = 410
		}
		for _, e := range s.events {
			if e.Object.Metadata.Revision > since && time.Since(e.at) > historyAge {
				status = 410
			}
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		era, revision, changed := s.era, s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "current_rev": revision}
		if status != 200 || len(events) > 0 {
			respond(w, era, status, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respond(w, era, 200, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Describe returns the objects of a kind, for the record.
func (s *Store) Describe(kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(s.objects[kind])) {
		fmt.Fprintf(&b, "%s@%d=%s ", n, s.objects[kind][n].Metadata.Revision, s.objects[kind][n].Spec)
	}
	return b.String()
}
