package kit2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// HeartbeatInterval is that of the site files.
const HeartbeatInterval = 870 * time.Millisecond

const (
	keys = 65536
	// bothHold is how long two targets may hold the same keys, by the rule OWNER.
	bothHold = 500 * time.Millisecond
)

// Ledger knows what all targets hold and checks the rule OWNER.
type Ledger struct {
	record  *Record
	mu      sync.Mutex
	targets []*Target
	// fences holds the highest generation number with which each target had each key.
	fences map[*Target][]int
	// shared holds since when two targets hold a key, by service and key.
	shared   map[string][]time.Time
	reported map[string]bool
	ran      map[string]int
	// Rows counts accepted rows.
	Rows int
	stop chan struct{}
}

// NewLedger starts the check.
func NewLedger(r *Record) *Ledger {
	l := &Ledger{record: r, fences: map[*Target][]int{}, shared: map[string][]time.Time{}, reported: map[string]bool{}, ran: map[string]int{}, stop: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.check()
			case <-l.stop:
				return
			}
		}
	}()
	return l
}

// Close ends the check.
func (l *Ledger) Close() { close(l.stop) }

// check looks for keys that two targets that are up hold for longer than the rule allows.
func (l *Ledger) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, service := range l.services() {
		l.checkService(service)
	}
}

// services returns the names of the services that hold keys. It needs the lock.
func (l *Ledger) services() []string {
	var names []string
	for _, t := range l.targets {
		if t.keyed && !slices.Contains(names, t.service) {
			names = append(names, t.service)
		}
	}
	return names
}

func (l *Ledger) checkService(service string) {
	now := time.Now()
	if l.shared[service] == nil {
		l.shared[service] = make([]time.Time, keys)
	}
	shared := l.shared[service]
	holders := make([][]*Target, keys)
	for _, t := range l.targets {
		if t.ended || t.service != service {
			continue
		}
		for _, h := range t.held(now) {
			for k := h.from; k <= h.to; k++ {
				holders[k] = append(holders[k], t)
			}
		}
	}
	for k, both := range holders {
		if len(both) < 2 {
			shared[k] = time.Time{}
			continue
		}
		if shared[k].IsZero() {
			shared[k] = now
		}
		text := fmt.Sprintf("%s and %s", both[0].Instance, both[1].Instance)
		if now.Sub(shared[k]) > bothHold && !l.reported[text] {
			l.reported[text] = true
			l.record.Break("OWNER: %s both hold key %d for over %v", text, k, bothHold)
		}
	}
}

// Covered returns the share of the keys that a target holds, of the keyed service where it is least.
func (l *Ledger) Covered() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	least := 1.0
	for _, service := range l.services() {
		least = min(least, l.covered(service))
	}
	return least
}

func (l *Ledger) covered(service string) float64 {
	held := [keys]bool{}
	n := 0
	for _, t := range l.targets {
		if t.ended || t.service != service {
			continue
		}
		for _, h := range t.held(time.Now()) {
			for k := h.from; k <= h.to; k++ {
				if !held[k] {
					held[k] = true
					n++
				}
			}
		}
	}
	return float64(n) / keys
}

type hold struct {
	from, to, fence int
	until           time.Time
}

// work is a running request on a key, with the end of the hold under which it began.
type work struct {
	id    string
	key   int
	until time.Time
}

type handover struct {
	from, to int
	token    string
}

// Target is a stand-in of an upstream, as PROTOCOL.md describes it.
type Target struct {
	ledger     *Ledger
	service    string
	keyed      bool
	address    string
	heartbeats string
	zone       string
	Instance   string
	born       int64
	workTime   time.Duration
	server     *http.Server
	client     *http.Client
	// The fields below are guarded by the ledger's lock.
	holds    []hold
	released []handover
	// releasing holds the parts of former holds on whose keys work still runs; they take no more requests.
	releasing []hold
	working   []work
	listener  net.Listener
	state     string
	sequence  int
	ended     bool
	tokens    int
	// Beats counts acknowledged heartbeats; LeaveAcked is when the departure was acknowledged.
	Beats      int
	LeaveAcked time.Time
	// lastHold is the length of the last grant.
	lastHold time.Duration
	runs     []Run
}

