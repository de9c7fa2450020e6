package event

import "github.com/phuslu/log"

// Events of the service between nodes, 2200 to 2299.
var (
	PeerDenied = register(Event{2200, log.WarnLevel, "call from a peer without the cluster secret was refused",
		"Check that all nodes have the same cluster secret, and which host sent the call."})
	PeerFollowerSlow = register(Event{2201, log.WarnLevel, "follower was too slow and was cut off",
		"Nothing if it resumes. If it persists, check the load and the network of the follower."})
	PeerServeFailed = register(Event{2202, log.ErrorLevel, "service between nodes ended",
		"Check that the control address is free on this host, and restart the node."})
)
