package coordinator

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/peer"
	"github.com/citronvane/citronvane/internal/replica"
	"github.com/citronvane/citronvane/internal/store"
)

// fleet is a fleet with a settled assignment, and the plan for the loss of one of its hosts.
type fleet struct {
	before  *cluster.View
	objects []store.Change
	after   *cluster.View
	changes []store.Change
}

// newFleet builds a fleet. Names, addresses and grantors have the same lengths as in production, because the
// benchmarks measure the size of objects.
func newFleet(nodes, sliceCount int) *fleet {
	s := newSimulation()
	s.configure(func(d *config.Document) {
		d.Services["booking"] = config.Service{Kind: config.Keyed, Slices: sliceCount}
	})
	for i := range nodes {
		s.node(nodeName(i), func(n *cluster.Node) {
			n.ID.Incarnation = 1764800000000000000 + uint64(i)*987_654_321_987
			n.Location = cluster.Location{Region: "dar-es-salaam", AvailabilityZone: "kariakoo", Rack: "rack-17"}
			address := fmt.Sprintf("10.20.%d.%d:7401", i/250, i%250)
			n.Addresses = cluster.Addresses{Callers: address, Relay: address, Heartbeat: address, Control: address, Operators: address}
			n.Grantors = []cluster.NodeID{n.ID, n.ID, n.ID}
		})
	}
	s.plan(nodeName(0))
	f := &fleet{before: s.view, objects: s.changes}
	s.node(nodeName(nodes-1), func(n *cluster.Node) { n.State = cluster.Revoked })
	f.after = s.view
	s.plan(nodeName(0))
	f.changes = s.changes[len(f.objects):]
	return f
}

func nodeName(i int) string { return fmt.Sprintf("kariakoo-booking-%03d", i) }

func benchmarkSizes(b *testing.B, run func(b *testing.B, f *fleet)) {
	for _, nodes := range []int{4, 14, 150, 600} {
		for _, count := range []int{256, 4096, 16384} {
			b.Run(fmt.Sprintf("nodes=%d/slices=%d", nodes, count), func(b *testing.B) { run(b, newFleet(nodes, count)) })
		}
	}
}

// BenchmarkPlan plans for a settled fleet, and for one that has lost a host.
func BenchmarkPlan(b *testing.B) {
	for _, scenario := range []string{"settled", "loss"} {
		b.Run(scenario, func(b *testing.B) { benchmarkSizes(b, func(b *testing.B, f *fleet) { benchmarkPlan(b, f, scenario) }) })
	}
}

func benchmarkPlan(b *testing.B, f *fleet, scenario string) {
	view := map[string]*cluster.View{"settled": f.before, "loss": f.after}[scenario]
	writes := 0
	for b.Loop() {
		writes = len(New().Plan(view, view.Nodes[nodeName(0)].ID, 0))
	}
	b.ReportMetric(float64(writes), "writes")
}

func discardLogger() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

// BenchmarkApplyLoss applies the changes after the loss of one host. It reports the size of all objects and
// the heap memory that a replica uses for them.
func BenchmarkApplyLoss(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet) {
		size := 0
		for _, o := range f.objects {
			size += len(o.Value)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := replica.New(discardLogger())
		for _, o := range f.objects {
			o.Value = append([]byte(nil), o.Value...)
			r.Apply(replica.Batch{Changes: []store.Change{o}, Revision: o.Version})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			_, err := f.before.Apply(f.changes, f.after.Revision)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(size), "object-bytes")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(r)
	})
}

type countingListener struct {
	net.Listener
	sent atomic.Int64
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.sent}, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// BenchmarkFollowLoss replicates the changes after the loss of one host over TCP and reports the bytes that
// the source writes.
func BenchmarkFollowLoss(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet) {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		l := &countingListener{Listener: tcp}
		source, follower := replica.New(discardLogger()), replica.New(discardLogger())
		source.Apply(replica.Batch{Changes: f.objects, Revision: f.before.Revision})
		server, client := peer.NewServer("s", nil, source, discardLogger()), peer.NewClient("s")
		go func() { _ = server.Serve(l) }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer server.Stop(ctx)
		defer client.Close()
		defer cancel()
		go func() { _ = client.Follow(ctx, tcp.Addr().String(), "f", 0, follower.Apply) }()
		wait := func(revision uint64) {
			for changed := follower.Changed(); follower.Revision() < revision; changed = follower.Changed() {
				<-changed
			}
		}
		wait(f.before.Revision)
		before, version := l.sent.Load(), f.after.Revision+uint64(len(f.changes))
		for b.Loop() {
			changes := append([]store.Change(nil), f.changes...)
			for i := range changes {
				version++
				changes[i].Version = version
			}
			source.Apply(replica.Batch{Changes: changes, Revision: version})
			wait(version)
		}
		b.ReportMetric(float64(l.sent.Load()-before)/float64(b.N), "stream-bytes")
	})
}
