package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/turn"
)

// TestSettlementsAreAppendedByTheHome guards against a front that loads a whole shard only to
// write the settlements of attempts that it refused.
func TestSettlementsAreAppendedByTheHome(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		home := env.newShardSet()
		require.NoError(t, begin(t, home, request("p", "a", 100)))
		require.Equal(t, turn.KindBudget, turn.KindOf(begin(t, home, request("p", "b", 100))))
		env.replicator.SetHome(home)
		reads := env.log.Reads()
		other := turn.New(turn.Config{
			WriterID: 99, ShardCount: 4, Log: env.log, Replicator: env.replicator, Logger: zap.NewNop(), Linger: turn.DefaultLinger, LogTimeout: turn.DefaultLogTimeout,
			ReadTimeout: turn.DefaultReadTimeout, ReplicateBeginsAfter: turn.DefaultReplicateBeginsAfter, ReplicateEndsAfter: turn.DefaultReplicateEndsAfter,
			MaxStaleness: turn.DefaultMaxStaleness, IsHome: func(int) bool { return false },
		})
		require.NoError(t, other.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a"}))
		for i := range 10 {
			require.NoError(t, other.End(t.Context(), turn.EndRequest{Program: fmt.Sprint("q", i), Attempt: "a"}))
		}
		time.Sleep(time.Second)
		require.Zero(t, other.Status().PendingRecords)
		require.Zero(t, other.Status().LoadedShards)
		require.NoError(t, begin(t, home, request("p", "c", 100)), "the settlement released the tokens")
		require.LessOrEqual(t, env.log.Reads()-reads, 2*4, "the home reads each shard twice, the other front none")
	})
}
