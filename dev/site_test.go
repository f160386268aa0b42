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

// start runs a site of the example configuration until the test ends.
func start(t *testing.T, c dev.Config) *dev.Site {
	t.Helper()
	configuration, err := examples.Files.ReadFile("configuration.ini")
	require.NoError(t, err)
	c.Configuration = string(configuration)
	c.Services = []string{"payment"}
	c.Engine = engine.Config{TimePerToken: 200 * time.Microsecond}
	site, err := dev.Start(c)
	require.NoError(t, err)
	t.Cleanup(site.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, site.Ready(ctx))
	return site
}

// startSite starts a site of three endpoints with fast engines.
func startSite(t *testing.T, entries int) *dev.Site {
	t.Helper()
	return start(t, dev.Config{Engines: 3, Domains: 3, Entries: entries, Wires: true})
}

// startSlowSite starts a site of three endpoints with slow engines.
func startSlowSite(t *testing.T, entries int) *dev.Site {
	t.Helper()
	site := startSite(t, entries)
	for _, name := range []string{"model-1", "model-2", "model-3"} {
		site.Engine(name).SetFaults(slow)
	}
	return site
}

func TestExampleScriptsRun(t *testing.T) {
	site := startSite(t, 1)
	tests := []struct {
		file   string
		orders int
	}{
		{file: "quote.ini", orders: 1},
		{file: "survey.ini", orders: 1},
		{file: "tally.ini", orders: 0},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			before := len(site.Service("payment").Effects())
			text, err := examples.Files.ReadFile(test.file)
			require.NoError(t, err)
			s, err := inifile.ReadScript(test.file, text)
			require.NoError(t, err)
			report := script.Run(context.Background(), site.Client("entry-1"), s)
			require.NoError(t, report.Err)
			require.NotEmpty(t, report.Results)
			calls := 0
			for key, n := range site.Service("payment").Effects() {
				require.Equal(t, 1, n, "effects of %s", key)
				calls++
			}
			require.GreaterOrEqual(t, calls-before, test.orders)
		})
	}
}

// slow makes a token take about 10 ms.
var slow = engine.Faults{SlowdownFactor: 50}
