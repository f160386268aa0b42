package turn

import (
	"errors"
	"fmt"
)

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	// KindUnavailable means that the state can't be read or written now.
	KindUnavailable Kind = iota
	// KindBudget means that the budget does not hold one more turn.
	KindBudget
	// KindNotFound means that no shard holds the turn.
	KindNotFound
	// KindConflict means that the log ends elsewhere than the writer expected.
	KindConflict
	// KindUnknown means that an append may have taken effect.
	KindUnknown
	// KindExpired means that the records asked for are no longer kept.
	KindExpired
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

// KindOf returns the kind of err, KindUnavailable when it is of another type.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindUnavailable
}

// Error returns the message with its operation.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }
