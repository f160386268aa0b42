package turn_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
	"github.com/lavendervale/lavendervale/turn"
)

// skewedLog is the log as a process sees it whose clock is ahead of that of the others.
type skewedLog struct {
	turn.Log
	// ahead returns how far the clock is ahead, negative if it is behind.
	ahead func() time.Duration
}

func (l skewedLog) AppendAt(ctx context.Context, shard int, offset int64, records [][]byte) error {
	shifted, err := shiftTimes(records, l.ahead())
	if err != nil {
		return err
	}
	return l.Log.AppendAt(ctx, shard, offset, shifted)
}

func (l skewedLog) Read(ctx context.Context, shard int, offset int64) (turn.Page, error) {
	page, err := l.Log.Read(ctx, shard, offset)
	if err != nil {
		return page, err
	}
	page.Records, err = shiftTimes(page.Records, -l.ahead())
	return page, err
}

// shiftTimes returns records with other times of writing.
func shiftTimes(records [][]byte, by time.Duration) ([][]byte, error) {
	var shifted [][]byte
	for _, data := range records {
		r := &turnpb.Record{}
		if err := proto.Unmarshal(data, r); err != nil {
			return nil, err
		}
		r.WrittenMs += by.Milliseconds()
		data, err := proto.Marshal(r)
		if err != nil {
			return nil, err
		}
		shifted = append(shifted, data)
	}
	return shifted, nil
}

// TestTurnIsKeptWhileClocksDiffer guards against a turn that is not found within its retention because the
// clock of the process that wrote it, or continues it, differs from the others' by seconds.
func TestTurnIsKeptWhileClocksDiffer(t *testing.T) {
	tests := []struct {
		name string
		// ahead returns how far the clock of the process that writes every other turn is ahead.
		ahead func(age time.Duration) time.Duration
	}{
		{name: "same clocks", ahead: func(time.Duration) time.Duration { return 0 }},
		{name: "ahead", ahead: func(time.Duration) time.Duration { return 15 * time.Second }},
		{name: "behind", ahead: func(time.Duration) time.Duration { return -15 * time.Second }},
		{name: "steps forward", ahead: func(age time.Duration) time.Duration { return 10 * time.Second * min(1, age/(70*time.Second)) }},
		{name: "steps to and fro", ahead: func(age time.Duration) time.Duration { return 10 * time.Second * (age/(35*time.Second)%3 - 1) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				started := time.Now()
				skewed := skewedLog{Log: env.log, ahead: func() time.Duration { return test.ahead(time.Since(started)) }}
				sets := []*turn.ShardSet{env.newShardSet(), env.newShardSetWith(skewed, env.replicator)}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for _, set := range sets {
					go set.Run(ctx)
				}
				previous, want := "", ""
				for n := range 12 {
					id, text := fmt.Sprint("t", n), fmt.Sprint("text", n, " ")
					set := sets[n%len(sets)]
					admission, err := set.Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: id, Previous: previous, BudgetTokens: 10_000, MaxTokens: 100})
					require.NoError(t, err, "turn %d", n)
					require.Equal(t, want, string(admission.Text()))
					require.NoError(t, admission.Wait(t.Context()))
					require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: id, DeliveredTokens: 10, Completed: &turn.CompletedTurn{
						Previous: previous, Text: []byte(text), RetentionMS: retention.Milliseconds(),
					}}))
					previous, want = id, want+text
					for age := time.Duration(0); age < retention-4*time.Second; age += 4 * time.Second {
						time.Sleep(4 * time.Second)
						for i, set := range sets {
							require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: fmt.Sprint(n, age, i)}))
						}
					}
					time.Sleep(3 * time.Second)
					for _, set := range append(sets, env.newShardSet()) {
						got, ok, err := set.Find(t.Context(), id, []int{turn.ShardOf("p", 4)})
						require.NoError(t, err)
						require.True(t, ok, "turn %d", n)
						require.Equal(t, want, string(got))
					}
				}
				_, err := env.log.Read(t.Context(), turn.ShardOf("p", 4), 0)
				require.Equal(t, turn.KindExpired, turn.KindOf(err), "records were trimmed")
			})
		})
	}
}
