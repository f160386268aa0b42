package turn_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// strictLog is a log that takes no record longer than testRecordBytes.
type strictLog struct {
	*turntest.Log
	refused int
}

func (l *strictLog) AppendAt(ctx context.Context, shard int, offset int64, records [][]byte) error {
	for _, r := range records {
		if len(r) > testRecordBytes {
			l.refused++
			return turn.Errorf("append", turn.KindUnavailable, "record of %d bytes is too long", len(r))
		}
	}
	return l.Log.AppendAt(ctx, shard, offset, records)
}

// TestLongTurnsHoldNoShardUp guards against a turn whose record is longer than the log takes: it was
// appended again for ever, before all records of its shard (review case 1).
func TestLongTurnsHoldNoShardUp(t *testing.T) {
	text := func(n int, c byte) string { return string(bytes.Repeat([]byte{c}, n)) }
	tests := []struct {
		name string
		// program is that of the last turn; the turns before are those of program p.
		program string
		turns   []string
		// pause is the time between two turns.
		pause time.Duration
	}{
		{name: "long input", program: "p", turns: []string{text(10*testRecordBytes, 'a')}},
		{name: "as long as a record", program: "p", turns: []string{text(testRecordBytes, 'a')}},
		{name: "long turn after a short one", program: "p", turns: []string{"a", text(2*testRecordBytes+7, 'b'), "c"}},
		{name: "new program continues a long conversation", program: programOfAnotherShard("p"), turns: []string{text(testRecordBytes/2, 'a'), text(testRecordBytes/2, 'b'), text(testRecordBytes/2, 'c'), "d"}},
		{name: "old conversation is written whole", program: "p", pause: 50 * time.Second, turns: []string{text(testRecordBytes/2, 'a'), text(testRecordBytes/2, 'b'), text(testRecordBytes/2, 'c'), "d"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				log := &strictLog{Log: env.log}
				set := env.newShardSetWith(log, env.replicator)
				previous, conversation := "", ""
				for n, turnText := range test.turns {
					program, id := "p", fmt.Sprint("t", n)
					if n == len(test.turns)-1 {
						program = test.program
					}
					time.Sleep(test.pause)
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					admission, err := set.Begin(ctx, turn.BeginRequest{Program: program, Attempt: id, Previous: previous})
					require.NoError(t, err)
					require.True(t, conversation == string(admission.Text()))
					require.NoError(t, set.End(ctx, turn.EndRequest{Program: program, Attempt: id, Completed: completed(previous, turnText)}))
					cancel()
					previous, conversation = id, conversation+turnText
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				require.NoError(t, set.End(ctx, turn.EndRequest{Program: test.program, Attempt: "other", Completed: completed("", "other")}), "other turns of the shard go on")
				for _, reader := range []*turn.ShardSet{set, env.newShardSet()} {
					admission, err := reader.Begin(ctx, turn.BeginRequest{Program: test.program, Attempt: "next", Previous: previous})
					require.NoError(t, err)
					require.True(t, conversation == string(admission.Text()), "the conversation has %d bytes, read were %d", len(conversation), len(admission.Text()))
				}
				require.Zero(t, log.refused)
			})
		})
	}
}

// TestRecordThatCannotBeWrittenIsRefused guards against a record that no split makes short enough and
// that holds up all others of its shard.
func TestRecordThatCannotBeWrittenIsRefused(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		log := &strictLog{Log: env.log}
		set := env.newShardSetWith(log, env.replicator)
		err := begin(t, set, request("p", string(bytes.Repeat([]byte{'a'}, 2*testRecordBytes)), 1000))
		require.Equal(t, turn.KindTooLong, turn.KindOf(err), "%v", err)
		require.NoError(t, begin(t, set, request("p", "b", 1000)))
		require.Zero(t, log.refused)
	})
}
