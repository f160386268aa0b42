package fleet

import (
	"errors"
	"fmt"
)

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindUnknown means that it is not known whether the request took effect.
	KindUnknown Kind = iota
	// KindUnavailable means that the platform did not accept the request, which had no effect.
	KindUnavailable
	// KindExpired means that the log no longer retains the requested entries.
	KindExpired
	// KindInvalid means that the request is malformed or a value in it is not permitted.
	KindInvalid
)

// Error is an error with the operation that failed and its kind.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error whose cause is formatted as by fmt.Errorf.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first *Error in the chain of err, KindUnknown if there is
// none.
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

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
