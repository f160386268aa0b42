package turn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestSpentTokensAreCountedFromTheFirstRecordLeft guards against budgets that start anew because the first
// record left of a program has no count of spent tokens, as those of earlier versions.
func TestSpentTokensAreCountedFromTheFirstRecordLeft(t *testing.T) {
	begin := func(attempt string, spent int64) *turnpb.Record {
		return &turnpb.Record{Body: &turnpb.Record_Begin{Begin: &turnpb.Begin{Program: "p", Attempt: attempt, Tokens: 100, Spent: spent}}}
	}
	end := func(attempt string, spent, tokens int64) *turnpb.Record {
		return &turnpb.Record{Body: &turnpb.Record_End{End: &turnpb.End{Program: "p", Attempt: attempt, Spent: spent, Tokens: tokens}}}
	}
	tests := []struct {
		name    string
		records []*turnpb.Record
		// used is what is spent or reserved according to the records.
		used int64
	}{
		{name: "begin record with a count", records: []*turnpb.Record{begin("a", 500)}, used: 600},
		{name: "begin record with a count, and its end", records: []*turnpb.Record{begin("a", 500), end("a", 500, 30)}, used: 530},
		{name: "end record", records: []*turnpb.Record{end("a", 500, 30)}, used: 530},
		{name: "begin record without a count, as of earlier versions", records: []*turnpb.Record{begin("a", 0)}, used: 100},
		{name: "begin record without a count, and its end", records: []*turnpb.Record{begin("a", 0), end("a", 500, 30)}, used: 530},
		{name: "end record without a count, as of a front that has not loaded the shard", records: []*turnpb.Record{end("a", 0, 30), begin("b", 530), end("b", 530, 40)}, used: 570},
		{name: "count before the end of an attempt under way", records: []*turnpb.Record{begin("a", 0), begin("b", 0), end("a", 0, 30), end("b", 30, 40)}, used: 70},
		{name: "end record twice", records: []*turnpb.Record{begin("a", 500), end("a", 500, 30), end("a", 530, 30)}, used: 530},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				var records [][]byte
				for n, r := range test.records {
					r.Writer, r.Append, r.WrittenMs = 99, uint64(n+1), time.Now().UnixMilli()
					data, err := proto.Marshal(r)
					require.NoError(t, err)
					records = append(records, data)
				}
				require.NoError(t, env.log.AppendAt(t.Context(), turn.ShardOf("p", 4), 0, records))
				set := env.newShardSet()
				_, err := set.Begin(t.Context(), request("p", "over", test.used+99))
				require.Equal(t, turn.KindBudget, turn.KindOf(err))
				_, err = set.Begin(t.Context(), request("p", "within", test.used+100))
				require.NoError(t, err)
			})
		})
	}
}

// TestSpentTokensOfPendingRecordsAreCounted guards against counts that leave out what attempts delivered
// while the log was away, whose records may be trimmed before those with the counts.
func TestSpentTokensOfPendingRecordsAreCounted(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		require.Equal(t, 1, runTurns(t, set, "p", "before", 2000, 1))
		time.Sleep(time.Second)
		env.log.SetFault(turntest.Unavailable)
		require.Equal(t, 4, runTurns(t, set, "p", "during", 2000, 4))
		env.log.SetFault(turntest.NoFault)
		time.Sleep(3 * time.Second)
		page, err := env.log.Read(t.Context(), turn.ShardOf("p", 4), 0)
		require.NoError(t, err)
		spent := int64(0)
		for _, data := range page.Records {
			r := &turnpb.Record{}
			require.NoError(t, proto.Unmarshal(data, r))
			require.Equal(t, spent, r.GetBegin().GetSpent()+r.GetEnd().GetSpent())
			spent += r.GetEnd().GetTokens()
		}
		require.EqualValues(t, 5*25, spent)
	})
}
