package configuration

import "fmt"

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindInvalid means that a configuration can't be parsed or is inconsistent.
	KindInvalid Kind = iota
	// KindConflict means that a configuration was made from a version that is not in force.
	KindConflict
	// KindUnavailable means that the platform's log failed or that the decision on a
	// publication is not known in time.
	KindUnavailable
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

// Error returns the operation and the message of the cause.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
