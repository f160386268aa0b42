package history

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/program"
)

// TestRecordsAfterTheEndOfAProgram checks that what is still to be recorded of an ended
// program is accepted: the answer to a call that was running when the program was canceled,
// a takeover to repeat the result of the end, and what a child returns.
func TestRecordsAfterTheEndOfAProgram(t *testing.T) {
	answer := program.NewAnswer(program.AnswerConfig{})
	tests := []struct {
		name  string
		epoch uint64
		body  Body
		want  bool
	}{
		{name: "answer to a model call", body: Turn(nil, answer), want: true},
		{name: "outcome of an order", body: Settled(program.Ran, answer), want: true},
		{name: "takeover", epoch: 1, body: Adopted(), want: true},
		{name: "unused budget of a child", body: Unsplit(program.ID{1}, 1), want: true},
		{name: "repeated end", body: Finished(true), want: true},
		{name: "takeover without a new epoch", body: Adopted()},
		{name: "new start", body: Started(program.Config{})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ends, id := chainEnds{}, program.NewID("c", "k")
			newRecord := func(serial byte, epoch uint64, body Body) Record {
				return NewRecord(RecordConfig{ID: RecordID{serial}, Program: id, Epoch: epoch, Previous: RecordID{serial - 1}, Body: body})
			}
			require.True(t, ends.accept(newRecord(1, 0, Started(program.Config{})), NewPosition(0, 0)))
			require.True(t, ends.accept(newRecord(2, 0, Finished(true)), NewPosition(1, 0)))
			require.Equal(t, test.want, ends.accept(newRecord(3, test.epoch, test.body), NewPosition(2, 0)))
		})
	}
}
