// Package event is the catalogue of numbered log events. Each package logs
// through the events that it registers in a file of its own here, and
// docs/events.md lists them all.
package event

import (
	"fmt"
	"sort"

	"github.com/phuslu/log"
)

// Event is a kind of log line.
type Event struct {
	// ID is the stable number of the event.
	ID int
	// Level is the severity.
	Level log.Level
	// Message is the text of the log line.
	Message string
	// Action says what the operator should do; empty if nothing.
	Action string
}

var catalogue = map[int]Event{}

// register adds an event to the catalogue. It panics on a number that is taken, which any test run shows.
func register(e Event) Event {
	if _, taken := catalogue[e.ID]; taken {
		panic(fmt.Sprintf("event: number %d is registered twice", e.ID))
	}
	catalogue[e.ID] = e
	return e
}

// Catalogue returns all events by number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].ID < events[j].ID })
	return events
}

// On starts a log line for the event. Add fields and finish it with Send.
func (e Event) On(l *log.Logger) *Line {
	return &Line{entry: l.WithLevel(e.Level).Int("event", e.ID), message: e.Message}
}

// Line is a log line that is being built.
type Line struct {
	entry   *log.Entry
	message string
}

// Str adds a text field.
func (l *Line) Str(key, value string) *Line { l.entry.Str(key, value); return l }

// Int adds a number.
func (l *Line) Int(key string, value int) *Line { l.entry.Int(key, value); return l }

// Uint64 adds an unsigned number.
func (l *Line) Uint64(key string, value uint64) *Line { l.entry.Uint64(key, value); return l }

// Bool adds a truth value.
func (l *Line) Bool(key string, value bool) *Line { l.entry.Bool(key, value); return l }

// Any adds a value in its default format.
func (l *Line) Any(key string, value any) *Line { l.entry.Str(key, fmt.Sprint(value)); return l }

// Err adds an error.
func (l *Line) Err(err error) *Line { l.entry.Err(err); return l }

// Send writes the line.
func (l *Line) Send() { l.entry.Msg(l.message) }
