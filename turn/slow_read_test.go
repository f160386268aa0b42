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

// TestShardIsLoadedFromALogWithSlowReads guards against a shard that is never loaded
// because each read of its page is given up before the end and begins anew.
func TestShardIsLoadedFromALogWithSlowReads(t *testing.T) {
	const (
		// One page holds all records.
		records, recordBytes = 25, 40_000
		requestTimeout       = 10 * time.Second
	)
	for _, readTime := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		t.Run(fmt.Sprint("a page takes ", readTime), func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				writer := env.newShardSet()
				for i := range records {
					attempt := fmt.Sprint("turn", i)
					require.NoError(t, begin(t, writer, request("p", attempt, 100_000)))
					require.NoError(t, writer.End(t.Context(), turn.EndRequest{Program: "p", Attempt: attempt, Completed: &turn.CompletedTurn{Text: make([]byte, recordBytes), RetentionMS: 60_000}}))
				}
				env.log.SetReadRate(int(float64(records*recordBytes) / readTime.Seconds()))
				set := env.newShardSet()
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
				defer cancel()
				var err error
				for ctx.Err() == nil {
					if _, err = set.Begin(ctx, turn.BeginRequest{Program: "p", Attempt: "a", Previous: "turn0"}); err == nil {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				assert.NoError(t, err, "not admitted within %v", requestTimeout)
				env.log.SetReadRate(0)
			})
		})
	}
}
