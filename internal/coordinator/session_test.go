package coordinator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/control/plan"
	"github.com/citronvane/citronvane/internal/store"
)

// simulation runs coordinators against a store with conditional writes, in virtual time.
type simulation struct {
	out           strings.Builder
	now           clock.Instant
	revision      uint64
	versions      map[string]uint64
	view          *cluster.View            // the newest objects
	staleViews    map[string]*cluster.View // views of nodes that see no changes at present
	coordinators  map[string]*Coordinator
	refusedWrites int
	changes       []store.Change // all changes
}

func newSimulation() *simulation {
	return &simulation{
		view: cluster.EmptyView(), versions: map[string]uint64{},
		staleViews: map[string]*cluster.View{}, coordinators: map[string]*Coordinator{},
	}
}

// put stores a value if the object has the expected version.
func (s *simulation) put(w plan.Write) bool {
	key := w.Kind + " " + w.Name
	if s.versions[key] != w.Expect {
		s.refusedWrites++
		return false
	}
	s.revision++
	s.versions[key] = s.revision
	change := store.Change{Object: store.Object{Kind: w.Kind, Name: w.Name, Version: s.revision, Value: w.Value}}
	s.changes = append(s.changes, change)
	view, err := s.view.Apply([]store.Change{change}, s.revision)
	if err != nil {
		panic(err)
	}
	s.view = view
	return true
}

func (s *simulation) putJSON(kind, name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(plan.Write{Kind: kind, Name: name, Value: data, Expect: s.versions[kind+" "+name]})
}

// configure changes the configuration.
func (s *simulation) configure(change func(*config.Document)) {
	v := *s.view.Configuration
	document := config.Document{Services: map[string]config.Service{}, AvailabilityZones: map[string]config.AvailabilityZone{}}
	maps.Copy(document.Services, v.Document.Services)
	maps.Copy(document.AvailabilityZones, v.Document.AvailabilityZones)
	change(&document)
	v.Number, v.Document = v.Number+1, document
	s.putJSON(cluster.KindConfiguration, cluster.ConfigurationName, v)
}

// node changes or adds a node record.
func (s *simulation) node(name string, change func(*cluster.Node)) {
	n := &cluster.Node{ID: cluster.NodeID{Name: name, Incarnation: 1}, State: cluster.Live}
	n.Target = cluster.TargetInfo{Service: "booking", Fenced: true, Slots: 20}
	if held := s.view.Nodes[name]; held != nil {
		n = held.Clone()
	}
	change(n)
	s.putJSON(cluster.KindNode, name, n)
}

// refreshGroups gives a node with a stale view the newest groups, as a notification does, but no newer node
// records.
func (s *simulation) refreshGroups(name string) {
	if held := s.staleViews[name]; held != nil {
		view := *held
		view.Groups = s.view.Groups
		s.staleViews[name] = &view
	}
}

// plan makes a node plan once and attempts its writes. It reports whether any were planned.
func (s *simulation) plan(name string) bool {
	c := s.coordinators[name]
	if c == nil {
		c = New()
		s.coordinators[name] = c
	}
	view := s.view
	if s.staleViews[name] != nil {
		view = s.staleViews[name]
	}
	n := view.Nodes[name]
	if n == nil {
		return false
	}
	writes := c.Plan(view, n.ID, s.now)
	for _, w := range writes {
		id, _ := cluster.ParseGroupID(w.Name)
		before := view.Groups[id]
		result := "refused"
		if s.put(w) {
			result = "applied"
		}
		after := &cluster.Group{}
		_ = json.Unmarshal(w.Value, after)
		fmt.Fprintf(&s.out, "> %v %s writes %s at version %d: %s\n", time.Duration(s.now), name, w.Name, w.Expect, result)
		s.describe(before, after)
	}
	return len(writes) > 0
}

// describe prints the slices that a write changes, one line for each kind of change.
func (s *simulation) describe(before, after *cluster.Group) {
	if before == nil {
		before = &cluster.Group{Slices: make([]cluster.Slice, len(after.Slices))}
	}
	var lines []string
	indexes := map[string][]string{}
	for i, a := range after.Slices {
		b := before.Slices[i]
		if a == b {
			continue
		}
		line := fmt.Sprintf("next owner %v", a.Next)
		if a.Next.IsZero() {
			line = "no next owner"
		}
		if a.Owner != b.Owner {
			line = fmt.Sprintf("owner %v, epoch %d, records since %d, wait %d ms", a.Owner, a.Epoch, a.RecordEpoch, a.WaitMS)
		}
		if indexes[line] == nil {
			lines = append(lines, line)
		}
		indexes[line] = append(indexes[line], strconv.Itoa(i))
	}
	for _, line := range lines {
		fmt.Fprintf(&s.out, ">   slices %s: %s\n", strings.Join(indexes[line], " "), line)
	}
}

