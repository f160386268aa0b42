package history

import (
	"errors"
	"fmt"
)

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindUnknown means that a record may yet take effect.
	KindUnknown Kind = iota
	// KindSuperseded means that another writer's record came first.
	KindSuperseded
	// KindNotFound means that the journal holds no record of the program.
	KindNotFound
	// KindCorrupt means that a record can't be read.
	KindCorrupt
	// KindUnavailable means that the log does not answer.
	KindUnavailable
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

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
