package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Limits of an upstream, as on the users' small sites.
const (
	Slots          = 18
	queueLength    = 72
	maxConnections = 130
	reportTimeout  = time.Second
	releaseReport  = 50 * time.Millisecond
)

// holdRow is a row that an upstream holds until it expires.
type holdRow struct {
	from, to int
	fence    uint64
	until    time.Time
}

// run is a request at which an upstream works.
type run struct {
	key   int
	fence uint64
}

// Range is a range of keys with its generation number.
type Range struct {
	From, To int
	Fence    uint64
}

// Upstream is one life of an upstream's process.
type Upstream struct {
	Instance string
	Born     int64
	Node     *Node
	Sharded  bool
	// Work is the mean duration of a request. It varies by half.
	Work time.Duration
	// ReportTo is the address to which the upstream reports.
	ReportTo string
	// OnRun is called when a request begins to run.
	OnRun func(u *Upstream, id, path string, key int, at time.Time)
	// OnGrant is called when the upstream has got keys that it didn't hold.
	OnGrant func(u *Upstream, gained []Range)

	record     *Record
	server     *http.Server
	mu         sync.Mutex
	up         bool
	holds      []holdRow
	released   []holdRow
	seen       []holdRow // highest generation numbers that were taken, by range
	working    map[*run]bool
	running    int
	waiting    int
	slots      chan struct{}
	sequence   int
	reportedAt time.Time
	cold       time.Time
	poke       chan struct{}
	done       chan struct{}
	conns      int
	// LastTaken is when the last answer to a report with rows was taken.
	LastTaken time.Time
}

// StartUpstream starts a life of the upstream beside the node.
func StartUpstream(n *Node, sharded bool, work time.Duration, reportTo string, onRun func(*Upstream, string, string, int, time.Time), onGrant func(*Upstream, []Range)) (*Upstream, error) {
	l, err := net.Listen("tcp", n.Target)
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		Instance: fmt.Sprintf("i-%08x", rand.Uint32()), Born: time.Now().UnixMilli(), Node: n, Sharded: sharded, Work: work, ReportTo: reportTo, OnRun: onRun, OnGrant: onGrant,
		record: n.fleet.Record, up: true, working: map[*run]bool{}, slots: make(chan struct{}, Slots), poke: make(chan struct{}, 1), done: make(chan struct{}),
	}
	u.server = &http.Server{Handler: u, ConnState: u.countConns}
	go func() { _ = u.server.Serve(l) }()
	go u.reportLoop()
	u.record.Printf("upstream %s (%s) starts beside %s, born %d", u.Instance, n.Service, n.Name, u.Born)
	return u, nil
}

func (u *Upstream) countConns(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		u.conns++
		if u.conns > maxConnections {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		u.conns--
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// End ends the process: its connections break, and its address refuses new ones.
func (u *Upstream) End(why string) {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return
	}
	u.up, u.holds = false, nil
	cut := len(u.working)
	u.mu.Unlock()
	close(u.done)
	_ = u.server.Close()
	u.record.Printf("upstream %s ends: %s; requests at work: %d", u.Instance, why, cut)
}

// SetCold makes the upstream cold.
func (u *Upstream) SetCold(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cold = time.Now().Add(d)
}

// Cold reports whether the upstream is cold.
func (u *Upstream) Cold() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.cold)
}

// Holds returns the rows that the upstream holds now.
func (u *Upstream) Holds() []holdRow {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.validHolds(time.Now())
}

func (u *Upstream) validHolds(now time.Time) []holdRow {
	var valid []holdRow
	for _, h := range u.holds {
		if now.Before(h.until) {
			valid = append(valid, h)
		}
	}
	return valid
}

// Up reports whether the process runs.
func (u *Upstream) Up() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.up
}

func (u *Upstream) reportLoop() {
	time.Sleep(time.Duration(rand.Int64N(int64(HeartbeatInterval)))) // Upstreams report at different moments.
	for {
		wait := HeartbeatInterval
		if u.report() {
			wait = releaseReport // Rows were left out: the upstream reports again within 100 ms.
		}
		select {
		case <-time.After(wait):
		case <-u.poke:
		case <-u.done:
			return
		}
	}
}

