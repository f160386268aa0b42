package mesh

import "fmt"

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindUnreachable means that a request to another front failed without a reply, that
	// too few fronts could serve it, or that the sockets could not be opened.
	KindUnreachable Kind = iota
)

// Error is an error of the communication between fronts. A failure that another front
// reports in its reply is a *turn.Error instead.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error of the operation op and of a kind; format may wrap a cause
// with %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// Error returns the operation and the message of the cause.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
