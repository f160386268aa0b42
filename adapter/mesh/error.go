package mesh

import "fmt"

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindUnreachable means that no other front could be asked.
	KindUnreachable Kind = iota
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

// Error returns the message with its operation.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
