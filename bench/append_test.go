package bench

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/dev"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/engine"
	platformstandin "github.com/lavendervale/lavendervale/standin/platform"
)

// BenchmarkAppends counts the log appends and reads per record while 60 programs
// run on nine homes. Each append takes 5 ms.
func BenchmarkAppends(b *testing.B) {
	const programs, turns = 60, 10
	cluster, err := dev.Start(dev.Config{
		Configuration: relayConfiguration, Engines: 9, Domains: 3, Engine: standin.Config{TimePerToken: time.Millisecond, PrefillTokensPerSecond: 1e9},
	})
	require.NoError(b, err)
	defer cluster.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(b, cluster.WaitReady(ctx))
	cluster.PlatformLog().SetFaults(platformstandin.LogFaults{Delay: 5 * time.Millisecond})
	before, startedAt := cluster.PlatformLog().Stats(), time.Now()
	for b.Loop() {
		var wg sync.WaitGroup
		for i := range programs {
			wg.Go(func() { runTurns(b, cluster, i, turns) })
		}
		wg.Wait()
	}
	after, elapsedSeconds := cluster.PlatformLog().Stats(), time.Since(startedAt).Seconds()
	records := float64(b.N) * programs * (turns + 2)
	b.ReportMetric(float64(after.Appends-before.Appends)/records, "appends/record")
	b.ReportMetric(float64(after.Appends-before.Appends)/elapsedSeconds, "appends/s")
	b.ReportMetric(float64(after.Reads-before.Reads)/records, "reads/record")
	b.ReportMetric(records/elapsedSeconds, "records/s")
}

// runTurns runs one program with the given number of turns.
func runTurns(tb testing.TB, cluster *dev.Cluster, programIndex, turns int) {
	key, err := client.NewKey()
	require.NoError(tb, err)
	p, err := cluster.Client("entry-1").Start(context.Background(), client.StartConfig{Class: "relay", Key: key})
	require.NoError(tb, err)
	for n := range turns {
		messages := []program.Message{program.NewMessage(program.RoleUser, fmt.Sprint("turn ", programIndex, n))}
		_, err := p.Ask(context.Background(), messages, 8, nil)
		require.NoError(tb, err)
	}
	_, err = p.Finish(context.Background())
	require.NoError(tb, err)
}
