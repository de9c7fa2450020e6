package devfleet

import (
	"os"
	"os/exec"

	"github.com/citronvane/citronvane/internal/errs"
)

// Build builds all programs of the module in the working directory into the directory, with the Go
// command, because a fleet needs them as separate processes.
func Build(directory string, arguments ...string) error {
	args := append([]string{"build"}, arguments...)
	args = append(args, "-o", directory+string(os.PathSeparator), "github.com/citronvane/citronvane/cmd/...")
	cmd := exec.Command("go", args...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return errs.Wrap(cmd.Run(), errs.Invalid, "Run it in the repository, with the Go toolchain installed.", "build the programs")
}