// StartTarget starts a target.
func StartTarget(l *Ledger, service, address, heartbeats, zone, instance string, work time.Duration) *Target {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		Unable("a target can't listen: %v", err)
	}
	t := &Target{
		ledger: l, service: service, keyed: service != PooledService, address: address, heartbeats: heartbeats, zone: zone, Instance: instance, born: time.Now().UnixMilli(),
		workTime: work, listener: listener, state: "ready", client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	l.mu.Lock()
	l.targets = append(l.targets, t)
	l.fences[t] = make([]int, keys)
	l.mu.Unlock()
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }()
	go t.beat()
	return t
}

// held returns what the target holds or is still working on. It needs the ledger's lock.
func (t *Target) held(now time.Time) []hold {
	return append(live(t.holds, now), live(t.releasing, now)...)
}

// live returns the holds that have not run out.
func live(holds []hold, now time.Time) []hold {
	return slices.DeleteFunc(slices.Clone(holds), func(h hold) bool { return !now.Before(h.until) })
}

// works reports whether a request on a key of the hold is running. It needs the ledger's lock.
func (t *Target) works(h hold) bool {
	return slices.ContainsFunc(t.working, func(w work) bool { return h.from <= w.key && w.key <= h.to })
}

// endWork notes that a request has ended, and releases what it kept.
func (t *Target) endWork(id string) {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.working = slices.DeleteFunc(t.working, func(w work) bool { return w.id == id })
	t.finishReleases()
}

// finishReleases moves what no work keeps any more to the released ranges. It needs the ledger's lock.
func (t *Target) finishReleases() {
	var kept []hold
	for _, h := range live(t.releasing, time.Now()) {
		if t.works(h) {
			kept = append(kept, h)
			continue
		}
		t.tokens++
		t.released = append(t.released, handover{h.from, h.to, fmt.Sprintf("%08x%08x", t.born&0xffffffff, t.tokens)})
	}
	t.releasing = kept
}

// CloseListener makes the target take no new connections, as a server does that ends gracefully. Running requests go on.
func (t *Target) CloseListener() {
	_ = t.listener.Close()
	t.ledger.record.Line("target %s closes its listening socket", t.Instance)
}

// Working returns the number of requests on keys that run.
func (t *Target) Working() int {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	return len(t.working)
}

// End makes the process of the target end.
func (t *Target) End() {
	t.ledger.mu.Lock()
	t.ended, t.holds = true, nil
	t.ledger.mu.Unlock()
	_ = t.server.Close()
	t.ledger.record.Line("target %s ends", t.Instance)
}

// Drain makes the target say in its heartbeats that it leaves.
func (t *Target) Drain() {
	t.ledger.mu.Lock()
	t.state = "draining"
	t.ledger.mu.Unlock()
}

// Holds returns the number of rows that the target holds.
func (t *Target) Holds() int {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	return len(t.held(time.Now()))
}

// Deregister says that the target leaves, and reports whether that was acknowledged.
func (t *Target) Deregister() bool {
	body, _ := json.Marshal(map[string]any{"born": t.born})
	response, err := t.client.Post("http://"+t.heartbeats+"/instances/"+t.Instance+"/deregister", "application/json", bytes.NewReader(body))
	if err != nil {
		t.ledger.record.Line("target %s: deregister: %v", t.Instance, err)
		return false
	}
	_ = response.Body.Close()
	t.ledger.record.Line("target %s: deregister: %d", t.Instance, response.StatusCode)
	return response.StatusCode/100 == 2
}

func (t *Target) beat() {
	time.Sleep(rand.N(HeartbeatInterval)) // Targets don't send at the same moments.
	for {
		again := t.beatOnce()
		t.ledger.mu.Lock()
		ended := t.ended
		t.ledger.mu.Unlock()
		if ended {
			return
		}
		if again {
			time.Sleep(100 * time.Millisecond)
		} else {
			time.Sleep(HeartbeatInterval + rand.N(HeartbeatInterval/20)) // "Approximately every heartbeat_ms".
		}
	}
}

