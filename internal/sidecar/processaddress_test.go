package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/keyspace"
	"github.com/citronvane/citronvane/platform"
)

// Guards against an address that an earlier process has named: a late heartbeat that was sent to it would count as one that follows an answer of
// this process.
func TestProcessAddressesDiffer(t *testing.T) {
	start := clock.Instant(90 * time.Hour)
	seen := map[string]bool{}
	for now := start; now < start.Add(2*time.Minute); {
		a := newProcessAddress("10.0.0.1", now)
		require.False(t, seen[a.address], a.address)
		seen[a.address] = true
		require.Greater(t, a.usableAt, now)
		now = a.usableAt // The earliest start of a process after this one has named its address.
	}
}

// Guards against a target whose moving range waits until the grants of the earlier process have expired although it sends heartbeats to the address that
// the new process names, and against one that stays there.
func TestNewProcessNamesItsOwnAddress(t *testing.T) {
	n := newIdleNode(t)
	n.settings.Listen.Heartbeats = "127.0.0.1:1"
	server := newHTTPServer(platform.HeartbeatHandler(n.member, true))
	n.listenForOwnHeartbeats(server)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.controlLoop(ctx)
	owner := keyspace.Owner{Host: "h", Term: 3}
	row := keyspace.Row{Range: keyspace.Range{From: 0, To: 9}, Owner: owner, Fence: 5, NextOwner: keyspace.Owner{Host: "b", Term: 1}}
	time.Sleep(2 * processPortPeriod)
	onControl(n, func(now clock.Instant) bool {
		n.member.holder.Begin(now, owner, 7, now)
		return true
	})
	released := func() int {
		return onControl(n, func(now clock.Instant) int { return len(n.member.holder.Released(now, []keyspace.Row{row})) })
	}
	post := func(address, sequence string) string {
		body := `{"service":"s","address":"h:1","state":"ready","slots":1,"born":7,"holds":[],"sequence":` + sequence + `}`
		response, err := http.Post("http://"+address+"/instances/i/heartbeat", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return string(data)
	}
	settingsAddress, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	plain := newHTTPServer(platform.HeartbeatHandler(n.member, false))
	go func() { _ = plain.Serve(settingsAddress) }() // It returns when the server is closed.
	defer plain.Close()

	require.Contains(t, post(settingsAddress.Addr().String(), "20"), `"heartbeat_url":"`+n.member.ownAddress.address+`"`)
	require.Contains(t, post(settingsAddress.Addr().String(), "21"), `"heartbeat_url"`, "the target has not followed the first answer")
	require.Zero(t, released(), "both may have been sent before the earlier process's last grant")
	require.Contains(t, post(n.member.ownAddress.address, "22"), `"heartbeat_url":"127.0.0.1:1"`)
	require.Equal(t, 1, released())
	require.NotContains(t, post(settingsAddress.Addr().String(), "23"), "heartbeat_url")
}

// Guards against a target that is sent back to an address that no target reaches, because the node listens on all of its host's.
func TestProcessAddressNeedsAReachableAddress(t *testing.T) {
	for _, address := range []string{":7000", "0.0.0.0:7000", "[::]:7000"} {
		n := newIdleNode(t)
		n.settings.Listen.Heartbeats = address
		n.listenForOwnHeartbeats(newHTTPServer(platform.HeartbeatHandler(n.member, true)))
		require.Empty(t, n.member.ownAddress.address, address)
	}
}
