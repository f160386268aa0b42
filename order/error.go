package order

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of this package by what is known of the order.
type Kind uint8

// Kinds of errors.
const (
	// KindInDoubt means that the order may have run.
	KindInDoubt Kind = iota
	// KindNotRun means that the order did not run and will not.
	KindNotRun
	// KindRefused means that the service answered that it refuses the order.
	KindRefused
	// KindFenced means that the request has an older epoch than one seen before: its
	// home has lost the program to another.
	KindFenced
	// KindIncarnationMismatch means that the order was claimed at another incarnation of
	// the ledger, whose orders the current one does not know.
	KindIncarnationMismatch
	// KindOverloaded means that the service accepts no more work for now.
	KindOverloaded
	kindCount
)

var kindNames = [...]string{"in-doubt", "not-run", "refused", "fenced", "incarnation", "overloaded"}

// String returns the name of the kind, "unknown" for an undefined value.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "unknown"
}

// Error is the error type of this package: a failed operation, its kind and the cause.
type Error struct {
	op   string
	kind Kind
	err  error
	// final is set when a later query can't give another answer.
	final bool
}

// Errorf returns an Error of operation op whose cause is formatted as by fmt.Errorf. It is
// not final.
func Errorf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, err: fmt.Errorf(format, args...)}
}

// KindOf returns the kind of the first Error in the chain of err, KindInDoubt when there
// is none, also for a nil err.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return KindInDoubt
}

// Error returns the operation and the message of the cause.
func (e *Error) Error() string { return e.op + ": " + e.err.Error() }

// Message returns the message of the cause, without the operation.
func (e *Error) Message() string { return e.err.Error() }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.err }

// Op returns the name of the failed operation.
func (e *Error) Op() string { return e.op }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// FinalInDoubtf returns a final Error of KindInDoubt, for an order of which it will never
// be known whether it ran. Its other arguments are those of Errorf.
func FinalInDoubtf(op string, format string, args ...any) *Error {
	e := Errorf(op, KindInDoubt, format, args...)
	e.final = true
	return e
}

// Final reports whether a later query for the order would give the same answer.
func (e *Error) Final() bool { return e.final }
