package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/platform"
	"github.com/citronvane/citronvane/platform/standin"
)

// configApplyTime is the platform's bound for a configuration to be in force.
const configApplyTime = 2 * time.Second

// leader returns the host of the coordinator.
func (r *testFleet) leader() *testHost {
	r.t.Helper()
	for _, h := range r.hosts {
		if h.isLeader() {
			return h
		}
	}
	r.t.Fatal("no host is the coordinator")
	return nil
}

// requireConfig checks that all hosts but one serve a path that only the new configuration has, within the platform's bound.
func (r *testFleet) requireConfig(path string, except *testHost) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		for _, h := range r.hosts {
			if h == except {
				continue
			}
			if status, _ := h.get(path, "config", 1); status == 404 {
				return false
			}
		}
		return true
	}, configApplyTime, 10*time.Millisecond)
}

// Guards against nodes that learn of a configuration only from a coordinator that can't read it.
func TestConfigurationReachesNodesWithoutTheCoordinator(t *testing.T) {
	t.Run("the store refuses the coordinator", func(t *testing.T) {
		r := newTestFleet(t, 3)
		leader := r.leader()
		leader.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Down = true })
		r.store.Configure(standin.Configuration(2, "q"))
		r.requireConfig("/q/x", leader)
	})
	t.Run("the store does not answer the coordinator", func(t *testing.T) {
		r := newTestFleet(t, 3)
		leader := r.leader()
		leader.storeProxy.ChangeFaults(func(d *standin.Faults) { d.Delay = 10 * time.Second })
		r.store.Configure(standin.Configuration(2, "q"))
		r.requireConfig("/q/x", leader)
	})
	t.Run("the coordinator is lost", func(t *testing.T) {
		r := newTestFleet(t, 3)
		leader := r.leader()
		leader.node.settings.Store.Address = "127.0.0.1:1" // It must not come back as the coordinator.
		leader.cancel()
		r.store.Configure(standin.Configuration(2, "q"))
		r.requireConfig("/q/x", leader)
	})
}

// Guards against calls to the store that grow with nodes times changes: a start costs few calls, a calm time none, and configurations
// that follow each other fast share reads.
func TestOperatorObjectsCostFewCalls(t *testing.T) {
	r := newTestFleet(t, 3)
	leader := r.leader()
	const callsOfStart = 4 // the fleet's records, the configuration, and at most two writes of the host's record
	for _, h := range r.hosts {
		if h != leader {
			require.LessOrEqual(t, h.storeProxy.Calls(), callsOfStart, h.node.settings.Node)
		}
	}
	const changes, gap = 12, 100 * time.Millisecond
	before := map[*testHost]int{}
	for _, h := range r.hosts {
		before[h] = h.storeProxy.Calls()
	}
	for version := range changes {
		r.store.Configure(standin.Configuration(2+version, "q"))
		time.Sleep(gap)
	}
	r.requireConfig("/q/x", nil)
	time.Sleep(time.Second)
	reads := int(changes*gap/configFetchSpacing) + 2
	for _, h := range r.hosts {
		require.Equal(t, uint64(1+changes), h.node.state.config.Load().Version)
		if h != leader {
			require.LessOrEqual(t, h.storeProxy.Calls()-before[h], reads, h.node.settings.Node)
		}
	}
}

// staleStore returns the objects of its kinds of reads.
type staleStore struct {
	store.Objects
	stale, exact           store.Object
	staleReads, exactReads int
}

func (s *staleStore) GetStale(context.Context, string, string) (store.Object, error) {
	s.staleReads++
	return s.stale, nil
}

func (s *staleStore) Get(context.Context, string, string) (store.Object, error) {
	s.exactReads++
	return s.exact, nil
}

// Guards against a stale read that brings an older configuration than the announced one, and against reading a large one twice over a
// slow link.
func TestStaleReadsOfConfigurations(t *testing.T) {
	object := func(revision uint64) store.Object {
		return store.Object{Name: platform.ConfigName, Version: revision, Value: []byte(standin.Configuration(int(revision), "p"))}
	}
	for name, c := range map[string]struct {
		stale                  uint64
		bytes                  int64
		staleReads, exactReads int
	}{
		"the stale read has it":          {stale: 7, staleReads: 1},
		"the stale read has a later one": {stale: 8, staleReads: 1},
		"the stale read is too old":      {stale: 6, staleReads: 1, exactReads: 1},
		"the configuration is large":     {stale: 7, bytes: maxStaleConfigBytes + 1, exactReads: 1},
	} {
		n := newIdleNode(t)
		s := &staleStore{stale: object(c.stale), exact: object(7)}
		n.store = s
		n.state.configBytes.Store(c.bytes)
		require.NoError(t, n.fetchConfigVersion(t.Context(), 7), name)
		require.Equal(t, []int{c.staleReads, c.exactReads}, []int{s.staleReads, s.exactReads}, name)
		require.Equal(t, max(7, c.stale), n.state.config.Load().Version, name)
	}
}
