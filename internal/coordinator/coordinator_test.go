package coordinator

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
)

var update = flag.Bool("update", false, "rewrite the results in testdata")

// Each script in testdata states the failure that it guards against. Lines that start with > are results.
func TestSimulationScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Contains(t, string(data), "# Guards against")
			s := newSimulation()
			for _, line := range strings.Split(strings.TrimRight(string(data), "\n"), "\n") {
				if strings.HasPrefix(line, ">") {
					continue
				}
				fmt.Fprintln(&s.out, line)
				if line != "" && !strings.HasPrefix(line, "#") {
					s.step(line)
				}
			}
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(s.out.String()), 0o644))
				return
			}
			require.Equal(t, string(data), s.out.String())
		})
	}
}

// checkTransition fails if a coordinator may not make the change from one view to the next.
func checkTransition(t *rapid.T, before, after *cluster.View) {
	for id, g := range before.Groups {
		for i, b := range g.Slices {
			a := after.Groups[id].Slices[i]
			if a.Epoch < b.Epoch {
				t.Fatalf("epoch of %v/%d decreases from %d to %d", id, i, b.Epoch, a.Epoch)
			}
			if a.Owner == b.Owner && a.Epoch != b.Epoch {
				t.Fatalf("%v/%d has a new epoch but the same owner: %+v after %+v", id, i, a, b)
			}
			if a.Owner == b.Owner || b.Owner.IsZero() {
				continue
			}
			n := after.Nodes[b.Owner.Name]
			if n.ID.Incarnation <= b.Owner.Incarnation && !n.Gone() {
				t.Fatalf("%v/%d is taken from %v, which is in state %s", id, i, b.Owner, n.State)
			}
			if a.Epoch == b.Epoch || a.RecordEpoch != a.Epoch {
				t.Fatalf("%v/%d is taken over without a new epoch: %+v after %+v", id, i, a, b)
			}
		}
	}
}

// Guards against two owners of a key: under random node events, and with several coordinators some of which
// act on stale views, epochs never decrease and no slice is taken from an incarnation that may still serve.
// Also guards against plans that do not converge, or that leave slices with nodes that can't serve.
func TestPlansAreSafeAndConverge(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.configure(func(d *config.Document) {
			d.Services["booking"] = config.Service{Kind: config.Keyed, Slices: rapid.IntRange(1, 300).Draw(t, "slices")}
		})
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			name := rapid.SampledFrom(names).Draw(t, "node")
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 0, 1:
				s.node(name, func(n *cluster.Node) {
					n.Location.AvailabilityZone = name[:1]
					if n.Gone() {
						n.ID.Incarnation++
						n.State = cluster.Live
					}
				})
			case 2:
				state := rapid.SampledFrom([]cluster.NodeState{cluster.Left, cluster.Revoked, cluster.Draining}).Draw(t, "state")
				s.node(name, func(n *cluster.Node) {
					if !n.Gone() {
						n.State = state
					}
				})
			case 3:
				s.node(name, func(n *cluster.Node) { n.Target.Down = !n.Target.Down })
			case 4:
				s.configure(func(d *config.Document) {
					out := d.AvailabilityZones[name[:1]].State != config.ZoneOut
					d.AvailabilityZones[name[:1]] = config.AvailabilityZone{State: map[bool]config.ZoneState{true: config.ZoneOut, false: config.ZoneIn}[out]}
				})
			case 5:
				s.staleViews[name] = s.view
			case 6:
				delete(s.staleViews, name)
			case 7:
				s.handOver()
			case 8:
				s.refreshGroups(name)
			default:
				s.now = s.now.Add(rankDelay * 2)
				before := s.view
				s.plan(name)
				checkTransition(t, before, s.view)
			}
		}
		s.staleViews = map[string]*cluster.View{}
		if !s.settle() {
			t.Fatalf("the plans do not converge")
		}
		checkSettled(t, s.view)
	})
}

// checkSettled fails if a converged view has a slice whose owner can't serve although another node could,
// or an imbalance above the bound.
func checkSettled(t *rapid.T, view *cluster.View) {
	d := newDraft(view, "booking", nil)
	if len(d.destinations) == 0 {
		return
	}
	if len(view.Groups) == 0 {
		t.Fatalf("the slices were not created")
	}
	d.eachSlice(func(e sliceRef) {
		if s := e.get(); d.condition(s.Owner) != ownerHealthy || !s.Next.IsZero() {
			t.Fatalf("%v has not settled: %+v", e.id, s)
		}
	})
	if d.exceedsImbalanceBound() {
		t.Fatalf("the imbalance of the settled view is %v", Imbalance(view, "booking"))
	}
}
