package event

import "github.com/phuslu/log"

// Events of the process, 1000 to 1099.
var (
	NodeStarted    = register(Event{1000, log.InfoLevel, "node started", ""})
	NodeStopping   = register(Event{1001, log.InfoLevel, "node is stopping", ""})
	NodeStopped    = register(Event{1002, log.InfoLevel, "node stopped", ""})
	NodeStopFailed = register(Event{1003, log.ErrorLevel, "node stopped, but not gracefully",
		"The error names the step; requests may have been cut off, or slices left to a takeover."})
)
