// Package explain finds in the logs of nodes what became of a request or who owned a key. It reads logs only, so that it works when
// the nodes are gone.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
)

// maxLine bounds a log line, bytes.
const maxLine = 1 << 20

// rangeMoves is the number of the event that tells the owner of a range of keys.
var rangeMoves = event.RangeMoves.ID

// Entry is a log line of a node.
type Entry struct {
	Time    time.Time
	Node    string
	Event   int
	Message string
	// Fields holds the other fields as JSON texts.
	Fields map[string]string
}

// Action returns what the catalogue says that an operator should do, empty if nothing.
func (e *Entry) Action() string {
	for _, known := range event.Catalogue() {
		if known.ID == e.Event {
			return known.Action
		}
	}
	return ""
}

// String returns the entry in one line.
func (e *Entry) String() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s %d %s", e.Time.Format("15:04:05.000"), e.Node, e.Event, e.Message)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		_, _ = fmt.Fprintf(&text, " %s=%s", name, strings.Trim(e.Fields[name], `"`))
	}
	return text.String()
}

// parse reads a log line. What stands before the JSON object, such as the name of a host, is left out.
func parse(line []byte) (Entry, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Entry{}, false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(line[start:], &fields) != nil {
		return Entry{}, false // Other programs may write to the same output.
	}
	e := Entry{Fields: map[string]string{}}
	known := map[string]any{"time": &e.Time, "node": &e.Node, "event": &e.Event, "message": &e.Message}
	for name, value := range fields {
		target, ok := known[name]
		if !ok {
			e.Fields[name] = string(value)
			continue
		}
		if json.Unmarshal(value, target) != nil {
			return Entry{}, false
		}
	}
	delete(e.Fields, "level")
	return e, e.Event > 0
}

// find returns the entries that match, in the order of their times.
func find(logs io.Reader, match func(*Entry) bool) ([]Entry, error) {
	var found []Entry
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if e, ok := parse(scanner.Bytes()); ok && match(&e) {
			found = append(found, e)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Give log files of nodes, one JSON object a line.", "the logs can't be read")
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Time.Before(found[j].Time) })
	return found, nil
}

// Request returns what the nodes logged about a request. Calls that a target made for it have identities that begin with its own.
func Request(logs io.Reader, id string) ([]Entry, error) {
	found, err := find(logs, func(e *Entry) bool {
		own := strings.Trim(e.Fields["id"], `"`)
		return own == id || strings.HasPrefix(own, id+".")
	})
	if err == nil && len(found) == 0 {
		err = errs.New(errs.NotFound, "Give the logs of all nodes. Only failures and one in 100 answers have a line.", "no line about request %q", id)
	}
	return found, err
}

// Key returns the changes of the owner of a key, the last one last.
func Key(logs io.Reader, service string, key int) ([]Entry, error) {
	found, err := find(logs, func(e *Entry) bool {
		return e.Event == rangeMoves && strings.Trim(e.Fields["service"], `"`) == service && e.number("from") <= key && key <= e.number("to")
	})
	if err == nil && len(found) == 0 {
		err = errs.New(errs.NotFound, "Give the logs of all nodes from their start on.", "no line about the owner of key %d of service %q", key, service)
	}
	return found, err
}

// number returns a field, or -1 if it is none.
func (e *Entry) number(name string) int {
	n := -1
	if json.Unmarshal([]byte(e.Fields[name]), &n) != nil {
		return -1
	}
	return n
}

// Planned reports whether an entry about a range announces a move that is not done: the owner releases the range first.
func (e *Entry) Planned() bool {
	switch strings.Trim(e.Fields["reason"], `"`) {
	case "balance", "evacuate", "next_gone":
		return true
	}
	return false
}
