// Command script plays case 10 of the second review: a target leaves while the store is away, and all nodes are killed at once.
package main

import (
	"flag"
	"os"
	"syscall"
	"time"

	"github.com/citronvane/citronvane/review/kit2"
)

const (
	drain   = 2 * time.Second
	contact = 3 * time.Second
	// serves is how long the target serves after its confirmation.
	serves = 12 * time.Second
)

func main() {
	folder := flag.String("folder", "review/10", "folder of the record")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	// A part of the disruption alone shows what it takes: outage or kill.
	outage, kill := trouble && os.Getenv("ONLY") != "kill", trouble && os.Getenv("ONLY") != "outage"

	r := kit2.NewRecord(*folder + "/record.txt")
	f := kit2.NewFleet(r)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.Add(zone, kit2.PooledService)
		f.Add(zone, kit2.KeyedService)
	}
	f.Work = 150 * time.Millisecond
	f.Start()
	f.Traffic(120)
	time.Sleep(4 * time.Second)

	leaving := f.Hosts[2]
	t := leaving.Target
	if outage {
		f.Store.SetAway(true)
		r.Say("the store is away")
	}
	time.Sleep(700 * time.Millisecond)
	acknowledged := time.Time{}
	for range 3 {
		if t.Deregister() {
			acknowledged = time.Now()
			break
		}
	}
	if acknowledged.IsZero() {
		kit2.Unable("the departure was not acknowledged")
	}
	r.Say("the departure of %s is acknowledged; it goes on serving for %v", t.Instance, serves)
	time.Sleep(500 * time.Millisecond)
	started := acknowledged
	if kill {
		r.Say("all nodes are killed, and start again")
		for _, h := range f.Hosts {
			h.Signal(syscall.SIGKILL)
		}
		for _, h := range f.Hosts {
			h.Await(2 * time.Second)
		}
		time.Sleep(700 * time.Millisecond)
		for _, h := range f.Hosts {
			h.StartNode()
		}
		started = time.Now()
	}
	time.Sleep(time.Until(acknowledged.Add(3500 * time.Millisecond)))
	stable := acknowledged
	if outage {
		f.Store.SetAway(false)
		stable = time.Now()
		r.Say("the store is back")
	}
	time.Sleep(time.Until(acknowledged.Add(serves)))
	t.End()
	leaving.Signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second)

	// Counted are requests that come later than drain_ms after the acknowledgement, while all machines are in touch: contact_ms after the
	// start of the last process and after the end of the outage.
	from := acknowledged.Add(drain)
	for _, other := range []time.Time{started.Add(contact), stable.Add(contact)} {
		if other.After(from) {
			from = other
		}
	}
	runs := t.RunsAfter(from)
	r.Say("%d requests came to %s later than drain_ms after the acknowledgement, %d of them from machines in touch", len(t.RunsAfter(acknowledged.Add(drain))), t.Instance, len(runs))
	lost := 0
	for _, run := range runs {
		if !f.Succeeded(run.ID) {
			lost++
		}
	}
	r.Say("%d of these were not answered with success", lost)
	for _, run := range runs {
		r.Break("DRAIN: %s reached %s %v after the acknowledgement", run.ID, t.Instance, run.At.Sub(acknowledged).Round(time.Millisecond))
	}
	f.Close()
	os.Exit(r.Finish())
}
