// Command 5 plays upstreams that become cold at any moment. It checks the rule FAILBACK.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/citronvane/citronvane/review/rig"
)

// Bounds of the rule FAILBACK on the users' site.
const (
	coldPerSecond = 28
	coldOverage   = 1.5
	coldSlack     = 5
	coldTime      = 3 * time.Second
	// crashRate is the rate at which a cold upstream crashes, well above the one that it bears, and back how long it is away then.
	crashRate = 2 * coldPerSecond
	back      = 3 * time.Second
	// perSecond is the site's rate for its 9 upstreams of the service, scaled to 4, in a burst of 1.6 times.
	perSecond = 333
	work      = 120 * time.Millisecond
	events    = 4
)

func main() { os.Exit(run()) }

func cannotRun(why any) int {
	fmt.Println("the case can't run:", why)
	return 2
}

// checker counts the requests that reach a cold upstream.
type checker struct {
	record   *rig.Record
	mu       sync.Mutex
	arrivals map[*rig.Upstream][]time.Time
	most     int
	broken   int
	crashes  int
	crash    func(u *rig.Upstream)
}

func (c *checker) onRun(u *rig.Upstream, id, path string, key int, at time.Time) {
	c.record.Printf("%s runs %s %s key %d", u.Instance, id, path, key)
	if !u.Cold() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := []time.Time{at}
	for _, t := range c.arrivals[u] {
		if at.Sub(t) < time.Second {
			recent = append(recent, t)
		}
	}
	c.arrivals[u] = recent
	c.most = max(c.most, len(recent))
	if len(recent) > crashRate && u.Up() {
		c.crashes++
		go c.crash(u)
	}
	if float64(len(recent)) > coldPerSecond*coldOverage+coldSlack {
		c.broken++
		c.record.Printf("FAILBACK: request %d within one second at the cold upstream %s", len(recent), u.Instance)
	}
}

func next(*rig.Node) (method, path string, key int, deadline time.Duration, body []byte) {
	key = rand.IntN(65536)
	return http.MethodGet, "/availability/" + strconv.Itoa(key), key, 1200 * time.Millisecond, nil
}

func run() int {
	record, err := rig.OpenRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return cannotRun(err)
	}
	defer record.Close()
	c := &checker{record: record, arrivals: map[*rig.Upstream][]time.Time{}}
	d, err := rig.Deploy(record, rig.SmallSite, work, c.onRun, nil)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return cannotRun(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	c.crash = func(u *rig.Upstream) {
		u.End("more requests than it bears while it is cold")
		time.Sleep(back)
		for i, n := range d.Nodes {
			if n == u.Node && ctx.Err() == nil {
				if err := d.Restart(i, work); err == nil {
					d.Present()[i].SetCold(coldTime)
				}
			}
		}
	}
	c.mu.Unlock()
	go d.Clients.Run(ctx, d.Nodes, perSecond, next)
	time.Sleep(4 * time.Second)
	for i := range events {
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
		if rig.Trouble() {
			u := d.Present()[i]
			u.SetCold(coldTime)
			record.Printf("%s becomes cold", u.Instance)
		}
		time.Sleep(10 * time.Second)
	}
	cancel()
	d.Clients.Wait()
	lost := 0
	for _, a := range d.Clients.Answers {
		if a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
			lost++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Printf("most requests within one second at a cold upstream: %d, allowed %g; requests beyond it: %d; crashes: %d; requests neither answered with success nor refused: %d of %d\n",
		c.most, coldPerSecond*coldOverage+coldSlack, c.broken, c.crashes, lost, len(d.Clients.Answers))
	if c.broken > 0 {
		return 1
	}
	return 0
}
