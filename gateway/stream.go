package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/route"
	"github.com/lavendervale/lavendervale/transcript"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// maxQueuedEngine is how many requests beyond its slots an engine may hold; the engine
	// orders these by priority itself.
	maxQueuedEngine = 3
	// evictionFactor is the cost of reading a prompt at an engine that does not hold its
	// conversation, in reads of that prompt. It is above 1 because the prompt evicts other
	// conversations from the engine's memory, whose next turns evict further ones.
	evictionFactor = 3
	// lowestPriority is the numerically highest priority that engines accept.
	lowestPriority = 9
	// priorityStep is the difference between the priorities of two adjacent ranks.
	priorityStep = 2
)

// serveStream serves a request whose response is a stream of events: it admits the turn,
// passes the stream on and records the turn.
func (c *call) serveStream(ctx context.Context, w Responder) {
	version, err := c.resumedVersion(ctx)
	if err != nil {
		c.refuseFailed(ctx, w, err, nil)
		return
	}
	text, recorder, err := c.openTranscript(ctx)
	if err != nil {
		c.refuseFailed(ctx, w, err, nil)
		return
	}
	admission, err := c.beginTurn(ctx)
	if err != nil {
		c.refuseTurn(ctx, w, err)
		return
	}
	c.holder = admission.Endpoint()
	s := &streaming{call: c, admission: admission, responder: w, lastEventID: c.request.LastEventID, version: version, resumedAt: time.Now(), text: text, recorder: recorder}
	complete := s.run(ctx)
	c.endTurn(s, complete)
}

// streaming is the state of a request with a streamed response.
type streaming struct {
	*call
	admission turn.Admission
	responder Responder
	// lastEventID is the identifier of the last event that the caller has received.
	lastEventID string
	// version is the software version that began the stream, or empty while it is not known.
	version string
	// resumedAt is when the part of the stream that the caller has had been received.
	resumedAt time.Time
	// openedAt is when the connection of the latest attempt was opened.
	openedAt time.Time
	// sentAt is when the latest attempt began.
	sentAt time.Time
	// confirmReads counts the reads of the registrations that attempts to resume the stream waited for.
	confirmReads int
	// originSequence numbers the origins that were recorded for the stream, and origin is the
	// latest one, or nil.
	originSequence uint32
	origin         *originRecord
	// admissionDecided is set once it has been decided whether the turn may begin its program.
	admissionDecided bool
	// headSent is set once the caller has received the head of the stream.
	headSent bool
	// text is what the turn adds to the conversation: the request body, then the data of each event
	// followed by a newline. It is nil on routes that keep no turns.
	text []byte
	// recorder records the events of a stream that its caller may take up elsewhere, or is nil.
	recorder     transcript.Recorder
	outputTokens int64
}

