package sidecar

import (
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/memory"
	"github.com/citronvane/citronvane/internal/settings"
)

// addressedConn is a connection from a given address that remembers whether it was closed.
type addressedConn struct {
	net.Conn
	from   string
	closed bool
}

func (c *addressedConn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(c.from + ":1"))
}
func (c *addressedConn) Close() error                    { c.closed = true; return nil }
func (c *addressedConn) SetReadDeadline(time.Time) error { return nil }

// Guards against connections that take the place of others, and against closing one that has a request.
func TestLongestIdleConnectionGivesWay(t *testing.T) {
	table := newConnTable(&settings.Sidecar{MaxFDs: reservedFDs + 8}, memory.NewAccount(0)) // 4 connections, 3 of one address.
	open := func(from string) (*addressedConn, *callerConn) {
		c := &addressedConn{from: from}
		return c, table.admit(c)
	}
	a1, busy := open("127.0.0.1")
	table.setIdle(busy, false)
	a2, _ := open("127.0.0.1")
	a3, _ := open("127.0.0.1")
	_, fourth := open("127.0.0.1")
	require.NotNil(t, fourth)
	require.Equal(t, []bool{false, true, false}, []bool{a1.closed, a2.closed, a3.closed}, "the address has its share")
	_, other := open("127.0.0.2")
	require.False(t, a3.closed)
	table.setIdle(other, false)
	_, fifth := open("127.0.0.3")
	require.True(t, a3.closed, "the host has its connections")
	table.setIdle(fourth, false)
	table.setIdle(fifth, false)
	_, refused := open("127.0.0.4")
	require.Nil(t, refused)
	require.NoError(t, busy.Close())
	_, admitted := open("127.0.0.4")
	require.NotNil(t, admitted)
	require.EqualValues(t, 4*connectionBytes, table.account.Used())
}

// Guards against ending a caller that the node itself keeps waiting, or that was not read from because the process stood still.
func TestOnlyCallersThatAreWaitedForStall(t *testing.T) {
	const second = int64(time.Second)
	for name, c := range map[string]struct {
		bytes, waited int64
		late, stalled bool
	}{
		"nothing arrives":         {0, 10 * second, false, true},
		"below the rate":          {10<<10 - 1, 10 * second, false, true},
		"at the rate":             {10 << 10, 10 * second, false, false},
		"the node does not read":  {0, 8 * second, false, false},
		"the process stood still": {0, 10 * second, true, false},
	} {
		conn := &callerConn{}
		conn.bodyPending.Store(true)
		require.False(t, conn.measure(second, false, 1<<10, 10*time.Second), name)
		conn.read.bytes.Store(c.bytes)
		conn.read.waited.Store(c.waited - 1)
		conn.read.since.Store(11*second - 1)
		require.Equal(t, c.stalled, conn.measure(11*second, c.late, 1<<10, 10*time.Second), name)
	}
}

// Guards against callers' connections without a bound where the settings name no descriptor limit, as those of deploy/node.yaml don't.
func TestDescriptorLimitOfTheSystemIsTheDefault(t *testing.T) {
	template, err := os.ReadFile("../../deploy/node.yaml")
	require.NoError(t, err)
	require.NotContains(t, string(template), "max_fds")
	var r syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r))
	require.EqualValues(t, r.Cur, descriptorLimit(0))
	require.Equal(t, 300, descriptorLimit(300), "a lower limit in the settings holds")
}

// Guards against a crowd of callers whose bodies don't arrive, which keeps all places from ordinary callers until its window of 10 s is over.
func TestSlowestCallerGivesWay(t *testing.T) {
	const second = int64(time.Second)
	table := newConnTable(&settings.Sidecar{MaxFDs: reservedFDs + 32}, memory.NewAccount(0)) // 16 connections, 12 of one address, 2 leaving.
	var crowd []*callerConn
	for i := range 16 {
		c := table.admit(&addressedConn{from: []string{"127.0.0.1", "127.0.0.2"}[i%2]})
		require.NotNil(t, c)
		table.setIdle(c, false)
		c.bodyPending.Store(true)
		c.read.since.Store(second)
		crowd = append(crowd, c)
	}
	admit := func() *callerConn { return table.admit(&addressedConn{from: "127.0.0.3"}) }
	table.check(2*second, false)
	require.Nil(t, admit(), "no caller has been slow for long")
	crowd[3].read.bytes.Add(1 << 20)
	table.check(2*second+second/2, false)
	table.check(3*second, false)
	require.NotNil(t, admit())
	ended := func() (n int) {
		for _, c := range crowd {
			if c.ended.Load() == int32(endedStalled) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1, ended())
	for c := range table.conns {
		table.setIdle(c, false)
	}
	require.NotNil(t, admit())
	require.Equal(t, 2, ended())
	require.Zero(t, crowd[3].ended.Load(), "it is not slow")
	for c := range table.conns {
		table.setIdle(c, false)
	}
	require.Nil(t, admit(), "the descriptors of those that leave are bounded")
	for _, c := range crowd {
		if c.ended.Load() != 0 {
			require.NoError(t, c.Conn.Close())
			table.remove(c)
		}
	}
	require.NotNil(t, admit())
}
