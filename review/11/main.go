// Command 11 kills a node while its target's keys move away, lets an early status report of the target arrive late at the node's new
// process, and looks whether two targets hold the same keys.
package main

import (
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/citronvane/citronvane/review/kit3"
)

const (
	// nodes is the number of machines.
	nodes = 6
	// killAfter and restartAfter count from the sending of the target's last answered status report.
	killAfter, restartAfter = 250 * time.Millisecond, 800 * time.Millisecond
	// lateness is how late the target's status reports are from the kill on.
	lateness = 2500 * time.Millisecond
	// allowed is how long two targets may hold a key at the same time.
	allowed  = 500 * time.Millisecond
	keyStep  = 64
	lastKey  = 1<<16 - 1
	watchFor = 5 * time.Second
)

// held is a status report that was held up.
type held struct {
	mu      sync.Mutex
	deliver func() error
	at      time.Time
	// killed is set when the node's process has been killed. Later reports are late.
	killed bool
}

// late decides whether a status report of the target is held up.
func (h *held) late(r *kit3.Record, name string) func(int, int, func() error) bool {
	return func(sequence, keys int, send func() error) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		switch {
		case !kit3.Trouble():
			return false
		case h.killed:
			r.Printf("report %d of target %s is %v late", sequence, name, lateness)
			time.AfterFunc(lateness, func() { _ = send() }) // Its answer would be too late.
			return true
		case h.deliver != nil || sequence < 2 || keys > 0:
			return false
		}
		r.Printf("report %d of target %s, which holds nothing, is held up", sequence, name)
		h.deliver, h.at = send, time.Now()
		return true
	}
}

// zones holds the zone of each machine. The first two are alone in theirs.
var zones = [nodes]string{"a", "b", "c", "c", "d", "d"}

func main() {
	r := kit3.NewRecord()
	f := kit3.NewFleet(r, kit3.Configuration(3000))
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Server-Signature", "sig."+q.Header.Get("Request-Id"))
		_, _ = io.WriteString(w, "done")
	})
	for i := range nodes {
		f.AddNode("keyed", zones[i]).StartProcess()
	}
	reports := [2]held{}
	for i := range nodes {
		var late func(int, int, func() error) bool
		if i < len(reports) {
			late = reports[i].late(r, zones[i])
		}
		f.StartTarget(i, handler, late)
		time.Sleep(kit3.HeartbeatMs * time.Millisecond / nodes) // So that the targets don't report all at once.
	}
	f.AwaitReady()
	i := 0
	if f.Store.Leader() == f.Nodes[0].IP {
		i = 1 // The process that is killed is not the coordinator's.
	}
	first, report := f.Nodes[i], &reports[i]
	if first.Target.HeldKeys() == 0 || kit3.Trouble() && report.deliver == nil {
		f.Fail("the target holds no keys, or none of its reports was held up")
	}
	r.Printf("the target in zone %s holds %d keys; %s coordinates", zones[i], first.Target.HeldKeys(), f.Store.Leader())
	last := first.Target.AnsweredAt()
	for first.Target.AnsweredAt().Equal(last) {
		time.Sleep(time.Millisecond)
	}
	answered := first.Target.AnsweredAt()
	r.Printf("the operator evacuates zone %s, whose target holds %d keys", zones[i], first.Target.HeldKeys())
	f.Store.Evacuate(zones[i])
	go func() {
		time.Sleep(time.Until(answered.Add(killAfter)))
		report.mu.Lock()
		report.killed = true
		report.mu.Unlock()
		first.Signal(syscall.SIGKILL)
		first.Kill()
		time.Sleep(time.Until(answered.Add(restartAfter)))
		first.StartProcess()
		if !kit3.Trouble() {
			return
		}
		for i := 0; i < 200 && report.deliver() != nil; i++ {
			time.Sleep(5 * time.Millisecond)
		}
		r.Printf("the report that was held up has arrived after %.1f s", time.Since(report.at).Seconds())
	}()
	longest := watch(f)
	r.Printf("two targets held the same key for %d ms at most, %d are allowed", longest.Milliseconds(), allowed.Milliseconds())
	if longest > allowed {
		f.Exit(kit3.Broken)
	}
	f.Exit(kit3.Held)
}

// watch returns the longest time for which two targets held the same key.
func watch(f *kit3.Fleet) (longest time.Duration) {
	since := map[int]time.Time{}
	var kept [nodes]int
	for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		for key := 0; key <= lastKey; key += keyStep {
			holders := 0
			for _, n := range f.Nodes {
				if n.Target.Holds(key) {
					holders++
				}
			}
			switch {
			case holders < 2:
				delete(since, key)
			case since[key].IsZero():
				since[key] = now
				if len(since) == 1 {
					f.Record.Printf("key %d is held by %d targets", key, holders)
				}
			default:
				longest = max(longest, now.Sub(since[key]))
			}
		}
		for i, n := range f.Nodes {
			if held := n.Target.HeldKeys(); held != kept[i] {
				f.Record.Printf("target %s holds %d keys", n.Target.Instance, held)
				kept[i] = held
			}
		}
	}
	return longest
}
