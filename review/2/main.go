// Command 2 plays a request that crashes each upstream that runs it, and nodes that are stopped and started in turn. It checks the rule
// BUDGET.
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
	"syscall"
	"time"

	"github.com/citronvane/citronvane/review/rig"
)

const (
	// poison is the path of the request.
	poison = "/price/poison"
	// again is how often it comes, back how long a crashed upstream is away.
	again = 1500 * time.Millisecond
	back  = 2 * time.Second
	// rounds is how often all nodes are stopped and started in turn, gap the pause between two of them.
	rounds = 4
	gap    = time.Second
	// allowed is the number of retries that may reach upstreams after the third crash.
	allowed   = 3
	perSecond = 60
)

// places is a deployment with one host in each zone.
var places = []rig.Place{{Zone: "kariakoo", Service: "booking"}, {Zone: "msasani", Service: "catalogue"}, {Zone: "mbezi", Service: "catalogue"}, {Zone: "temeke", Service: "catalogue"}}

func main() { os.Exit(run()) }

func cannotRun(why any) int {
	fmt.Println("the case can't run:", why)
	return 2
}

// checker counts how often the request has reached upstreams.
type checker struct {
	record  *rig.Record
	mu      sync.Mutex
	crashes int
	third   time.Time
	// counted holds the ids of the retries that count. Of one retry, several runs count once.
	counted map[string]bool
	crash   func(u *rig.Upstream)
}

func (c *checker) onRun(u *rig.Upstream, id, path string, _ int, at time.Time) {
	if path != poison {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	late := !c.third.IsZero() && at.Sub(c.third) > rig.ContactTime
	if late && u.Node.InTouch(at) {
		c.counted[id] = true
	}
	if c.crashes == 3 {
		c.third = at
	}
	c.record.Printf("%s runs the request that crashes upstreams, for the %d. time, as %s; retries that count: %d", u.Instance, c.crashes, id, len(c.counted))
	go c.crash(u)
}

// inTouch returns one of the nodes in touch, or nil. The request comes again at these only, so that both machines on its way are in touch.
func inTouch(nodes []*rig.Node) *rig.Node {
	var some []*rig.Node
	for _, n := range nodes {
		if n.InTouch(time.Now()) {
			some = append(some, n)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[rand.IntN(len(some))]
}

func run() int {
	record, err := rig.OpenRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return cannotRun(err)
	}
	defer record.Close()
	c := &checker{record: record, counted: map[string]bool{}}
	d, err := rig.Deploy(record, places, rig.BookingWork, c.onRun, nil)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return cannotRun(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.crash = func(u *rig.Upstream) {
		u.End("crash")
		time.Sleep(back)
		for i, n := range d.Nodes {
			if n == u.Node && ctx.Err() == nil {
				_ = d.Restart(i, rig.BookingWork)
			}
		}
	}
	go d.Clients.Run(ctx, d.Nodes, perSecond, func(*rig.Node) (string, string, int, time.Duration, []byte) {
		return http.MethodGet, "/price/" + strconv.Itoa(rand.IntN(100000)), -1, 500 * time.Millisecond, nil
	})
	time.Sleep(2 * time.Second)
	go func() {
		for ctx.Err() == nil {
			if n := inTouch(d.Nodes); n != nil {
				d.Clients.Send(n, http.MethodGet, poison, -1, 500*time.Millisecond, nil)
			}
			time.Sleep(again)
		}
	}()
	time.Sleep(5 * time.Second)
	for range rounds {
		for _, n := range d.Nodes {
			if rig.Trouble() {
				n.Signal(syscall.SIGTERM)
				if !n.Await(7 * time.Second) {
					return cannotRun("a node didn't stop")
				}
				time.Sleep(300 * time.Millisecond)
				if err := n.Start(); err != nil {
					return cannotRun(err)
				}
			}
			time.Sleep(gap)
		}
	}
	time.Sleep(6 * time.Second)
	cancel()
	d.Clients.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := 0
	for _, a := range d.Clients.Answers {
		if a.Path != poison && a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
			lost++
		}
	}
	fmt.Printf("the request crashed upstreams %d times; retries that reached upstreams by machines in touch later than %s after the third crash: %d, allowed %d; other requests that were neither answered with success nor refused: %d of %d\n",
		c.crashes, rig.ContactTime, len(c.counted), allowed, lost, len(d.Clients.Answers))
	if len(c.counted) > allowed {
		return 1
	}
	return 0
}
