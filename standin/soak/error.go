package soak

import "fmt"

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindInvalid means that the configuration of a run is invalid.
	KindInvalid Kind = iota
	// KindSystem means that a process, a file or a listener could not be created.
	KindSystem
)

// Error is an error with the operation that failed and its kind.
type Error struct {
	// op is the operation that failed, for example "start front".
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error of operation op. Like fmt.Errorf, it wraps the operand of %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// Error returns the operation and the message.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }
