package event

import "github.com/phuslu/log"

// Events of the entrance, 4000 to 4099.
var (
	EntranceTruncated = register(Event{4000, log.WarnLevel, "entrance aborted a caller's connection because the answer was truncated", "Look for lost nodes or targets; the caller saw an incomplete answer."})
	EntranceUnknown   = register(Event{4001, log.WarnLevel, "entrance lost a request that may have run", "Look for lost nodes or targets; the caller was told that the outcome is unknown."})
)
