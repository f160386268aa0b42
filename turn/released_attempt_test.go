package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestReleasedAttemptsThatWaitForALoadHoldNoTokens guards against a refusal for the budget
// that was never spent: attempts whose callers have left and that were released are still
// admitted when the shard is loaded at last, and hold the tokens of the whole program.
func TestReleasedAttemptsThatWaitForALoadHoldNoTokens(t *testing.T) {
	const attempts = 3
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		require.NoError(t, begin(t, env.newShardSet(), request("other", "o", 1000)))
		env.log.SetReadDelay(time.Second)
		set := env.newShardSet()
		returned := make(chan error, attempts)
		for i := range attempts {
			// The context is that of the home's handler, which outlasts the caller's.
			go func() {
				_, err := set.Begin(t.Context(), request("p", fmt.Sprint("left", i), attempts*100))
				returned <- err
			}()
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: fmt.Sprint("left", i)}))
		}
		for range attempts {
			<-returned
		}
		assert.NoError(t, begin(t, set, request("p", "live", attempts*100)), "no token of the program is spent or in use")
		env.log.SetReadDelay(0)
		env.log.SetFault(turntest.NoFault)
	})
}
