package event

import "github.com/phuslu/log"

// Events of the operators' API, 5000 to 5099.
var (
	PatchAccepted         = register(Event{5000, log.InfoLevel, "configuration patch accepted", ""})
	PatchRefused          = register(Event{5001, log.WarnLevel, "configuration patch refused", "Tell the author; the error names the reason and the remedy."})
	NodeRevokedByOperator = register(Event{5002, log.WarnLevel, "node revoked by an operator", "Make sure that the host is off."})
)
