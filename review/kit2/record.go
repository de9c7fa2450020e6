// Package kit2 has the stand-ins of the second review's scripts: a store, targets, callers, and the start of nodes as processes. They
// follow the users' pages and know nothing of the nodes' inside.
package kit2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	CantGo = 2
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	began  time.Time
	broken []string
}

// NewRecord opens the file.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		Unable("the record can't be written: %v", err)
	}
	return &Record{file: f, out: bufio.NewWriter(f), began: time.Now()}
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Say writes a line to the file and to the terminal.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf("%8.3f ", time.Since(r.began).Seconds())
	fmt.Printf(format+"\n", args...)
}

// Break notes that the rule was broken.
func (r *Record) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Line("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// Finish closes the file and returns the exit code.
func (r *Record) Finish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, b := range r.broken {
		if i == 12 {
			fmt.Printf("... and %d more\n", len(r.broken)-i)
			break
		}
		fmt.Println("BROKEN:", b)
	}
	fmt.Printf("%d breaks of the rule\n", len(r.broken))
	fmt.Fprintf(r.out, "%d breaks of the rule\n", len(r.broken))
	_ = r.out.Flush()
	_ = r.file.Close()
	if len(r.broken) > 0 {
		return Broken
	}
	return Held
}

// stopAll is set by a fleet, so that Unable leaves no process behind.
var stopAll = func() {}

// flush writes the lines so far to the file.
func (r *Record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// Unable ends the script because the case can't run.
func Unable(format string, args ...any) {
	fmt.Printf("the case can't run: "+format+"\n", args...)
	stopAll()
	os.Exit(CantGo)
}
