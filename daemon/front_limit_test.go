package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// limitWindow is the span in which requests at an endpoint are counted, and limitSettle
	// how long after it named its limit the bound holds.
	limitWindow, limitSettle = 4 * time.Second, 3 * time.Second
	// limitSlack and limitExcess are what the bound leaves above the limit.
	limitSlack, limitExcess = 1.5, 5
)

// mostInWindow returns the greatest number of times from since on that fall into one span of
// limitWindow.
func mostInWindow(times []time.Time, since time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(since) && first < i || at.Sub(times[first]) > limitWindow {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

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
	var clients sync.WaitGroup
	for i, f := range fronts {
		for _, call := range []struct{ method, path string }{{http.MethodPost, "/survey/1"}, {http.MethodGet, "/look/1"}, {http.MethodPost, "/pay/1"}} {
			clients.Go(func() {
				for n := 0; time.Since(started) < limitSettle+limitWindow+time.Second; n++ {
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
	allowed := int(limitSlack*limit*limitWindow.Seconds()) + limitExcess
	require.LessOrEqual(t, mostInWindow(s.engines[0].Arrivals(), started.Add(limitSettle)), allowed, "an engine")
	require.LessOrEqual(t, mostInWindow(s.shops[0].Arrivals(), started.Add(limitSettle)), allowed, "a plain service")
	require.NotEmpty(t, s.engines[1].Arrivals())
}
