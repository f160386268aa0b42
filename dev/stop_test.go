package dev_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEntryStopInterruptsNoStream stops an entry during a stream. The stream must complete,
// and another entry must accept the program's handle.
func TestEntryStopInterruptsNoStream(t *testing.T) {
	cluster := startSlowCluster(t, 2)
	p := startProgram(t, cluster, "entry-1", "quote")
	stopped := make(chan error, 1)
	askAndInterrupt(t, p, 40, func() { go func() { stopped <- cluster.Stop("entry-1") }() })
	require.NoError(t, <-stopped)
	other, err := cluster.Client("entry-2").Resume(context.Background(), p.Handle())
	require.NoError(t, err, "the other entry refused the handle")
	_, err = other.Ask(context.Background(), userMessage("next"), 4, nil)
	require.NoError(t, err)
}

// TestConfigurationReachesReconnectedEndpoints publishes a configuration while two endpoints
// are disconnected. They must get it after they are connected again.
func TestConfigurationReachesReconnectedEndpoints(t *testing.T) {
	cluster := startFastCluster(t, 2)
	disconnectedNames := []string{"model-1", "model-3"}
	for _, name := range disconnectedNames {
		cluster.Relay(name).Disconnect()
	}
	version := publishDrain(t, cluster, "model-2")
	waitUntil(t, func() bool { return findEndpoint(t, cluster, "model-2").GetConfigVersion() >= version })
	for _, name := range disconnectedNames {
		require.Less(t, findEndpoint(t, cluster, name).GetConfigVersion(), version)
		cluster.Relay(name).Restore()
	}
	waitUntil(t, func() bool {
		for _, name := range disconnectedNames {
			if findEndpoint(t, cluster, name).GetConfigVersion() < version {
				return false
			}
		}
		return true
	})
	_, err := startProgram(t, cluster, "entry-2", "quote").Ask(context.Background(), userMessage("hello"), 4, nil)
	require.NoError(t, err)
}
