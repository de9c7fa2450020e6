package event

import "github.com/phuslu/log"

// Events of the control goroutine, 3100 to 3199.
var (
	Registered = register(Event{3100, log.InfoLevel, "the node is registered under a new incarnation", ""})
	Deposed    = register(Event{3101, log.WarnLevel, "the incarnation of this node was revoked",
		"Check this host and its network; the node registers again by itself."})
	Resigned         = register(Event{3102, log.WarnLevel, "the node gives up its incarnation because its lease ran out", ""})
	GrantorsChanging = register(Event{3103, log.InfoLevel, "the node changes its grantors", ""})
	PlatformFailed   = register(Event{3104, log.WarnLevel, "a call to the platform failed",
		"Check the platform; traffic continues, and the call is repeated."})
	HandoverFailed = register(Event{3107, log.WarnLevel, "identity records could not be handed over", "Check the network to the next owner."})
	RecordsDropped = register(Event{3108, log.WarnLevel, "a slice is handed over without its identity records",
		"Callers get repeat_unknown for opaque keys until the retention is over."})
	DrainStarted   = register(Event{3109, log.InfoLevel, "the node drains", ""})
	NodeLeft       = register(Event{3110, log.InfoLevel, "the node left the fleet", ""})
	OldIncarnation = register(Event{3111, log.WarnLevel, "an older incarnation of this node is still registered and has to be revoked",
		"If its grantors are lost as well, make sure that the old process is gone and run citronctl node revoke."})
	NoSuccessor = register(Event{3113, log.WarnLevel, "the node leaves with slices, because no other node can take them",
		"Nothing if the whole service stops; otherwise start another node of the service."})
	NoGrantorAnswers = register(Event{3112, log.WarnLevel, "the node can't register because no majority of grantors answers",
		"Check the heartbeat address and the cluster secret of this node."})
)
