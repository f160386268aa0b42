package gateway

import (
	"errors"
	"fmt"
)

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindUnknown means that the request may have run.
	KindUnknown Kind = iota
	// KindNotSent means that the endpoint can't have seen the request.
	KindNotSent
	// KindUnreachable means that no connection to the endpoint could be made.
	KindUnreachable
	// KindBroken means that an answer had begun and did not end whole.
	KindBroken
	// KindReset means that the endpoint ended the connection before an answer.
	KindReset
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

// KindOf returns the kind of err, KindUnknown when it is of another type.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindUnknown
}

// Error returns the message with its operation.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// notRun reports whether an error proves that the endpoint did not run the request.
func notRun(err error) bool {
	k := KindOf(err)
	return k == KindNotSent || k == KindUnreachable
}
