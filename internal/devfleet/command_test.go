package devfleet_test

import (
	"errors"
	"net/http"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/devfleet"
)

const (
	// crashExit is the exit status of a target that crashed on demand.
	crashExit = 4
	// inForce is the longest time until an accepted configuration is in force on all nodes.
	inForce = 19 * time.Second
)

// sendCrash sends the request that crashes its target, with an identity of its own.
func (r *rig) sendCrash(entrance string) answer.Kind {
	r.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+entrance+"/booking/k1/crash", nil)
	require.NoError(r.t, err)
	request.Header.Set("X-Crash", "1")
	request.Header.Set("Idempotency-Key", uuid.NewString())
	response, err := r.client.Do(request)
	require.NoError(r.t, err)
	require.NoError(r.t, response.Body.Close())
	return answer.Kind(response.Header.Get(answer.KindHeader))
}

// crashed returns the hosts whose targets have ended.
func (r *rig) crashed() []*devfleet.Host {
	var ended []*devfleet.Host
	for _, h := range r.Hosts {
		if !h.Target.Running() {
			ended = append(ended, h)
		}
	}
	return ended
}

// Guards against a request that crashes one target after the other because its caller resends it, and
// against other requests for its key being refused with it.
func TestRequestThatCrashesTargets(t *testing.T) {
	const crashes = 2
	r := newRig(t)
	entrance := r.Hosts[4].Ports.Callers
	for range crashes {
		require.Equal(t, answer.OutcomeUnknown, r.sendCrash(entrance))
		r.eventually(settleTimeout, "a target has crashed", func() bool { return len(r.crashed()) == 1 })
		host := r.crashed()[0]
		var exit *exec.ExitError
		require.True(t, errors.As(host.Target.Stop(time.Second), &exit))
		require.Equal(t, crashExit, exit.ExitCode())
		require.NoError(t, host.Target.Start())
		back := r.eventually(settleTimeout, "the key is served", func() bool { return r.get(entrance, "/booking/k1") == "ok" })
		t.Logf("target of %s crashed; the key is served %v after its restart", host.Spec.Name, back)
		r.waitBalanced()
	}
	for _, address := range r.callers() {
		require.Equal(t, answer.Quarantined, r.sendCrash(address))
		require.Equal(t, "ok", r.get(address, "/booking/k1"), "other requests for the key go on")
		token, ok := r.serve(http.MethodGet, address, "k1", "")
		require.True(t, ok)
		_, ok = r.serve(http.MethodPost, address, "k1", token)
		require.True(t, ok)
	}
	require.Empty(t, r.crashed(), "no further target crashes")
}

// numbers follows the configuration number that each node has in force.
type numbers struct {
	mu      sync.Mutex
	highest map[string]uint64
	lower   map[string]uint64 // numbers that came after a higher one
	at      map[string]time.Time
}

// follow reads the number of the host until stop is closed. A node that knows no configuration yet
// has the number 0, which counts as no answer.
func (n *numbers) follow(r *rig, h *devfleet.Host, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		var c config.Versioned
		if r.call(http.MethodGet, h.Ports.Operators, "/v1/configuration", nil, &c) != nil || c.Number == 0 {
			continue
		}
		n.mu.Lock()
		if c.Number < n.highest[h.Spec.Name] {
			n.lower[h.Spec.Name] = c.Number
		}
		if c.Number > n.highest[h.Spec.Name] {
			n.highest[h.Spec.Name], n.at[h.Spec.Name] = c.Number, time.Now()
		}
		n.mu.Unlock()
	}
}

// reached returns how long after since the last of the hosts had the number; false if one has not.
func (n *numbers) reached(number uint64, since time.Time, hosts []*devfleet.Host) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := time.Duration(0)
	for _, h := range hosts {
		if n.highest[h.Spec.Name] < number {
			return 0, false
		}
		last = max(last, n.at[h.Spec.Name].Sub(since))
	}
	return last, true
}

// Guards against an accepted configuration that does not reach a node, also one that was frozen, and
// against a node that goes back to an older one, also one that restarts without the platform.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	r := newRig(t)
	frozen := r.Hosts[5]
	seen := &numbers{highest: map[string]uint64{}, lower: map[string]uint64{}, at: map[string]time.Time{}}
	stop := make(chan struct{})
	var followers sync.WaitGroup
	for _, h := range r.Hosts {
		followers.Go(func() { seen.follow(r, h, stop) })
	}
	defer followers.Wait()
	defer close(stop)

	require.NoError(t, frozen.Node.Freeze())
	number, err := r.patch(r.Hosts[1], 1, `{"services": {"booking": {"max_request": "3s"}}}`)
	require.NoError(t, err)
	accepted := time.Now()
	_, err = r.patch(r.Hosts[2], 1, `{"services": {"booking": {"max_request": "4s"}}}`)
	require.ErrorContains(t, err, "patch is against configuration 1, but 2 is current")
	var took time.Duration
	r.eventually(inForce, "all other nodes have the configuration", func() (all bool) {
		took, all = seen.reached(number, accepted, r.others(frozen))
		return all
	})
	t.Logf("in force on the other nodes after %v", took)
	time.Sleep(time.Until(accepted.Add(2 * time.Second)))
	require.NoError(t, frozen.Node.Thaw())
	thawed := time.Now()
	r.eventually(inForce-thawed.Sub(accepted), "the frozen node has the configuration", func() (all bool) {
		took, all = seen.reached(number, thawed, []*devfleet.Host{frozen})
		return all
	})
	t.Logf("in force on the node that was frozen %v after its return", took)
	r.waitBalanced()

	r.faults(map[string]any{"down": true})
	require.NoError(t, frozen.Node.Kill())
	started := time.Now()
	require.NoError(t, frozen.Node.Start())
	back := r.eventually(inForce, "the restarted node learns the configuration from its peers", func() bool {
		var c config.Versioned
		err := r.call(http.MethodGet, frozen.Ports.Operators, "/v1/configuration", nil, &c)
		return err == nil && c.Number == number
	})
	t.Logf("restarted without the platform: in force after %v", back)
	require.Equal(t, "ok", r.get(frozen.Ports.Callers, "/booking/k1"), "it routes requests")
	time.Sleep(time.Until(started.Add(2 * time.Second)))
	seen.mu.Lock()
	defer seen.mu.Unlock()
	require.Empty(t, seen.lower, "no node goes back to an older configuration")
}
