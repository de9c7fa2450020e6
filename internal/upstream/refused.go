package upstream

import (
	"errors"

	"golang.org/x/sys/unix"
)

// isRefused reports whether the host answered that nothing listens on the address.
func isRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }
