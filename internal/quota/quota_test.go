package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/clock"
)

var tolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const step = 5 * time.Millisecond

// world plays the nodes and allotters of one tenant in virtual time.
type world struct {
	now   clock.Instant
	cap   Cap
	nodes []*simNode
	// owners holds the node that holds each allotter's key, -1 while it moves; fences counts the owners.
	owners, fences [AllottersPerTenant]int
	// ran holds the instants at which the requests that ran were received.
	ran, received []clock.Instant
	refused       map[string]int
	// lowered is when the cap was last lowered.
	lowered clock.Instant
}

type simNode struct {
	client    *Client
	allotters *Allotters
	// frozenUntil and cutUntil are when the process goes on, and when its messages arrive again.
	frozenUntil, cutUntil clock.Instant
	calls                 []*simCall
	waiting               map[*Waiter]clock.Instant
}

// simCall is a call to an allotter: it arrives there, is answered, and the answer arrives.
type simCall struct {
	ask              Ask
	to               int
	arrives, returns clock.Instant
	answered         bool
	granted          int
	next             time.Duration
	ok               bool
}

func newWorld(nodes int, c Cap) *world {
	w := &world{now: clock.Instant(time.Hour), cap: c, refused: map[string]int{}}
	for i := range nodes {
		w.nodes = append(w.nodes, nil)
		w.restart(i)
	}
	for i := range w.owners {
		w.owners[i] = i % nodes
	}
	return w
}

func (w *world) restart(i int) {
	w.nodes[i] = &simNode{client: NewClient(w.cap, tolerance), allotters: NewAllotters(), waiting: map[*Waiter]clock.Instant{}}
	w.nodes[i].allotters.Configure(w.now, map[string]Cap{"t": w.cap})
}

func (w *world) setCap(c Cap) {
	if c.Rate < w.cap.Rate || c.Burst < w.cap.Burst {
		w.lowered = w.now
	}
	w.cap = c
	for _, n := range w.nodes {
		n.client.SetCap(c, tolerance)
		n.allotters.Configure(w.now, map[string]Cap{"t": c})
	}
}

func (w *world) reachable(from, to int) bool {
	return from == to || w.now >= w.nodes[from].cutUntil && w.now >= w.nodes[to].cutUntil
}

// tick moves the time on by a step and lets all nodes that are not frozen work.
func (w *world) tick() {
	w.now = w.now.Add(step)
	for i, n := range w.nodes {
		if w.now < n.frozenUntil {
			continue
		}
		n.allotters.Update(w.now, func(key int) (Holding, bool) {
			for index, owner := range w.owners {
				if owner == i && key == (ID{"t", index}).Key() {
					return Holding{1, uint64(w.fences[index])}, true
				}
			}
			return Holding{}, false
		})
		w.answerCalls(i)
		w.finishCalls(n)
		w.decide(n)
		w.ask(i)
	}
}

// answerCalls answers the calls of all nodes that have arrived at this one.
func (w *world) answerCalls(i int) {
	for from, other := range w.nodes {
		for _, call := range other.calls {
			if call.to != i || call.answered || w.now < call.arrives || !w.reachable(from, i) {
				continue
			}
			call.answered = true
			if w.owners[call.ask.Index] == i {
				call.granted, call.next, call.ok = w.nodes[i].allotters.Take(w.now, ID{"t", call.ask.Index}, call.ask.Needed, call.ask.Expected)
			}
		}
	}
}

func (w *world) finishCalls(n *simNode) {
	for _, call := range n.calls {
		switch {
		case call.answered && w.now >= call.returns && call.ok:
			n.client.Answer(w.now, call.ask, call.granted, call.next)
		case call.answered && w.now >= call.returns, w.now >= call.ask.Sent.Add(call.ask.Timeout):
			n.client.Fail(w.now, call.ask, !call.answered)
		default:
			return
		}
		n.calls = nil
	}
}

func (w *world) decide(n *simNode) {
	for waiter, received := range n.waiting {
		if w.now > received.Add(n.client.Patience()) {
			n.client.Cancel(w.now, waiter)
		}
		select {
		case <-waiter.Decided():
			_, refusal := waiter.Outcome()
			w.end(received, refusal)
			delete(n.waiting, waiter)
		default:
		}
	}
}

func (w *world) end(received clock.Instant, refusal *Refusal) {
	switch {
	case refusal == nil:
		w.ran = append(w.ran, received)
	case refusal.Unavailable:
		w.refused["unavailable"]++
	default:
		w.refused["cap"]++
	}
}

func (w *world) ask(i int) {
	n := w.nodes[i]
	if len(n.calls) > 0 {
		return
	}
	a, ok := n.client.NextAsk(w.now, [4]int{i % 4, (i + 1) % 4, (i + 2) % 4, (i + 3) % 4})
	if ok {
		n.calls = []*simCall{{ask: a, to: w.owners[a.Index], arrives: w.now.Add(step), returns: w.now.Add(2 * step)}}
	}
}

// arrive lets a node receive a request.
func (w *world) arrive(i int) {
	n := w.nodes[i]
	w.received = append(w.received, w.now)
	if w.now < n.frozenUntil {
		return
	}
	if _, ok := n.client.Spend(w.now, w.now); ok {
		w.ran = append(w.ran, w.now)
		return
	}
	n.waiting[n.client.Wait(w.now)] = w.now
	w.ask(i)
	w.decide(n)
}

