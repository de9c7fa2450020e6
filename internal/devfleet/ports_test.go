package devfleet

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/errs"
)

// Guards against a second fleet on the ports of the first one, whose configuration was then refused as stale.
func TestTakenPortIsNamed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	_, err = New(Options{Directory: t.TempDir(), FirstPort: listener.Addr().(*net.TCPAddr).Port})
	require.ErrorContains(t, err, listener.Addr().String())
	require.Contains(t, errs.Describe(err), "--first-port")
}
