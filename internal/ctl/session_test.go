package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/operator"
	"github.com/citronvane/citronvane/internal/replica"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/store/standin"
	"github.com/citronvane/citronvane/internal/wire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"citronctl": func() { os.Exit(Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// unreachablePeers stands for nodes that do not answer.
type unreachablePeers struct{}

func (unreachablePeers) Status(context.Context, string) (*wire.StatusResponse, error) {
	return nil, errors.New("not reachable")
}

// newAPI returns an operators' API on a store, as the node "node-1" of the seeded records would serve it.
func newAPI(t testing.TB, store *standin.Platform) *operator.API {
	logger := &log.Logger{Level: log.FatalLevel}
	copied := replica.New(logger)
	table := routing.NewTable()
	publish := func() {
		table.Publish(&routing.Snapshot{View: copied.View(), Self: cluster.NodeID{Name: "node-1", Incarnation: 3}})
	}
	objects, revision, err := store.List(t.Context())
	require.NoError(t, err)
	copied.Replace(objects, revision)
	publish()
	ctx := t.Context()
	go func() {
		for ctx.Err() == nil {
			changed := copied.Changed()
			publish()
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return operator.New(operator.Options{
		Store:   store,
		Replica: copied,
		Table:   table,
		Lease:   &routing.Lease{},
		Clock:   &clock.Manual{},
		Peers:   unreachablePeers{},
		Capacity: func(_ *cluster.View, zone string) []operator.Shortage {
			if zone != "temeke" {
				return nil
			}
			return []operator.Shortage{{Service: "booking", Needed: 40, Remaining: 20}}
		},
		Token:  "operator-token",
		Logger: logger,
	})
}

func seed(t testing.TB, store *standin.Platform) {
	owner := cluster.NodeID{Name: "node-1", Incarnation: 3}
	put(t, store, cluster.KindNode, "node-1", &cluster.Node{
		ID:       owner,
		State:    cluster.Live,
		Location: cluster.Location{Region: "dar", AvailabilityZone: "mbezi", Rack: "r1"},
		Target:   cluster.TargetInfo{Service: "booking", Address: "127.0.0.1:9001", Fenced: true, Slots: 20},
		Grantors: []cluster.NodeID{{Name: "node-2", Incarnation: 1}},
	})
	group := &cluster.Group{Slices: make([]cluster.Slice, cluster.GroupSize)}
	for i := range group.Slices {
		group.Slices[i] = cluster.Slice{Epoch: 2, Owner: owner, RecordEpoch: 1}
	}
	put(t, store, cluster.KindSlices, "booking/0", group)
}

func put(t testing.TB, store *standin.Platform, kind, name string, value any) {
	encoded, err := json.Marshal(value)
	require.NoError(t, err)
	_, err = store.Put(t.Context(), kind, name, encoded, 0)
	require.NoError(t, err)
}

// Golden sessions of operators: each file under testdata names the failure that it guards against.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			store := standin.New(0)
			tb := env.T().(testing.TB)
			seed(tb, store)
			server := httptest.NewServer(newAPI(tb, store))
			env.Defer(server.Close)
			env.Setenv("CITRONVANE_NODE", server.Listener.Addr().String())
			env.Setenv("CITRONVANE_TOKEN", "operator-token")
			env.Setenv("USER", "asha")
			env.Values["store"] = store
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": platformFault,
			"exitcode": exitCode,
		},
	})
}

// platformFault sets a fault of the stand-in platform: platform up, platform down, platform lose N.
func platformFault(ts *testscript.TestScript, _ bool, args []string) {
	store := ts.Value("store").(*standin.Platform)
	store.ChangeFaults(func(f *standin.Faults) {
		switch args[0] {
		case "up":
			*f = standin.Faults{}
		case "down":
			f.Down = true
		case "lose":
			n, err := strconv.Atoi(args[1])
			ts.Check(err)
			f.LoseNext = n
		}
	})
}

// exitCode runs a command and compares its exit code: exitcode CODE COMMAND...
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var exited interface{ ExitCode() int }
	if errors.As(err, &exited) {
		code = exited.ExitCode()
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("exit code is %d, not %s", code, args[0])
	}
}

// Guards against two racing patches that are both accepted under one number, or merged.
func TestRacingPatchesHaveOneWinnerPerNumber(t *testing.T) {
	store := standin.New(0)
	server := httptest.NewServer(newAPI(t, store))
	defer server.Close()
	const operators, rounds = 8, 5
	for round := range rounds {
		codes := make([]int, operators)
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() { codes[i] = race(server.Listener.Addr().String(), round, i) })
		}
		group.Wait()
		accepted := 0
		for _, code := range codes {
			if code == ExitOK {
				accepted++
				continue
			}
			require.Equal(t, ExitConflict, code)
		}
		require.Equal(t, 1, accepted)
	}
	object, err := store.Get(t.Context(), cluster.KindConfiguration, cluster.ConfigurationName)
	require.NoError(t, err)
	var stored config.Versioned
	require.NoError(t, json.Unmarshal(object.Value, &stored))
	require.EqualValues(t, rounds, stored.Number)
	require.Len(t, stored.Document.AvailabilityZones, rounds)
}

// race submits a patch that adds a zone of its own against the number of the round.
func race(address string, round, i int) int {
	patch := fmt.Sprintf(`{"availability_zones": {"zone-%d-%d": {}}}`, round, i)
	file, err := os.CreateTemp("", "patch")
	if err != nil {
		return -1
	}
	defer func() { _ = os.Remove(file.Name()) }()
	if _, err := file.WriteString(patch); err != nil || file.Close() != nil {
		return -1
	}
	return Run([]string{"--node", address, "--token", "operator-token", "config", "patch", "--base", fmt.Sprint(round), "--file", file.Name()},
		nil, new(discard), new(discard))
}

type discard struct{}

func (*discard) Write(p []byte) (int, error) { return len(p), nil }
