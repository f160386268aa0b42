package record_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

var id = program.NewID("caller", "key")

func config() program.Config {
	return program.Config{
		Caller: "caller", Key: "key", Class: "quote", BudgetTokens: 100, MaxTurns: 3, MaxRepeats: 2,
		Parent: program.NewID("caller", "parent"), ParentHome: "model-2", StartedAt: time.Unix(5, 6),
	}
}

func bodies(t testing.TB) []history.Body {
	call, err := program.NewCall(program.CallConfig{
		Number: 1, MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleTool, "hello")},
	})
	require.NoError(t, err)
	answer := program.NewAnswer(program.AnswerConfig{
		Call: call, Text: "text", Payload: []byte("p"), Usage: program.NewUsage(program.UsageConfig{PromptTokens: 3, CachedTokens: 1, OutputTokens: 2}),
		FinishReason: program.FinishLength, Timing: program.Timing{Queue: 1, FirstToken: 2, Total: 3}, Endpoint: "model-1", InDoubt: true,
	})
	claim := program.NewClaim(program.ClaimConfig{Number: 2, Fingerprint: call.Fingerprint(), Instance: "i", Incarnation: 9, Attempt: 3})
	p := program.New(config())
	require.NoError(t, p.ApplyTurn(call.Messages(), answer))
	require.NoError(t, p.ReserveForChild(program.NewID("caller", "child"), 7))
	p.SetClaim(claim)
	return []history.Body{
		history.Started(config()), history.Turn(call.Messages(), answer), history.Claimed(claim),
		history.Settled(program.InDoubt, answer), history.Adopted(), history.Snapshot(p.Snapshot()),
		history.Finished(true), history.Void(), history.Split(id, 4), history.Unsplit(id, 3),
	}
}

func records(t testing.TB) []history.Record {
	var list []history.Record
	for i, b := range bodies(t) {
		list = append(list, history.NewRecord(history.RecordConfig{
			ID: history.RecordID{byte(i + 1)}, Program: id, Previous: history.RecordID{byte(i)},
			PreviousPosition: history.NewPosition(int64(i), 1), Home: "model-1", Time: time.Unix(int64(i+1), 0), Body: b,
		}))
	}
	return list
}

func TestRecordsSurvive(t *testing.T) {
	codec := record.NewCodec()
	want := records(t)
	data, err := codec.Encode(want)
	require.NoError(t, err)
	got, err := codec.Decode(data)
	require.NoError(t, err)
	require.Len(t, got, len(want))
	for i := range want {
		require.Equal(t, want[i], got[i], "step %s", want[i].Body().Step())
	}
}

// FuzzDecode checks that any bytes are refused or read without a panic.
func FuzzDecode(f *testing.F) {
	codec := record.NewCodec()
	data, err := codec.Encode(records(f))
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := codec.Decode(data)
		if err != nil {
			return
		}
		if _, err := codec.Encode(list); err != nil {
			t.Fatal(err)
		}
	})
}
