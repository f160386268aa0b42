package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/route"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// depthEngine is how many requests beyond its slots an engine may hold; the
	// engine orders them by priority itself.
	maxQueuedEngine = 3
	// prefillRate is how many prompt tokens an engine reads in a millisecond, as all
	// deployment sheets say.
	prefillTokensPerMS = 150
	// reuse is how many reads of a prompt one read at another engine stands for: it
	// pushes conversations out of that engine's memory, whose next turns push out more.
	evictionFactor = 3
	// maxPriority is the last priority of engines.
	lowestPriority = 9
	// priorityStep is the distance between the priorities of two ranks.
	priorityStep = 2
)

// stream serves a request whose answer is a stream of events.
func (c *call) serveStream(ctx context.Context, w Responder) {
	ticket, err := c.beginTurn(ctx)
	if err != nil {
		c.refuseTurn(ctx, w, err)
		return
	}
	c.holder = ticket.Endpoint()
	s := &streaming{call: c, ticket: ticket, responder: w, lastEventID: c.request.LastEventID}
	whole := s.run(ctx)
	c.endTurn(s, whole)
}

// streaming is a stream under way.
type streaming struct {
	*call
	ticket  turn.Ticket
	responder     Responder
	lastEventID    string
	headSent bool
	output  []byte
	outputTokens  int64
}

// text returns what the turn adds to the conversation.
func (s *streaming) turnText() []byte {
	return append(append(make([]byte, 0, len(s.request.Body)+len(s.output)), s.request.Body...), s.output...)
}

// run passes a stream on and reports whether it came to its whole end.
func (s *streaming) run(ctx context.Context) bool {
	for {
		if err := s.acquire(ctx, s.streamQuery(), s.queueOrder()); err != nil {
			s.fail(ctx, err)
			return false
		}
		err := s.attempt(ctx)
		s.Directory.Release(s.target)
		switch {
		case err == nil:
			s.Directory.RecordSuccess(s.target, time.Now())
			return true
		case errors.Is(err, errNotRun):
			s.excludeTarget()
			continue
		case errors.Is(err, errResponded):
			return false
		case errors.Is(err, errCallerGone):
			s.responder.Abort()
			s.Metrics.observeCallerLeft(s.call)
			s.logRequest("caller left", 0, err.Error())
			return false
		}
		if ctx.Err() == nil {
			s.recordFailure(err)
		}
		s.excludeTarget()
		if notRun(err) {
			continue
		}
		s.possiblyRan = true
		if ctx.Err() != nil || !s.canResume() {
			s.fail(ctx, err)
			return false
		}
	}
}

// mayResume reports whether the stream may go on at another endpoint.
func (s *streaming) canResume() bool {
	if s.route.Repeat() != route.Resumable {
		return false
	}
	return s.attempts < s.route.MaxAttempts() || !s.Directory.Usable(s.target, time.Now())
}

// fail ends a stream that can't be served.
func (s *streaming) fail(ctx context.Context, err error) {
	if !s.headSent {
		s.refuseFailed(ctx, s.responder, err, err)
		return
	}
	s.responder.Abort()
	s.Metrics.observeBroken(s.call)
	s.logRequest("cut off", 0, err.Error())
}

// Errors that end an attempt at an endpoint besides failures.
var (
	errNotRun  = errors.New("endpoint did not run the request")
	errResponded = errors.New("request has its final answer")
	errCallerGone   = errors.New("caller does not read its stream")
)

// pass sends the request to the target and passes its events on; it returns nil
// after the last event of a whole stream.
func (s *streaming) attempt(ctx context.Context) error {
	s.attempts++
	a, err := s.Transport.Send(ctx, s.target, EndpointRequest{
		Request: s.request, Context: s.ticket.Text(), Deadline: s.deadline, Priority: s.enginePriority(), LastEventID: s.lastEventID,
	})
	if err != nil {
		if notRun(err) {
			s.attempts--
		}
		return err
	}
	defer a.Close()
	if a.NotRun() {
		s.attempts--
		return errNotRun
	}
	if !a.IsStream() {
		return s.forwardWhole(a)
	}
	return s.forwardEvents(ctx, a)
}

// passWhole passes an answer on that is no stream, such as an endpoint's failure.
func (s *streaming) forwardWhole(a Response) error {
	body, err := a.Body()
	if err != nil {
		return err
	}
	s.possiblyRan = true
	if s.headSent {
		return Errorf("resume stream", KindBroken, "endpoint answered with status %d", a.Status())
	}
	s.responder.Respond(a.Status(), a.Header(), body)
	s.Metrics.observeAnswered(s.call, a.Status())
	s.logRequest("answered", a.Status(), "")
	return errResponded
}

func (s *streaming) forwardEvents(ctx context.Context, a Response) error {
	for {
		e, err := a.Next()
		if err == io.EOF {
			return s.checkNotEmpty(a)
		}
		if err != nil {
			return err
		}
		if err := s.sendHead(ctx, a); err != nil {
			return err
		}
		if err := s.responder.WriteEvent(e.Raw); err != nil {
			return errors.Join(errCallerGone, err)
		}
		s.recordEvent(e)
	}
}

// end ends a stream that came whole; one without any event has a head only.
func (s *streaming) checkNotEmpty(a Response) error {
	if s.headSent {
		return nil
	}
	return Errorf("read stream", KindBroken, "stream with status %d ended without an event", a.Status())
}

// open sends the head of the stream, once the attempt is on record.
func (s *streaming) sendHead(ctx context.Context, a Response) error {
	if s.headSent {
		return nil
	}
	s.possiblyRan = true
	err := s.ticket.Wait(ctx)
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return errors.Join(errCallerGone, err)
	}
	if err != nil {
		s.refuse(s.call, s.responder, Refusal{Status: http.StatusBadGateway, Reason: "turn could not be recorded: " + err.Error()})
		return errResponded
	}
	s.firstEventTime = time.Since(s.request.ReceivedAt)
	s.headSent = true
	if err := s.responder.StartStream(a.Status(), a.Header()); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// count books an event that the caller has.
func (s *streaming) recordEvent(e Event) {
	if e.Empty {
		return
	}
	s.eventCount++
	if e.ID != "" {
		s.lastEventID = e.ID
	}
	s.output = append(append(s.output, e.Data...), '\n')
	s.outputTokens += s.eventTokens()
}

// eventTokens returns how many tokens an event stands for.
func (s *streaming) eventTokens() int64 {
	service, ok := s.table.Service(s.service)
	if !ok || service.Engine == nil {
		return 1
	}
	return max(1, service.Engine.EventTokens)
}

func (s *streaming) streamQuery() endpoint.Query {
	return endpoint.Query{
		Service: s.service, Kind: s.route.Name(), Once: s.route.Repeat() == route.Once, MaxQueued: maxQueuedEngine, LocalDomain: s.Domain, ExcludedIDs: s.excludedIDs,
		PreferredID: s.holder, PreferredSaving: s.cacheSaving(),
	}
}

// held is the time that the endpoint saves that holds the conversation.
func (s *streaming) cacheSaving() time.Duration {
	return time.Duration(evictionFactor * float64(s.request.PromptTokens) / prefillTokensPerMS * float64(time.Millisecond))
}

// priority returns the order of the request inside an engine.
func (s *streaming) enginePriority() int {
	return min(lowestPriority, 1+priorityStep*s.route.Rank())
}
