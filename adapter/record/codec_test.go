package record_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/quarantine"
)

var testProgram = program.NewID("caller", "key")

func testConfig() program.Config {
	return program.Config{
		Caller: "caller", Key: "key", Class: "quote", BudgetTokens: 100, MaxTurns: 3, MaxRepeats: 2,
		Parent: program.NewID("caller", "parent"), ParentHome: "model-2", StartedAt: time.Unix(5, 6),
	}
}

// testBodies returns a body of each record type.
func testBodies(t testing.TB) []history.Body {
	call, err := program.NewCall(program.CallConfig{
		Number: 1, MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleTool, "hello")},
	})
	require.NoError(t, err)
	answer := program.NewAnswer(program.AnswerConfig{
		Call: call, Text: "text", Payload: []byte("p"), Usage: program.NewUsage(program.UsageConfig{PromptTokens: 3, CachedTokens: 1, OutputTokens: 2}),
		FinishReason: program.FinishLength, Timing: program.Timing{Queue: 1, FirstToken: 2, Total: 3}, Endpoint: "model-1", InDoubt: true,
	})
	claim := program.NewClaim(program.ClaimConfig{Number: 2, Fingerprint: call.Fingerprint(), Instance: "i", Incarnation: 9, Attempt: 3})
	p := program.New(testConfig())
	require.NoError(t, p.ApplyTurn(call.Messages(), answer))
	require.NoError(t, p.ReserveForChild(program.NewID("caller", "child"), 7))
	p.SetClaim(claim)
	return []history.Body{
		history.Started(testConfig()), history.Turn(call.Messages(), answer), history.Claimed(claim),
		history.Settled(program.InDoubt, answer), history.Adopted(), history.Snapshot(p.Snapshot()),
		history.Finished(true), history.Void(), history.Split(testProgram, 4), history.Unsplit(testProgram, 3),
	}
}

// testRecords returns a record for each of testBodies, each following the one before.
func testRecords(t testing.TB) []history.Record {
	var list []history.Record
	for i, b := range testBodies(t) {
		list = append(list, history.NewRecord(history.RecordConfig{
			ID: history.RecordID{byte(i + 1)}, Program: testProgram, Previous: history.RecordID{byte(i)},
			PreviousPosition: history.NewPosition(int64(i), 1), Home: "model-1", Time: time.Unix(int64(i+1), 0), Body: b,
		}))
	}
	return list
}

// TestRecordsRoundTrip checks that records of every type are equal after encoding and
// decoding.
func TestRecordsRoundTrip(t *testing.T) {
	codec := record.NewCodec()
	want := testRecords(t)
	data, err := codec.Encode(want)
	require.NoError(t, err)
	got, err := codec.Decode(data)
	require.NoError(t, err)
	require.Len(t, got, len(want))
	for i := range want {
		require.Equal(t, want[i], got[i], "record of type %s", want[i].Body().Type())
	}
}

// FuzzDecode checks that Decode does not panic for any input, and that records decoded
// without an error can be encoded.
func FuzzDecode(f *testing.F) {
	codec := record.NewCodec()
	data, err := codec.Encode(testRecords(f))
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

// FuzzDecodeCrash checks that DecodeCrash does not panic for any input, and that an event
// decoded without an error is the same after encoding.
func FuzzDecodeCrash(f *testing.F) {
	data, err := record.EncodeCrash(quarantine.Event{Request: program.Digest{1, 2}, Cleared: true})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0x12, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		event, err := record.DecodeCrash(data)
		if err != nil {
			return
		}
		encoded, err := record.EncodeCrash(event)
		require.NoError(t, err)
		again, err := record.DecodeCrash(encoded)
		require.NoError(t, err)
		require.Equal(t, event, again)
	})
}

// FuzzDecodePublication checks that Decode does not panic for any input, and that a
// publication decoded without an error is the same after encoding.
func FuzzDecodePublication(f *testing.F) {
	codec := record.PublicationCodec{}
	data, err := codec.Encode(entry.Publication{Base: 3, Author: "head", Text: "[drain]\n"})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0x1a, 0x01, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		publication, err := codec.Decode(data)
		if err != nil {
			return
		}
		encoded, err := codec.Encode(publication)
		require.NoError(t, err)
		again, err := codec.Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, publication, again)
	})
}
