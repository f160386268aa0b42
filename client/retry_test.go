package client

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
	"github.com/lavendervale/lavendervale/program"
)

// service is a fake entry that answers requests to finish a program with errs, one after the
// other, and then with success. Other requests are not implemented.
type service struct {
	lavendervalev1connect.ProgramServiceClient
	errs     []error
	requests int
	// onRequest runs at each request; nil for nothing.
	onRequest func()
}

func (s *service) Finish(ctx context.Context, _ *connect.Request[pb.FinishRequest]) (*connect.Response[pb.FinishResponse], error) {
	s.requests++
	if s.onRequest != nil {
		s.onRequest()
	}
	if ctx.Err() != nil {
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	if s.requests <= len(s.errs) {
		return nil, s.errs[s.requests-1]
	}
	return connect.NewResponse(&pb.FinishResponse{SpentTokens: 7}), nil
}

// refusal returns an error as an entry sends it.
func refusal(t *testing.T, code connect.Code, kind program.Kind, outcome program.Outcome) error {
	t.Helper()
	err := connect.NewError(code, errors.New("refused"))
	detail, detailErr := connect.NewErrorDetail(&pb.ErrorDetail{Reason: kind.String(), Outcome: convert.OutcomeToProto(outcome)})
	require.NoError(t, detailErr)
	err.AddDetail(detail)
	return err
}

// TestRequestsAreSentAgainAsThePageForCallersSays checks the reasons of docs/CALLERS.md: the
// client sends again after those that the page says so of, and after no others.
func TestRequestsAreSentAgainAsThePageForCallersSays(t *testing.T) {
	tests := []struct {
		kind    program.Kind
		code    connect.Code
		retried bool
	}{
		{kind: program.KindInvalid, code: connect.CodeInvalidArgument},
		{kind: program.KindUnauthenticated, code: connect.CodeUnauthenticated},
		{kind: program.KindDenied, code: connect.CodePermissionDenied},
		{kind: program.KindNotFound, code: connect.CodeNotFound},
		{kind: program.KindConflict, code: connect.CodeAborted},
		{kind: program.KindStale, code: connect.CodeFailedPrecondition},
		{kind: program.KindEnded, code: connect.CodeFailedPrecondition},
		{kind: program.KindOverBudget, code: connect.CodeResourceExhausted},
		{kind: program.KindLooping, code: connect.CodeResourceExhausted},
		{kind: program.KindQuarantined, code: connect.CodeFailedPrecondition},
		{kind: program.KindInDoubt, code: connect.CodeUnknown},
		{kind: program.KindOverloaded, code: connect.CodeUnavailable, retried: true},
		{kind: program.KindLeaving, code: connect.CodeUnavailable, retried: true},
		{kind: program.KindUnavailable, code: connect.CodeUnavailable, retried: true},
		{kind: program.KindMoved, code: connect.CodeUnavailable, retried: true},
		{kind: program.KindCanceled, code: connect.CodeCanceled, retried: true},
		{kind: program.KindTimeout, code: connect.CodeDeadlineExceeded, retried: true},
	}
	for _, test := range tests {
		t.Run(test.kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{errs: []error{refusal(t, test.code, test.kind, program.InDoubt)}}
				p := &Program{client: &Client{service: s, retryTime: DefaultRetryTime}}
				_, err := p.Finish(t.Context())
				require.Equal(t, test.retried, err == nil)
				require.Equal(t, test.retried, s.requests == 2)
			})
		})
	}
}

// TestCanceledCallerSendsNothingAgain checks that a request ends with the caller's context,
// though the reason is one after which requests are sent again.
func TestCanceledCallerSendsNothingAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &service{onRequest: cancel}
		p := &Program{client: &Client{service: s, retryTime: DefaultRetryTime}}
		started := time.Now()
		_, err := p.Finish(ctx)
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, 1, s.requests)
		require.Zero(t, time.Since(started))
	})
}

// TestRequestInDoubtStaysInDoubt guards against a request that may have run being reported
// as not run because a later attempt of the client was refused.
func TestRequestInDoubtStaysInDoubt(t *testing.T) {
	full := refusal(t, connect.CodeUnavailable, program.KindOverloaded, program.NotRun)
	lost := refusal(t, connect.CodeUnavailable, program.KindUnavailable, program.InDoubt)
	ended := refusal(t, connect.CodeFailedPrecondition, program.KindEnded, program.NotRun)
	tests := []struct {
		name string
		// first is the answer to the first attempt, then to all others.
		first, then error
		want        program.Outcome
	}{
		{name: "always refused", first: full, then: full, want: program.NotRun},
		{name: "lost, then refused", first: lost, then: full, want: program.InDoubt},
		{name: "lost, then decided by the home", first: lost, then: ended, want: program.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{errs: []error{test.first}}
				for range 100 {
					s.errs = append(s.errs, test.then)
				}
				p := &Program{client: &Client{service: s, retryTime: DefaultRetryTime}}
				_, err := p.Finish(t.Context())
				var failure *Error
				require.ErrorAs(t, err, &failure)
				require.Equal(t, test.want, failure.Outcome())
			})
		})
	}
}
