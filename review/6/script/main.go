// Command script plays case 6 of the second review: the store comes back from a copy, and the node that led is killed.
package main

import (
	"flag"
	"os"
	"syscall"
	"time"

	"github.com/citronvane/citronvane/review/kit2"
)

func main() {
	folder := flag.String("folder", "review/6", "folder of the record")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	// A part of the disruption alone shows what it takes: drill or kill.
	drill, kill := trouble && os.Getenv("ONLY") != "kill", trouble && os.Getenv("ONLY") != "drill"

	r := kit2.NewRecord(*folder + "/record.txt")
	f := kit2.NewFleet(r)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-d"} {
		f.Add(zone, kit2.KeyedService)
	}
	f.Add("zone-a", kit2.PooledService)
	f.Start()
	f.Traffic(30)
	time.Sleep(4 * time.Second)

	copied := f.Store.Copy()
	leader := f.Host(f.Store.Leader())
	r.Say("the store is copied; the last conditional write was by %s", leader.Name)
	time.Sleep(300 * time.Millisecond)

	// Planned: a target leaves, and its keys go to the others.
	var leaving *kit2.Host
	for _, h := range f.Hosts {
		if h != leader && h.Service == kit2.KeyedService {
			leaving = h
		}
	}
	r.Say("target %s says that it leaves", leaving.Target.Instance)
	leaving.Target.Drain()
	f.Wait(4*time.Second, "the keys have moved", func() bool { return leaving.Target.Holds() == 0 && f.Ledger.Covered() == 1 })
	r.Say("its keys have moved")
	leader = f.Host(f.Store.Leader())

	if drill {
		f.Store.SetAway(true)
		time.Sleep(500 * time.Millisecond)
		f.Store.Restore(copied)
		f.Store.SetAway(false)
		r.Say("the store is back from a copy that is %v old", copied.Age().Round(10*time.Millisecond))
	}
	// The target has served for drain_ms after its confirmation and a little longer, deregisters and exits.
	f.WaitFor(3*time.Second, func() bool {
		return !leaving.Target.LeaveAcked.IsZero() && time.Since(leaving.Target.LeaveAcked) > 2300*time.Millisecond
	})
	leaving.Target.Deregister()
	leaving.Target.End()
	leaving.Signal(syscall.SIGTERM)
	time.Sleep(6 * time.Second)

	if kill {
		r.Say("node %s is killed, which led, and starts again", leader.Name)
		leader.Signal(syscall.SIGKILL)
		leader.Await(2 * time.Second)
		time.Sleep(500 * time.Millisecond)
		leader.StartNode()
	}
	for range 6 {
		time.Sleep(5 * time.Second)
		r.Say("%.0f%% of the keys are held", 100*f.Ledger.Covered())
	}
	f.Close()
	os.Exit(r.Finish())
}
