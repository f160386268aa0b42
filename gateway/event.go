package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// forwardEvents passes the events of a response on until its end.
func (s *streaming) forwardEvents(ctx context.Context, response Response) error {
	timer := eventTimer{sentAt: s.sentAt}
	for {
		timer.beginRead(time.Now())
		event, err := response.Next()
		if err == io.EOF {
			return s.checkNotEmpty(response)
		}
		if err != nil {
			return err
		}
		if err := s.checkEvent(event); err != nil {
			return err
		}
		s.observeEvent(&timer, event)
		if err := s.sendHead(ctx, response); err != nil {
			return err
		}
		if err := s.keepText(event); err != nil {
			return errors.Join(errNoMemory, err)
		}
		if err := s.recordEvent(ctx, event); err != nil {
			return err
		}
		if err := s.responder.WriteEvent(event.Raw); err != nil {
			return errors.Join(errCallerGone, err)
		}
		s.countEvent(event)
	}
}

// checkEvent returns an error for an event that can't belong to the response: the identifiers of
// events increase, and a turn has no more tokens than the request declared.
func (s *streaming) checkEvent(event Event) error {
	const op = "read stream"
	if event.Empty {
		return nil
	}
	if limit := s.request.MaxTokens; limit > 0 && s.outputTokens >= limit {
		return Errorf(op, KindBroken, "stream goes on after %d tokens, the request declared at most %d", s.outputTokens, limit)
	}
	if event.ID != "" && !follows(event.ID, s.lastEventID) {
		return Errorf(op, KindBroken, "event %q after event %q", event.ID, s.lastEventID)
	}
	return nil
}

// follows reports whether an event with identifier id may follow the one with identifier last, which
// is empty before the first event.
func follows(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > lastNumber
}

// checkNotEmpty returns an error for a stream that ended without an event, of which the
// caller has received nothing.
func (s *streaming) checkNotEmpty(response Response) error {
	if s.headSent {
		return nil
	}
	return Errorf("read stream", KindBroken, "stream with status %d ended without an event", response.Status())
}

// sendHead sends the head of the stream before the first event, after waiting until the
// attempt of the turn and the origin of the stream are recorded.
func (s *streaming) sendHead(ctx context.Context, response Response) error {
	if s.headSent {
		s.pinIfConfirmed(ctx)
		return nil
	}
	s.possiblyRan = true
	err := s.admission.Wait(ctx)
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return errors.Join(errCallerGone, err)
	}
	if err != nil {
		s.refuse(s.call, s.responder, Refusal{Status: http.StatusBadGateway, Reason: "turn could not be recorded: " + err.Error()})
		return errResponded
	}
	s.pinVersion(ctx)
	s.firstEventTime = time.Since(s.request.ReceivedAt)
	s.headSent = true
	if err := s.responder.StartStream(response.Status(), response.Header()); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// keepText adds the data of an event to the text of the turn, if its route keeps turns.
func (s *streaming) keepText(event Event) (err error) {
	if event.Empty || !s.route.Stateful() {
		return nil
	}
	reservation := s.request.Memory
	if s.text == nil {
		if s.text, err = reservation.Append(nil, s.request.Body); err != nil {
			return err
		}
	}
	if s.text, err = reservation.Append(s.text, event.Data); err != nil {
		return err
	}
	s.text, err = reservation.Append(s.text, []byte{'\n'})
	return err
}

// countEvent counts an event that was sent to the caller.
func (s *streaming) countEvent(event Event) {
	if event.Empty {
		return
	}
	s.eventCount++
	if event.ID != "" {
		s.lastEventID = event.ID
	}
	s.outputTokens += s.eventTokens()
}

// eventTokens returns how many tokens an event of the service holds, at least 1.
func (s *streaming) eventTokens() int64 {
	service, ok := s.table.Service(s.service)
	if !ok || service.Engine == nil {
		return 1
	}
	return max(1, service.Engine.TokensPerEvent)
}
