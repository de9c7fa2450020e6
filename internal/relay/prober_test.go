package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that was idle being given up as soon as a request is slow on it.
func TestIdleTimeIsNotSilence(t *testing.T) {
	var p prober
	for range 50 {
		probe, lost := p.silent(0, idleInterval)
		require.False(t, probe || lost)
	}
	for range maxUnanswered {
		probe, lost := p.silent(1, probeInterval)
		require.True(t, probe)
		require.False(t, lost)
	}
	_, lost := p.silent(1, probeInterval)
	require.True(t, lost, "the probes had their time")
	p.heard()
	_, lost = p.silent(1, probeInterval)
	require.False(t, lost)
}

func TestIdleConnectionIsClosedInTheEnd(t *testing.T) {
	var p prober
	for range int(maxIdle/idleInterval) - 1 {
		_, lost := p.silent(0, idleInterval)
		require.False(t, lost)
	}
	_, lost := p.silent(0, idleInterval)
	require.True(t, lost)
}
