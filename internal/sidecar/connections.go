package sidecar

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/memory"
	"github.com/citronvane/citronvane/internal/settings"
)

const (
	// connectionBytes is what a connection costs by itself: two goroutines, the buffers of net/http, and the connection's state.
	connectionBytes = 16 << 10
	// freeHeadBytes is the part of a head that connectionBytes covers, headStepBytes the step in which the rest is reserved. A head is
	// held up to twice, as received and as parsed.
	freeHeadBytes = 4 << 10
	headStepBytes = 8 << 10
	// reservedFDs is the number of descriptors that are not for connections.
	reservedFDs = 200
	// callerFDShare is the share of the other descriptors for callers. The rest is for connections to nodes and to the target.
	callerFDShare = 0.5
	// connectionMemoryShare bounds the share of the memory account that callers' connections take without a request.
	connectionMemoryShare = 0.5
	// writePieceBytes is the size in which responses are written, so that the progress of a reader is known.
	writePieceBytes = 64 << 10
	// progressInterval is how often the progress of callers is measured.
	progressInterval = 250 * time.Millisecond
	// maxCheckDelay is the time between two measurements after which the process counts as having stood still.
	maxCheckDelay = 4 * progressInterval
	// blockedShare is the share of the window in which the node must have waited for the caller for a low rate to be the caller's.
	blockedShare = 0.9
	// pressureAge is how long a caller may be slow while others wait for memory.
	pressureAge = time.Second
	// slowAge is how long a caller may send its body below the least rate while new callers find no place.
	slowAge = time.Second
	// maxLeavingShare is the share of the places whose former connections may still be open. They use descriptors beyond the bound.
	maxLeavingShare = 0.125
	// maxEndedPerCheck bounds the callers without progress that are ended at a time to make room.
	maxEndedPerCheck = 8
	// lingerTime and lingerBytes bound what is read from a caller after a final response. Closing earlier may reset the connection
	// before the caller has read the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// errNoMemory ends a connection whose next bytes have no room.
var errNoMemory = errors.New("no memory for the caller's bytes")

// endReason says why the node ended a caller's request.
type endReason int32

const (
	notEnded endReason = iota
	endedStalled
	endedForMemory
)

// waitMeter measures how many bytes moved in one direction of a connection, and for how long the node waited for the peer meanwhile.
type waitMeter struct {
	bytes, waited atomic.Int64
	// since is when the current wait began, 0 if there is none.
	since atomic.Int64
}

func (m *waitMeter) begin() int64 {
	now := monotonicNow()
	m.since.Store(now)
	return now
}

func (m *waitMeter) end(began int64, n int) {
	m.since.Store(0)
	m.waited.Add(monotonicNow() - began)
	m.bytes.Add(int64(n))
}

// totals returns the bytes and the time waited so far, with the current wait.
func (m *waitMeter) totals(now int64) (bytes, waited int64) {
	bytes, waited = m.bytes.Load(), m.waited.Load()
	if since := m.since.Load(); since > 0 {
		waited += now - since
	}
	return bytes, waited
}

var monotonicStart = time.Now()

// monotonicNow returns a time in nanoseconds that is never 0.
func monotonicNow() int64 { return int64(time.Since(monotonicStart)) + 1 }

// callerConn is a caller's connection. It measures the caller's progress and accounts for the memory that the caller occupies.
type callerConn struct {
	net.Conn
	table   *connTable
	address netip.Addr
	// readingHead is set while the next head is awaited or arrives, bodyPending while a part of a request body is due.
	readingHead, bodyPending atomic.Bool
	read, written            waitMeter
	// held is what the current request holds, for the choice of the caller that is ended.
	held  atomic.Int64
	ended atomic.Int32
	// lingers makes Close wait until the caller has read the last response.
	lingers   atomic.Bool
	closeOnce sync.Once
	closeErr  error
	// head is what the current head holds; only for the goroutine of the connection.
	head      memory.Hold
	headBytes int64
	// leaves is set while the connection counts in the table's leaving; under the table's lock.
	leaves bool
	// waiting is the entry in the table's list of idle connections; under the table's lock.
	waiting *list.Element
	// window holds the totals at the beginning of the current window; only for the check of progress.
	window progressWindow
}

// progressWindow is the state of the progress check of a connection. Times are in nanoseconds.
type progressWindow struct {
	// began is the beginning of the current window; the totals are those at that time.
	began                   int64
	read, written           int64
	readWaited, writeWaited int64
	// rate is the mean of the recent rates in bytes a second, the last ones counting most.
	rate                      float64
	previousAt, previousBytes int64
	// slowSince is when the node was first seen waiting for the caller, at all checks since; 0 if it does not wait.
	slowSince                int64
	blockedRead, blockedSend bool
}

// SyscallConn gives access to the socket.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Read reads from the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.bodyPending.Load() {
		began := c.read.begin()
		n, err := c.Conn.Read(p)
		c.read.end(began, n)
		return n, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.readingHead.Load() {
		c.headBytes += int64(n)
		for c.headBytes > freeHeadBytes+c.head.Bytes()/2 {
			if !c.head.TryReserve(2 * headStepBytes) {
				c.table.refusedHeads.Add(1)
				return 0, errNoMemory
			}
		}
	}
	return n, err
}

