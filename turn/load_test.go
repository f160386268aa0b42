package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShardIsLoadedOnceForAllWhoWait is omuti-grown trouble-3: after an outage each
// request that waited for a shard read it, and asked every other front for copies.
func TestShardIsLoadedOnceForAllWhoWait(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		h := s.homes()
		s.log.Slow(300 * time.Millisecond)
		const waiting = 50
		admitted := make(chan error, waiting)
		for i := range waiting {
			go func() {
				_, err := h.Begin(t.Context(), request("p", fmt.Sprint("a", i), 100_000))
				admitted <- err
			}()
		}
		for range waiting {
			require.NoError(t, <-admitted)
		}
		require.Equal(t, 1, s.keeper.Asked())
		require.Equal(t, 1, s.log.Reads())
	})
}
