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

// TestBudgetHoldsWhenAHomeReturnsInAnOutage guards against a program that gets more than its budget and
// one turn: a process that was the home of its shard some seconds ago becomes it again while the log is
// away, admits a turn by what it knew then, as the home in between does, and all processes are lost.
func TestBudgetHoldsWhenAHomeReturnsInAnOutage(t *testing.T) {
	const budget, tokens = 1000, 100
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		former, home := env.newShardSet(), env.newShardSet()
		spent := int64(0)
		play := func(set *turn.ShardSet, attempt string) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			admission, err := set.Begin(ctx, request("p", attempt, budget))
			if err != nil {
				return err
			}
			if err := admission.Wait(ctx); err != nil {
				return err
			}
			spent += tokens
			return set.End(ctx, turn.EndRequest{Program: "p", Attempt: attempt, DeliveredTokens: tokens})
		}
		require.NoError(t, play(former, "first"))
		time.Sleep(time.Second)
		former.ReleaseLeases([]int{turn.ShardOf("p", 4)})
		for n := range 8 {
			require.NoError(t, play(home, fmt.Sprint("home", n)))
			time.Sleep(500 * time.Millisecond)
		}
		env.log.SetFault(turntest.Unavailable)
		_ = play(former, "returned")
		_ = play(home, "woken")
		time.Sleep(time.Second)

		env.replicator.LoseAll()
		// The processes are gone with what they had not written.
		lost := env.log
		env.log = turntest.NewLog()
		require.NoError(t, copyLog(t, lost, env.log))
		next := env.newShardSet()
		for n := 0; n < 5 && play(next, fmt.Sprint("next", n)) == nil; n++ {
		}
		assert.LessOrEqual(t, spent, int64(budget+tokens), "the budget and one turn")
		lost.SetFault(turntest.NoFault)
	})
}

// copyLog appends the records of a log to an empty one.
func copyLog(t *testing.T, from, to *turntest.Log) error {
	from.SetFault(turntest.NoFault)
	defer from.SetFault(turntest.Unavailable)
	for shard := range 4 {
		page, err := from.Read(t.Context(), shard, 0)
		if err != nil {
			return err
		}
		if err := to.AppendAt(t.Context(), shard, 0, page.Records); err != nil {
			return err
		}
	}
	return nil
}
