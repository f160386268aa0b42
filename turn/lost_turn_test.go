package turn_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestAcknowledgedTurnOfAnotherShardIsFoundAfterASilentLog guards against the loss of a
// turn that continues one of another shard: a new home that can't read the earlier turns
// wrote only the new text, and the end was acknowledged.
func TestAcknowledgedTurnOfAnotherShardIsFoundAfterASilentLog(t *testing.T) {
	const silence = 2 * time.Second
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		first, second := env.newShardSet(), env.newShardSet()
		require.NoError(t, begin(t, first, request("p", "turn0", 1000)))
		require.NoError(t, first.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "turn0", Completed: &turn.CompletedTurn{Text: []byte("a"), RetentionMS: 60_000}}))
		other := programOfAnotherShard("p")
		require.NoError(t, second.Load(t.Context(), turn.ShardOf(other, 4)))
		continued := request(other, "turn1", 1000)
		continued.Previous = "turn0"
		require.NoError(t, begin(t, first, continued))

		env.log.SetFault(turntest.Silent)
		time.AfterFunc(silence, func() { env.log.SetFault(turntest.NoFault) })
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		err := second.End(ctx, turn.EndRequest{Program: other, Attempt: "turn1", Completed: &turn.CompletedTurn{Previous: "turn0", Text: []byte("b"), RetentionMS: 60_000}})
		if err != nil {
			return // The caller does not have the turn.
		}
		next := request(other, "turn2", 1000)
		next.Previous = "turn1"
		admission, err := env.newShardSet().Begin(t.Context(), next)
		if assert.NoError(t, err, "an acknowledged turn can't be continued") {
			assert.Equal(t, "ab", string(admission.Text()))
		}
	})
}

// programOfAnotherShard returns a program that is not in the shard of the given one.
func programOfAnotherShard(program string) string {
	for i := 0; ; i++ {
		if other := fmt.Sprint("q", i); turn.ShardOf(other, 4) != turn.ShardOf(program, 4) {
			return other
		}
	}
}
