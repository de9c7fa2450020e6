package relay

import (
	"fmt"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/event"
)

// engineLog writes the warnings and errors of gnet as events and drops the rest.
type engineLog struct{ logger *log.Logger }

// Debugf drops the line.
func (engineLog) Debugf(string, ...any) {}

// Infof drops the line.
func (engineLog) Infof(string, ...any) {}

// Warnf writes an event.
func (l engineLog) Warnf(format string, args ...any) { l.write(format, args) }

// Errorf writes an event.
func (l engineLog) Errorf(format string, args ...any) { l.write(format, args) }

// Fatalf writes an event. gnet reports the failure by itself, so the process goes on.
func (l engineLog) Fatalf(format string, args ...any) { l.write(format, args) }

func (l engineLog) write(format string, args []any) {
	event.RelayEngine.On(l.logger).Str("detail", fmt.Sprintf(format, args...)).Send()
}
