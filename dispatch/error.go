package dispatch

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindNoEndpoint means that the service has no usable endpoint for the request. It
	// is also the kind of errors of other packages.
	KindNoEndpoint Kind = iota
	// KindTimeout means that no endpoint had room before the context ended.
	KindTimeout
	// KindOverload means that the request can't be served in time.
	KindOverload
)

// Error is an error with the operation that failed and its kind.
type Error struct {
	// op is the operation that failed, for example "find endpoint".
	op   string
	kind Kind
	err  error
	// retryAfter is when the request may be served, for errors of KindOverload.
	retryAfter time.Duration
}

// Errorf returns an Error of operation op. Like fmt.Errorf, it wraps the operand of %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first Error that err wraps, or KindNoEndpoint when it
// wraps none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindNoEndpoint
}

// RetryAfter returns after how long the first Error that err wraps expects room for the
// request, or 0 if that is unknown.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.retryAfter
	}
	return 0
}

// Error returns the operation and the message.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }
