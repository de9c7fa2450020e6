package devfleet_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/citronvane/citronvane/internal/devfleet"
)

// programs is the directory with the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs once for all tests.
func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "citronvane-devfleet-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if err := devfleet.Build(directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programs = directory
	return m.Run()
}
