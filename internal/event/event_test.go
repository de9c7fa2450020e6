package event

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/events.md")

const catalogueFile = "../../docs/events.md"

// Guards against events that the operators' catalogue does not list or describes differently.
func TestCatalogueIsDocumented(t *testing.T) {
	rendered := render()
	if *update {
		require.NoError(t, os.WriteFile(catalogueFile, []byte(rendered), 0o644))
	}
	written, err := os.ReadFile(catalogueFile)
	require.NoError(t, err)
	require.Equal(t, rendered, string(written), "run go test ./internal/event -update")
}

func render() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Generated from `internal/event` by `go test ./internal/event -update`.\n")
	b.WriteString("Every log line carries its number in the field `event`.\n\n")
	b.WriteString("| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, e := range Catalogue() {
		action := e.Action
		if action == "" {
			action = "nothing"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Message, action)
	}
	return b.String()
}
