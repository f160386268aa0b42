package transcript

import (
	"errors"
	"fmt"
)

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindUnknown is the kind of all other errors.
	KindUnknown Kind = iota
	// KindNotFound means that nothing is known of what a caller has received.
	KindNotFound
	// KindUnavailable means that too few of the instances answered that may know it.
	KindUnavailable
	// KindSuperseded means that the stream has been taken up elsewhere.
	KindSuperseded
)

// Error is an error with the operation that failed and a Kind.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error of the operation op and of a kind; format may wrap a cause with %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first Error in the chain of err, or KindUnknown if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindUnknown
}

// Error returns the operation and the message of the cause.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
