package turn

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of this package. Its numeric values are sent between
// fronts, so existing kinds keep their values.
type Kind uint8

// Kinds of errors.
const (
	// KindUnavailable means that the log or the home of a shard can't be reached, or
	// did not answer in time. It is also the kind of errors of other packages.
	KindUnavailable Kind = iota
	// KindBudget means that the budget has too few tokens left for one more turn.
	KindBudget
	// KindNotFound means that no shard holds the previous turn.
	KindNotFound
	// KindConflict means that the shard does not end at the offset of an append.
	// Nothing was appended.
	KindConflict
	// KindUnknown means that the outcome is unknown: the append may have taken effect.
	KindUnknown
	// KindExpired means that the requested records have been deleted from the log.
	KindExpired
	// KindTooLong means that a record is longer than the log takes.
	KindTooLong
)

// Error is an error with the operation that failed and its kind.
type Error struct {
	// op is the operation that failed, for example "begin turn".
	op   string
	kind Kind
	err  error
}

// Errorf returns an Error of operation op. Like fmt.Errorf, it wraps the operand of %w.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first Error that err wraps, or KindUnavailable when
// it wraps none or is nil.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindUnavailable
}

// Error returns the operation and the message.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.err }

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }
