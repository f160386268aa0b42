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
	depthEngine = 3
	// prefillRate is how many prompt tokens an engine reads in a millisecond, as all
	// deployment sheets say.
	prefillRate = 150
	// reuse is how many reads of a prompt one read at another engine stands for: it
	// pushes conversations out of that engine's memory, whose next turns push out more.
	reuse = 3
	// maxPriority is the last priority of engines.
	maxPriority = 9
	// priorityStep is the distance between the priorities of two ranks.
	priorityStep = 2
)

// stream serves a request whose answer is a stream of events.
func (c *call) stream(ctx context.Context, w Responder) {
	ticket, err := c.begin(ctx)
	if err != nil {
		c.refuseTurn(ctx, w, err)
		return
	}
	c.holder = ticket.Endpoint()
	s := &streaming{call: c, ticket: ticket, out: w, last: c.request.LastEvent}
	whole := s.run(ctx)
	c.settle(s, whole)
}

// streaming is a stream under way.
type streaming struct {
	*call
	ticket  turn.Admission
	out     Responder
	last    string
	started bool
	output  []byte
	tokens  int64
}

// text returns what the turn adds to the conversation.
func (s *streaming) text() []byte {
	return append(append(make([]byte, 0, len(s.request.Body)+len(s.output)), s.request.Body...), s.output...)
}

// run passes a stream on and reports whether it came to its whole end.
func (s *streaming) run(ctx context.Context) bool {
	for {
		if err := s.acquire(ctx, s.query(), s.order()); err != nil {
			s.fail(ctx, err)
			return false
		}
		err := s.pass(ctx)
		s.Directory.Done(s.target)
		switch {
		case err == nil:
			s.Directory.Succeeded(s.target, time.Now())
			return true
		case errors.Is(err, errRefused):
			s.exclude()
			continue
		case errors.Is(err, errAnswered):
			return false
		case errors.Is(err, errCaller):
			s.out.Abort()
			s.Metrics.left(s.call)
			s.log("caller left", 0, err.Error())
			return false
		}
		if ctx.Err() == nil {
			s.failed(err)
		}
		s.exclude()
		if notRun(err) {
			continue
		}
		s.sent = true
		if ctx.Err() != nil || !s.mayResume() {
			s.fail(ctx, err)
			return false
		}
	}
}

// mayResume reports whether the stream may go on at another endpoint.
func (s *streaming) mayResume() bool {
	if s.route.RetryPolicy() != route.Resumable {
		return false
	}
	return s.attempts < s.route.MaxAttempts() || !s.Directory.Usable(s.target, time.Now())
}

// fail ends a stream that can't be served.
func (s *streaming) fail(ctx context.Context, err error) {
	if !s.started {
		s.giveUp(ctx, s.out, err, err)
		return
	}
	s.out.Abort()
	s.Metrics.broken(s.call)
	s.log("cut off", 0, err.Error())
}

// Errors that end an attempt at an endpoint besides failures.
var (
	errRefused  = errors.New("endpoint did not run the request")
	errAnswered = errors.New("request has its final answer")
	errCaller   = errors.New("caller does not read its stream")
)

// pass sends the request to the target and passes its events on; it returns nil
// after the last event of a whole stream.
func (s *streaming) pass(ctx context.Context) error {
	s.attempts++
	a, err := s.Endpoints.Send(ctx, s.target, Dispatch{
		Request: s.request, Context: s.ticket.Text(), Deadline: s.deadline, Priority: s.priority(), LastEvent: s.last,
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
		return errRefused
	}
	if !a.Stream() {
		return s.passWhole(a)
	}
	return s.passEvents(ctx, a)
}

// passWhole passes an answer on that is no stream, such as an endpoint's failure.
func (s *streaming) passWhole(a Answer) error {
	body, err := a.Body()
	if err != nil {
		return err
	}
	s.sent = true
	if s.started {
		return Errorf("resume stream", KindBroken, "endpoint answered with status %d", a.Status())
	}
	s.out.Whole(a.Status(), a.Header(), body)
	s.Metrics.served(s.call, a.Status())
	s.log("answered", a.Status(), "")
	return errAnswered
}

func (s *streaming) passEvents(ctx context.Context, a Answer) error {
	for {
		e, err := a.Next()
		if err == io.EOF {
			return s.end(a)
		}
		if err != nil {
			return err
		}
		if err := s.open(ctx, a); err != nil {
			return err
		}
		if err := s.out.Event(e.Raw); err != nil {
			return errors.Join(errCaller, err)
		}
		s.count(e)
	}
}

// end ends a stream that came whole; one without any event has a head only.
func (s *streaming) end(a Answer) error {
	if s.started {
		return nil
	}
	return Errorf("read stream", KindBroken, "stream with status %d ended without an event", a.Status())
}

// open sends the head of the stream, once the attempt is on record.
func (s *streaming) open(ctx context.Context, a Answer) error {
	if s.started {
		return nil
	}
	s.sent = true
	err := s.ticket.Wait(ctx)
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return errors.Join(errCaller, err)
	}
	if err != nil {
		s.refuse(s.call, s.out, Refusal{Status: http.StatusBadGateway, Reason: "turn could not be recorded: " + err.Error()})
		return errAnswered
	}
	s.first = time.Since(s.request.Arrived)
	s.started = true
	if err := s.out.Start(a.Status(), a.Header()); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// count books an event that the caller has.
func (s *streaming) count(e Event) {
	if e.Empty {
		return
	}
	s.events++
	if e.ID != "" {
		s.last = e.ID
	}
	s.output = append(append(s.output, e.Data...), '\n')
	s.tokens += s.eventTokens()
}

// eventTokens returns how many tokens an event stands for.
func (s *streaming) eventTokens() int64 {
	service, ok := s.table.Service(s.service)
	if !ok || service.Engine == nil {
		return 1
	}
	return max(1, service.Engine.TokensPerEvent)
}

func (s *streaming) query() endpoint.Query {
	return endpoint.Query{
		Service: s.service, Kind: s.route.Name(), Once: s.route.RetryPolicy() == route.AtMostOnce, Depth: depthEngine, Near: s.Domain, Avoid: s.avoid,
		Prefer: s.holder, PreferWorth: s.held(),
	}
}

// held is the time that the endpoint saves that holds the conversation.
func (s *streaming) held() time.Duration {
	return time.Duration(reuse * float64(s.request.PromptTokens) / prefillRate * float64(time.Millisecond))
}

// priority returns the order of the request inside an engine.
func (s *streaming) priority() int {
	return min(maxPriority, 1+priorityStep*s.route.Rank())
}