// beatOnce sends a heartbeat and reports whether the next one has to follow soon, because keys were released.
func (t *Target) beatOnce() bool {
	l := t.ledger
	l.mu.Lock()
	t.sequence++
	t.holds = live(t.holds, time.Now())
	t.finishReleases()
	held, released := [][3]int{}, [][3]any{}
	for _, h := range t.held(time.Now()) {
		held = append(held, [3]int{h.from, h.to, h.fence})
	}
	for _, r := range t.released {
		released = append(released, [3]any{r.from, r.to, r.token})
	}
	sentReleases := len(t.released)
	body, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": 18, "state": t.state, "cold_remaining_ms": 0,
		"sequence": t.sequence, "born": t.born, "holds": held, "released": released,
	})
	l.mu.Unlock()
	sent := time.Now()
	response, err := t.client.Post("http://"+t.heartbeats+"/instances/"+t.Instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode/100 != 2 || len(data) > 4096 || time.Since(sent) > time.Second {
		return false
	}
	var grant struct {
		Holds  *[][4]any `json:"holds"`
		HoldMs float64   `json:"hold_ms"`
	}
	if json.Unmarshal(data, &grant) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.ended {
		return false
	}
	t.Beats++
	if t.state == "draining" && t.LeaveAcked.IsZero() {
		t.LeaveAcked = time.Now()
	}
	t.released = t.released[min(sentReleases, len(t.released)):]
	if grant.Holds == nil {
		return false
	}
	return t.take(sent, *grant.Holds, time.Duration(grant.HoldMs)*time.Millisecond)
}

// take applies a grant and reports whether keys were released. It needs the ledger's lock.
func (t *Target) take(sent time.Time, rows [][4]any, length time.Duration) bool {
	l, old := t.ledger, live(t.holds, time.Now())
	t.holds, t.lastHold = nil, length
	for _, row := range rows {
		h := hold{int(row[0].(float64)), int(row[1].(float64)), int(row[2].(float64)), sent.Add(length)}
		seen := l.fences[t]
		refused := false
		for k := h.from; k <= h.to; k++ {
			refused = refused || seen[k] > h.fence
		}
		if refused {
			l.record.Line("target %s does not take keys %d to %d with generation %d: it has seen a higher one", t.Instance, h.from, h.to, h.fence)
			continue
		}
		l.checkFence(t, h)
		l.checkWork(t, h)
		for k := h.from; k <= h.to; k++ {
			seen[k] = h.fence
		}
		t.holds = append(t.holds, h)
		l.Rows++
	}
	gone := false
	for _, h := range old {
		for _, part := range missing(h, t.holds) {
			t.releasing = append(t.releasing, part)
			gone = true
		}
	}
	t.finishReleases()
	gone = gone || len(t.releasing) > 0
	if gone || len(old) != len(t.holds) {
		l.record.Line("target %s holds %s", t.Instance, describe(t.holds))
	}
	return gone
}

// checkFence checks that the generation number is above all with which other targets had the keys.
func (l *Ledger) checkFence(t *Target, h hold) {
	for other, seen := range l.fences {
		if other == t || other.service != t.service {
			continue
		}
		for k := h.from; k <= h.to; k++ {
			if seen[k] >= h.fence {
				text := fmt.Sprintf("fence %s %d %d", t.Instance, h.from, h.fence)
				if !l.reported[text] {
					l.reported[text] = true
					l.record.Break("OWNER: %s takes key %d with generation %d, %s had it with %d", t.Instance, k, h.fence, other.Instance, seen[k])
				}
				break
			}
		}
	}
}

// checkWork checks that no other target is at work on the keys under a hold that has not run out.
func (l *Ledger) checkWork(t *Target, h hold) {
	for _, other := range l.targets {
		if other == t || other.ended || other.service != t.service {
			continue
		}
		for _, w := range other.working {
			if h.from <= w.key && w.key <= h.to && time.Now().Before(w.until) {
				l.record.Break("OWNER: %s is given key %d, on which %s is still at work (%s), %v before that one's hold would have run out",
					t.Instance, w.key, other.Instance, w.id, time.Until(w.until).Round(time.Millisecond))
			}
		}
	}
}

