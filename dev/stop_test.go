package dev_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEntryStopCutsNothing(t *testing.T) {
	site := startSlowSite(t, 2)
	p := startProgram(t, site, "entry-1", "quote")
	stopped := make(chan error, 1)
	askSlowly(t, p, 40, func() { go func() { stopped <- site.Stop("entry-1") }() })
	require.NoError(t, <-stopped)
	other, err := site.Client("entry-2").Resume(context.Background(), p.Handle())
	require.NoError(t, err, "the other entry takes the handle")
	_, err = other.Ask(context.Background(), user("next"), 4, nil)
	require.NoError(t, err)
}

func TestConfigurationReachesWhoWasCutOff(t *testing.T) {
	site := startSite(t, 2)
	cut := []string{"model-1", "model-3"}
	for _, name := range cut {
		site.Wire(name).Disconnect()
	}
	version := publishDrain(t, site, "model-2")
	waitFor(t, func() bool { return endpointOf(t, site, "model-2").GetConfigVersion() >= version })
	for _, name := range cut {
		require.Less(t, endpointOf(t, site, name).GetConfigVersion(), version)
		site.Wire(name).Restore()
	}
	waitFor(t, func() bool {
		for _, name := range cut {
			if endpointOf(t, site, name).GetConfigVersion() < version {
				return false
			}
		}
		return true
	})
	_, err := startProgram(t, site, "entry-2", "quote").Ask(context.Background(), user("hello"), 4, nil)
	require.NoError(t, err)
}
