package bench

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/engine"
	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/dev"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/engine"
)

const (
	// relayTokens is the length of the answers of the engine, unless a call asks for
	// fewer tokens.
	relayTokens        = 2000
	relayConfiguration = "[class \"relay\"]\nrank = urgent\ntarget = 1h\nbudget = 1000000000\n"
)

// startRelayCluster starts a cluster with one engine that takes decode for each token.
func startRelayCluster(tb testing.TB, decode time.Duration) *dev.Cluster {
	tb.Helper()
	cluster, err := dev.Start(dev.Config{
		Configuration: relayConfiguration, Engines: 1, Domains: 1, Slots: 256,
		Engine: standin.Config{TimePerToken: decode, OutputTokens: relayTokens, PrefillTokensPerSecond: 1e9},
	})
	require.NoError(tb, err)
	tb.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(tb, cluster.WaitReady(ctx))
	return cluster
}

func relayMessages() []program.Message {
	return []program.Message{program.NewMessage(program.RoleUser, "How much is the lot?")}
}

// callThroughSystem returns a function that runs one call through entry and
// endpoint and returns the time to the first token.
func callThroughSystem(tb testing.TB, cluster *dev.Cluster) func(tokens int64) time.Duration {
	c := cluster.Client("entry-1")
	return func(tokens int64) time.Duration {
		key, err := client.NewKey()
		require.NoError(tb, err)
		p, err := c.Start(context.Background(), client.StartConfig{Class: "relay", Key: key})
		require.NoError(tb, err)
		startedAt := time.Now()
		var firstTokenTime time.Duration
		_, err = p.Ask(context.Background(), relayMessages(), tokens, func(string) {
			if firstTokenTime == 0 {
				firstTokenTime = time.Since(startedAt)
			}
		})
		require.NoError(tb, err)
		_, err = p.Finish(context.Background())
		require.NoError(tb, err)
		return firstTokenTime
	}
}

// callEngineDirectly returns a function that runs one call at the engine, without
// entry and endpoint, and returns the time to the first token.
func callEngineDirectly(tb testing.TB, cluster *dev.Cluster) func(tokens int64) time.Duration {
	c := engine.New(engine.Config{Address: cluster.EngineAddress("model-1")})
	tb.Cleanup(c.Close)
	return func(tokens int64) time.Duration {
		startedAt := time.Now()
		var firstTokenTime time.Duration
		_, err := c.Complete(context.Background(), home.NewPrompt(home.PromptConfig{
			Program: program.NewID("bench", "direct"), Messages: relayMessages(), MaxTokens: tokens,
		}), func([]byte) {
			if firstTokenTime == 0 {
				firstTokenTime = time.Since(startedAt)
			}
		})
		require.NoError(tb, err)
		return firstTokenTime
	}
}

// BenchmarkRelayFirstToken compares the time to the first token through the
// system with a direct call to the engine.
func BenchmarkRelayFirstToken(b *testing.B) {
	cluster := startRelayCluster(b, -1)
	for _, path := range []struct {
		name string
		run  func(tokens int64) time.Duration
	}{{"direct", callEngineDirectly(b, cluster)}, {"system", callThroughSystem(b, cluster)}} {
		b.Run(path.name, func(b *testing.B) {
			path.run(4)
			var total time.Duration
			for b.Loop() {
				total += path.run(4)
			}
			b.ReportMetric(float64(total.Microseconds())/float64(b.N), "us-to-first-token")
		})
	}
}

// BenchmarkRelayTokens measures the processor time per token of many concurrent
// streams, for client, engine, entry and endpoint together. The client discards the
// response. The difference between the two paths is the cost of entry and endpoint.
func BenchmarkRelayTokens(b *testing.B) {
	const streams, tokens = 64, relayTokens / 8
	cluster := startRelayCluster(b, 2*time.Millisecond)
	for _, path := range []struct {
		name    string
		request func() *http.Request
	}{
		{"direct", func() *http.Request { return engineRequest(b, cluster, tokens) }},
		{"system", func() *http.Request { return entryRequest(b, cluster, tokens) }},
	} {
		b.Run(path.name, func(b *testing.B) {
			cpuBefore := cpuTime()
			for b.Loop() {
				var wg sync.WaitGroup
				for range streams {
					r := path.request()
					wg.Go(func() { discardResponse(b, r) })
				}
				wg.Wait()
			}
			total := float64(b.N) * streams * tokens
			b.ReportMetric((cpuTime()-cpuBefore).Seconds()*1e6/total, "cpu-us/token")
			b.ReportMetric(total/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// discardResponse sends a request, reads the response to its end and returns the
// length of the body.
func discardResponse(tb testing.TB, r *http.Request) int64 {
	response, err := http.DefaultClient.Do(r)
	require.NoError(tb, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(tb, err)
	require.NoError(tb, response.Body.Close())
	return n
}
