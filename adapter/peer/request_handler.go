package peer

import (
	"context"
	"strings"

	"github.com/lavendervale/lavendervale/adapter/convert"
	"github.com/lavendervale/lavendervale/adapter/frame"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// maxFaultTextBytes is the largest part of the message of an error that is sent.
	maxFaultTextBytes = 16 << 10
)

// requestHandler handles the one request of a stream and writes its replies.
type requestHandler struct {
	server  *Server
	replies *frame.Writer
	// textReply is reused for all pieces of the text of a call.
	textReply peerpb.Reply
}

// handle executes a request and writes its reply, or a Fault when it fails. The error is
// only that of writing to the stream.
func (rh *requestHandler) handle(ctx context.Context, r *peerpb.Request) error {
	reply, err := rh.dispatch(ctx, r)
	if err != nil {
		return rh.replies.Write(&peerpb.Reply{Body: &peerpb.Reply_Fault{Fault: faultFor(r, err)}})
	}
	return rh.replies.Write(reply)
}

// faultFor converts the error of a request to a Fault. Its kind is of the package that the
// client of this request reads it with: the numbers of other packages mean other things.
func faultFor(r *peerpb.Request, err error) *peerpb.Fault {
	var fault *peerpb.Fault
	switch r.GetBody().(type) {
	case *peerpb.Request_Serve:
		fault = faultFromServiceError(err)
	case *peerpb.Request_Commit, *peerpb.Request_Locate:
		fault = faultFromHistoryError(err)
	default:
		fault = faultFromError(err)
	}
	fault.Operation, fault.Message = faultText(fault.GetOperation()), faultText(fault.GetMessage())
	return fault
}

// faultText returns a text that can be encoded. Messages quote responses, which may be long,
// in another encoding, or cut within a character.
func faultText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxFaultTextBytes)], "\uFFFD")
}

// dispatch executes a request by its body and returns its last reply. Requests for
// programs need a home; without one they fail with program.KindInvalid.
func (rh *requestHandler) dispatch(ctx context.Context, r *peerpb.Request) (*peerpb.Reply, error) {
	switch body := r.GetBody().(type) {
	case *peerpb.Request_Beat:
		return rh.handleBeat(r.GetFrom(), body.Beat)
	case *peerpb.Request_Serve:
		return rh.handleServe(ctx, body.Serve)
	case *peerpb.Request_Commit:
		return rh.handleCommit(ctx, body.Commit)
	case *peerpb.Request_Locate:
		return rh.handleLocate(ctx, body.Locate)
	}
	h := rh.server.config.Home
	if h == nil {
		return nil, program.Errorf("handle request", program.KindInvalid, "this instance runs no programs")
	}
	switch body := r.GetBody().(type) {
	case *peerpb.Request_Start:
		return rh.handleStart(ctx, h, body.Start)
	case *peerpb.Request_Call:
		return rh.handleCall(ctx, h, body.Call)
	case *peerpb.Request_End:
		return rh.handleEnd(ctx, h, body.End)
	case *peerpb.Request_Read:
		return rh.handleRead(ctx, h, body.Read)
	case *peerpb.Request_Transfer:
		return rh.handleTransfer(ctx, h, body.Transfer)
	}
	return nil, program.Errorf("handle request", program.KindInvalid, "unknown request type")
}

func (rh *requestHandler) handleStart(ctx context.Context, h Home, m *peerpb.Start) (*peerpb.Reply, error) {
	r, err := startRequestFromProto(m)
	if err != nil {
		return nil, err
	}
	started, err := h.Start(ctx, r)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Started{Started: &peerpb.Started{
		Handle: convert.HandleToProto(started.Handle()), BudgetTokens: started.Budget(), NextNumber: started.Next(),
	}}}, nil
}

// handleCall writes the text of a call as it is generated and returns the result.
func (rh *requestHandler) handleCall(ctx context.Context, h Home, m *peerpb.Call) (*peerpb.Reply, error) {
	handle, err := convert.HandleFromProto(m.GetHandle())
	if err != nil {
		return nil, err
	}
	call, err := convert.CallFromProto(m.GetNumber(), m)
	if err != nil {
		return nil, err
	}
	result, err := h.Call(ctx, handle, call, rh.sendText)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: resultToProto(result)}}, nil
}

// sendText writes one piece of the text of a call. It implements home.Sink.
func (rh *requestHandler) sendText(text []byte) error {
	rh.textReply.Text = text
	return rh.replies.Write(&rh.textReply)
}

func (rh *requestHandler) handleEnd(ctx context.Context, h Home, m *peerpb.End) (*peerpb.Reply, error) {
	handle, err := convert.HandleFromProto(m.GetHandle())
	if err != nil {
		return nil, err
	}
	ended, err := h.End(ctx, handle, m.GetCancel())
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_State{State: endedToProto(ended)}}, nil
}

func (rh *requestHandler) handleRead(ctx context.Context, h Home, m *peerpb.Read) (*peerpb.Reply, error) {
	handle, err := convert.HandleFromProto(m.GetHandle())
	if err != nil {
		return nil, err
	}
	view, err := h.Read(ctx, handle)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_State{State: viewToProto(view)}}, nil
}

func (rh *requestHandler) handleTransfer(ctx context.Context, h Home, m *peerpb.Transfer) (*peerpb.Reply, error) {
	parent, err := convert.HandleFromProto(m.GetParent())
	if err != nil {
		return nil, err
	}
	child, err := program.IDFromBytes(m.GetChild())
	if err != nil {
		return nil, err
	}
	tokens, err := h.Transfer(ctx, home.BudgetTransfer{
		Parent: parent, Child: child, Tokens: m.GetTokens(), Settle: m.GetSettle(),
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Transfer{Transfer: &peerpb.TransferReply{Tokens: tokens}}}, nil
}

func (rh *requestHandler) handleBeat(from string, m *peerpb.Beat) (*peerpb.Reply, error) {
	beat, err := beatFromProto(m)
	if err != nil {
		return nil, err
	}
	reply := rh.server.config.HeartbeatHandler.Beat(from, beat)
	return &peerpb.Reply{Body: &peerpb.Reply_Beat{Beat: beatReplyToProto(reply)}}, nil
}

// handleServe makes a call of the service beside this process, or for a query looks up
// the outcome of an order.
func (rh *requestHandler) handleServe(ctx context.Context, m *peerpb.Serve) (*peerpb.Reply, error) {
	runner := rh.server.config.ServiceRunner
	if runner == nil {
		return nil, order.Errorf("handle service call", order.KindNotRun, "this instance has no service")
	}
	r, err := serviceRequestFromProto(m)
	if err != nil {
		return nil, err
	}
	run := runner.Run
	if m.GetQuery() {
		run = runner.Query
	}
	reply, err := run(ctx, r)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Serve{Serve: &peerpb.ServeReply{
		Payload: reply.Payload(), Replayed: reply.Replayed(),
	}}}, nil
}
