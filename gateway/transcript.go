package gateway

import (
	"context"
	"errors"

	"github.com/lavendervale/lavendervale/route"
	"github.com/lavendervale/lavendervale/transcript"
)

// openTranscript returns what a turn that is kept has added to its conversation so far, and what records
// the events that follow. For a stream that its caller takes up, that is its input and the events that the
// caller has; it is an error if these are not known, as the conversation would lack them. Both results are
// nil on routes that keep no turns.
func (c *call) openTranscript(ctx context.Context) ([]byte, transcript.Recorder, error) {
	const op = "take up kept turn"
	r := c.request
	switch {
	case !c.route.Stateful():
		return nil, nil, nil
	case r.LastEventID == "" && (c.Transcripts == nil || r.ID == "" || c.route.RetryPolicy() != route.Resumable):
		return nil, nil, nil
	case r.LastEventID == "":
		return nil, c.Transcripts.BeginTranscript(c.scoped(r.ID)), nil
	case c.Transcripts == nil || r.Resumes == "" || c.route.RetryPolicy() != route.Resumable:
		return nil, nil, Errorf(op, KindNotSent, "what the caller has received is not known: the route is not resumable, or the request does not name the attempt that began the stream")
	}
	received, recorder, err := c.Transcripts.ContinueTranscript(ctx, c.scoped(r.Resumes), r.LastEventID)
	if err != nil {
		return nil, nil, Errorf(op, KindNotSent, "what the caller has received is not known: %w", err)
	}
	text, err := r.Memory.Append(nil, r.Body)
	if err == nil {
		text, err = r.Memory.Append(text, received)
	}
	if err != nil {
		return nil, nil, Errorf(op, KindNotSent, "%w", err)
	}
	return text, recorder, nil
}

// recordEvent records an event that is about to be sent to the caller, where it may take the stream up.
func (s *streaming) recordEvent(ctx context.Context, event Event) error {
	if s.recorder == nil || event.Empty {
		return nil
	}
	err := s.recorder.Append(ctx, event.ID, s.text[len(s.request.Body):])
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return errors.Join(errCallerGone, err)
	}
	return err
}
