package rig

import (
	"errors"
	"os"
	"sync"
	"time"
)

// Place is a host of a deployment.
type Place struct{ Zone, Service string }

// SmallSite is a deployment of four zones, with one host of the booking service and one of the catalogue service in some of them.
var SmallSite = []Place{{"kariakoo", "booking"}, {"msasani", "booking"}, {"mbezi", "booking"}, {"temeke", "booking"}, {"kariakoo", "catalogue"}, {"mbezi", "catalogue"}}

// BookingWork and CatalogueWork are the mean durations of a request.
const (
	BookingWork   = 180 * time.Millisecond
	CatalogueWork = 60 * time.Millisecond
)

// Deployment is a fleet with an upstream beside each node.
type Deployment struct {
	*Fleet
	Clients *Clients
	// Upstreams holds the present life of the upstream beside each node.
	Upstreams []*Upstream
	// Proxies holds the proxy between the upstream and its node's control address.
	Proxies []*Proxy
	OnRun   func(u *Upstream, id, path string, key int, at time.Time)
	OnGrant func(u *Upstream, gained []Range)
	mu      sync.Mutex
}

// ErrNotServing means that the deployment did not come up, so that a case can't run.
var ErrNotServing = errors.New("the deployment doesn't serve all keys")

// Deploy starts a deployment and waits until it serves all keys.
func Deploy(r *Record, places []Place, work time.Duration, onRun func(*Upstream, string, string, int, time.Time), onGrant func(*Upstream, []Range)) (*Deployment, error) {
	f, err := NewFleet(r, Configuration)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Fleet: f, Clients: NewClients(r), OnRun: onRun, OnGrant: onGrant}
	for _, p := range places {
		n, err := f.AddNode(p.Zone, p.Service)
		if err != nil {
			return d, err
		}
		proxy, err := NewProxy(n, r)
		if err != nil {
			return d, err
		}
		d.Proxies = append(d.Proxies, proxy)
		if err := n.Start(); err != nil {
			return d, err
		}
		u, err := d.startUpstream(n, proxy, work)
		if err != nil {
			return d, err
		}
		d.Upstreams = append(d.Upstreams, u)
	}
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if d.serving() {
			r.Printf("the deployment serves all keys")
			time.Sleep(2 * time.Second)
			return d, nil
		}
		if time.Now().After(limit) {
			for _, n := range d.Nodes {
				for _, line := range n.Log("") {
					r.Printf("log of %s: %s", n.Name, line)
				}
			}
			return d, ErrNotServing
		}
	}
}

func (d *Deployment) startUpstream(n *Node, p *Proxy, work time.Duration) (*Upstream, error) {
	if n.Service != "booking" {
		return StartUpstream(n, false, CatalogueWork, p.Address, d.OnRun, d.OnGrant)
	}
	return StartUpstream(n, true, work, p.Address, d.OnRun, d.OnGrant)
}

// Restart starts a new life of the i-th upstream.
func (d *Deployment) Restart(i int, work time.Duration) error {
	u, err := d.startUpstream(d.Nodes[i], d.Proxies[i], work)
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.Upstreams[i] = u
	}
	return err
}

// Present returns the present lives of all upstreams.
func (d *Deployment) Present() []*Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Upstream(nil), d.Upstreams...)
}

func (d *Deployment) serving() bool {
	var booking []*Upstream
	for i, u := range d.Upstreams {
		if u.Sharded {
			booking = append(booking, u)
		}
		if !d.Nodes[i].IsReady() {
			return false
		}
	}
	return Covers(booking)
}

// Close ends everything that the deployment started.
func (d *Deployment) Close() {
	for _, u := range d.Upstreams {
		u.End("the case is over")
	}
	for _, p := range d.Proxies {
		p.Close()
	}
	d.Fleet.Close()
}

// Trouble reports whether the disruption shall be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
