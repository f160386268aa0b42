package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/origin"
	"github.com/lavendervale/lavendervale/quarantine"
	"github.com/lavendervale/lavendervale/transcript"
	"github.com/lavendervale/lavendervale/turn"
)

// EndpointRequest is a request as it is sent to an endpoint.
type EndpointRequest struct {
	// Request is the request of the caller.
	Request *Request
	// Context is the text of the conversation that the turn continues; it is sent before
	// the body. Empty for requests that continue none.
	Context []byte
	// Deadline is when the endpoint should stop working on the request; zero for none.
	Deadline time.Time
	// Priority orders requests inside an engine, lowest first; negative values are not
	// sent.
	Priority int
	// Customer is the name of the caller's customer, or empty.
	Customer string
	// LastEventID is the identifier of the last event that the caller has received, after
	// which a stream is resumed, or empty.
	LastEventID string
	// FreshConnection asks for a new or very recently used connection. An idle one may have
	// been closed by the endpoint, which loses a request that must not be repeated.
	FreshConnection bool
	// OpenedAfter is set if only connections that were opened later may carry the request.
	OpenedAfter time.Time
	// Admit is called before the request is sent, with the time when its connection was opened. An
	// error keeps it from being sent, and is returned by Send. It may be called for several
	// connections in turn. Nil admits all.
	Admit func(ctx context.Context, openedAt time.Time) error
	// OnLeaving is called when a response of the endpoint says that it leaves, before Send or
	// a method of the response returns. The response may be invalid or one to an earlier request.
	OnLeaving func()
	// ConfirmEnd is called when a response without a length or chunks has ended with its connection
	// and the endpoint accepts no new one, as after a crash. connected reports whether the endpoint
	// keeps another connection open. The response is whole if ConfirmEnd returns nil. A nil
	// ConfirmEnd takes the endpoint for crashed.
	ConfirmEnd func(ctx context.Context, connected func() bool) error
}

// Transport sends requests to endpoints.
type Transport interface {
	// Send sends a request and returns once the head of the response has been read. Errors
	// of KindNotSent and KindUnreachable prove that the endpoint did not see the request.
	Send(ctx context.Context, t endpoint.Target, r EndpointRequest) (Response, error)
	// Alive reports whether an endpoint accepts connections.
	Alive(ctx context.Context, t endpoint.Target) bool
}

// Response is the response of an endpoint. The receiver reads it with either Body or Next
// and must call Close.
type Response interface {
	// Status returns the HTTP status.
	Status() int
	// Header returns the header fields that are passed on to the caller; after Body, with the length
	// of a body that it did not return whole.
	Header() http.Header
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun() bool
	// Limit returns the rate limit that the endpoint names in the response, and whether the
	// response tells if there is one.
	Limit() (endpoint.Limit, bool)
	// IsStream reports whether the response is a stream of events.
	IsStream() bool
	// Body returns the body, or an error if it is incomplete. A body that does not fit into the
	// memory of the request is returned in part; Rest has what follows.
	Body() ([]byte, error)
	// Rest returns what follows the part that Body returned, or nil if that is the whole body.
	// Its errors, other than io.EOF at the end of a complete body, are of KindBroken.
	Rest() io.Reader
	// Next returns the next complete event, or io.EOF after the last event of a complete
	// stream.
	Next() (Event, error)
	// Close releases the response; if it was not read to its end, the request is canceled.
	Close()
}

// Event is one server-sent event.
type Event struct {
	// Raw is the event as the endpoint sent it, with the empty line that ends it.
	Raw []byte
	// ID is the event's id field, or empty.
	ID string
	// Data is the content of the data fields, joined by newlines.
	Data []byte
	// Empty is set if there is no data field, as in a comment.
	Empty bool
}

// RegistrationReader reads the registrations of endpoints into the directory.
type RegistrationReader interface {
	// ReadRegistrations returns at the end of a read that begins after the call, when ctx ends, or
	// at once while they can't be read.
	ReadRegistrations(ctx context.Context)
}

// TurnTracker admits turns against the budget of their program and records how they end.
type TurnTracker interface {
	// Begin admits an attempt of a turn. Errors of turn.KindBudget and turn.KindNotFound
	// are final; after any other error, tokens may be reserved until End is called.
	Begin(ctx context.Context, r turn.BeginRequest) (turn.Admission, error)
	// End records the result of an attempt and releases the tokens reserved for it.
	End(ctx context.Context, r turn.EndRequest) error
}

// OriginTracker remembers which software version of an endpoint began each resumable stream.
type OriginTracker interface {
	// RecordOrigin remembers an origin. With copied set it returns once other instances
	// remember it too, or do not answer.
	RecordOrigin(ctx context.Context, o origin.Origin, copied bool)
	// FindOrigin returns the origin of the stream that an attempt began, or false if no
	// instance that was asked knows it. The error is set if some did not answer.
	FindOrigin(ctx context.Context, attempt string) (origin.Origin, bool, error)
}

// TranscriptTracker remembers what callers have received of streams whose turns are kept.
type TranscriptTracker interface {
	// BeginTranscript returns the recorder of a stream that begins; stream identifies it.
	BeginTranscript(stream string) transcript.Recorder
	// ContinueTranscript returns the data of the events that the caller of a stream has received up to
	// one, each followed by a newline, and the recorder of those that follow. Errors are of package
	// transcript.
	ContinueTranscript(ctx context.Context, stream, eventID string) ([]byte, transcript.Recorder, error)
}

// CrashTracker remembers requests that crash endpoints.
type CrashTracker interface {
	// RecordCrash notes that an incarnation of an endpoint, given as a hash, crashed at endedAt while
	// it ran a request that was sent to it at beganAt.
	RecordCrash(request quarantine.Identity, incarnation uint64, beganAt, endedAt time.Time)
	// RecordCompletion notes that an endpoint ran a request to its end.
	RecordCompletion(request quarantine.Identity)
	// Banned reports whether a request must not run again.
	Banned(request quarantine.Identity) bool
}
