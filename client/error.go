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

var errStreamEnded = errors.New("stream ended before the result")

// Error is the error of a failed request: every method of Client and Program that sends
// requests returns errors of type *Error. It tells why the request failed and whether the
// call ran.
type Error struct {
	op         string
	kind       string
	outcome    program.Outcome
	retryAfter time.Duration
	// code is the Connect code of the response.
	code connect.Code
	err  error
}

// newError returns an Error with the reason, outcome and retry delay from the error detail
// that the server attached. Without such a detail the kind is "unavailable" and the outcome
// is in doubt.
func newError(op string, err error) *Error {
	e := &Error{op: op, kind: "unavailable", outcome: program.InDoubt, code: connect.CodeOf(err), err: err}
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return e
	}
	for _, d := range connectErr.Details() {
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

// Error returns the operation, the outcome and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s): %v", e.op, e.outcome, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Op returns the name of the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the stable name of the reason, which is the name of a program.Kind.
func (e *Error) Kind() string { return e.kind }

// Outcome returns whether the call ran.
func (e *Error) Outcome() program.Outcome { return e.outcome }

// RetryAfter returns the delay before another attempt that the server recommends, 0 for no
// recommendation.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// retryable reports whether the failure is temporary, so that the request is worth sending
// again. Repeating a call is safe because each call number runs once. A request that was
// canceled or timed out on the server's side, as when another home takes over the program,
// is sent again too; one that the caller has canceled is not, whatever its error.
func (e *Error) retryable() bool {
	switch e.kind {
	case "unavailable", "overloaded", "leaving", "moved", "canceled", "timeout":
	default:
		return false
	}
	switch e.code {
	case connect.CodeUnavailable, connect.CodeUnknown, connect.CodeInternal, connect.CodeCanceled, connect.CodeDeadlineExceeded:
		return true
	}
	return false
}
