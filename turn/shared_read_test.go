package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
)

// TestShardIsReadOnceForALoadAndAnEnd guards against a new home that reads a shard twice at
// the same time, once to load it and once to find the turn that an end continues, so that
// both reads take twice as long.
func TestShardIsReadOnceForALoadAndAnEnd(t *testing.T) {
	const (
		// One page holds all records; a read of it takes a second.
		records, recordBytes = 25, 40_000
		readTime             = time.Second
	)
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		writer := env.newShardSet()
		for i := range records {
			attempt := fmt.Sprint("turn", i)
			require.NoError(t, begin(t, writer, request("p", attempt, 100_000)))
			require.NoError(t, writer.End(t.Context(), turn.EndRequest{Program: "p", Attempt: attempt, Completed: &turn.CompletedTurn{Text: make([]byte, recordBytes), RetentionMS: 60_000}}))
		}
		env.log.SetReadRate(records * recordBytes / int(readTime.Seconds()))
		set := env.newShardSet()
		ended := make(chan error, 1)
		go func() {
			ended <- set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a", Completed: &turn.CompletedTurn{Previous: "turn0", Text: []byte("a"), RetentionMS: 60_000}})
		}()
		time.Sleep(time.Millisecond)
		started := time.Now()
		assert.NoError(t, begin(t, set, request("p", "b", 100_000)))
		assert.Less(t, time.Since(started), readTime+readTime/2)
		assert.NoError(t, <-ended)
		env.log.SetReadRate(0)
	})
}
