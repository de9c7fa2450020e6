package event

import "github.com/phuslu/log"

// Events of leases and heartbeats, 3000 to 3099.
var (
	LeaseHeld = register(Event{3000, log.InfoLevel, "the node holds its lease again", ""})
	LeaseLost = register(Event{3001, log.WarnLevel, "the node lost its lease and refuses keyed requests",
		"Check the network between this node and its grantors if it happens again."})
	LeaseVotePromised = register(Event{3002, log.InfoLevel, "promised not to renew the lease of a holder again", ""})
	HolderSilent      = register(Event{3003, log.WarnLevel, "a holder sends no renewals",
		"Check the host of the holder."})
	HolderRevoked   = register(Event{3004, log.WarnLevel, "revoked a holder", "Check the host of the holder."})
	DatagramDropped = register(Event{3005, log.WarnLevel, "dropped bad heartbeat datagrams",
		"Check that all nodes have the same cluster secret."})
)
