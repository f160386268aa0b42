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
	relayTokens = 2000
	relayClass  = "[class \"relay\"]\nrank = urgent\ntarget = 1h\nbudget = 1000000000\n"
)

func relaySite(tb testing.TB, decode time.Duration) *dev.Cluster {
	tb.Helper()
	site, err := dev.Start(dev.Config{
		Configuration: relayClass, Engines: 1, Domains: 1, Slots: 256,
		Engine: standin.Config{TimePerToken: decode, OutputTokens: relayTokens, PrefillTokensPerSecond: 1e9},
	})
	require.NoError(tb, err)
	tb.Cleanup(site.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(tb, site.WaitReady(ctx))
	return site
}

func relayMessages() []program.Message {
	return []program.Message{program.NewMessage(program.RoleUser, "How much is the lot?")}
}

// viaSystem returns a function that runs one call through entry and endpoint,
// and returns the time to the first token.
func viaSystem(tb testing.TB, site *dev.Cluster) func(tokens int64) time.Duration {
	c := site.Client("entry-1")
	return func(tokens int64) time.Duration {
		key, err := client.NewKey()
		require.NoError(tb, err)
		p, err := c.Start(context.Background(), client.StartConfig{Class: "relay", Key: key})
		require.NoError(tb, err)
		begun := time.Now()
		var first time.Duration
		_, err = p.Ask(context.Background(), relayMessages(), tokens, func(string) {
			if first == 0 {
				first = time.Since(begun)
			}
		})
		require.NoError(tb, err)
		_, err = p.Finish(context.Background())
		require.NoError(tb, err)
		return first
	}
}

// direct returns a function that runs one call at the bare engine.
func direct(tb testing.TB, site *dev.Cluster) func(tokens int64) time.Duration {
	c := engine.New(engine.Config{Address: site.EngineAddress("model-1")})
	tb.Cleanup(c.Close)
	return func(tokens int64) time.Duration {
		begun := time.Now()
		var first time.Duration
		_, err := c.Complete(context.Background(), home.NewPrompt(home.PromptConfig{
			Program: program.NewID("bench", "direct"), Messages: relayMessages(), MaxTokens: tokens,
		}), func([]byte) {
			if first == 0 {
				first = time.Since(begun)
			}
		})
		require.NoError(tb, err)
		return first
	}
}

// BenchmarkRelayFirstToken compares the time to the first token through the
// system with that of the bare engine.
func BenchmarkRelayFirstToken(b *testing.B) {
	site := relaySite(b, -1)
	for _, way := range []struct {
		name string
		run  func(tokens int64) time.Duration
	}{{"direct", direct(b, site)}, {"system", viaSystem(b, site)}} {
		b.Run(way.name, func(b *testing.B) {
			way.run(4)
			var sum time.Duration
			for b.Loop() {
				sum += way.run(4)
			}
			b.ReportMetric(float64(sum.Microseconds())/float64(b.N), "us-to-first-token")
		})
	}
}

// BenchmarkRelayTokens measures the relay of many streams whose tokens come
// one at a time, in processor time of all processes with a client that only
// discards bytes: the difference of the two ways is what entry and endpoint
// cost together.
func BenchmarkRelayTokens(b *testing.B) {
	const streams, tokens = 64, relayTokens / 8
	site := relaySite(b, 2*time.Millisecond)
	for _, way := range []struct {
		name    string
		request func() *http.Request
	}{
		{"direct", func() *http.Request { return engineRequest(b, site, tokens) }},
		{"system", func() *http.Request { return entryRequest(b, site, tokens) }},
	} {
		b.Run(way.name, func(b *testing.B) {
			begun := cpuTime()
			for b.Loop() {
				var work sync.WaitGroup
				for range streams {
					r := way.request()
					work.Go(func() { discard(b, r) })
				}
				work.Wait()
			}
			total := float64(b.N) * streams * tokens
			b.ReportMetric((cpuTime()-begun).Seconds()*1e6/total, "cpu-us/token")
			b.ReportMetric(total/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// discard sends a request and reads its answer to the end.
func discard(tb testing.TB, r *http.Request) int64 {
	response, err := http.DefaultClient.Do(r)
	require.NoError(tb, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(tb, err)
	require.NoError(tb, response.Body.Close())
	return n
}
