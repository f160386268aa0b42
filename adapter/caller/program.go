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

// Programs is the ProgramService of an entry.
type Programs struct {
	entry   *entry.Entry
	keyring *Keyring
}

// NewPrograms returns the service of an entry for the callers of a keyring.
func NewPrograms(e *entry.Entry, k *Keyring) *Programs {
	return &Programs{entry: e, keyring: k}
}

// Start creates a program.
func (p *Programs) Start(ctx context.Context, req *connect.Request[pb.StartRequest]) (*connect.Response[pb.StartResponse], error) {
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
	s := started.HomeStarted()
	return connect.NewResponse(&pb.StartResponse{
		Handle: started.Token(), Program: s.Handle().Program().String(), Endpoint: s.Handle().Home(),
		BudgetTokens: s.Budget(), NextNumber: s.Next(),
	}), nil
}

// Call runs a call and streams its answer.
func (p *Programs) Call(ctx context.Context, req *connect.Request[pb.CallRequest], stream *connect.ServerStream[pb.CallResponse]) error {
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

// resultMessage returns the closing message of a call.
func resultMessage(r entry.Result) *pb.Result {
	m := convert.AnswerToProto(r.HomeResult().Answer())
	m.Handle = r.Token()
	m.BudgetLeftTokens = r.HomeResult().BudgetLeft()
	m.Replayed = r.HomeResult().Replayed()
	return m
}

// textSink sends text to a stream; one message serves all pieces, since a
// message is encoded before Send returns.
func textSink(stream *connect.ServerStream[pb.CallResponse]) home.Sink {
	event := &pb.CallResponse_Text{}
	message := &pb.CallResponse{Event: event}
	return func(text []byte) error {
		event.Text = string(text)
		return stream.Send(message)
	}
}

// Finish ends a program.
func (p *Programs) Finish(ctx context.Context, req *connect.Request[pb.FinishRequest]) (*connect.Response[pb.FinishResponse], error) {
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

// Cancel stops a program.
func (p *Programs) Cancel(ctx context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
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

// Get reads the state of a program.
func (p *Programs) Get(ctx context.Context, req *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
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
