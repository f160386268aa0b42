package turn

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

// emptyLog is a log that never holds a record.
type emptyLog struct{}

func (emptyLog) AppendAt(context.Context, int, int64, [][]byte) error { return nil }
func (emptyLog) Read(_ context.Context, _ int, offset int64) (Page, error) {
	return Page{NextOffset: offset}, nil
}
func (emptyLog) Trim(context.Context, int, int64) error { return nil }

// noReplicas is a replicator without replicas.
type noReplicas struct{}

func (noReplicas) Replicate(context.Context, int, [][]byte) error { return nil }
func (noReplicas) ReleaseReplicas(int, [][]byte)                  {}
func (noReplicas) AppendAtHome(context.Context, int, [][]byte) error {
	return Errorf("append at home", KindUnavailable, "no other process is the home")
}
func (noReplicas) Replicas(context.Context, int) [][]byte { return nil }

func newMemorySet() *ShardSet {
	return New(Config{
		WriterID: 1, ShardCount: 1, Log: emptyLog{}, Replicator: noReplicas{}, Logger: zap.NewNop(), LogTimeout: DefaultLogTimeout, ReadTimeout: DefaultReadTimeout,
		IsHome:                func(int) bool { return true },
		FindElsewhere:         func(context.Context, string, int) ([]byte, bool, error) { return []byte("a conversation"), true, nil },
		FindInMemoryElsewhere: func(context.Context, string) ([]byte, bool) { return nil, false },
	})
}

// TestRefusedAttemptKeepsNoConversation guards against memory that grows with each refused
// attempt to continue a conversation of another shard.
func TestRefusedAttemptKeepsNoConversation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := newMemorySet()
		_, err := set.Begin(t.Context(), BeginRequest{Program: "p", Attempt: "a", Previous: "elsewhere", BudgetTokens: 10, MaxTokens: 20})
		require.Equal(t, KindBudget, KindOf(err))
		require.Empty(t, set.shard(0).fetchedTextByAttempt)
	})
}

// TestNewShardIsNotDroppedBeforeItsFirstUse guards against two copies of a shard in one
// process.
func TestNewShardIsNotDroppedBeforeItsFirstUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := newMemorySet()
		s := set.shard(0)
		set.expireAndTrim(t.Context())
		require.Same(t, s, set.shard(0))
	})
}

// TestTrimPointsAreAsSparseAfterReadingBack guards against a trim point for each old record
// of a shard that is loaded.
func TestTrimPointsAreAsSparseAfterReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemorySet().shard(0)
		const records, perSecond = 1000, 100
		var encoded [][]byte
		written := time.Now().Add(-time.Minute)
		for i := range records {
			data, err := proto.Marshal(&turnpb.Record{WrittenMs: written.Add(time.Duration(i) * time.Second / perSecond).UnixMilli()})
			require.NoError(t, err)
			encoded = append(encoded, data)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.applyRecords(0, encoded)
		require.LessOrEqual(t, len(s.trimPoints), records/perSecond+1)
	})
}
