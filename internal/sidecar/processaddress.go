package sidecar

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/tenure"
)

// A target may hold ranges that an earlier process of the node granted, and a heartbeat that arrives at a new process may have been sent before
// those grants. So the process names an address of its own in its first answers. A heartbeat that arrives there was sent after such
// an answer. Then the target is sent back to the address in the settings.

const (
	// firstProcessPort and processPorts bound the ports of these addresses. They are below the ports that the kernel gives to outgoing connections.
	firstProcessPort, processPorts = 20000, 8192
	// processPortPeriod is the time after which the port changes. It comes again after 164 s, and heartbeats are seconds late at most.
	processPortPeriod = 20 * time.Millisecond
)

// processAddress is an address for heartbeats that no other process of the node has named.
type processAddress struct {
	// address is empty if there is none.
	address string
	// usableAt is the start of the period after that of the port, in which each later process starts.
	usableAt clock.Instant
}

// newProcessAddress returns the address on the host for a process that starts at the instant.
func newProcessAddress(host string, start clock.Instant) processAddress {
	period := int64(start) / int64(processPortPeriod)
	return processAddress{
		address:  net.JoinHostPort(host, strconv.FormatInt(firstProcessPort+period%processPorts, 10)),
		usableAt: clock.Instant((period + 1) * int64(processPortPeriod)),
	}
}

// listenForOwnHeartbeats serves the address of this process. Without it, or where the settings name no address that a target can be sent back to,
// the node waits until the earlier grants have expired.
func (n *node) listenForOwnHeartbeats(server *http.Server) {
	host, _, err := net.SplitHostPort(n.settings.Listen.Heartbeats)
	if ip := net.ParseIP(host); err != nil || host == "" || ip != nil && ip.IsUnspecified() {
		return
	}
	own := newProcessAddress(host, n.clock.Now())
	listener, err := net.Listen("tcp", own.address)
	if err != nil {
		event.ProcessAddressInUse.On(n.log).Str("address", own.address).Err(err).Send()
		return
	}
	n.member.ownAddress = own
	go func() { _ = server.Serve(listener) }() // It ends with the process; the target then uses the address in the settings.
}

// nextHeartbeatAddress returns the address that the answer to a heartbeat names for the later ones, or the empty string.
func (m *member) nextHeartbeatAddress(now clock.Instant, b *tenure.Heartbeat) string {
	switch {
	case b.AfterAnswer:
		return m.settings.Listen.Heartbeats
	case now >= m.ownAddress.usableAt && m.holder.MayHoldUnlisted(now):
		return m.ownAddress.address
	}
	return ""
}
