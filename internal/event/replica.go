package event

import "github.com/phuslu/log"

// Events of the replica of the stored objects, 2100 to 2199.
var (
	ReplicaSource = register(Event{2100, log.InfoLevel, "following a source of stored objects", ""})
	ReplicaFailed = register(Event{2101, log.WarnLevel, "following a source of stored objects failed",
		"If it persists, check that the platform and the control addresses of the other nodes can be reached from this host."})
	ReplicaObjectInvalid = register(Event{2102, log.ErrorLevel, "stored object can't be decoded and is skipped",
		"Inspect the object in the platform; another program may have written it."})
	ReplicaRelisted = register(Event{2103, log.InfoLevel, "read all stored objects again because the position was too old", ""})
	ReplicaBehind   = register(Event{2104, log.WarnLevel, "a peer holds a newer revision; following it", ""})
)
