package turn_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestReplicasAreReliedOnOnlyAfterTheShardIsReadAgain guards against a home that admits turns in an outage
// by what it knew before another one was the home.
func TestReplicasAreReliedOnOnlyAfterTheShardIsReadAgain(t *testing.T) {
	shard := turn.ShardOf("p", 4)
	tests := []struct {
		name string
		// change is what happens between the last turn and the outage.
		change func(t *testing.T, set *turn.ShardSet)
		// want and wantLeased tell whether a turn is admitted in the outage, without and under a lease.
		want, wantLeased bool
	}{
		{name: "no change", change: func(*testing.T, *turn.ShardSet) {}, want: true, wantLeased: true},
		{name: "another home", change: func(_ *testing.T, set *turn.ShardSet) { set.ReleaseLeases([]int{shard}) }},
		{name: "suspension", change: func(_ *testing.T, set *turn.ShardSet) { set.MarkForeign([]int{shard}) }, wantLeased: true},
		{name: "other shard", change: func(_ *testing.T, set *turn.ShardSet) { set.MarkForeign([]int{shard + 1}) }, want: true, wantLeased: true},
		{name: "another home, then an append", change: func(t *testing.T, set *turn.ShardSet) {
			set.ReleaseLeases([]int{shard})
			time.Sleep(time.Second)
			require.Equal(t, 1, runTurns(t, set, "p", "again", 2000, 1))
			time.Sleep(time.Second)
		}, want: true, wantLeased: true},
		{name: "suspension, then a read", change: func(t *testing.T, set *turn.ShardSet) {
			set.MarkForeign([]int{shard})
			time.Sleep(time.Second)
			_, _, err := set.Find(t.Context(), "unknown", []int{shard})
			require.NoError(t, err)
		}, want: true, wantLeased: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				set := env.newShardSet()
				require.Equal(t, 1, runTurns(t, set, "p", "before", 2000, 1))
				time.Sleep(time.Second)
				test.change(t, set)
				env.log.SetFault(turntest.Unavailable)
				require.Equal(t, test.wantLeased, runTurns(t, set, "p", "leased", 2000, 2) == 2)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				admission, err := set.Begin(ctx, request(sameShardAs("p"), "replicated", 2000))
				require.NoError(t, err)
				require.Equal(t, test.want, admission.Wait(ctx) == nil)
			})
		})
	}
}

// sameShardAs returns another program of the same shard.
func sameShardAs(program string) string {
	other := program + "'"
	for turn.ShardOf(other, 4) != turn.ShardOf(program, 4) {
		other += "'"
	}
	return other
}
