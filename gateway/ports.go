package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/turn"
)

// Dispatch is what an endpoint is sent.
type Dispatch struct {
	// Request is the attempt of the caller.
	Request *Request
	// Context goes before the body: the conversation that a turn continues.
	Context []byte
	// Deadline is when the endpoint should stop.
	Deadline time.Time
	// Priority orders requests inside an engine, 0 is first; below 0 is not said.
	Priority int
	// LastEvent is the identifier of the last event that the caller has, or empty.
	LastEvent string
	// Fresh asks for a new connection or one that was used just now.
	Fresh bool
}

// Endpoints sends requests to endpoints.
type Endpoints interface {
	// Send sends a request and returns the head of the answer; an error of
	// KindNotSent means that the endpoint can't have seen the request.
	Send(ctx context.Context, t endpoint.Target, d Dispatch) (Answer, error)
	// Alive reports whether an endpoint still takes connections.
	Alive(ctx context.Context, t endpoint.Target) bool
}

// Answer is the answer of an endpoint; its holder must call Close.
type Answer interface {
	// Status returns the HTTP status.
	Status() int
	// Header returns what is passed on to the caller.
	Header() http.Header
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun() bool
	// Stream reports whether the answer is a stream of events.
	Stream() bool
	// Body returns the whole body, or an error when it can't be whole.
	Body() ([]byte, error)
	// Next returns the next whole event, or io.EOF after the last one of a whole
	// stream.
	Next() (Event, error)
	// Close ends the answer; one that was not read to its end cancels the request.
	Close()
}

// Event is one event of a stream.
type Event struct {
	// Raw is the event as the endpoint sent it, with its closing empty line.
	Raw []byte
	// ID is the identifier, or empty.
	ID string
	// Data is the data of the event.
	Data []byte
	// Empty is set for comments and the like.
	Empty bool
}

// Ledger admits and settles turns.
type Ledger interface {
	// Begin admits an attempt of a turn.
	Begin(ctx context.Context, r turn.BeginRequest) (turn.Admission, error)
	// End settles an attempt.
	End(ctx context.Context, r turn.EndRequest) error
}

// Suspects knows requests that crash endpoints.
type Suspects interface {
	// Crashed notes that an endpoint ended while it ran an attempt of a request.
	Crashed(request, attempt uint64)
	// Banned reports whether a request must not run any more.
	Banned(request uint64) bool
}
