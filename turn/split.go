package turn

import (
	"strconv"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

const (
	// recordOverheadBytes is the most that a record with a turn takes beside its text and identifiers.
	recordOverheadBytes = 256
	// minPartBytes is the least text of a part, however long the identifiers are.
	minPartBytes = 1 << 10
	// partSeparator separates the identifier of an attempt from the number of a part. Identifiers
	// that callers send don't contain it.
	partSeparator = "\x00"
)

// splitTurn returns the end records of an attempt, none of which is longer than maxBytes; 0 is no
// limit. A turn with a long text is written as a chain of turns, of which each continues the one before
// and the last one has the identifier of the attempt.
func splitTurn(end *turnpb.End, maxBytes int) []*turnpb.End {
	t := end.GetTurn()
	if t == nil || maxBytes <= 0 {
		return []*turnpb.End{end}
	}
	partBytes := max(minPartBytes, maxBytes-recordOverheadBytes-len(end.GetProgram())-2*len(end.GetAttempt())-len(t.GetPrevious()))
	var parts []*turnpb.End
	for n := 1; len(t.GetText()) > partBytes; n++ {
		id := end.GetAttempt() + partSeparator + strconv.Itoa(n)
		parts = append(parts, &turnpb.End{Program: end.GetProgram(), Attempt: id, Spent: end.GetSpent(), Turn: &turnpb.Turn{
			Previous: t.GetPrevious(), Text: t.GetText()[:partBytes], Whole: t.GetWhole(), RetentionMs: t.GetRetentionMs(),
		}})
		t = &turnpb.Turn{Previous: id, Text: t.GetText()[partBytes:], RetentionMs: t.GetRetentionMs()}
	}
	end.Turn = t
	return append(parts, end)
}
