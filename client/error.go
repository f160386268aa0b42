package client

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/program"
)

var errCut = errors.New("stream ended before the result")

// Error is the error of this package: what became of a call, and why.
type Error struct {
	op         string
	kind       string
	outcome    program.Outcome
	retryAfter time.Duration
	code       connect.Code
	err        error
}

// newError reads the typed detail of an answer; without one the outcome is in doubt.
func newError(op string, err error) *Error {
	e := &Error{op: op, kind: "unavailable", outcome: program.InDoubt, code: connect.CodeOf(err), err: err}
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return e
	}
	for _, d := range failed.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if detail, ok := value.(*pb.ErrorDetail); ok {
			e.kind = detail.GetReason()
			e.outcome = convert.OutcomeFromProto(detail.GetOutcome())
			e.retryAfter = detail.GetRetryAfter().AsDuration()
		}
	}
	return e
}

// Error returns the message with its operation and outcome.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s): %v", e.op, e.outcome, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the short stable name of the reason.
func (e *Error) Kind() string { return e.kind }

// Outcome returns what became of the call.
func (e *Error) Outcome() program.Outcome { return e.outcome }

// RetryAfter returns the wait before another attempt, 0 when none is advised.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// retryable reports whether the same call, with the same number, may be sent
// again: the system runs each number once.
func (e *Error) retryable() bool {
	switch e.kind {
	case "unavailable", "overloaded", "leaving", "moved", "canceled":
		return e.code == connect.CodeUnavailable || e.code == connect.CodeUnknown || e.code == connect.CodeInternal
	}
	return false
}
