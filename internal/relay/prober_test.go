package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that was idle being given up as soon as a request is slow on it.
func TestIdleTimeIsNotSilence(t *testing.T) {
	var p prober
	for range 50 {
		probe, lost := p.silent(0, idleInterval, idleInterval)
		require.False(t, probe || lost)
	}
	for range maxUnanswered {
		probe, lost := p.silent(1, probeInterval, probeInterval)
		require.True(t, probe)
		require.False(t, lost)
	}
	_, lost := p.silent(1, probeInterval, probeInterval)
	require.True(t, lost, "the probes had their time")
	p.heard()
	_, lost = p.silent(1, probeInterval, probeInterval)
	require.False(t, lost)
}

// Guards against probes that are forgotten when their stream ends, so that a connection with short streams is never found lost.
func TestUnansweredProbesOutliveTheirStreams(t *testing.T) {
	var p prober
	for i := range maxUnanswered {
		_, lost := p.silent((i+1)%2, probeInterval, probeInterval)
		require.False(t, lost)
	}
	_, lost := p.silent(0, probeInterval, probeInterval)
	require.True(t, lost)
}

func TestIdleConnectionIsClosedInTheEnd(t *testing.T) {
	var p prober
	for range int(maxIdle/idleInterval) - 1 {
		_, lost := p.silent(0, idleInterval, idleInterval)
		require.False(t, lost)
	}
	_, lost := p.silent(0, idleInterval, idleInterval)
	require.True(t, lost)
}

// Guards against a starved process that takes its own standstill for the server's silence.
func TestOwnStandstillIsNotSilence(t *testing.T) {
	var p prober
	for range maxPauses {
		probe, lost := p.silent(1, probeInterval, probeInterval+2*pauseLimit)
		require.True(t, probe)
		require.False(t, lost)
	}
	for range maxUnanswered {
		_, lost := p.silent(1, probeInterval, probeInterval+2*pauseLimit)
		require.False(t, lost)
	}
	_, lost := p.silent(1, probeInterval, probeInterval)
	require.True(t, lost, "a process that always stands still finds lost servers too")
}
