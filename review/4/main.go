// Command 4 plays an upstream that leaves without reporting draining during a short outage of the platform's store, in which its node is
// killed. It checks the rule DRAIN.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/citronvane/citronvane/platform/standin"
	"github.com/citronvane/citronvane/review/rig"
)

const (
	// outage is how long the store is down; the users' sites have 4.5 to 8 s.
	outage = 2 * time.Second
	// stay is how long the upstream serves after the acknowledgement: "at times many seconds".
	stay = 8 * time.Second
	// perSecond is below the site's rate for its 4 upstreams of the catalogue service, scaled to 2.
	perSecond = 60
)

func main() { os.Exit(run()) }

func cannotRun(why any) int {
	fmt.Println("the case can't run:", why)
	return 2
}

func run() int {
	record, err := rig.OpenRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return cannotRun(err)
	}
	defer record.Close()
	var restored time.Time
	c := &rig.LeavingCheck{Record: record, Stable: func(t time.Time) bool { return restored.IsZero() || t.Sub(restored) >= rig.ContactTime }}
	d, err := rig.Deploy(record, rig.SmallSite, rig.BookingWork, c.OnRun, nil)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return cannotRun(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Clients.Run(ctx, d.Nodes, perSecond, rig.PriceList)
	time.Sleep(4 * time.Second)

	const i = 4 // The first one of the catalogue service.
	leaving, node := d.Upstreams[i], d.Nodes[i]
	down := time.Now()
	if rig.Trouble() {
		d.Endpoint.ChangeFaults(func(f *standin.Faults) { f.Down = true })
		record.Printf("the store is down")
		time.Sleep(300 * time.Millisecond)
	}
	acknowledged, err := leaving.Deregister()
	if err != nil {
		return cannotRun(err)
	}
	c.Acknowledged(leaving, acknowledged)
	if rig.Trouble() {
		time.Sleep(300 * time.Millisecond)
		node.Kill()
		time.Sleep(300 * time.Millisecond)
		if err := node.Start(); err != nil {
			return cannotRun(err)
		}
		time.Sleep(outage - time.Since(down))
		d.Endpoint.ChangeFaults(func(f *standin.Faults) { f.Down = false })
		restored = time.Now()
		record.Printf("the store is up again after %d ms", restored.Sub(down).Milliseconds())
	}
	time.Sleep(stay - time.Since(acknowledged))
	leaving.End("it has left")
	time.Sleep(3 * time.Second)
	cancel()
	d.Clients.Wait()
	for _, line := range node.Log(`"event":6000`, `"event":6010`, `"event":6020`, `"event":6022`, `"event":6024`) {
		record.Printf("log: %s", line)
	}
	r := c.Result(d.Clients.Answers)
	fmt.Printf("requests that reached the upstream later than %s after the acknowledgement: %d, %d of them from machines in touch, the last after %d ms; %d of them weren't answered with success\n",
		rig.DrainPeriod, r.All, r.Counted, r.Last.Milliseconds(), r.Lost)
	if r.Counted > 0 {
		return 1
	}
	return 0
}
