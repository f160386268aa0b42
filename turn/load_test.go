package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn/turntest"
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

// TestCopiesAreSettledTogether is the same day: each record of the outage was settled
// by a message of its own to every other front.
func TestCopiesAreSettledTogether(t *testing.T) {
	inSite(t, func(t *testing.T, s *site) {
		h := s.homes()
		const programs = 60
		for i := range programs {
			require.NoError(t, begin(t, h, request(fmt.Sprint("p", i), fmt.Sprint("first", i), 1000)))
		}
		s.log.Set(turntest.Down)
		for i := range programs {
			require.NoError(t, begin(t, h, request(fmt.Sprint("p", i), fmt.Sprint("second", i), 1000)), "one turn a program rests on copies")
		}
		s.log.Set(turntest.None)
		time.Sleep(5 * time.Second)
		require.Zero(t, h.Status().Pending)
		require.Positive(t, s.keeper.Settlements())
		require.LessOrEqual(t, s.keeper.Settlements(), 2*4, "a message or two for each shard")
	})
}
