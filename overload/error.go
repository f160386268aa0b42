package overload

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies the errors of this package by what limits the request.
type Kind uint8

// Kinds of errors.
const (
	// KindFull means that the engines are full.
	KindFull Kind = iota
	// KindShare means that the engines are full and the customer is over its fair share.
	KindShare
)

// Error says that a turn that begins its program was refused and has not run.
type Error struct {
	// op is what was refused.
	op   string
	kind Kind
	err  error
	// retryAfter is when the caller should retry.
	retryAfter time.Duration
}

// Errorf returns an Error of operation op. Like fmt.Errorf, it wraps the operand of %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first Error that err wraps, or KindFull if it wraps none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindFull
}

// RetryAfter returns when the caller should retry after the first Error that err wraps, and false if it
// wraps none.
func RetryAfter(err error) (time.Duration, bool) {
	var e *Error
	if errors.As(err, &e) {
		return e.retryAfter, true
	}
	return 0, false
}

// Error returns the operation and the message.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }
