package program

import (
	"errors"
	"fmt"
	"time"
)

// Outcome tells whether a call ran.
type Outcome uint8

// Outcomes of a call. Their values are sent between processes, so the order is fixed.
const (
	// InDoubt means that it is unknown whether the call ran.
	InDoubt Outcome = iota
	// Ran means that the call ran.
	Ran
	// NotRun means that the call did not run and will not run.
	NotRun
)

// Kind classifies an error.
type Kind uint8

// Kinds of errors. Their values are sent between processes, so the order is fixed.
const (
	// KindInternal means a failure that no other kind describes.
	KindInternal Kind = iota
	// KindInvalid means that the request is malformed.
	KindInvalid
	// KindUnauthenticated means that the caller's key is missing or unknown.
	KindUnauthenticated
	// KindDenied means that the handle is not valid, or belongs to another caller or
	// program.
	KindDenied
	// KindNotFound means that no such program is known.
	KindNotFound
	// KindConflict means that the request contradicts the state of the program, such as
	// other content under the number of an earlier call.
	KindConflict
	// KindStale means that the call was answered and its answer is no longer stored.
	KindStale
	// KindEnded means that the program is finished or canceled.
	KindEnded
	// KindOverBudget means that the token budget is used up.
	KindOverBudget
	// KindLooping means that the program reached its limit of turns or of equal calls
	// in a row.
	KindLooping
	// KindOverloaded means that there is no capacity at present.
	KindOverloaded
	// KindLeaving means that the instance is draining before it stops.
	KindLeaving
	// KindUnavailable means that something needed did not respond.
	KindUnavailable
	// KindCanceled means that the program or the request was canceled.
	KindCanceled
	// KindTimeout means that the call took too long.
	KindTimeout
	// KindQuarantined means that the request crashed engines and is not sent again.
	KindQuarantined
	// KindMoved means that another instance is the home of the program, or may be.
	KindMoved
	// KindInDoubt means that the outcome of an order can never be determined.
	KindInDoubt
	kindCount
)

var (
	outcomeNames = [...]string{"in-doubt", "ran", "not-run"}
	kindNames    = [...]string{
		"internal", "invalid", "unauthenticated", "denied", "not-found", "conflict", "stale", "ended",
		"over-budget", "looping", "overloaded", "leaving", "unavailable", "canceled", "timeout",
		"quarantined", "moved", "in-doubt",
	}
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// String returns the stable name of the kind, which callers receive as the reason.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "unknown"
}

// Error is the error type of this package and of the packages that run programs.
type Error struct {
	op         string
	kind       Kind
	outcome    Outcome
	retryAfter time.Duration
	home       string
	err        error
}

// ErrorConfig holds the content of an Error.
type ErrorConfig struct {
	// Op names the operation that failed.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Outcome tells whether the call ran; the zero value is InDoubt.
	Outcome Outcome
	// RetryAfter is the recommended delay before another attempt, 0 for no
	// recommendation.
	RetryAfter time.Duration
	// Home is the name of the instance that is the program's home, for KindMoved, or
	// empty when it is unknown.
	Home string
	// Err is the cause; it must not be nil.
	Err error
}

// NewError returns an Error with the given content.
func NewError(c ErrorConfig) *Error {
	return &Error{op: c.Op, kind: c.Kind, outcome: c.Outcome, retryAfter: c.RetryAfter, home: c.Home, err: c.Err}
}

// Errorf returns an Error with the outcome NotRun and a formatted cause.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return NewError(ErrorConfig{Op: op, Kind: kind, Outcome: NotRun, Err: fmt.Errorf(format, args...)})
}

// AsError returns the first Error that err wraps. When there is none it returns one of
// KindInternal with the outcome InDoubt and the cause err.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(ErrorConfig{Op: "run", Kind: KindInternal, Outcome: InDoubt, Err: err})
}

// KindOf returns the kind of the first Error that err wraps, or KindInternal when there
// is none.
func KindOf(err error) Kind { return AsError(err).Kind() }

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Message returns the cause without the operation.
func (e *Error) Message() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Op returns the name of the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Outcome returns whether the call ran.
func (e *Error) Outcome() Outcome { return e.outcome }

// RetryAfter returns the recommended delay before another attempt, 0 for no
// recommendation.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Home returns the name of the program's home, for KindMoved, or an empty string when it
// is unknown.
func (e *Error) Home() string { return e.home }
