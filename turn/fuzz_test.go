package turn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

func marshalRecord(tb testing.TB, record *turnpb.Record) []byte {
	tb.Helper()
	data, err := proto.Marshal(record)
	require.NoError(tb, err)
	return data
}

// FuzzRecords checks that two records of any content are applied without a panic, that
// applying them again changes nothing, and that the text counted is the text held.
func FuzzRecords(f *testing.F) {
	begin := marshalRecord(f, &turnpb.Record{WrittenMs: 5, Body: &turnpb.Record_Begin{Begin: &turnpb.Begin{Program: "p", Attempt: "a", Tokens: 7}}})
	first := marshalRecord(f, &turnpb.Record{WrittenMs: 6, Body: &turnpb.Record_End{End: &turnpb.End{
		Program: "p", Attempt: "a", Tokens: 3, Spent: 1, Turn: &turnpb.Turn{Text: []byte("hello"), RetentionMs: 1000},
	}}})
	second := marshalRecord(f, &turnpb.Record{WrittenMs: 7, Body: &turnpb.Record_End{End: &turnpb.End{
		Program: "p", Attempt: "b", Turn: &turnpb.Turn{Previous: "a", Text: []byte(" world"), RetentionMs: 1000},
	}}})
	itself := marshalRecord(f, &turnpb.Record{Body: &turnpb.Record_End{End: &turnpb.End{Attempt: "a", Turn: &turnpb.Turn{Previous: "a"}}}})
	f.Add(begin, first)
	f.Add(first, begin)
	f.Add(first, second)
	f.Add(second, first)
	f.Add(itself, first)
	f.Add([]byte{}, []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := newState()
		var records []*turnpb.Record
		for _, data := range [][]byte{first, second} {
			record := &turnpb.Record{}
			if proto.Unmarshal(data, record) == nil {
				records = append(records, record)
				s.apply(record)
			}
		}
		spent, textBytes := map[string]int64{}, int64(0)
		for id, p := range s.programs {
			spent[id] = p.spentTokens
		}
		for id, n := range s.turns {
			textBytes += int64(len(n.text))
			require.GreaterOrEqual(t, len(n.conversation()), len(n.text), id)
			n.firstWrittenAt()
		}
		require.Equal(t, textBytes, s.textBytes)
		for _, record := range records {
			s.apply(record)
		}
		for id, p := range s.programs {
			require.Equal(t, spent[id], p.spentTokens, id)
			for attempt := range p.endedAttempts {
				require.NotContains(t, p.reservedByAttempt, attempt, "an attempt that has ended holds no tokens")
			}
		}
		s.expire(time.UnixMilli(1<<50), time.UnixMilli(1<<50))
		require.GreaterOrEqual(t, s.textBytes, int64(0))
	})
}
