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

// codeByKind maps error kinds to Connect codes; kinds that are not in it are internal.
var codeByKind = map[program.Kind]connect.Code{
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

// connectError converts err to a Connect error with an ErrorDetail, from which clients
// read the outcome of the call, the reason and the time to wait before a retry.
func connectError(err error) *connect.Error {
	programErr := program.AsError(err)
	code, ok := codeByKind[programErr.Kind()]
	if !ok {
		code = connect.CodeInternal
	}
	connectErr := connect.NewError(code, err)
	detail := &pb.ErrorDetail{
		Outcome: convert.OutcomeToProto(programErr.Outcome()), Reason: programErr.Kind().String(), Message: programErr.Message(),
	}
	if programErr.RetryAfter() > 0 {
		detail.RetryAfter = durationpb.New(programErr.RetryAfter())
	}
	if errorDetail, err := connect.NewErrorDetail(detail); err == nil {
		connectErr.AddDetail(errorDetail)
	}
	return connectErr
}

// operatorError converts an error of publishing a configuration to a Connect error. An
// error that is not of the package configuration is converted by connectError.
func operatorError(err error) error {
	var configurationErr *configuration.Error
	if !errors.As(err, &configurationErr) {
		return connectError(err)
	}
	switch configurationErr.Kind() {
	case configuration.KindConflict:
		return connect.NewError(connect.CodeAborted, err)
	case configuration.KindInvalid:
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