// body returns the next report.
func (u *Upstream) body(now time.Time) ([]byte, []holdRow) {
	u.sequence++
	u.reportedAt = now
	u.holds = u.validHolds(now)
	holds, released := [][3]int{}, [][3]any{}
	for _, h := range u.holds {
		holds = append(holds, [3]int{h.from, h.to, int(h.fence)})
	}
	for r := range u.working {
		if r.key >= 0 && !covered(u.holds, r.key) {
			holds = append(holds, [3]int{r.key, r.key, int(r.fence)})
		}
	}
	for _, h := range u.released {
		if !u.worksOn(h) {
			released = append(released, [3]any{h.from, h.to, fmt.Sprintf("%08x%08x", h.from, h.fence)})
		}
	}
	data, err := json.Marshal(map[string]any{
		"service": u.Node.Service, "address": u.Node.Target, "zone": u.Node.Zone, "version": "v1", "slots": Slots, "state": "ready",
		"cold_remaining_ms": max(0, u.cold.Sub(now).Milliseconds()), "sequence": u.sequence, "born": u.Born, "holds": holds, "released": released,
	})
	if err != nil {
		panic(err)
	}
	return data, u.released
}

func covered(rows []holdRow, key int) bool {
	for _, h := range rows {
		if h.from <= key && key <= h.to {
			return true
		}
	}
	return false
}

func (u *Upstream) worksOn(h holdRow) bool {
	for r := range u.working {
		if h.from <= r.key && r.key <= h.to {
			return true
		}
	}
	return false
}