// Write writes to the connection in pieces.
func (c *callerConn) Write(p []byte) (int, error) {
	sent := 0
	for {
		began := c.written.begin()
		n, err := c.Conn.Write(p[sent:min(len(p), sent+writePieceBytes)])
		c.written.end(began, n)
		sent += n
		if err != nil || sent == len(p) {
			return sent, err
		}
	}
}

// Close closes the connection and returns what it holds.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() {
		if c.lingers.Load() {
			go func() {
				c.linger()
				_ = c.Conn.Close() // The caller has read the response, or had the time for it.
				c.table.remove(c)
			}()
			return
		}
		c.closeErr = c.Conn.Close()
		c.table.remove(c)
	})
	return c.closeErr
}

// linger ends the sending side and discards what the caller still sends.
func (c *callerConn) linger() {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); !ok || w.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // The deadline ends it.
	}
}

// end makes the pending read or write of the connection fail. It is called by the check of progress.
func (c *callerConn) end(reason endReason) {
	if c.window.blockedRead {
		c.endReading(reason, true)
		return
	}
	if c.ended.CompareAndSwap(int32(notEnded), int32(reason)) {
		c.lingers.Store(false)
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // A closed connection needs none.
	}
}

// endReading makes the pending read of the connection fail. lingers keeps it open until the caller has read the response.
func (c *callerConn) endReading(reason endReason, lingers bool) {
	if c.ended.CompareAndSwap(int32(notEnded), int32(reason)) {
		c.lingers.Store(lingers)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // A closed connection needs none.
	}
}

// callerConnOf returns the caller's connection of a request, nil if the listener does not track connections.
func callerConnOf(ctx context.Context) *callerConn {
	if s, ok := ctx.Value(connKey{}).(*sniffConn); ok {
		c, _ := s.Conn.(*callerConn)
		return c
	}
	return nil
}

// connTable bounds the connections of callers and ends callers that make no progress.
type connTable struct {
	account *memory.Account
	// limit and perAddress bound the connections, 0 for no bound.
	limit, perAddress int
	minRate           float64
	rateWindow        time.Duration

	refusedHeads, closedIdle, refusedNew, stalled, endedForRoom atomic.Int64

	mu        sync.Mutex
	conns     map[*callerConn]struct{}
	byAddress map[netip.Addr]int
	// idle holds the connections without a whole head, the longest idle one first.
	idle *list.List
	// slow holds callers whose bodies have arrived below the least rate for slowAge or longer, the slowest first, as of the last check.
	slow []*callerConn
	// leaving is the number of connections that have given up their places and are not closed yet.
	leaving int
}

func newConnTable(s *settings.Sidecar, account *memory.Account) *connTable {
	bounds := s.Callers.WithDefaults()
	t := &connTable{
		account: account, conns: map[*callerConn]struct{}{}, byAddress: map[netip.Addr]int{}, idle: list.New(),
		minRate: float64(bounds.MinBytesPerS), rateWindow: time.Duration(bounds.MinRateWindowMs) * time.Millisecond,
	}
	if fds := descriptorLimit(s.MaxFDs); fds > 0 {
		t.limit = max(1, int(callerFDShare*float64(fds-reservedFDs)))
	}
	if account.Limit() > 0 {
		byMemory := max(1, int(connectionMemoryShare*float64(account.Limit()/connectionBytes)))
		if t.limit == 0 || byMemory < t.limit {
			t.limit = byMemory
		}
	}
	t.perAddress = int(math.Ceil(bounds.AddressShare * float64(t.limit)))
	return t
}

// descriptorLimit returns the lower of the configured and the system's descriptor limits, 0 if neither is known.
func descriptorLimit(configured int) int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
		return configured
	}
	if configured == 0 {
		return int(r.Cur)
	}
	return min(configured, int(r.Cur))
}

// callerListener admits connections of callers.
type callerListener struct {
	net.Listener
	table *connTable
}