// handOver completes the handovers of all owners that are not gone, and returns their number.
func (s *simulation) handOver() int {
	moved := 0
	for id, held := range s.view.Groups {
		g := held.Clone()
		changed := false
		for i, slice := range g.Slices {
			owner := s.view.Node(slice.Owner)
			if slice.Next.IsZero() || owner == nil || owner.Gone() {
				continue
			}
			g.Slices[i] = cluster.Slice{Epoch: slice.Epoch + 1, Owner: slice.Next, RecordEpoch: slice.RecordEpoch}
			changed = true
			moved++
		}
		if changed {
			s.putJSON(cluster.KindSlices, id.ObjectName(), g)
		}
	}
	return moved
}

// settle plans and hands over until nothing changes. It returns false if this takes too many rounds.
func (s *simulation) settle() bool {
	idle := 0
	for range 3000 {
		busy := s.handOver() > 0
		for _, name := range s.view.LiveNames() {
			busy = s.plan(name) || busy
		}
		s.now = s.now.Add(50 * time.Millisecond)
		idle++
		if busy {
			idle = 0
		}
		// This is longer than any delay of the coordinator.
		if idle > int((balanceDelay+time.Second)/(50*time.Millisecond)) {
			return true
		}
	}
	return false
}

// owners returns the number of slices of each owner as text.
func (s *simulation) owners() string {
	counts := map[string]int{}
	for _, g := range s.view.Groups {
		for _, slice := range g.Slices {
			counts[slice.Owner.String()]++
		}
	}
	var parts []string
	for owner, n := range counts {
		parts = append(parts, fmt.Sprintf("%s:%d", owner, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// step executes one line of a script.
func (s *simulation) step(line string) {
	words := strings.Fields(line)
	arg := func(key string) (string, bool) {
		for _, w := range words {
			if k, v, _ := strings.Cut(w, "="); k == key {
				return v, true
			}
		}
		return "", false
	}
	duration := func(text string) time.Duration { d, _ := time.ParseDuration(text); return d }
	switch words[0] {
	case "service":
		count, _ := arg("slices")
		cold, _ := arg("cold")
		bound, _ := arg("max_request")
		spec := config.Service{Kind: config.Keyed, MaxRequest: config.Duration(duration(bound))}
		spec.Slices, _ = strconv.Atoi(count)
		spec.ColdStart.Concurrency, _ = strconv.Atoi(cold)
		s.configure(func(d *config.Document) { d.Services[words[1]] = spec })
	case "remove":
		s.configure(func(d *config.Document) { delete(d.Services, words[1]) })
	case "zone":
		s.configure(func(d *config.Document) {
			d.AvailabilityZones[words[1]] = config.AvailabilityZone{State: config.ZoneState(words[2])}
		})
	case "node":
		s.node(words[1], func(n *cluster.Node) { applyNodeArgs(n, arg) })
	case "nodes":
		var first, last int
		_, _ = fmt.Sscanf(words[1], "%d-%d", &first, &last)
		for i := first; i <= last; i++ {
			s.node(fmt.Sprintf("n%02d", i), func(n *cluster.Node) { applyNodeArgs(n, arg) })
		}
	case "wait":
		s.now = s.now.Add(duration(words[1]))
	case "freeze":
		s.staleViews[words[1]] = s.view
	case "ahead":
		s.refreshGroups(words[1])
	case "thaw":
		delete(s.staleViews, words[1])
	case "plan":
		for _, name := range words[1:] {
			if !s.plan(name) {
				fmt.Fprintf(&s.out, "> %v %s writes nothing\n", time.Duration(s.now), name)
			}
		}
	case "handover":
		fmt.Fprintf(&s.out, "> %d slices handed over\n", s.handOver())
	case "settle":
		output := s.out.String()
		before, refused := s.view, s.refusedWrites
		ok := s.settle()
		s.out.Reset()
		fmt.Fprintf(&s.out, "%s> settled %v after %v: %d slices moved, %d writes refused; %s\n", output, ok,
			time.Duration(s.now), MovedSlices(before, s.view), s.refusedWrites-refused, s.owners())
	case "capacity":
		for _, c := range ZoneCapacity(s.view, words[1]) {
			fmt.Fprintf(&s.out, "> %+v\n", c)
		}
	default:
		fmt.Fprintf(&s.out, "> unknown step\n")
	}
}

// applyNodeArgs changes a node record as the arguments of a script line say.
func applyNodeArgs(n *cluster.Node, arg func(string) (string, bool)) {
	if v, ok := arg("incarnation"); ok {
		n.ID.Incarnation, _ = strconv.ParseUint(v, 10, 64)
	}
	if v, ok := arg("state"); ok {
		n.State = cluster.NodeState(v)
	}
	if v, ok := arg("zone"); ok {
		n.Location.AvailabilityZone = v
	}
	if v, ok := arg("service"); ok {
		n.Target.Service = v
	}
	if v, ok := arg("fenced"); ok {
		n.Target.Fenced = v == "yes"
	}
	if v, ok := arg("target"); ok {
		n.Target.Down = v == "down"
	}
}
