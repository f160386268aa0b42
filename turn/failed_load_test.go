package turn_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestCallerWithTimeLeftOutlastsAFailedLoad guards against one failed read that refuses all
// requests for a shard, and ends the loads at the start of a process, though the log
// answers again long before their deadlines.
func TestCallerWithTimeLeftOutlastsAFailedLoad(t *testing.T) {
	const (
		outage  = 300 * time.Millisecond
		timeout = 4 * time.Second
	)
	tests := []struct {
		name  string
		fault turntest.Fault
		call  func(ctx context.Context, set *turn.ShardSet) error
	}{
		{name: "begin, log refuses", fault: turntest.Unavailable, call: beginAttempt},
		{name: "begin, log is silent", fault: turntest.Silent, call: beginAttempt},
		{name: "load at the start, log refuses", fault: turntest.Unavailable, call: loadShard},
		{name: "load at the start, log is silent", fault: turntest.Silent, call: loadShard},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				require.NoError(t, begin(t, env.newShardSet(), request("p", "earlier", 1000)))
				env.log.SetFault(test.fault)
				time.AfterFunc(outage, func() { env.log.SetFault(turntest.NoFault) })
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				assert.NoError(t, test.call(ctx, env.newShardSet()), "%v after the return of the log", timeout-outage)
				time.Sleep(outage)
			})
		})
	}
}

func beginAttempt(ctx context.Context, set *turn.ShardSet) error {
	_, err := set.Begin(ctx, request("p", "a", 1000))
	return err
}

func loadShard(ctx context.Context, set *turn.ShardSet) error {
	return set.Load(ctx, turn.ShardOf("p", 4))
}
