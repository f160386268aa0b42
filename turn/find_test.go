package turn_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// programIn returns the name of a program of a shard.
func programIn(shard int) string {
	for i := 0; ; i++ {
		if program := fmt.Sprint("program-", i); turn.ShardOf(program, 4) == shard {
			return program
		}
	}
}

// TestTurnIsFoundWhileTheShardOfItsNextProgramIsAway guards against a turn that another process has in
// memory, but is not found as long as the shard of the program that continues it can't be read.
func TestTurnIsFoundWhileTheShardOfItsNextProgramIsAway(t *testing.T) {
	tests := []struct {
		name  string
		fault turntest.Fault
		// unknown is set if no process has the turn in memory.
		unknown bool
		// within bounds the time until the turn is found.
		within   time.Duration
		searches int
	}{
		{name: "no fault", within: time.Millisecond},
		{name: "silent", fault: turntest.Silent, within: 100 * time.Millisecond, searches: 1},
		{name: "refused", fault: turntest.Unavailable, within: time.Millisecond, searches: 1},
		{name: "silent, in no memory", fault: turntest.Silent, unknown: true, searches: 1},
		{name: "refused, in no memory", fault: turntest.Unavailable, unknown: true, searches: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				other, home := env.newShardSet(), env.newShardSet()
				first, next := programIn(0), programIn(1)
				require.NoError(t, begin(t, other, request(first, "first", 1000)))
				require.NoError(t, other.End(t.Context(), turn.EndRequest{
					Program: first, Attempt: "first", DeliveredTokens: 10, Completed: &turn.CompletedTurn{Text: []byte("said before"), RetentionMS: 60_000},
				}))
				require.NoError(t, home.Load(t.Context(), 1))
				if !test.unknown {
					env.other = other
				}
				env.log.SetShardFault(1, test.fault)
				defer env.log.SetShardFault(1, turntest.NoFault)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				r, started := request(next, "next", 1000), time.Now()
				r.Previous = "first"
				admission, err := home.Begin(ctx, r)
				require.Equal(t, test.searches, env.memorySearches)
				if test.unknown {
					require.Equal(t, turn.KindUnavailable, turn.KindOf(err), "%v", err)
					return
				}
				require.NoError(t, err)
				require.Equal(t, "said before", string(admission.Text()))
				require.LessOrEqual(t, time.Since(started), test.within)
			})
		})
	}
}
