package transcript

import (
	"context"
	"slices"
)

// Part is a part of a transcript as one instance sends it to another.
type Part struct {
	// Stream identifies the transcript: the attempt that brought the first event.
	Stream string
	// Generation is the number of times that the stream was taken up. The greatest one holds.
	Generation uint32
	// Offset is the length of the text before the part.
	Offset int
	// Text holds the data of events, each followed by a newline.
	Text []byte
	// Marks are the ends of the events in the text, in order.
	Marks []Mark
	// Holders are the names of the instances that hold the transcript, in all generations.
	Holders []string
	// Writer is a random number of the attempt that sends the part.
	Writer uint64
}

// Valid reports whether the marks of a part are within its text and in order.
func (p Part) Valid() bool {
	if p.Offset < 0 || p.Offset > MaxBytes || len(p.Text) > MaxBytes-p.Offset || len(p.Marks) > MaxEvents {
		return false
	}
	end := p.Offset
	for _, m := range p.Marks {
		if m.End <= end || m.End > p.Offset+len(p.Text) {
			return false
		}
		end = m.End
	}
	return true
}

// Mark is the end of an event.
type Mark struct {
	// EventID is the identifier of the event, or empty.
	EventID string
	// End is the length of the text of the transcript up to the event and with it.
	End int
}

// State tells what an instance holds of a transcript.
type State struct {
	// Generation is the greatest one that the instance has received.
	Generation uint32
	// Length is the length of the text that it holds of that generation.
	Length int
	// Writer is that of the parts which it holds.
	Writer uint64
}

// Recorder records the events of a stream as they are sent to its caller.
type Recorder interface {
	// Append adds an event, with the text of all events up to it, each followed by a newline, which must
	// not change any more. It returns once the event is remembered, or can't be. It is an error, of
	// KindSuperseded, if the stream has been taken up elsewhere.
	Append(ctx context.Context, eventID string, text []byte) error
}

// UpTo returns the marks up to the event with an identifier, or false if it is not the last event
// that a caller with this identifier may have received.
func UpTo(marks []Mark, eventID string) ([]Mark, bool) {
	for i := len(marks) - 1; i >= 0 && eventID != ""; i-- {
		if marks[i].EventID != eventID {
			continue
		}
		// An event without an identifier leaves that of the event before it with the caller.
		if i+1 < len(marks) && marks[i+1].EventID == "" {
			return nil, false
		}
		return slices.Clip(marks[:i+1]), true
	}
	return nil, false
}
