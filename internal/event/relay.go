package event

import "github.com/phuslu/log"

// Events of the relay, 4100 to 4199.
var (
	RelayListening = register(Event{4100, log.InfoLevel, "relay listens", ""})
	RelayRefused   = register(Event{4101, log.WarnLevel, "relay closed a connection because of bad input", "Check that all nodes have the same version and cluster secret."})
	RelayPanic     = register(Event{4102, log.ErrorLevel, "relay handler panicked", "Report the stack; the request was answered as truncated."})
	RelayEngine    = register(Event{4104, log.WarnLevel, "relay engine reports a problem", "Read the detail; connections to other nodes may be affected."})
	RelayCut       = register(Event{4103, log.WarnLevel, "relay stopped with running streams", "Raise the bound of the stop, or look for requests that hang."})
)
