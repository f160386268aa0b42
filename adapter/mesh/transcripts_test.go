package mesh

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/transcript"
)

// appendEvents records events with the identifiers from first to last after a text, and returns the text.
func appendEvents(t *testing.T, r transcript.Recorder, text, by string, first, last int) string {
	t.Helper()
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("%s%d\n", by, id)
		require.NoError(t, r.Append(t.Context(), fmt.Sprint(id), []byte(text)))
	}
	return text
}

// TestTranscriptSurvivesTheLossOfFronts guards against streams that can't be taken up because the front that served them, and one
// that holds the transcript, are lost.
func TestTranscriptSurvivesTheLossOfFronts(t *testing.T) {
	tests := []struct{ fronts, lost int }{{fronts: 1, lost: 0}, {fronts: 2, lost: 1}, {fronts: 3, lost: 1}, {fronts: 8, lost: 2}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d of %d", test.lost, test.fronts), func(t *testing.T) {
			fronts, stop := fleet(t, test.fronts)
			var texts []string
			const streams = 10
			for i := range streams {
				r := fronts[0].BeginTranscript(fmt.Sprint("stream-", i))
				texts = append(texts, appendEvents(t, r, "", "a", 1, 3))
			}
			for i := range test.lost {
				stop(i)
			}
			for i := range streams {
				for j, front := range fronts[test.lost:] {
					text, _, err := front.ContinueTranscript(t.Context(), fmt.Sprint("stream-", i), "3")
					require.NoError(t, err, j)
					require.Equal(t, texts[i], string(text))
				}
			}
		})
	}
}

// TestStreamIsTakenUpAgainAndAgain guards against events of an attempt that its caller has given up in the text of a later one.
func TestStreamIsTakenUpAgainAndAgain(t *testing.T) {
	fronts, _ := fleet(t, 5)
	first := fronts[0].BeginTranscript("stream")
	text := appendEvents(t, first, "", "a", 1, 4)
	// The caller has received less than was sent.
	taken, second, err := fronts[1].ContinueTranscript(t.Context(), "stream", "2")
	require.NoError(t, err)
	require.Equal(t, "a1\na2\n", string(taken))
	err = first.Append(t.Context(), "5", []byte(text+"a5\n"))
	require.Equal(t, transcript.KindSuperseded, transcript.KindOf(err), "%v", err)
	text = appendEvents(t, second, string(taken), "b", 3, 5)
	for i, front := range fronts {
		taken, third, err := front.ContinueTranscript(t.Context(), "stream", fmt.Sprint(5+i))
		require.NoError(t, err)
		require.Equal(t, text, string(taken))
		text = appendEvents(t, third, string(taken), "c", 6+i, 6+i)
	}
	require.Equal(t, "a1\na2\nb3\nb4\nb5\nc6\nc7\nc8\nc9\nc10\n", text)
}

// TestUnknownTranscriptIsRefused guards against a text that lacks events, or has others than its caller received.
func TestUnknownTranscriptIsRefused(t *testing.T) {
	tests := []struct {
		name, stream, eventID string
		// servingLost is set if the front that served the stream is lost, and lost the number of holders that
		// are lost besides.
		servingLost bool
		lost        int
		kind        transcript.Kind
	}{
		{name: "stream of nobody", stream: "other", eventID: "1", kind: transcript.KindNotFound},
		{name: "stream of nobody, a front lost", stream: "other", eventID: "1", servingLost: true, kind: transcript.KindUnavailable},
		{name: "event that was not sent", stream: "stream", eventID: "4", servingLost: true, kind: transcript.KindNotFound},
		{name: "no event", stream: "stream", eventID: "", kind: transcript.KindNotFound},
		{name: "one of three holders left", stream: "stream", eventID: "3", servingLost: true, lost: 2, kind: transcript.KindUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fronts, stop := fleet(t, 6)
			r := fronts[0].BeginTranscript("stream")
			appendEvents(t, r, "", "a", 1, 3)
			if test.servingLost {
				stop(0)
			}
			asking := fronts[5]
			for i, front := range fronts[1:] {
				if _, holds := front.transcripts.Find("stream", time.Now()); !holds {
					asking = front
				} else if test.lost > 0 {
					test.lost--
					stop(1 + i)
				}
			}
			_, _, err := asking.ContinueTranscript(t.Context(), test.stream, test.eventID)
			require.Equal(t, test.kind, transcript.KindOf(err), "%v", err)
		})
	}
}

// TestTranscriptOfManyEventsEnds guards against streams of very many short events that fill the memory of the front that serves them.
func TestTranscriptOfManyEventsEnds(t *testing.T) {
	m := newTestMesh(t, "alone")
	r := m.BeginTranscript("stream")
	text := []byte(strings.Repeat("\n", transcript.MaxEvents+2))
	for id := 1; id <= len(text); id++ {
		require.NoError(t, r.Append(t.Context(), fmt.Sprint(id), text[:id]))
	}
	require.Empty(t, r.(*transcriptWriter).marks)
	_, _, err := m.ContinueTranscript(t.Context(), "stream", fmt.Sprint(transcript.MaxEvents+1))
	require.Equal(t, transcript.KindNotFound, transcript.KindOf(err), "%v", err)
}

// TestTranscriptThatIsTooLongEnds guards against streams that are held up or cut off because they are too long to be remembered.
func TestTranscriptThatIsTooLongEnds(t *testing.T) {
	fronts, _ := fleet(t, 4)
	r := fronts[0].BeginTranscript("stream")
	text := appendEvents(t, r, "", "a", 1, 1)
	text += strings.Repeat("x", transcript.MaxBytes)
	require.NoError(t, r.Append(t.Context(), "2", []byte(text)))
	require.NoError(t, r.Append(t.Context(), "3", []byte(text+"a3\n")))
	for _, id := range []string{"2", "3"} {
		_, _, err := fronts[1].ContinueTranscript(t.Context(), "stream", id)
		require.Equal(t, transcript.KindNotFound, transcript.KindOf(err), "%v", err)
	}
}
