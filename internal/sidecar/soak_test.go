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
	// soakFaults is the number of injected faults, about 1 s apart.
	soakFaults = 20
	// recoveryTimeout is the required recovery time after the last fault.
	recoveryTimeout = 15 * time.Second
)

// restart stops a node gracefully and starts it again, while its target keeps running.
func (r *testFleet) restart(h *testHost) {
	h.cancel()
	require.NoError(r.t, <-h.done)
	r.runNode(h, r.newNode(h.node.settings, h.node.bounds))
}

// TestSoak injects random faults into the store, the targets and the nodes under load. It checks that two targets never hold a
// key at the same time, fencing tokens increase, no request runs twice, and all keys are served again within recoveryTimeout. The
// seed is logged; set SOAK_SEED to replay it.
func TestSoak(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("SOAK_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("SOAK_SEED=%d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	r := newTestFleet(t, 3)
	born := int64(1000)
	restartTarget := func(h *testHost, instance string) {
		born++
		h.target.Crash()
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		h.target = r.startTarget(h, instance, born)
	}
	for step := range soakFaults {
		h := r.hosts[random.IntN(len(r.hosts))]
		proxy, duration := h.storeProxy, time.Duration(500+random.IntN(2500))*time.Millisecond
		action := random.IntN(8)
		t.Logf("step %d: action %d on %s for %v", step, action, h.node.settings.Host, duration)
		switch action {
		case 0:
			proxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
			time.AfterFunc(duration, func() { proxy.ChangeFaults(func(d *standin.Faults) { d.Down = false }) })
		case 1:
			proxy.ChangeFaults(func(d *standin.Faults) { d.Delay = 300 * time.Millisecond })
			time.AfterFunc(duration, func() { proxy.ChangeFaults(func(d *standin.Faults) { d.Delay = 0 }) })
		case 2:
			proxy.ChangeFaults(func(d *standin.Faults) { d.DropWriteResponses = true })
			time.AfterFunc(duration, func() { proxy.ChangeFaults(func(d *standin.Faults) { d.DropWriteResponses = false }) })
		case 3:
			restartTarget(h, fmt.Sprintf("i-%d", born))
		case 4:
			restartTarget(h, h.target.Instance) // The same instance identity in a new process.
		case 5:
			h.target.Drain()
			r.runLoad(800*time.Millisecond, r.hosts[0])
			restartTarget(h, fmt.Sprintf("i-%d", born))
		case 6:
			r.store.SuppressWatchEvents(true)
			time.AfterFunc(duration, func() { r.store.SuppressWatchEvents(false) })
		case 7:
			r.restart(h)
		}
		r.runLoad(time.Second, r.hosts[random.IntN(len(r.hosts))])
	}
	time.Sleep(3 * time.Second) // Waits for the longest fault to end.
	r.requireNoFaults()
	require.Eventually(t, func() bool { return r.servesAll("p") }, recoveryTimeout, 100*time.Millisecond)
	r.requireNoFaults()
}
