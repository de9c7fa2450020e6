package event

import "github.com/phuslu/log"

// Events of the process, 1000 to 1099.
var (
	NodeStarted  = register(Event{1000, log.InfoLevel, "node started", ""})
	NodeStopping = register(Event{1001, log.InfoLevel, "node is stopping", ""})
	NodeStopped  = register(Event{1002, log.InfoLevel, "node stopped", ""})
)
