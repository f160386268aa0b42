package gateway

import (
	"net/http"
	"time"

	"github.com/lavendervale/lavendervale/memory"
)

// Request is one attempt of a caller; a retry by the caller is another Request.
type Request struct {
	// ID identifies the attempt.
	ID string
	// Method is the HTTP method.
	Method string
	// Host is the host of the request without its port; routes match it.
	Host string
	// Authority is the host as the caller sent it, with its port if any.
	Authority string
	// Path is the decoded path without the query, in which encoded slashes stay encoded; routes
	// match it.
	Path string
	// Target is the request target: the path and query, as the caller sent them.
	Target string
	// Header holds the header fields that are forwarded unchanged.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// ReceivedAt is when the head of the request had been read.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting, or zero if it gave none.
	Deadline time.Time
	// Key is the secret by which the caller's customer is known, or empty.
	Key string
	// Program identifies the program that the request belongs to, or is empty.
	Program string
	// Session identifies a conversation within the program, or is empty.
	Session string
	// ProgramDeadline is when the whole program should be finished, or zero if unknown.
	ProgramDeadline time.Time
	// BudgetTokens is the number of tokens that the whole program may generate; 0 is no limit.
	BudgetTokens int64
	// MaxTokens is the number of tokens that this turn may generate.
	MaxTokens int64
	// PromptTokens is the size of the prompt in tokens.
	PromptTokens int64
	// PreviousTurn identifies the turn to continue, or is empty.
	PreviousTurn string
	// LastEventID is the identifier of the last event that the caller has received, after
	// which it resumes a stream, or empty.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of that stream, or
	// empty.
	Resumes string
	// Memory is what the request holds in buffers; nil sets no bound.
	Memory *memory.Reservation
}

// Refusal is an error response that the gateway produces itself.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is how long the caller should wait before a retry; 0 leaves it unspecified.
	RetryAfter time.Duration
	// Reason is the message for the caller and the log.
	Reason string
}

// Responder writes the response to a request. At most one of Refuse, Respond and
// StartStream is called; after StartStream follow calls of WriteEvent and one of
// FinishStream or Abort. A body that is not buffered whole is sent like a stream, its parts in
// place of events.
type Responder interface {
	// Refuse sends an error response of the gateway.
	Refuse(r Refusal)
	// Respond sends a complete response of an endpoint.
	Respond(status int, header http.Header, body []byte)
	// StartStream sends the head of a stream of events.
	StartStream(status int, header http.Header) error
	// WriteEvent sends one event, which must be complete.
	WriteEvent(raw []byte) error
	// FinishStream ends a stream as complete.
	FinishStream()
	// Abort closes the connection, so that the caller can't take the response for complete.
	// It may be called without a preceding StartStream.
	Abort()
}
