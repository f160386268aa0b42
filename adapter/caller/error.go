package caller

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/program"
)

var codes = map[program.Kind]connect.Code{
	program.KindInternal:        connect.CodeInternal,
	program.KindInvalid:         connect.CodeInvalidArgument,
	program.KindUnauthenticated: connect.CodeUnauthenticated,
	program.KindDenied:          connect.CodePermissionDenied,
	program.KindNotFound:        connect.CodeNotFound,
	program.KindConflict:        connect.CodeAborted,
	program.KindStale:           connect.CodeFailedPrecondition,
	program.KindEnded:           connect.CodeFailedPrecondition,
	program.KindOverBudget:      connect.CodeResourceExhausted,
	program.KindLooping:         connect.CodeResourceExhausted,
	program.KindOverloaded:      connect.CodeUnavailable,
	program.KindLeaving:         connect.CodeUnavailable,
	program.KindUnavailable:     connect.CodeUnavailable,
	program.KindMoved:           connect.CodeUnavailable,
	program.KindCanceled:        connect.CodeCanceled,
	program.KindTimeout:         connect.CodeDeadlineExceeded,
	program.KindQuarantined:     connect.CodeFailedPrecondition,
	program.KindInDoubt:         connect.CodeUnknown,
}

// connectError turns an error into one for callers, with a typed detail.
func connectError(err error) *connect.Error {
	e := program.AsError(err)
	code, ok := codes[e.Kind()]
	if !ok {
		code = connect.CodeInternal
	}
	out := connect.NewError(code, err)
	detail := &pb.ErrorDetail{
		Outcome: convert.OutcomeToProto(e.Outcome()), Reason: e.Kind().String(), Message: e.Message(),
	}
	if e.RetryAfter() > 0 {
		detail.RetryAfter = durationpb.New(e.RetryAfter())
	}
	if d, err := connect.NewErrorDetail(detail); err == nil {
		out.AddDetail(d)
	}
	return out
}

// operatorError turns an error about a configuration into one for operators.
func operatorError(err error) error {
	var e *configuration.Error
	if !errors.As(err, &e) {
		return connectError(err)
	}
	switch e.Kind() {
	case configuration.KindConflict:
		return connect.NewError(connect.CodeAborted, err)
	case configuration.KindInvalid:
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