// Accept returns the next connection that is within the bounds.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.table.admit(c); admitted != nil {
			return admitted, nil
		}
		_ = c.Close() // Nothing was read from it.
	}
}

// admit adds a connection. Beyond a bound the longest idle one is closed for it, or else the slowest caller is ended. It returns nil if there is
// neither.
func (t *connTable) admit(c net.Conn) *callerConn {
	cc := &callerConn{Conn: c, table: t, head: memory.Hold{Account: t.account}}
	if a, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil {
		cc.address = a.Addr()
	}
	cc.readingHead.Store(true)
	victim, ok := t.add(cc)
	if !ok {
		t.refusedNew.Add(1)
		return nil
	}
	switch {
	case victim == nil:
	case victim.leaves:
		t.stalled.Add(1)
		victim.endReading(endedStalled, false) // Its place is wanted at once.
	default:
		t.closedIdle.Add(1)
		_ = victim.Close() // It has no request.
	}
	return cc
}

// add adds the connection and returns the one that has to be closed or ended for it, or false if it has no place.
func (t *connTable) add(c *callerConn) (victim *callerConn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.limit == 0:
	case t.byAddress[c.address] >= t.perAddress:
		for e := t.idle.Front(); e != nil && victim == nil; e = e.Next() {
			if other := e.Value.(*callerConn); other.address == c.address {
				victim = other
			}
		}
		if victim == nil {
			victim = t.takeSlow(func(other *callerConn) bool { return other.address == c.address })
		}
		if victim == nil {
			return nil, false
		}
	case len(t.conns) >= t.limit:
		if e := t.idle.Front(); e != nil {
			victim = e.Value.(*callerConn)
		} else if victim = t.takeSlow(func(*callerConn) bool { return true }); victim == nil {
			return nil, false
		}
	}
	if victim != nil {
		t.drop(victim)
	}
	t.conns[c] = struct{}{}
	t.byAddress[c.address]++
	c.waiting = t.idle.PushBack(c)
	t.account.Force(connectionBytes)
	return victim, true
}

// takeSlow returns the slowest caller that matches and marks it as leaving, or nil if there is none or too many are leaving. It needs the lock.
func (t *connTable) takeSlow(matches func(*callerConn) bool) *callerConn {
	if float64(t.leaving) >= max(1, maxLeavingShare*float64(t.limit)) {
		return nil
	}
	for i, c := range t.slow {
		if _, ok := t.conns[c]; !ok || c.leaves || c.waiting != nil || c.ended.Load() != int32(notEnded) || !c.bodyPending.Load() || !matches(c) {
			continue
		}
		t.slow = slices.Delete(t.slow, i, i+1)
		c.leaves = true
		t.leaving++
		return c
	}
	return nil
}

// drop removes the connection. It needs the lock.
func (t *connTable) drop(c *callerConn) {
	if _, ok := t.conns[c]; !ok {
		return
	}
	delete(t.conns, c)
	if t.byAddress[c.address]--; t.byAddress[c.address] == 0 {
		delete(t.byAddress, c.address)
	}
	t.setIdle(c, false)
	t.account.Release(connectionBytes)
}

func (t *connTable) setIdle(c *callerConn, idle bool) {
	if c.waiting != nil {
		t.idle.Remove(c.waiting)
		c.waiting = nil
	}
	if idle {
		c.waiting = t.idle.PushBack(c)
	}
}

func (t *connTable) remove(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(c)
	if c.leaves {
		c.leaves = false
		t.leaving--
	}
}

// trackState follows the requests of a connection. It is called by the server's ConnState hook, on the goroutine of the connection.
func (t *connTable) trackState(c net.Conn, state http.ConnState) {
	s, ok := c.(*sniffConn)
	if !ok {
		return
	}
	cc, ok := s.Conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cc.readingHead.Store(false)
		cc.ended.Store(int32(notEnded)) // The last request may have been complete just before it was ended.
	case http.StateIdle:
		cc.bodyPending.Store(false)
		cc.headBytes = 0
		cc.head.Release()
		cc.readingHead.Store(true)
	case http.StateClosed:
		cc.head.Release()
		return
	default:
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.conns[cc]; ok {
		t.setIdle(cc, state == http.StateIdle)
	}
}

// watchProgress ends callers without progress until the context ends, and logs what was ended at most once a second.
func (t *connTable) watchProgress(ctx context.Context, l *logger, m *metrics) {
	last, logged := monotonicNow(), monotonicNow()
	var reported [5]int64
	for sleep(ctx, progressInterval) {
		now := monotonicNow()
		late := time.Duration(now-last) > maxCheckDelay
		last = now
		t.check(now, late)
		if time.Duration(now-logged) < time.Second {
			continue
		}
		logged = now
		t.report(l, m, &reported)
	}
}

