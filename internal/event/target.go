package event

import "github.com/phuslu/log"

// Events of the target's announcements, 4300 to 4399.
var (
	TargetAnnounced     = register(Event{4300, log.InfoLevel, "target announced itself", ""})
	TargetLost          = register(Event{4301, log.WarnLevel, "target stopped announcing itself", "Check the target process on this host."})
	AnnouncementRefused = register(Event{4302, log.WarnLevel, "announcement was refused", "Correct the target as the error says."})
)
