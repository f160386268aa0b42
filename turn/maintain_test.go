package turn

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// silentTrimLog never answers a request to trim a shard.
type silentTrimLog struct{ emptyLog }

// Trim implements Log.
func (silentTrimLog) Trim(ctx context.Context, _ int, _ int64) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestSilentLogDoesNotStopMaintenance guards against shards that are never expired and trimmed again
// because the store was silent when one of them was trimmed.
func TestSilentLogDoesNotStopMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := New(Config{ShardCount: 2, Log: silentTrimLog{}, LogTimeout: DefaultLogTimeout, Logger: zap.NewNop()})
		for number := range 2 {
			set.shard(number).trimPoints = []trimPoint{{offset: 7, writtenAt: time.Now().Add(-2 * trimAge)}}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		began := time.Now()
		set.expireAndTrim(ctx)
		require.Equal(t, 2*DefaultLogTimeout, time.Since(began))
	})
}
