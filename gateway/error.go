package gateway

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what it says about the endpoint and the request.
type Kind uint8

// Kinds of errors.
const (
	// KindUnknown is the kind of all other errors; the endpoint may have run the request.
	KindUnknown Kind = iota
	// KindNotSent means that no byte of the request was sent, because the wait for a
	// connection was canceled or the connection took no data.
	KindNotSent
	// KindUnreachable means that no connection to the endpoint could be made.
	KindUnreachable
	// KindBroken means that the response is invalid or incomplete, or that the wait for it
	// was canceled; the endpoint may have run the request.
	KindBroken
	// KindReset means that the endpoint closed the connection before the first byte of a
	// response; the endpoint may have run the request.
	KindReset
)

// Error is an error with the operation that failed and a Kind.
type Error struct {
	// op names the operation, such as "read body".
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error for the operation op; format and args work as in fmt.Errorf,
// including %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first Error in the chain of err, or KindUnknown if there
// is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindUnknown
}

// Error returns the message, prefixed by the operation.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// notRun reports whether err proves that the endpoint did not run the request.
func notRun(err error) bool {
	k := KindOf(err)
	return k == KindNotSent || k == KindUnreachable
}
