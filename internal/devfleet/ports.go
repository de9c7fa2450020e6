package devfleet

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/citronvane/citronvane/internal/errs"
)

// Free ports are taken from below the range that the kernel uses for outgoing connections, because
// a port of that range can be taken between the choice and the start of the program.
const (
	lowestFreePort  = 12000
	highestFreePort = 32000
)

// portAllocator returns the address for an offset from the first port.
type portAllocator func(offset int) (string, error)

// fixedPorts returns an allocator of the ports from first on. A taken port is an error: a second fleet would speak to the
// processes of the first one.
func fixedPorts(first int) portAllocator {
	return func(offset int) (string, error) {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(first+offset))
		if !isFree(address) {
			return "", errs.New(errs.Unavailable, "Stop the other fleet, or choose another --first-port.", "%s is taken by another process", address)
		}
		return address, nil
	}
}

// newFreePorts returns an allocator that tries ports in ascending order from a random one on.
func newFreePorts() portAllocator {
	next := lowestFreePort + rand.IntN(highestFreePort-lowestFreePort)
	return func(int) (string, error) {
		for range highestFreePort - lowestFreePort {
			address := net.JoinHostPort("127.0.0.1", strconv.Itoa(next))
			if next++; next == highestFreePort {
				next = lowestFreePort
			}
			if isFree(address) {
				return address, nil
			}
		}
		return "", errs.New(errs.Unavailable, "Free some ports.", "no port from %d to %d is free", lowestFreePort, highestFreePort)
	}
}

// isFree reports whether the address can be bound for TCP and UDP at the moment.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}
