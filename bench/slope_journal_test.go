package bench

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
	platformstandin "github.com/lavendervale/lavendervale/standin/platform"
)

// turnRecords returns the records of a program with n turns: its start and each
// turn, of 400 bytes of text.
func turnRecords(tb testing.TB, id program.ID, n int) []history.Record {
	tb.Helper()
	p := program.New(program.Config{Caller: "c", Key: id.String(), Class: "relay", BudgetTokens: 1 << 40})
	records := []history.Record{newRecord(id, history.RecordID{}, history.Started(p.Config()))}
	for i := range n {
		call, err := program.NewCall(program.CallConfig{
			Number: uint32(i + 1), MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleUser, sampleText(i, 200))},
		})
		require.NoError(tb, err)
		answer := program.NewAnswer(program.AnswerConfig{Call: call, Text: sampleText(i+7, 200), Usage: program.NewUsage(program.UsageConfig{PromptTokens: 9, OutputTokens: 9})})
		records = append(records, newRecord(id, records[i].ID(), history.Turn(call.Messages(), answer)))
	}
	return records
}

func newRecord(id program.ID, previous history.RecordID, b history.Body) history.Record {
	return history.NewRecord(history.RecordConfig{
		ID: history.NewRecordID(), Program: id, Previous: previous, PreviousPosition: history.NoPosition, Home: "model-1", Time: time.Unix(9, 0), Body: b,
	})
}

// sampleText returns n bytes of random words, which compress about as well as real
// text.
func sampleText(seed, n int) string {
	random := newGenerator(omuti(), uint64(seed), 5).random
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%s%d ", []string{"lot", "sack", "grade", "rafter", "price", "metre"}[random.IntN(6)], random.IntN(900))
	}
	return b.String()[:n]
}

// encodeTurns returns the encoded append of n turns.
func encodeTurns(tb testing.TB, n int) []byte {
	tb.Helper()
	data, err := record.NewCodec().Encode(turnRecords(tb, program.NewID("c", "k"), n)[1:])
	require.NoError(tb, err)
	return data
}

// committerBytes returns the heap of a committer that has read the start records of
// n programs; n is a multiple of 500.
func committerBytes(tb testing.TB, n int) float64 {
	tb.Helper()
	log := platformstandin.NewLog()
	codec := record.NewCodec()
	for from := 0; from < n; from += 500 {
		var batch []history.Record
		for i := from; i < from+500; i++ {
			batch = append(batch, turnRecords(tb, program.NewID("c", fmt.Sprint(i)), 0)...)
		}
		data, err := codec.Encode(batch)
		require.NoError(tb, err)
		_, err = log.Append(context.Background(), "p-0", data)
		require.NoError(tb, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return retainedBytes(func() any {
		committer := history.NewCommitter(history.CommitterConfig{Log: log, Codec: codec, StreamPrefix: "p", StreamCount: 1})
		_, err := committer.Locate(ctx, program.NewID("c", "0"))
		require.NoError(tb, err)
		require.Equal(tb, n, committer.Stats().Programs)
		return committer
	})
}

// recoveryTime returns the time to load a program of n turns from the log, in
// microseconds.
func recoveryTime(tb testing.TB, n int) float64 {
	tb.Helper()
	log := platformstandin.NewLog()
	committer := history.NewCommitter(history.CommitterConfig{Log: log, Codec: record.NewCodec(), StreamPrefix: "p", StreamCount: 1, Linger: time.Microsecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go committer.Run(ctx)
	id := program.NewID("c", "k")
	for _, r := range turnRecords(tb, id, n) {
		_, err := committer.Commit(ctx, r)
		require.NoError(tb, err)
	}
	return microsecondsPerRun(3, 5, func() {
		loaded, err := committer.Load(ctx, id)
		require.NoError(tb, err)
		require.EqualValues(tb, n, loaded.Program().Turn())
	})
}
