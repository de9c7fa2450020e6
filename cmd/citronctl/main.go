// Command citronctl operates a citronvane fleet.
package main

import (
	"os"

	"github.com/citronvane/citronvane/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
