package turn_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestReplicatedBeginIsKnownAfterATakeover guards against a program that exceeds its budget
// by a turn with each takeover of its shard in an outage of the log.
func TestReplicatedBeginIsKnownAfterATakeover(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		env.log.SetFault(turntest.AppliedLate)
		require.NoError(t, begin(t, env.newShardSet(), request("p", "first", 1000)))
		next := env.newShardSet()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		admission, err := next.Begin(ctx, request("p", "second", 1000))
		require.NoError(t, err)
		require.ErrorIs(t, admission.Wait(ctx), context.DeadlineExceeded, "only one begin record of a program may be replicated but not in the log")
	})
}
