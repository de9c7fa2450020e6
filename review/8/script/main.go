// Command script plays case 8 of the second review: a target leaves as planned, and closes its listening socket before its last request is
// done.
package main

import (
	"flag"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citronvane/citronvane/review/kit2"
)

const (
	drain  = 2 * time.Second
	little = 50 * time.Millisecond
	// deadline is that of order-place on the site.
	deadline = 2500 * time.Millisecond
	longWork = 2400 * time.Millisecond
)

func main() {
	folder := flag.String("folder", "review/8", "folder of the record")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"

	r := kit2.NewRecord(*folder + "/record.txt")
	f := kit2.NewFleet(r)
	f.Configure(strings.ReplaceAll(kit2.Configuration, `"timeout_ms":2000`, `"timeout_ms":2500`))
	for _, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-d"} {
		f.Add(zone, kit2.KeyedService)
	}
	f.Start()
	f.Traffic(30)
	time.Sleep(3 * time.Second)

	// A target deregisters just after a heartbeat that was answered with one of the longer grants; they differ.
	var leaving *kit2.Host
	last := map[*kit2.Host]int{}
	for _, h := range f.Hosts {
		last[h], _ = h.Target.Granted()
	}
	f.Wait(10*time.Second, "a grant of over 3.3 s", func() bool {
		for _, h := range f.Hosts {
			beats, length := h.Target.Granted()
			if beats > last[h] && length > 3300*time.Millisecond {
				leaving = h
				return true
			}
			last[h] = beats
		}
		return false
	})
	caller := f.Hosts[0]
	if caller == leaving {
		caller = f.Hosts[1]
	}
	t := leaving.Target
	r.Say("target %s deregisters, and goes on serving for drain_ms", t.Instance)
	began := time.Now()
	if !t.Deregister() {
		kit2.Unable("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	// Orders that take nearly all of their time, for keys that the target holds until its next heartbeat.
	time.Sleep(700 * time.Millisecond)
	var orders sync.WaitGroup
	for _, key := range t.SomeKeys(12) {
		orders.Go(func() {
			a := f.SendFor(caller, "POST", "/o/long", key, "order", deadline, longWork)
			r.Say("order %s on key %d: %d %v", a.ID, key, a.Status, a.Err)
		})
	}
	time.Sleep(time.Until(acknowledged.Add(drain + little)))
	r.Say("%v after the call: %d requests run", time.Since(began).Round(time.Millisecond), t.Working())
	if trouble {
		t.CloseListener()
	}
	for t.Working() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	if !trouble {
		t.CloseListener()
	}
	r.Say("the last request is done, the target exits")
	t.End()
	leaving.Signal(syscall.SIGTERM)
	orders.Wait()
	time.Sleep(5 * time.Second)
	f.Close()
	os.Exit(r.Finish())
}