// requireBound checks all windows that begin after the instant.
func (w *world) requireBound(t require.TestingT, since clock.Instant) {
	since = max(since, clock.Instant(time.Hour))
	counts := map[clock.Instant]int{}
	for _, at := range w.ran {
		counts[at]++
	}
	limit := (w.cap.Rate*5+w.cap.Burst)*1.1 + 20
	sum := 0
	for at := since; at <= w.now; at = at.Add(step) {
		sum += counts[at]
		if first := at.Add(-5 * time.Second); first >= since {
			sum -= counts[first]
		}
		require.LessOrEqual(t, float64(sum), limit, "window that ends at %v", time.Duration(at))
	}
}

// Guards against more requests than the cap allows, whatever happens to nodes and messages.
func TestCapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 1000).Draw(t, "rate")
		w := newWorld(rapid.IntRange(1, 12).Draw(t, "nodes"), Cap{rate, rate * rapid.Float64Range(0.01, 3).Draw(t, "burst")})
		load := rapid.Float64Range(2, 8).Draw(t, "load") * rate * step.Seconds()
		pending := 0.0
		for range 20 {
			node := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			pause := time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				w.nodes[node].frozenUntil = w.now.Add(pause)
			case 1:
				w.nodes[node].cutUntil = w.now.Add(pause)
			case 2:
				w.restart(node)
			case 3, 4, 5:
				moved := rapid.IntRange(1, AllottersPerTenant).Draw(t, "moved allotters")
				for i := range moved {
					w.owners[i] = -1
					w.fences[i]++
				}
				w.tick()
				for i := range moved {
					w.owners[i] = (node + i) % len(w.nodes)
				}
			case 6:
				w.requireBound(t, w.lowered.Add(maxTokenLife))
				w.setCap(Cap{w.cap.Rate * rapid.Float64Range(0.3, 1).Draw(t, "lower"), w.cap.Burst * rapid.Float64Range(0.3, 1).Draw(t, "lower")})
			}
			spread := rapid.IntRange(1, len(w.nodes)).Draw(t, "spread")
			quiet := rapid.IntRange(0, 3).Draw(t, "quiet") == 0
			for range rapid.IntRange(50, 300).Draw(t, "steps") {
				for pending += load; pending >= 1; pending-- {
					if !quiet {
						w.arrive(int(pending*7919) % spread)
					}
				}
				w.tick()
			}
		}
		w.requireBound(t, w.lowered.Add(maxTokenLife))
	})
}

// Guards against refusals within the cap, whether the requests come to one node or to many, and against a cap that is not used up.
func TestCapIsUsable(t *testing.T) {
	for _, c := range []struct {
		nodes        int
		rate, load   float64
		refused, ran float64 // largest share refused for the cap, smallest share of the cap that ran
	}{
		{1, 342, 0.9, 0, 0}, {20, 342, 0.9, 0.01, 0}, {66, 10, 0.9, 0.01, 0}, {66, 342, 0.95, 0.01, 0},
		{1, 342, 3, 1, 0.95}, {66, 342, 3, 1, 0.95}, {66, 10, 10, 1, 0.95},
	} {
		w := newWorld(c.nodes, Cap{c.rate, c.rate})
		for range 1000 {
			w.tick()
		}
		pending := 0.0
		const duration = 20 * time.Second
		for i := range int(duration / step) {
			for pending += c.load * c.rate * step.Seconds(); pending >= 1; pending-- {
				w.arrive((i*7919 + int(pending*31)) % c.nodes)
			}
			w.tick()
		}
		name := fmt.Sprintf("%+v: %d of %d ran, refused %v", c, len(w.ran), len(w.received), w.refused)
		t.Log(name)
		require.Zero(t, w.refused["unavailable"], name)
		require.LessOrEqual(t, float64(w.refused["cap"]), c.refused*float64(len(w.received)), name)
		require.GreaterOrEqual(t, float64(len(w.ran)), c.ran*c.rate*duration.Seconds(), name)
		w.requireBound(t, 0)
	}
}

// Guards against a cap that one lost allotter takes away as a whole.
func TestLostAllotterCostsItsShare(t *testing.T) {
	w := newWorld(8, Cap{100, 10})
	w.nodes[1].cutUntil = w.now.Add(time.Hour)
	for i := range 2000 {
		if i%2 == 0 {
			w.arrive(2 + i/2%6)
		}
		w.tick()
	}
	require.Greater(t, len(w.ran), 2000*int(step/time.Millisecond)*75/1000*9/10)
	require.Less(t, w.refused["unavailable"], len(w.received)/20)
}

// Guards against tokens that are spent late, or twice, after their request was refused.
func TestReturnedTokenExpires(t *testing.T) {
	c := NewClient(Cap{100, 100}, tolerance)
	now := clock.Instant(time.Hour)
	w := c.Wait(now)
	a, ok := c.NextAsk(now, [4]int{0, 1, 2, 3})
	require.True(t, ok)
	c.Answer(now, a, 1, 0)
	<-w.Decided()
	token, refusal := w.Outcome()
	require.Nil(t, refusal)
	_, ok = c.Spend(now, now)
	require.False(t, ok)
	c.Return(now, token)
	_, ok = c.Spend(now, now)
	require.True(t, ok)
	c.Return(now, token)
	_, ok = c.Spend(now.Add(maxTokenLife), now.Add(maxTokenLife))
	require.False(t, ok)
	c.Return(now.Add(maxTokenLife), token)
	require.Empty(t, c.grants)
}

func BenchmarkSpend(b *testing.B) {
	c := NewClient(Cap{1e9, 1e9}, tolerance)
	now := clock.Instant(time.Hour)
	c.addGrant(grant{1 << 60, now.Add(time.Hour)})
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := c.Spend(now, now); !ok {
			b.Fatal("no token")
		}
	}
}