// report logs and counts the callers that were ended or refused since the last report.
func (t *connTable) report(l *logger, m *metrics, reported *[5]int64) {
	names := [...]string{"closed_idle", "refused_new", "refused_heads", "stalled", "ended_for_room"}
	counters := [...]*atomic.Int64{&t.closedIdle, &t.refusedNew, &t.refusedHeads, &t.stalled, &t.endedForRoom}
	var delta [len(names)]int64
	changed := false
	for i, c := range counters {
		n := c.Load()
		delta[i], reported[i] = n-reported[i], n
		changed = changed || delta[i] > 0
	}
	if !changed {
		return
	}
	t.mu.Lock()
	connections := len(t.conns)
	t.mu.Unlock()
	line := event.CallersEnded.On(l).Int("connections", connections).Int("limit", t.limit).
		Int("held_bytes", int(t.account.Used())).Int("memory_limit_bytes", int(t.account.Limit()))
	for i, name := range names {
		if delta[i] > 0 {
			m.countEndedCallers(name, delta[i])
			line.Int(name, int(delta[i]))
		}
	}
	line.Send()
}

// check measures the progress of all callers. After a late check, as by a process that stood still, it only begins new windows: what has
// arrived meanwhile was not read yet.
func (t *connTable) check(now int64, late bool) {
	t.mu.Lock()
	conns := make([]*callerConn, 0, len(t.conns))
	for c := range t.conns {
		if c.waiting == nil {
			conns = append(conns, c)
		}
	}
	t.mu.Unlock()
	for _, c := range conns {
		if c.measure(now, late, t.minRate, t.rateWindow) {
			t.stalled.Add(1)
			c.end(endedStalled)
		}
	}
	if t.account.Pressed() {
		t.makeRoom(now, conns)
	}
	t.findSlow(now, conns)
}

// findSlow records the callers that give way to new ones.
func (t *connTable) findSlow(now int64, conns []*callerConn) {
	slow := slices.DeleteFunc(conns, func(c *callerConn) bool {
		w := &c.window
		return !w.blockedRead || w.slowSince == 0 || time.Duration(now-w.slowSince) < slowAge || w.rate >= t.minRate
	})
	slices.SortFunc(slow, func(a, b *callerConn) int { return cmp.Compare(a.window.slowSince, b.window.slowSince) })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = slow
}

// makeRoom ends callers that the node has been waiting for and whose bytes would be held for longer than the window at their rate, the
// longest ones first.
func (t *connTable) makeRoom(now int64, conns []*callerConn) {
	for range maxEndedPerCheck {
		var worst *callerConn
		longest := t.rateWindow.Seconds()
		for _, c := range conns {
			if c.window.slowSince == 0 || time.Duration(now-c.window.slowSince) < pressureAge || c.ended.Load() != int32(notEnded) {
				continue
			}
			if seconds := float64(c.held.Load()) / (1 + c.window.rate); seconds > longest {
				worst, longest = c, seconds
			}
		}
		if worst == nil {
			return
		}
		t.endedForRoom.Add(1)
		worst.end(endedForMemory)
	}
}

// measure updates the progress of the connection and reports whether its caller was slower than the least rate over a whole window.
func (c *callerConn) measure(now int64, late bool, minRate float64, length time.Duration) bool {
	w := &c.window
	read, readWaited := c.read.totals(now)
	written, writeWaited := c.written.totals(now)
	w.blockedRead, w.blockedSend = c.bodyPending.Load() && c.read.since.Load() > 0, c.written.since.Load() > 0
	if seconds := time.Duration(now - w.previousAt).Seconds(); w.previousAt > 0 && seconds > 0 {
		w.rate = (w.rate + float64(read+written-w.previousBytes)/seconds) / 2
	}
	w.previousAt, w.previousBytes = now, read+written
	switch {
	case !w.blockedRead && !w.blockedSend || late:
		w.slowSince = 0
	case w.slowSince == 0:
		w.slowSince = now
	}
	if w.began > 0 && !late && time.Duration(now-w.began) < length {
		return false
	}
	least, waited := minRate*length.Seconds(), int64(blockedShare*float64(length))
	stalled := w.began > 0 && !late &&
		(w.blockedRead && float64(read-w.read) < least && readWaited-w.readWaited >= waited ||
			w.blockedSend && float64(written-w.written) < least && writeWaited-w.writeWaited >= waited)
	w.began, w.read, w.written, w.readWaited, w.writeWaited = now, read, written, readWaited, writeWaited
	return stalled
}