// run passes the stream on, resuming it at other endpoints if necessary, and reports whether
// it is complete. If it is not, the caller has received a response or the connection is aborted.
func (s *streaming) run(ctx context.Context) bool {
	for {
		if err := s.acquireTurn(ctx); err != nil {
			s.fail(ctx, err)
			return false
		}
		sentAt := time.Now()
		err := s.attempt(ctx)
		s.recordUse(sentAt, err)
		s.Directory.Release(s.target)
		switch {
		case err == nil:
			now := time.Now()
			s.Directory.RecordResponse(s.target, false, now)
			s.Directory.RecordSuccess(s.target, now)
			s.CrashTracker.RecordCompletion(s.identity)
			return true
		case errors.Is(err, errNotRun), errors.Is(err, errUnconfirmed):
			s.excludeTarget()
			continue
		case errors.Is(err, errResponded):
			return false
		case errors.Is(err, errCallerGone):
			s.responder.Abort()
			s.Metrics.observeCallerLeft(s.call)
			s.logRequest("caller left", 0, err.Error())
			return false
		case errors.Is(err, errNoMemory), transcript.KindOf(err) == transcript.KindSuperseded:
			s.fail(ctx, err)
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
		if ctx.Err() != nil || !s.canResume() || !s.canJoin(ctx) || !s.repeatWithinQuota(ctx) {
			s.fail(ctx, err)
			return false
		}
	}
}

// canResume reports whether the stream may be resumed at another endpoint. The attempt limit
// does not apply if the endpoint that broke off is draining or no longer registered.
func (s *streaming) canResume() bool {
	if s.route.RetryPolicy() != route.Resumable {
		return false
	}
	return s.attempts < s.route.MaxAttempts() || !s.Directory.Usable(s.target, time.Now())
}

// fail ends a request that can't be completed: with a refusal if no event has been sent,
// else by closing the connection.
func (s *streaming) fail(ctx context.Context, err error) {
	if !s.headSent {
		s.refuseFailed(ctx, s.responder, err, err)
		return
	}
	s.responder.Abort()
	s.Metrics.observeBroken(s.call)
	s.logRequest("cut off", 0, err.Error())
}

// Errors that end an attempt without a failure of the endpoint.
var (
	errNotRun     = errors.New("endpoint did not run the request")
	errResponded  = errors.New("caller already has its final response")
	errCallerGone = errors.New("caller has disconnected")
	errNoMemory   = errors.New("no memory for the text of the turn")
)

// attempt sends the request to the current target and passes the events of the response on.
// It returns nil after the last event of a complete stream.
func (s *streaming) attempt(ctx context.Context) error {
	s.attempts++
	s.sentAt = time.Now()
	openedAfter, admit := s.connectionRules()
	end := &endConfirmer{call: s.call, target: s.target, repeatable: s.route.RetryPolicy() == route.Resumable}
	response, err := s.Transport.Send(ctx, s.target, EndpointRequest{
		Request: s.request, Context: s.admission.Text(), Deadline: s.deadline, Priority: s.enginePriority(), LastEventID: s.lastEventID, Customer: s.customer.Name,
		OpenedAfter: openedAfter, Admit: admit, OnLeaving: s.leavingRecorder(s.target), ConfirmEnd: end.confirm,
	})
	if err != nil {
		if notRun(err) {
			s.attempts--
		}
		return err
	}
	defer response.Close()
	s.recordLimit(s.target, response)
	if response.NotRun() {
		s.attempts--
		return errNotRun
	}
	if !response.IsStream() {
		return s.forwardWhole(ctx, response)
	}
	return s.forwardEvents(ctx, response)
}

// forwardWhole passes a response on that is not a stream, such as an endpoint's error. It is
// an error if the caller has already received a part of the stream.
func (s *streaming) forwardWhole(ctx context.Context, response Response) error {
	body, err := response.Body()
	if err != nil {
		return err
	}
	s.possiblyRan = true
	s.recordResponse(s.target, response.Status())
	if s.headSent {
		return Errorf("resume stream", KindBroken, "expected an event stream, but the endpoint responded with status %d", response.Status())
	}
	s.respond(ctx, s.responder, newBufferedResponse(response, body))
	return errResponded
}

// streamQuery describes the request to the endpoint directory; it prefers the endpoint that
// holds the conversation.
func (s *streaming) streamQuery() endpoint.Query {
	return endpoint.Query{
		Service: s.service, Kind: s.route.Name(), Once: s.route.RetryPolicy() == route.AtMostOnce, MaxQueued: maxQueuedEngine, LocalDomain: s.Domain, ExcludedIDs: s.excludedIDs,
		PreferredID: s.holder, PreferredSaving: s.cacheSaving(), Version: s.version,
	}
}

// cacheSaving returns the time saved by sending the turn to the endpoint that holds its
// conversation.
func (s *streaming) cacheSaving() time.Duration {
	return time.Duration(evictionFactor * float64(s.request.PromptTokens) / s.promptRate() * float64(time.Millisecond))
}

// enginePriority returns the request's priority inside an engine, from 1 for rank 0 up to
// lowestPriority. That of late programs is between those of their rank and the next one.
func (s *streaming) enginePriority() int {
	priority := 1 + priorityStep*s.rank()
	if s.late() {
		priority++
	}
	return min(lowestPriority, priority)
}
