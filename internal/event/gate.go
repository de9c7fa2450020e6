package event

import "github.com/phuslu/log"

// Events of the gate in front of the target, 4200 to 4299.
var (
	TargetCrashed      = register(Event{4200, log.WarnLevel, "target crashed with requests in flight", "Check the target's own log for the cause."})
	RequestQuarantined = register(Event{4201, log.ErrorLevel, "request is quarantined because it crashes targets", "Find the request by its fingerprint in the traces, and correct the target."})
	LeaseEndedInRun    = register(Event{4202, log.WarnLevel, "lease ended while a request was running", "Check the network between this host and its grantors."})
	IdentitiesRefused  = register(Event{4203, log.WarnLevel, "identity records of a handover were refused", "Check the number of identity records of this node; it may be full."})
	IdentitiesFull     = register(Event{4204, log.WarnLevel, "request was shed because the identity records are full", "Add targets to the service, or lower identity_retention."})
	PoisonReportBad    = register(Event{4205, log.WarnLevel, "poison report is malformed", "Check the version of the reporting node."})
)
