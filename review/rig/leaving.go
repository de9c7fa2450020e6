package rig

import (
	"sync"
	"time"
)

// DrainPeriod is the bound drain_ms of the users' pages.
const DrainPeriod = 2 * time.Second

// LeavingCheck checks the rule DRAIN: no request reaches a leaving upstream later than DrainPeriod after the node has acknowledged that it
// leaves, if the machine that took the request and the one that sent it on are in touch.
type LeavingCheck struct {
	Record *Record
	// Stable reports whether the platform's store has been without disturbance for ContactTime.
	Stable func(t time.Time) bool

	mu           sync.Mutex
	acknowledged map[*Upstream]time.Time
	runs         []lateRun
}

type lateRun struct {
	id string
	at time.Time
	by *Upstream
}

// Acknowledged tells when the node acknowledged that the upstream leaves.
func (c *LeavingCheck) Acknowledged(u *Upstream, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acknowledged == nil {
		c.acknowledged = map[*Upstream]time.Time{}
	}
	c.acknowledged[u] = at
	c.Record.Printf("%s acknowledged at %.3f that %s leaves", u.Node.Name, c.Record.Since(at), u.Instance)
}

// OnRun records a request that reached an upstream.
func (c *LeavingCheck) OnRun(u *Upstream, id, path string, key int, at time.Time) {
	c.Record.Printf("%s runs %s %s key %d", u.Instance, id, path, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if acknowledged, leaving := c.acknowledged[u]; leaving && at.Sub(acknowledged) > DrainPeriod {
		c.runs = append(c.runs, lateRun{id, at, u})
	}
}

// LateResult says how many requests reached the upstream too late, and what became of them.
type LateResult struct {
	// All counts the requests later than DrainPeriod after the acknowledgement, Counted those for which the machines were in touch.
	All, Counted int
	// Last is the time of the last one after the acknowledgement.
	Last time.Duration
	// Lost counts those of All that weren't answered with success.
	Lost int
}

// Result evaluates the runs. Requests are sent by the node beside the upstream, and taken from the client by the one in its answer.
func (c *LeavingCheck) Result(answers []Answer) LateResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	byID := map[string]Answer{}
	for _, a := range answers {
		byID[a.ID] = a
	}
	r := LateResult{}
	for _, run := range c.runs {
		a := byID[run.id]
		r.All++
		after := run.at.Sub(c.acknowledged[run.by])
		r.Last = max(r.Last, after)
		if a.Status != 200 {
			r.Lost++
		}
		if a.Node != nil && a.Node.InTouch(run.at) && run.by.Node.InTouch(run.at) && c.Stable(run.at) {
			r.Counted++
			if r.Counted <= 20 {
				c.Record.Printf("DRAIN: request %s, taken by %s, reached %s %d ms after the acknowledgement; its client got %d", run.id, a.Node.Name, run.by.Instance, after.Milliseconds(), a.Status)
			}
		}
	}
	return r
}
