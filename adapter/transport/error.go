package transport

import "fmt"

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindMalformed means that a response is not valid HTTP.
	KindMalformed Kind = iota
)

// Error is an error of a response.
type Error struct {
	// op names the operation, such as "check response".
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error for the operation op; format and args work as in fmt.Errorf, including
// %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// Error returns the operation and the message of the cause.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