// report sends a status report. It returns true if rows were released by its answer.
func (u *Upstream) report() bool {
	u.mu.Lock()
	sent := time.Now()
	body, told := u.body(sent)
	sequence := u.sequence
	u.mu.Unlock()
	client := http.Client{Timeout: reportTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+u.ReportTo+"/instances/"+u.Instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		u.record.Printf("report %d of %s isn't acknowledged", sequence, u.Instance)
		return false
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	return u.take(sent, data, len(told))
}

// take takes the answer to a report.
func (u *Upstream) take(sent time.Time, data []byte, told int) bool {
	var answer struct {
		Holds  *[][4]any `json:"holds"`
		HoldMs int       `json:"hold_ms"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return false
	}
	var gained []Range
	defer func() { // After the lock is free.
		if u.OnGrant != nil && len(gained) > 0 {
			u.OnGrant(u, gained)
		}
	}()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.released = u.released[min(told, len(u.released)):]
	if answer.Holds == nil || !u.up {
		return false // A response without holds renews nothing.
	}
	u.LastTaken = time.Now()
	old := u.validHolds(time.Now())
	u.holds = nil
	for _, row := range *answer.Holds {
		h := holdRow{int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64)), sent.Add(time.Duration(answer.HoldMs) * time.Millisecond)}
		if u.outdated(h) {
			u.record.Printf("upstream %s refuses row %d to %d with generation %d", u.Instance, h.from, h.to, h.fence)
			continue
		}
		u.holds = append(u.holds, h)
		u.seen = append(u.seen, h)
	}
	if len(u.seen) > 4000 {
		u.seen = u.seen[len(u.seen)-2000:]
	}
	for _, h := range u.holds {
		for _, part := range without(h, old) {
			gained = append(gained, Range{part.from, part.to, part.fence})
		}
	}
	dropped := false
	for _, h := range old {
		for _, part := range without(h, u.holds) {
			u.released = append(u.released, part)
			dropped = true
		}
	}
	return dropped
}

func (u *Upstream) outdated(h holdRow) bool {
	for _, s := range u.seen {
		if s.fence > h.fence && s.from <= h.to && h.from <= s.to {
			return true
		}
	}
	return false
}

// without returns the parts of a row that none of the others covers.
func without(h holdRow, others []holdRow) []holdRow {
	parts := []holdRow{h}
	for _, o := range others {
		var next []holdRow
		for _, p := range parts {
			if o.to < p.from || p.to < o.from {
				next = append(next, p)
				continue
			}
			if p.from < o.from {
				next = append(next, holdRow{p.from, o.from - 1, p.fence, p.until})
			}
			if o.to < p.to {
				next = append(next, holdRow{o.to + 1, p.to, p.fence, p.until})
			}
		}
		parts = next
	}
	return parts
}

// Deregister says that the upstream leaves, and returns when that was acknowledged. The upstream goes on reporting and serving.
func (u *Upstream) Deregister() (time.Time, error) {
	u.mu.Lock()
	body, err := json.Marshal(map[string]any{"born": u.Born})
	u.mu.Unlock()
	if err != nil {
		return time.Time{}, err
	}
	client := http.Client{Timeout: reportTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+u.ReportTo+"/instances/"+u.Instance+"/deregister", "application/json", bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return time.Time{}, fmt.Errorf("status %d", response.StatusCode)
	}
	return time.Now(), nil
}

// ServeHTTP serves a request of the node.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		u.mu.Lock()
		cold := max(0, time.Until(u.cold).Milliseconds())
		u.mu.Unlock()
		w.Header().Set("Instance-Id", u.Instance)
		w.Header().Set("Server-Load", u.load())
		w.Header().Set("Cold-Ms", strconv.FormatInt(cold, 10))
		return
	}
	w.Header().Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case id == "":
		refuse(w, http.StatusBadRequest)
		return
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != u.Instance:
		w.Header().Set("Instance-Id", u.Instance)
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	key, fence, ok := u.keyOf(r)
	if !ok {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Now().Add(10 * time.Second)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if !u.begin(w) {
		return // The connection was reset.
	}
	select {
	case u.slots <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		u.leaveQueue()
		refuse(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		u.leaveQueue()
		panic(http.ErrAbortHandler)
	}
	u.leaveQueue()
	defer func() { <-u.slots }()
	if u.Sharded {
		if key, fence, ok = u.keyOf(r); !ok {
			refuse(w, http.StatusMisdirectedRequest)
			return
		}
	}
	u.run(w, r, id, key, fence, deadline, len(body))
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (u *Upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", u.running, u.waiting, Slots)
}

// begin lets a request into the queue, or resets its connection if the upstream is full.
func (u *Upstream) begin(w http.ResponseWriter) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiting+u.running >= Slots+queueLength {
		if h, ok := w.(http.Hijacker); ok {
			if c, _, err := h.Hijack(); err == nil {
				reset(c)
			}
		}
		return false
	}
	u.waiting++
	return true
}

func (u *Upstream) leaveQueue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
}

// keyOf returns the request's key and its generation number, if the upstream holds the key or needs none.
func (u *Upstream) keyOf(r *http.Request) (key int, fence uint64, ok bool) {
	if !u.Sharded {
		return -1, 0, true
	}
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if err != nil {
		return -1, 0, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.validHolds(time.Now()) {
		if h.from <= key && key <= h.to {
			return key, h.fence, true
		}
	}
	return key, 0, false
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, id string, key int, fence uint64, deadline time.Time, bodyBytes int) {
	at := time.Now()
	job := &run{key, fence}
	u.mu.Lock()
	u.running++
	u.working[job] = true
	work := time.Duration((0.5 + rand.Float64()) * float64(u.Work))
	if at.Before(u.cold) {
		work *= 2
	}
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		delete(u.working, job)
		u.mu.Unlock()
	}()
	if u.OnRun != nil {
		u.OnRun(u, id, r.URL.Path, key, at)
	}
	select {
	case <-time.After(min(work, time.Until(deadline))):
	case <-r.Context().Done():
		u.record.Printf("run of %s at %s is cut", id, u.Instance)
		panic(http.ErrAbortHandler)
	case <-u.done:
		panic(http.ErrAbortHandler) // The connection breaks without an answer.
	}
	w.Header().Set("Server-Signature", "s."+u.Instance+"."+id)
	w.Header().Set("Server-Load", u.load())
	switch {
	case !time.Now().Before(deadline):
		w.WriteHeader(http.StatusGatewayTimeout)
	case u.Sharded && !covered(u.Holds(), key):
		w.WriteHeader(http.StatusInternalServerError) // Work that outlasts its lease.
	default:
		_, _ = fmt.Fprintf(w, "%s %s %d bytes by %s\n", r.Method, r.URL.RequestURI(), bodyBytes, u.Instance)
	}
}

// Shared returns keys that both upstreams hold now.
func Shared(a, b *Upstream) (from, to int, both bool) {
	if !a.Sharded || !b.Sharded || a == b {
		return 0, 0, false
	}
	others := b.Holds()
	for _, h := range a.Holds() {
		for _, o := range others {
			if h.from <= o.to && o.from <= h.to {
				return max(h.from, o.from), min(h.to, o.to), true
			}
		}
	}
	return 0, 0, false
}

// WorksInHold returns a key of the range on which the upstream is at work while its hold of the key lasts.
func (u *Upstream) WorksInHold(r Range) (key int, found bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.up {
		return 0, false
	}
	holds := u.validHolds(time.Now())
	for job := range u.working {
		if r.From <= job.key && job.key <= r.To && covered(holds, job.key) {
			return job.key, true
		}
	}
	return 0, false
}

// ReportAt returns when the last report was sent, and how many there were.
func (u *Upstream) ReportAt() (time.Time, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reportedAt, u.sequence
}

// HoldsKey reports whether the upstream holds the key now.
func (u *Upstream) HoldsKey(key int) bool { return covered(u.Holds(), key) }

// AwaitGrant waits until the upstream has just taken the answer to a report.
func (u *Upstream) AwaitGrant() {
	for {
		u.mu.Lock()
		since := time.Since(u.LastTaken)
		u.mu.Unlock()
		if since < 50*time.Millisecond {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