func describe(holds []hold) string {
	text := ""
	for _, h := range holds {
		text += fmt.Sprintf("[%d-%d g%d] ", h.from, h.to, h.fence)
	}
	return text
}

// missing returns the parts of a hold that the others don't cover.
func missing(h hold, others []hold) []hold {
	parts := []hold{h}
	for _, o := range others {
		var next []hold
		for _, p := range parts {
			if o.to < p.from || p.to < o.from {
				next = append(next, p)
				continue
			}
			if p.from < o.from {
				next = append(next, hold{p.from, o.from - 1, p.fence, p.until})
			}
			if o.to < p.to {
				next = append(next, hold{o.to + 1, p.to, p.fence, p.until})
			}
		}
		parts = next
	}
	return parts
}

// ServeHTTP runs a request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, l := r.Header.Get("Request-Id"), t.ledger
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == HealthPath {
		w.Header().Set("Instance-Id", t.Instance)
		w.Header().Set("Server-Load", "0,0,18,100")
		return
	}
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != t.Instance {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.mu.Lock()
	key, fence, until := -1, 0, time.Time{}
	if t.keyed {
		key, _ = strconv.Atoi(r.Header.Get("Shard-Key"))
		held := false
		for _, h := range live(t.holds, time.Now()) {
			if h.from <= key && key <= h.to {
				held, fence, until = true, h.fence, h.until
			}
		}
		if !held {
			l.mu.Unlock()
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	l.ran[id]++
	t.runs = append(t.runs, Run{id, time.Now()})
	if key >= 0 {
		t.working = append(t.working, work{id, key, until})
	}
	l.record.Line("run %s at %s key %d generation %d", id, t.Instance, key, fence)
	if key >= 0 {
		for _, other := range l.targets {
			if other == t || other.ended || other.service != t.service {
				continue
			}
			for _, h := range other.held(time.Now()) {
				if h.from <= key && key <= h.to {
					l.record.Line("note: %s begins a request on key %d with generation %d, while %s holds it with %d", t.Instance, key, fence, other.Instance, h.fence)
				}
			}
		}
	}
	l.mu.Unlock()
	took := t.workTime
	if text := r.Header.Get("Work-Ms"); text != "" {
		ms, _ := strconv.Atoi(text)
		took = time.Duration(ms) * time.Millisecond
	}
	if key >= 0 {
		defer t.endWork(id)
	}
	if limit := time.Until(until); key >= 0 && took > limit { // Work that outlasts its lease ends with 500.
		time.Sleep(limit)
		l.record.Line("run %s at %s outlasts its lease", id, t.Instance)
		w.Header().Set("Server-Signature", "s."+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		l.record.Line("run %s at %s stops: its caller left", id, t.Instance)
		return
	}
	l.record.Line("run %s at %s is done", id, t.Instance)
	w.Header().Set("Server-Signature", "s."+id)
	w.Header().Set("Server-Load", "1,0,18,100")
	_, _ = fmt.Fprintf(w, "%s %s %d bytes", t.Instance, id, len(body))
}

// Run is the beginning of a request at a target.
type Run struct {
	ID string
	At time.Time
}

// RunsAfter returns the requests that began at the target after the time.
func (t *Target) RunsAfter(after time.Time) (runs []Run) {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	for _, r := range t.runs {
		if r.At.After(after) {
			runs = append(runs, r)
		}
	}
	return runs
}

// Granted returns how many heartbeats of the target were acknowledged, and the length of the last grant.
func (t *Target) Granted() (beats int, length time.Duration) {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	return t.Beats, t.lastHold
}

// SomeKeys returns n keys that the target holds, of as many rows as it has.
func (t *Target) SomeKeys(n int) []int {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	var some []int
	holds := live(t.holds, time.Now())
	for i := range n {
		if len(holds) > 0 {
			h := holds[i%len(holds)]
			some = append(some, h.from+i/len(holds))
		}
	}
	return some
}
