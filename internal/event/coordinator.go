package event

import "github.com/phuslu/log"

// Events of the coordinator, 3200 to 3299. The control goroutine logs them when it carries out a plan.
var (
	CoordinatorWrote   = register(Event{3200, log.InfoLevel, "slice assignment written", ""})
	CoordinatorRefused = register(Event{3201, log.InfoLevel, "slice assignment refused because another node wrote first", ""})
	CoordinatorFailed  = register(Event{3202, log.WarnLevel, "slice assignment could not be written",
		"If it persists, check the platform; slices of lost hosts wait until it answers."})
)
