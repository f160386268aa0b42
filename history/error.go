package history

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindUnknown means that it is not known whether a record is in the log: it may
	// still become valid.
	KindUnknown Kind = iota
	// KindSuperseded means that the record never becomes valid: it is in the log, but
	// does not follow the latest record of its program, because the record of another
	// writer came first.
	KindSuperseded
	// KindNotFound means that the log holds no record of the program.
	KindNotFound
	// KindCorrupt means that a record can't be encoded, decoded or applied, or that the
	// records of a program are incomplete.
	KindCorrupt
	// KindUnavailable means that the log could not be read.
	KindUnavailable
)

// Error is the error type of this package: a failed operation, its kind and the cause.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error of operation op whose cause is formatted as by fmt.Errorf.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first Error in the chain of err, KindUnknown when there
// is none, also for a nil err.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindUnknown
}

// Error returns the operation and the message of the cause.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.err }

// Op returns the name of the failed operation.
func (e *Error) Op() string { return e.op }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
