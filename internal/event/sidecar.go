package event

import "github.com/phuslu/log"

// Events of a node on the users' platform, 6000 to 6099.
var (
	SidecarStarted  = register(Event{6000, log.InfoLevel, "node started", ""})
	SidecarStopping = register(Event{6001, log.InfoLevel, "node is stopping", ""})
	SidecarStopped  = register(Event{6002, log.InfoLevel, "node stopped", ""})
	SidecarHangup   = register(Event{6003, log.InfoLevel, "received SIGHUP; settings are not reloaded", "Changed settings take effect at the next start."})
	LogLinesDropped = register(Event{6004, log.WarnLevel, "log lines were dropped because the output was slow or the rate limit was reached", "Raise the limit or read standard output faster if the lines are needed."})
	PanicContained  = register(Event{6005, log.ErrorLevel, "a task panicked; the process goes on", "Report the stack; only the named task's current input failed."})
	CallersEnded    = register(Event{6007, log.WarnLevel, "callers were refused or ended because they exceed the bounds on connections, memory or progress", "Look for the callers with many connections or unfinished bodies; the counts say which bound was met."})
	MemoryShedding  = register(Event{6006, log.WarnLevel, "the node changes whether it refuses requests for lack of memory", "Give the process more memory, or add hosts."})

	StoreCallFailed    = register(Event{6010, log.WarnLevel, "a call to the store failed", "Check the store; traffic continues, and the call is retried."})
	StoreRecovered     = register(Event{6011, log.InfoLevel, "the store responds again", ""})
	ConfigApplied      = register(Event{6012, log.InfoLevel, "configuration was applied", ""})
	ConfigInvalid      = register(Event{6013, log.ErrorLevel, "configuration is invalid; the previous one stays active", "Correct the configuration."})
	EvacuationsChanged = register(Event{6014, log.InfoLevel, "evacuated availability zones changed", ""})
	ObjectInvalid      = register(Event{6015, log.WarnLevel, "an object in the store is invalid and is ignored", "Delete the object or correct the program that wrote it."})

	ConfigBehind       = register(Event{6016, log.WarnLevel, "a later configuration is announced, but this node does not have it yet", "carried says whether a poll had the document. If reads fail, check the path from this host to the store."})
	PollsMissing       = register(Event{6017, log.WarnLevel, "the coordinator does not poll this node; it gets the operator's objects itself", "Check the named coordinator's host, and the network between the two hosts."})
	OperatorReadFailed = register(Event{6018, log.WarnLevel, "reading the operator's objects failed", "Check the path from this host to the store; the node tries again."})
	NodesBehind        = register(Event{6019, log.WarnLevel, "nodes have not reported the configuration that this coordinator announces", "Search the logs of the named hosts for events 6016 to 6018."})

	TermBegan          = register(Event{6020, log.InfoLevel, "term of the target started", ""})
	TermRevoked        = register(Event{6021, log.WarnLevel, "term of the target was revoked", "Check this host's network; the node registers a new term by itself."})
	TargetStateWritten = register(Event{6022, log.InfoLevel, "state of the target was written to the store", ""})
	HeartbeatMalformed = register(Event{6023, log.WarnLevel, "heartbeat is malformed or names another service and is ignored", "Check the program that announces the target."})
	HeartbeatStale     = register(Event{6024, log.InfoLevel, "heartbeat or deregistration is from an earlier process or out of order and is ignored", ""})
	TargetExited       = register(Event{6025, log.WarnLevel, "target process exited", "Check the target's own log."})
	RangesReleased     = register(Event{6026, log.InfoLevel, "target released ranges", ""})
	LeaseCheckOverdue  = register(Event{6027, log.WarnLevel, "lease check is overdue", "Check the path from this host to the store."})
	DepartureAnswered  = register(Event{6029, log.InfoLevel, "a call that says that the target leaves was answered: acknowledged if kept_by says what keeps the departure, otherwise refused", "If refused: the store and the other nodes did not answer; the target repeats the call or exits."})
	GrantTruncated     = register(Event{6028, log.WarnLevel, "the response to a heartbeat has no room for all ranges of the target", "Add targets; the remaining ranges are not served."})

	LeadershipAcquired      = register(Event{6030, log.InfoLevel, "this node became the coordinator", ""})
	LeadershipLost          = register(Event{6031, log.InfoLevel, "this node is no longer the coordinator", ""})
	TermRevoking            = register(Event{6032, log.WarnLevel, "revoking the term of a target whose node does not respond", "Check that host."})
	TableWritten            = register(Event{6033, log.InfoLevel, "assignment table was written", ""})
	StoreWriteFailed        = register(Event{6034, log.InfoLevel, "writing an object to the store failed; another writer may have changed it first", ""})
	PollRefused             = register(Event{6035, log.InfoLevel, "poll of an earlier coordinator was refused", ""})
	RangeMoves              = register(Event{6036, log.InfoLevel, "range changes its owner", ""})
	ViewDeltaRejected       = register(Event{6038, log.InfoLevel, "view delta of the coordinator starts from another version; the next poll carries the full view", ""})
	CoordinatorUnresponsive = register(Event{6039, log.InfoLevel, "the coordinator does not respond; this node tries to replace it", "Check that host."})
	RecordDeleted           = register(Event{6037, log.InfoLevel, "record of a lost host was deleted", ""})

	RequestAnswered       = register(Event{6040, log.InfoLevel, "request was answered", ""})
	RequestRefused        = register(Event{6041, log.InfoLevel, "request was refused; it has not run", "Many with reason overload: add targets. With no_owner: look for events 6020 to 6037. With quota: the tenant is over its cap. With no_allotter: as no_owner, for the first keyed service by name that has owners. With calls_refused: add targets to the service that its calls go to."})
	RequestOutcomeUnknown = register(Event{6042, log.WarnLevel, "outcome of a request is unknown", "Look at the target's host for events 6025 and 6050."})
	ResponseTruncated     = register(Event{6043, log.WarnLevel, "response was truncated on its way to the caller", "Look at the target's host."})
	RequestRetried        = register(Event{6044, log.InfoLevel, "request is retried", ""})
	CallerDisconnected    = register(Event{6045, log.InfoLevel, "caller disconnected before the response", ""})
	RequestInvalid        = register(Event{6046, log.InfoLevel, "request is invalid", "The caller has to correct it."})

	TargetRequestFailed  = register(Event{6050, log.WarnLevel, "request to the target failed", "Check the target's own log."})
	TargetRequestRefused = register(Event{6051, log.InfoLevel, "request was refused before it reached the target; it has not run", ""})
	CrashSuspected       = register(Event{6052, log.WarnLevel, "target exited while it was running a request", "Search the log for the fingerprint."})
	QuarantineBegan      = register(Event{6053, log.ErrorLevel, "request is quarantined because it crashes targets", "Find its caller and correct the target."})
	StaleObject          = register(Event{6057, log.WarnLevel, "an object of the store is older than the one in use and is ignored", "If it persists, check whether the store was restored from a copy."})
	DepartureUnconfirmed = register(Event{6056, log.InfoLevel, "another node did not confirm that it remembers a departure; others are asked", ""})
)
