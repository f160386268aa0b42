package memory

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindUnknown is the kind of errors of other packages.
	KindUnknown Kind = iota
	// KindExhausted means that the bound is reached and no request holds more than this one.
	KindExhausted
	// KindEvicted means that the request was ended because it held more than any other.
	KindEvicted
)

// Error is an error with the operation that failed and its kind.
type Error struct {
	// op is the operation that failed.
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error of operation op. Like fmt.Errorf, it wraps the operand of %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first Error that err wraps, or KindUnknown.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindUnknown
}

// Error returns the operation and the message.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }
