package caller

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/home"
)

// ProgramService lets callers start programs at an entry and run their calls.
type ProgramService struct {
	entry   *entry.Entry
	keyring *Keyring
}

// NewProgramService returns the service of an entry for the callers whose keys are in
// keyring.
func NewProgramService(e *entry.Entry, keyring *Keyring) *ProgramService {
	return &ProgramService{entry: e, keyring: keyring}
}

// Start creates a program, or returns the one that the caller started with the same key.
func (p *ProgramService) Start(ctx context.Context, req *connect.Request[pb.StartRequest]) (*connect.Response[pb.StartResponse], error) {
	caller, err := p.keyring.Identify(req.Header())
	if err != nil {
		return nil, connectError(err)
	}
	started, err := p.entry.Start(ctx, entry.StartRequest{
		Caller: caller, Class: req.Msg.GetClass(), Key: req.Msg.GetKey(), Budget: req.Msg.GetBudgetTokens(),
		ParentHandle: req.Msg.GetParentHandle(),
	})
	if err != nil {
		return nil, connectError(err)
	}
	state := started.HomeResult()
	return connect.NewResponse(&pb.StartResponse{
		Handle: started.Token(), Program: state.Handle().Program().String(), Endpoint: state.Handle().Home(),
		BudgetTokens: state.Budget(), NextNumber: state.Next(),
	}), nil
}

// Call runs a call: it streams the generated text and closes with a Result.
func (p *ProgramService) Call(ctx context.Context, req *connect.Request[pb.CallRequest], stream *connect.ServerStream[pb.CallResponse]) error {
	caller, err := p.keyring.Identify(req.Header())
	if err != nil {
		return connectError(err)
	}
	call, err := convert.CallFromProto(req.Msg.GetNumber(), req.Msg)
	if err != nil {
		return connectError(err)
	}
	result, err := p.entry.Call(ctx, caller, req.Msg.GetHandle(), call, textSink(stream))
	if err != nil {
		return connectError(err)
	}
	return stream.Send(&pb.CallResponse{Event: &pb.CallResponse_Result{Result: resultMessage(result)}})
}

// resultMessage returns the last message of a successful call.
func resultMessage(r entry.Result) *pb.Result {
	message := convert.AnswerToProto(r.HomeResult().Answer())
	message.Handle = r.Token()
	message.BudgetLeftTokens = r.HomeResult().BudgetLeft()
	message.Replayed = r.HomeResult().Replayed()
	return message
}

// textSink returns a sink that sends each piece of text as a message on stream. The
// message is reused for all pieces, as Send has encoded it when it returns.
func textSink(stream *connect.ServerStream[pb.CallResponse]) home.Sink {
	event := &pb.CallResponse_Text{}
	message := &pb.CallResponse{Event: event}
	return func(text []byte) error {
		event.Text = string(text)
		return stream.Send(message)
	}
}

// Finish ends a program that has completed its work.
func (p *ProgramService) Finish(ctx context.Context, req *connect.Request[pb.FinishRequest]) (*connect.Response[pb.FinishResponse], error) {
	caller, err := p.keyring.Identify(req.Header())
	if err != nil {
		return nil, connectError(err)
	}
	ended, err := p.entry.End(ctx, caller, req.Msg.GetHandle(), false)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&pb.FinishResponse{
		Program: ended.Handle().Program().String(), SpentTokens: ended.Spent(), TargetMet: ended.TargetMet(),
		Latency: durationpb.New(ended.Latency()),
	}), nil
}

// Cancel ends a program before it has completed its work.
func (p *ProgramService) Cancel(ctx context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	caller, err := p.keyring.Identify(req.Header())
	if err != nil {
		return nil, connectError(err)
	}
	ended, err := p.entry.End(ctx, caller, req.Msg.GetHandle(), true)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&pb.CancelResponse{
		Program: ended.Handle().Program().String(), SpentTokens: ended.Spent(),
	}), nil
}

// Get returns the state of a program.
func (p *ProgramService) Get(ctx context.Context, req *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	caller, err := p.keyring.Identify(req.Header())
	if err != nil {
		return nil, connectError(err)
	}
	view, err := p.entry.Read(ctx, caller, req.Msg.GetHandle())
	if err != nil {
		return nil, connectError(err)
	}
	message := convert.ViewToProto(view.HomeView())
	message.Handle = view.Token()
	return connect.NewResponse(&pb.GetResponse{Program: message}), nil
}
