package transcript_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/transcript"
)

var noon = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

// part returns a part with one event for each line of text; the identifiers of events follow first.
func part(generation uint32, writer uint64, offset int, text string, first int) transcript.Part {
	p := transcript.Part{Stream: "s", Generation: generation, Writer: writer, Offset: offset, Text: []byte(text)}
	end := offset
	for line := range strings.Lines(text) {
		end += len(line)
		p.Marks = append(p.Marks, transcript.Mark{EventID: fmt.Sprint(first), End: end})
		first++
	}
	return p
}

// TestPartsMakeATranscript guards against transcripts with a gap, with events twice, or joined from two attempts.
func TestPartsMakeATranscript(t *testing.T) {
	tests := []struct {
		name  string
		parts []transcript.Part
		state transcript.State
		text  string
		marks int
	}{
		{name: "in order", parts: []transcript.Part{part(0, 1, 0, "a\n", 1), part(0, 1, 2, "b\n", 2)}, state: transcript.State{Length: 4, Writer: 1}, text: "a\nb\n", marks: 2},
		{name: "overlapping", parts: []transcript.Part{part(0, 1, 0, "a\n", 1), part(0, 1, 0, "a\nb\n", 1)}, state: transcript.State{Length: 4, Writer: 1}, text: "a\nb\n", marks: 2},
		{name: "overtaken", parts: []transcript.Part{part(0, 1, 0, "a\nb\n", 1), part(0, 1, 0, "a\n", 1)}, state: transcript.State{Length: 4, Writer: 1}, text: "a\nb\n", marks: 2},
		{name: "gap", parts: []transcript.Part{part(0, 1, 0, "a\n", 1), part(0, 1, 4, "c\n", 3)}, state: transcript.State{Length: 2, Writer: 1}, text: "a\n", marks: 1},
		{name: "without its beginning", parts: []transcript.Part{part(0, 1, 2, "b\n", 2)}},
		{name: "taken up", parts: []transcript.Part{part(0, 1, 0, "a\nb\n", 1), part(1, 2, 0, "a\n", 1), part(1, 2, 2, "c\n", 2)}, state: transcript.State{Generation: 1, Length: 4, Writer: 2}, text: "a\nc\n", marks: 2},
		{name: "earlier attempt goes on", parts: []transcript.Part{part(0, 1, 0, "a\n", 1), part(1, 2, 0, "a\n", 1), part(0, 1, 2, "b\n", 2)}, state: transcript.State{Generation: 1, Length: 2, Writer: 2}, text: "a\n", marks: 1},
		{name: "taken up twice at once", parts: []transcript.Part{part(0, 1, 0, "a\n", 1), part(1, 2, 0, "a\n", 1), part(1, 3, 0, "a\n", 1)}, state: transcript.State{Generation: 1, Length: 2, Writer: 2}, text: "a\n", marks: 1},
		{name: "another stream of the same identifier", parts: []transcript.Part{part(0, 1, 0, "a\nb\n", 1), part(0, 2, 0, "c\n", 1)}, state: transcript.State{Length: 2, Writer: 2}, text: "c\n", marks: 1},
		{name: "negative offset", parts: []transcript.Part{part(0, 1, 0, "a\n", 1), part(0, 1, -1, "a\nb\n", 1)}, state: transcript.State{Length: 2, Writer: 1}, text: "a\n", marks: 1},
		{name: "mark outside the text", parts: []transcript.Part{{Stream: "s", Text: []byte("a\n"), Marks: []transcript.Mark{{EventID: "1", End: 3}}}}},
		{name: "too long", parts: []transcript.Part{part(0, 1, 0, "a\n", 1), part(0, 1, 2, strings.Repeat("b", transcript.MaxBytes-1), 2)}, state: transcript.State{Length: 2, Writer: 1}, text: "a\n", marks: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := transcript.NewStore()
			var state transcript.State
			for _, p := range test.parts {
				state = s.Keep(p, noon)
			}
			require.Equal(t, test.state, state)
			found, ok := s.Find("s", noon)
			require.Equal(t, test.text != "", ok)
			require.Equal(t, test.text, string(found.Text))
			require.Len(t, found.Marks, test.marks)
		})
	}
}

// TestTranscriptEndsWhereItsCallerMayHaveStopped guards against events that a caller has received and that its conversation lacks.
func TestTranscriptEndsWhereItsCallerMayHaveStopped(t *testing.T) {
	marks := []transcript.Mark{{EventID: "1", End: 2}, {EventID: "2", End: 4}, {EventID: "", End: 6}, {EventID: "3", End: 8}}
	tests := []struct {
		eventID string
		want    int
	}{{eventID: "1", want: 1}, {eventID: "2"}, {eventID: "3", want: 4}, {eventID: "4"}, {eventID: ""}}
	for _, test := range tests {
		got, ok := transcript.UpTo(marks, test.eventID)
		require.Equal(t, test.want > 0, ok, test.eventID)
		require.Len(t, got, test.want, test.eventID)
	}
}

// TestTranscriptsAreBounded guards against transcripts that fill the memory of an instance, by their texts, their number or
// the length of identifiers, and that outlast the streams.
func TestTranscriptsAreBounded(t *testing.T) {
	const heapBytes = 16 << 20
	tests := []struct {
		name   string
		prefix string
		text   string
		count  int
	}{
		{name: "long texts", text: strings.Repeat("x", transcript.MaxBytes), count: 64},
		{name: "many", text: "x", count: 60_000},
		{name: "long identifiers", prefix: strings.Repeat("i", 15_000), text: "x", count: 3_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := transcript.NewStore()
			held, kept := 0, 0
			for i := range test.count {
				s.Keep(transcript.Part{Stream: test.prefix + fmt.Sprint(i), Text: []byte(test.text), Marks: []transcript.Mark{{EventID: "1", End: len(test.text)}}}, noon)
			}
			for i := range test.count {
				if p, ok := s.Find(test.prefix+fmt.Sprint(i), noon); ok {
					held += len(p.Stream) + len(p.Text)
					kept++
				}
			}
			require.Positive(t, kept)
			require.Less(t, held, heapBytes)
			latest := test.prefix + fmt.Sprint(test.count-1)
			_, ok := s.Find(latest, noon)
			require.True(t, ok, "the latest is kept")
			_, ok = s.Find(latest, noon.Add(2*time.Minute))
			require.False(t, ok)
		})
	}
}
