package turn_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
)

// TestBudgetHoldsAfterTrimming guards against a program that gets more than its budget because its first
// records were trimmed from the log before another process reads it.
func TestBudgetHoldsAfterTrimming(t *testing.T) {
	const budget, delivered = 2000, 100
	tests := []struct {
		name string
		// age is the age of the program when it is read back.
		age time.Duration
	}{
		{name: "all records are left", age: 100 * time.Second},
	}
	for seconds := 300; seconds < 340; seconds += 4 {
		tests = append(tests, struct {
			name string
			age  time.Duration
		}{fmt.Sprintf("first records are trimmed, after %d s", seconds), time.Duration(seconds) * time.Second})
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				set := env.newShardSet()
				go set.Run(ctx)
				spent := int64(0)
				play := func(set *turn.ShardSet, attempt string, length time.Duration) bool {
					if err := begin(t, set, request("p", attempt, budget)); err != nil {
						require.Equal(t, turn.KindBudget, turn.KindOf(err), "%v", err)
						return false
					}
					time.Sleep(length)
					require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: attempt, DeliveredTokens: delivered}))
					time.Sleep(time.Second)
					spent += delivered
					return true
				}
				for n := 0; n < 10; n++ {
					require.True(t, play(set, fmt.Sprint("a", n), 5*time.Second))
					time.Sleep(test.age/10 - 6*time.Second)
				}
				next := env.newShardSet()
				for n := 0; play(next, fmt.Sprint("b", n), 0); n++ {
					require.LessOrEqual(t, spent, int64(budget+delivered), "the budget and one turn")
				}
			})
		})
	}
}
