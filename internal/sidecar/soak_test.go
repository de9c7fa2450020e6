package sidecar

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/platform/standin"
)

const (
	// soakSteps is the number of faults of one soak, about 1 s apart.
	soakSteps = 20
	// recoverBound is the users' bound for serving again after the last fault.
	recoverBound = 15 * time.Second
)

// restart stops a node gracefully and starts it again, while its target runs on.
func (r *rig) restart(h *rigHost) {
	h.cancel()
	require.NoError(r.t, <-h.done)
	r.start(h, r.node(h.node.settings, h.node.bounds))
}

// TestSoak plays random faults of the store, the targets and the nodes under load. Two targets never hold a key at the same
// time, fencing tokens rise, nothing runs twice, and everything is served again within the users' bound. The seed is
// printed; SOAK_SEED plays one again.
func TestSoak(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("SOAK_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("SOAK_SEED=%d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	r := newRig(t, 3)
	born := int64(1000)
	reborn := func(h *rigHost, instance string) {
		born++
		h.target.Crash()
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		h.target = r.target(h, instance, born)
	}
	for step := range soakSteps {
		h := r.hosts[random.IntN(len(r.hosts))]
		way, length := h.door, time.Duration(500+random.IntN(2500))*time.Millisecond
		action := random.IntN(8)
		t.Logf("step %d: action %d on %s for %v", step, action, h.node.settings.Host, length)
		switch action {
		case 0:
			way.ChangeFaults(func(d *standin.Faults) { d.Down = true })
			time.AfterFunc(length, func() { way.ChangeFaults(func(d *standin.Faults) { d.Down = false }) })
		case 1:
			way.ChangeFaults(func(d *standin.Faults) { d.Delay = 300 * time.Millisecond })
			time.AfterFunc(length, func() { way.ChangeFaults(func(d *standin.Faults) { d.Delay = 0 }) })
		case 2:
			way.ChangeFaults(func(d *standin.Faults) { d.DropWriteResponses = true })
			time.AfterFunc(length, func() { way.ChangeFaults(func(d *standin.Faults) { d.DropWriteResponses = false }) })
		case 3:
			reborn(h, fmt.Sprintf("i-%d", born))
		case 4:
			reborn(h, h.target.Instance) // The same identity, a new life.
		case 5:
			h.target.Drain()
			r.serveThrough(800*time.Millisecond, r.hosts[0])
			reborn(h, fmt.Sprintf("i-%d", born))
		case 6:
			r.store.SuppressWatchEvents(true)
			time.AfterFunc(length, func() { r.store.SuppressWatchEvents(false) })
		case 7:
			r.restart(h)
		}
		r.serveThrough(time.Second, r.hosts[random.IntN(len(r.hosts))])
	}
	time.Sleep(3 * time.Second) // The longest fault.
	r.noFault()
	require.Eventually(t, func() bool { return r.served("p") }, recoverBound, 100*time.Millisecond)
	r.noFault()
}
