// Command script plays case 7 of the second review: four machines are lost for good, other machines get their addresses half a
// minute later, and the nodes of these freeze, one after the other.
package main

import (
	"flag"
	"os"
	"syscall"
	"time"

	"github.com/citronvane/citronvane/review/kit2"
)

func main() {
	folder := flag.String("folder", "review/7", "folder of the record")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	// A part of the disruption alone shows what it takes: loss or freeze.
	loss, freeze := trouble && os.Getenv("ONLY") != "freeze", trouble && os.Getenv("ONLY") != "loss"

	r := kit2.NewRecord(*folder + "/record.txt")
	f := kit2.NewFleet(r)
	f.Configure(kit2.TwoKeyed)
	for i, service := range []string{kit2.KeyedService, kit2.SecondKeyed} {
		for _, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e"}[:5-i] {
			f.Add(zone, service)
		}
	}
	f.Start()
	f.Traffic(30)
	time.Sleep(3 * time.Second)

	// Four machines of the first service go, one of the second service leaves later.
	leader := f.Host(f.Store.Leader())
	others := func(service string) (hosts []*kit2.Host) {
		for _, h := range f.Hosts {
			if h.Service == service && h != leader {
				hosts = append(hosts, h)
			}
		}
		return hosts
	}
	lost, leaving := others(kit2.KeyedService)[:4], others(kit2.SecondKeyed)[0]
	if loss {
		for _, h := range lost {
			r.Say("machine %s is lost", h.Name)
			h.Signal(syscall.SIGKILL)
			h.Target.End()
		}
	} else {
		leave(f, lost...)
	}
	time.Sleep(34 * time.Second)

	for _, h := range lost {
		r.Say("the address of %s goes to a new machine of service %s", h.Name, kit2.SecondKeyed)
		h.Reuse(kit2.SecondKeyed)
		h.StartNode()
	}
	time.Sleep(kit2.TargetStart)
	for _, h := range lost {
		h.StartTarget()
	}
	f.Wait(10*time.Second, "the new nodes are ready", func() bool {
		for _, h := range lost {
			if !h.Ready() {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	leave(f, leaving)
	time.Sleep(time.Second)

	for _, h := range lost {
		r.Say("target %s holds %d rows; the node that led is %s", h.Target.Instance, h.Target.Holds(), leader.Name)
		if freeze {
			// The target has just got one of the longer grants; they differ from heartbeat to heartbeat.
			last, _ := h.Target.Granted()
			f.WaitFor(4*time.Second, func() bool {
				beats, length := h.Target.Granted()
				return beats > last && length > 3*time.Second
			})
			r.Say("node %s freezes for 4 s", h.Name)
			h.Signal(syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			h.Signal(syscall.SIGCONT)
		}
		time.Sleep(4 * time.Second)
	}
	f.Close()
	os.Exit(r.Finish())
}

// leave makes the targets and then the nodes of hosts go as planned.
func leave(f *kit2.Fleet, hosts ...*kit2.Host) {
	for _, h := range hosts {
		f.Record.Say("target %s leaves", h.Target.Instance)
		h.Target.Drain()
	}
	f.Wait(6*time.Second, "the keys have moved", func() bool {
		for _, h := range hosts {
			if h.Target.Holds() > 0 {
				return false
			}
		}
		return f.Ledger.Covered() == 1
	})
	time.Sleep(2300 * time.Millisecond)
	for _, h := range hosts {
		h.Target.Deregister()
		h.Target.End()
		h.Signal(syscall.SIGTERM)
	}
	for _, h := range hosts {
		h.Await(8 * time.Second)
	}
}
