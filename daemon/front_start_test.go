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
