package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that was idle being given up as soon as a request is slow on it.
func TestIdleTimeIsNotSilence(t *testing.T) {
	var p prober
	for range 60 {
		probe, lost := p.silent(0)
		require.False(t, probe || lost)
	}
	for range maxUnanswered {
		probe, lost := p.silent(1)
		require.True(t, probe)
		require.False(t, lost)
	}
	_, lost := p.silent(1)
	require.True(t, lost, "the probes had their time")
	p.heard()
	_, lost = p.silent(1)
	require.False(t, lost)
}

func TestIdleConnectionIsClosedInTheEnd(t *testing.T) {
	var p prober
	for range int(maxIdle/probeInterval) - 1 {
		_, lost := p.silent(0)
		require.False(t, lost)
	}
	_, lost := p.silent(0)
	require.True(t, lost)
}
