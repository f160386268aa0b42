package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/permit/permittest"
)

// TestEndpointGetsNoMoreThanTheLimitItNames guards against fronts that together send an
// endpoint more requests than the limit named in its responses.
func TestEndpointGetsNoMoreThanTheLimitItNames(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	fronts := []*testFront{s.startFront(), s.startFront(), s.startFront()}
	const limit = 2.0
	s.engines[0].SetLimit(fmt.Sprint(limit))
	s.shops[0].SetLimit(fmt.Sprint(limit))
	started := time.Now()
	ended, stall := make(chan struct{}), make(chan time.Duration, 1)
	go func() { stall <- permittest.LongestStall(ended) }()
	var clients sync.WaitGroup
	for i, f := range fronts {
		for _, call := range []struct{ method, path string }{{http.MethodPost, "/survey/1"}, {http.MethodGet, "/look/1"}, {http.MethodPost, "/pay/1"}} {
			clients.Go(func() {
				for n := 0; time.Since(started) < permittest.Settle+permittest.Span+time.Second; n++ {
					status, _, body, err := f.send(t, call.method, call.path, fmt.Sprintf("id-%d-%s-%d", i, call.path, n), "x")
					if err != nil || status != http.StatusOK {
						t.Errorf("%s: status %d, %v: %s", call.path, status, err, body)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	close(ended)
	// On a busy machine requests that were sent within the limit arrive together.
	longest := <-stall
	allowed, since := permittest.AllowedAfter(limit, longest), started.Add(permittest.Settle)
	t.Logf("longest stall %s, %d requests allowed", longest, allowed)
	require.LessOrEqual(t, permittest.MostInSpan(s.engines[0].Arrivals(), since), allowed, "an engine")
	require.LessOrEqual(t, permittest.MostInSpan(s.shops[0].Arrivals(), since), allowed, "a plain service")
	require.NotEmpty(t, s.engines[1].Arrivals())
}
