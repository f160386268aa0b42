package dispatch

import (
	"errors"
	"fmt"
)

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindNone means that no endpoint can take the request.
	KindNoEndpoint Kind = iota
	// KindTimeout means that no endpoint had room in time.
	KindTimeout
	// KindOverload means that the request could not be served in time.
	KindOverload
)

// Error is the error of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Errorf returns an error of this package.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of err, KindNone when it is of another type.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindNoEndpoint
}

// Error returns the message with its operation.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
