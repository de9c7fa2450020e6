package measure

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronvane/citronvane/internal/devfleet"
	"github.com/citronvane/citronvane/internal/load"
)

const (
	pairs   = 3
	runTime = 8 * time.Second
)

// BenchmarkStragglers compares tail latency while one of ten targets is slower by a factor of 20.
func BenchmarkStragglers(b *testing.B) {
	const rate = 1000
	var specs []devfleet.NodeSpec
	for i := range 10 {
		args := []string{"--service-time", "5ms"}
		if i == 9 {
			args = append(args, "--straggle", "20", "--straggle-for", "10m")
		}
		specs = append(specs, host(i, "catalogue", args...))
	}
	fleet := start(b, 5*time.Second, specs...)
	sides := []side{{"citronvane", entrances(fleet)}, {"random", targets(fleet, "catalogue")}}
	run(b, options(sides[0].addresses, "pooled-get=1", rate, 3*time.Second))
	for pair := range pairs {
		for _, s := range sides {
			b.Run(fmt.Sprintf("pair=%d/via=%s", pair+1, s.name), func(b *testing.B) {
				for b.Loop() {
					reportLatency(b, run(b, options(s.addresses, "pooled-get=1", rate, runTime)))
				}
			})
		}
	}
}

// BenchmarkGoodput compares the answers in time at several multiples of what the targets can do. The
// targets never shed; cancellation=false stands for targets that finish work whose caller has gone.
func BenchmarkGoodput(b *testing.B) {
	const (
		hosts        = 3
		slots        = 4
		serviceTime  = 10 * time.Millisecond
		deadline     = 200 * time.Millisecond
		overloadTime = 5 * time.Second
	)
	full := float64(hosts*slots) / serviceTime.Seconds()
	for _, cancellation := range []string{"cancellation", "no-cancellation"} {
		b.Run(cancellation, func(b *testing.B) {
			var specs []devfleet.NodeSpec
			for i := range hosts {
				specs = append(specs, host(i, "catalogue", "--service-time", serviceTime.String(),
					"--slots", fmt.Sprint(slots), "--connections", "2000", "--"+cancellation))
			}
			fleet := start(b, deadline, specs...)
			sides := []side{{"citronvane", entrances(fleet)}, {"random", targets(fleet, "catalogue")}}
			run(b, options(sides[0].addresses, "pooled-get=1", full/4, 3*time.Second))
			for _, factor := range []float64{0.5, 1, 2, 4} {
				for _, s := range sides {
					b.Run(fmt.Sprintf("load=%gx/via=%s", factor, s.name), func(b *testing.B) {
						for b.Loop() {
							o := options(s.addresses, "pooled-get=1", factor*full, overloadTime)
							o.Timeout = deadline
							reportGoodput(b, run(b, o), full, deadline)
						}
					})
					awaitIdle(b, fleet)
				}
			}
		})
	}
}

func reportGoodput(b *testing.B, r *load.Report, full float64, deadline time.Duration) {
	goodput := float64(r.Answers[load.OK]) / (r.ElapsedSeconds)
	b.ReportMetric(goodput, "goodput/s")
	b.ReportMetric(100*goodput/full, "%capacity")
	b.ReportMetric(r.Succeeded["all"].P99, "p99-ms")
	b.ReportMetric(float64(deadline.Milliseconds()), "deadline-ms")
	for outcome, n := range r.Answers {
		b.ReportMetric(float64(n), string(outcome))
	}
}

// BenchmarkRelay measures what a node and a relay hop add. The first node owns all keys of booking; the
// second has a target of another service only.
func BenchmarkRelay(b *testing.B) {
	const rate = 2000
	fleet := start(b, 5*time.Second, host(0, "booking", "--service-time", "1ms"), host(1, "catalogue"))
	sides := []side{
		{"direct", targets(fleet, "booking")},
		{"owner", []string{fleet.Hosts[0].Ports.Callers}},
		{"relay", []string{fleet.Hosts[1].Ports.Callers}},
	}
	run(b, options(sides[2].addresses, "keyed-get=1", rate/2, 3*time.Second))
	for pair := range pairs {
		for _, s := range sides {
			b.Run(fmt.Sprintf("pair=%d/via=%s", pair+1, s.name), func(b *testing.B) {
				for b.Loop() {
					before := nodeCPU(b, fleet)
					r := run(b, options(s.addresses, "keyed-get=1", rate, runTime))
					cpu := nodeCPU(b, fleet) - before
					reportLatency(b, r)
					b.ReportMetric(cpu.Seconds(), "node-cpu-s")
					b.ReportMetric(float64(r.Answers[load.OK])/cpu.Seconds(), "requests/core-s")
				}
			})
		}
	}
}

// BenchmarkImbalance measures how evenly the requests of a pooled and a keyed service spread over targets.
func BenchmarkImbalance(b *testing.B) {
	const rate = 2000
	var specs []devfleet.NodeSpec
	for i := range 8 {
		specs = append(specs, host(i, []string{"booking", "catalogue"}[i/4]))
	}
	fleet := start(b, 5*time.Second, specs...)
	run(b, options(entrances(fleet), "keyed-get=1,pooled-get=1", rate/2, 3*time.Second))
	for pair := range pairs {
		for _, zipf := range []float64{0, 1.2} {
			b.Run(fmt.Sprintf("pair=%d/zipf=%g/via=citronvane", pair+1, zipf), func(b *testing.B) {
				for b.Loop() {
					o := options(entrances(fleet), "keyed-get=1,pooled-get=1", rate, runTime)
					o.Zipf = zipf
					reportImbalance(b, run(b, o))
				}
			})
		}
		b.Run(fmt.Sprintf("pair=%d/via=random", pair+1), func(b *testing.B) {
			for b.Loop() {
				reportImbalance(b, run(b, options(targets(fleet, "catalogue"), "pooled-get=1", rate/2, runTime)))
			}
		})
	}
}

func reportImbalance(b *testing.B, r *load.Report) {
	reportLatency(b, r)
	for group, spread := range r.Targets {
		b.ReportMetric(spread.Imbalance, group+"-imbalance")
		b.ReportMetric(float64(len(spread.Counts)), group+"-targets")
	}
}
