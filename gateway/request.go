package gateway

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	// ID names the attempt.
	ID string
	// Method is the HTTP method.
	Method string
	// Host is the host that the caller named, without a port.
	Host string
	// Authority is the host as the caller wrote it.
	Authority string
	// Path is the path alone.
	Path string
	// Target is the path with its query, as the caller sent it.
	Target string
	// Header holds what goes on to the endpoint unchanged.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Arrived is when the head had been read.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting, zero when it did not say.
	Deadline time.Time
	// Program names the program, or is empty.
	Program string
	// Session names one line of turns, or is empty.
	Session string
	// ProgramDeadline is when the whole program should be finished, zero if unknown.
	ProgramDeadline time.Time
	// Budget is what the program may generate in tokens, 0 for no limit.
	Budget int64
	// MaxTokens is what this turn may generate.
	MaxTokens int64
	// PromptTokens is the size of the prompt.
	PromptTokens int64
	// Previous is the turn to continue, or empty.
	PreviousTurn string
	// LastEvent is the identifier of the last event that the caller has, or empty.
	LastEventID string
}

// Refusal is an answer of the system's own.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is when the caller may come back, 0 for not said.
	RetryAfter time.Duration
	// Reason says why, for the caller and the log.
	Reason string
}

// Responder sends the answer of a request; exactly one of Refuse, Whole and Start
// is called.
type Responder interface {
	// Refuse sends an answer of the system's own.
	Refuse(r Refusal)
	// Whole sends a complete answer of an endpoint.
	Respond(status int, header http.Header, body []byte)
	// Start begins a stream.
	StartStream(status int, header http.Header) error
	// Event passes events on.
	WriteEvent(raw []byte) error
	// Finish ends a stream as complete.
	FinishStream()
	// Abort ends a stream so that it can't be taken for complete.
	Abort()
}
