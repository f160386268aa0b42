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

// BenchmarkAppends counts the appends and reads of the log for the turns of
// many programs at nine homes; an append takes 5 ms.
func BenchmarkAppends(b *testing.B) {
	const programs, turns = 60, 10
	site, err := dev.Start(dev.Config{
		Configuration: relayClass, Engines: 9, Domains: 3, Engine: standin.Config{TimePerToken: time.Millisecond, PrefillTokensPerSecond: 1e9},
	})
	require.NoError(b, err)
	defer site.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(b, site.WaitReady(ctx))
	site.PlatformLog().SetFaults(platformstandin.LogFaults{Delay: 5 * time.Millisecond})
	before, begun := site.PlatformLog().Stats(), time.Now()
	for b.Loop() {
		var work sync.WaitGroup
		for i := range programs {
			work.Go(func() { runTurns(b, site, i, turns) })
		}
		work.Wait()
	}
	after, took := site.PlatformLog().Stats(), time.Since(begun).Seconds()
	records := float64(b.N) * programs * (turns + 2)
	b.ReportMetric(float64(after.Appends-before.Appends)/records, "appends/record")
	b.ReportMetric(float64(after.Appends-before.Appends)/took, "appends/s")
	b.ReportMetric(float64(after.Reads-before.Reads)/records, "reads/record")
	b.ReportMetric(records/took, "records/s")
}

func runTurns(tb testing.TB, site *dev.Cluster, i, turns int) {
	key, err := client.NewKey()
	require.NoError(tb, err)
	p, err := site.Client("entry-1").Start(context.Background(), client.StartConfig{Class: "relay", Key: key})
	require.NoError(tb, err)
	for n := range turns {
		messages := []program.Message{program.NewMessage(program.RoleUser, fmt.Sprint("turn ", i, n))}
		_, err := p.Ask(context.Background(), messages, 8, nil)
		require.NoError(tb, err)
	}
	_, err = p.Finish(context.Background())
	require.NoError(tb, err)
}
