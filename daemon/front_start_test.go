package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStartStopsWaitingForOtherFronts guards against a front that goes on starting after it
// was asked to stop.
func TestStartStopsWaitingForOtherFronts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		time.AfterFunc(pollInterval, cancel)
		waitForPeers(ctx, func() int { return 0 }, func() int { return 10 })
		require.Equal(t, pollInterval, time.Since(started))
	})
}

// TestStartWaitsForMostFronts guards against fronts that all start, know different halves of each other,
// and so load the same shards (stoyanov-vale-grown inc-070d: fronts that had heard 16 of 29 loaded six
// shards each of which others were the home, and all were ready only 3.5 s after the start).
func TestStartWaitsForMostFronts(t *testing.T) {
	tests := []struct {
		name string
		// heard is how many of 29 fronts are heard at first and after 300 ms.
		heard, later int
		want         time.Duration
	}{
		{"all at once", 29, 29, minPeerWait},
		{"all after a while", 16, 29, 300 * time.Millisecond},
		{"some are gone", 16, 27, mostPeersWait},
		{"half are gone", 15, 15, mostPeersWait},
		{"most are gone", 3, 10, maxPeerWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				waitForPeers(t.Context(), func() int {
					if time.Since(started) < 300*time.Millisecond {
						return test.heard
					}
					return test.later
				}, func() int { return 29 })
				require.Equal(t, test.want, time.Since(started))
			})
		})
	}
}
