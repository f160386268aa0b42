package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestShardIsLoadedOnceForAllWaitingRequests guards against a load storm after an
// outage, in which each request waiting for a shard read the shard itself and
// asked every other front for replicas.
func TestShardIsLoadedOnceForAllWaitingRequests(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		env.log.SetReadDelay(300 * time.Millisecond)
		const waiting = 50
		admitted := make(chan error, waiting)
		for i := range waiting {
			go func() {
				_, err := set.Begin(t.Context(), request("p", fmt.Sprint("a", i), 100_000))
				admitted <- err
			}()
		}
		for range waiting {
			require.NoError(t, <-admitted)
		}
		require.Equal(t, 1, env.replicator.Reads())
		require.Equal(t, 1, env.log.Reads())
	})
}

// TestReplicasAreReleasedTogether guards against a message storm after an outage,
// in which each replica was released by a message of its own to every other
// front.
func TestReplicasAreReleasedTogether(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		const programs = 60
		for i := range programs {
			require.NoError(t, begin(t, set, request(fmt.Sprint("p", i), fmt.Sprint("first", i), 1000)))
		}
		env.log.SetFault(turntest.Unavailable)
		for i := range programs {
			require.NoError(t, begin(t, set, request(fmt.Sprint("p", i), fmt.Sprint("second", i), 1000)), "one begin record of each program may be replicated")
		}
		env.log.SetFault(turntest.NoFault)
		time.Sleep(5 * time.Second)
		require.Zero(t, set.Status().PendingRecords)
		require.Positive(t, env.replicator.Releases())
		require.LessOrEqual(t, env.replicator.Releases(), 2*4, "at most two release messages for each shard")
	})
}
