package turn_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
)

// TestSlowReadAfterAConflictAdmitsNoTurnsBeyondTheBudget guards against attempts that are
// admitted on an old state of the shard: the read after a conflict outlasts the wait for
// it, its records are applied when nobody checks the pending attempts against them, and
// the next append succeeds.
func TestSlowReadAfterAConflictAdmitsNoTurnsBeyondTheBudget(t *testing.T) {
	const (
		turns  = 5
		budget = turns * 100
	)
	tests := []struct {
		name      string
		readDelay time.Duration
	}{
		{name: "quick read"},
		{name: "read that takes longer than the wait for it", readDelay: turn.DefaultLogTimeout + 100*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				first, second := env.newShardSet(), env.newShardSet()
				for _, set := range []*turn.ShardSet{first, second} {
					require.NoError(t, set.Load(t.Context(), turn.ShardOf("p", 4)))
				}
				for i := range turns {
					require.NoError(t, begin(t, first, request("p", fmt.Sprint("first", i), budget)))
				}
				env.log.SetReadDelay(test.readDelay)
				admitted := make(chan error, turns)
				for i := range turns {
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
						defer cancel()
						admission, err := second.Begin(ctx, request("p", fmt.Sprint("second", i), budget))
						if err == nil {
							err = admission.Wait(ctx)
						}
						admitted <- err
					}()
				}
				beyond := 0
				for range turns {
					if err := <-admitted; err == nil {
						beyond++
					}
				}
				assert.LessOrEqual(t, beyond, 1, "turns admitted beyond a spent budget; one is allowed")
				env.log.SetReadDelay(0)
			})
		})
	}
}

// TestSearchBeforeAnAppendAdmitsNoTurnsBeyondTheBudget guards against attempts that are
// admitted on an old state of the shard: a search reads the records of another home before
// the pending attempts are appended, and nobody checks them against these records.
func TestSearchBeforeAnAppendAdmitsNoTurnsBeyondTheBudget(t *testing.T) {
	const (
		turns  = 5
		budget = turns * 100
	)
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		shard := turn.ShardOf("p", 4)
		first, second := env.newShardSet(), env.newShardSet()
		for _, set := range []*turn.ShardSet{first, second} {
			require.NoError(t, set.Load(t.Context(), shard))
		}
		for i := range turns {
			require.NoError(t, begin(t, first, request("p", fmt.Sprint("first", i), budget)))
		}
		var admissions []turn.Admission
		for i := range turns {
			admission, err := second.Begin(t.Context(), request("p", fmt.Sprint("second", i), budget))
			require.NoError(t, err)
			admissions = append(admissions, admission)
		}
		_, _, err := second.Find(t.Context(), "unknown turn", []int{shard})
		require.NoError(t, err)
		beyond := 0
		for _, admission := range admissions {
			if admission.Wait(t.Context()) == nil {
				beyond++
			}
		}
		assert.LessOrEqual(t, beyond, 1, "turns admitted beyond a spent budget; one is allowed")
	})
}
