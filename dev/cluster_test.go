package dev_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/dev"
	"github.com/lavendervale/lavendervale/examples"
	"github.com/lavendervale/lavendervale/script"
	"github.com/lavendervale/lavendervale/standin/engine"
)

// startCluster runs a cluster with the example configuration and the service payment until
// the test ends.
func startCluster(t *testing.T, config dev.Config) *dev.Cluster {
	t.Helper()
	configuration, err := examples.Files.ReadFile("configuration.ini")
	require.NoError(t, err)
	config.Configuration = string(configuration)
	config.Services = []string{"payment"}
	config.Engine = engine.Config{TimePerToken: 200 * time.Microsecond}
	cluster, err := dev.Start(config)
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, cluster.WaitReady(ctx))
	return cluster
}

// startFastCluster starts a cluster of three model endpoints with fast engines and relays.
func startFastCluster(t *testing.T, entries int) *dev.Cluster {
	t.Helper()
	return startCluster(t, dev.Config{Engines: 3, Domains: 3, Entries: entries, Relays: true})
}

// startSlowCluster starts a cluster of three model endpoints whose engines are slow enough
// to inject a fault during a stream.
func startSlowCluster(t *testing.T, entries int) *dev.Cluster {
	t.Helper()
	cluster := startFastCluster(t, entries)
	for _, name := range []string{"model-1", "model-2", "model-3"} {
		cluster.Engine(name).SetFaults(slowDecoding)
	}
	return cluster
}

// TestExampleScriptsRun runs the example scripts. Each step must succeed and no order may run
// twice.
func TestExampleScriptsRun(t *testing.T) {
	cluster := startFastCluster(t, 1)
	tests := []struct {
		file      string
		minOrders int
	}{
		{file: "quote.ini", minOrders: 1},
		{file: "survey.ini", minOrders: 1},
		{file: "tally.ini", minOrders: 0},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			effectsBefore := len(cluster.Service("payment").Effects())
			text, err := examples.Files.ReadFile(test.file)
			require.NoError(t, err)
			s, err := inifile.ReadScript(test.file, text)
			require.NoError(t, err)
			report := script.Run(context.Background(), cluster.Client("entry-1"), s)
			require.NoError(t, report.Err)
			require.NotEmpty(t, report.Results)
			effects := 0
			for key, n := range cluster.Service("payment").Effects() {
				require.Equal(t, 1, n, "number of times that order %s ran", key)
				effects++
			}
			require.GreaterOrEqual(t, effects-effectsBefore, test.minOrders)
		})
	}
}

// slowDecoding raises the time of one token from 200 us to about 10 ms.
var slowDecoding = engine.Faults{SlowdownFactor: 50}
