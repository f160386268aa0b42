package peer

import (
	"context"
	"errors"

	"github.com/lavendervale/lavendervale/adapter/convert"
	"github.com/lavendervale/lavendervale/adapter/frame"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

// answerer writes the answer to one request.
type answerer struct {
	server *Server
	out    *frame.Writer
	text   peerpb.Reply
}

// answer runs a request and writes its reply or its fault; the error is one
// of the stream.
func (a *answerer) answer(ctx context.Context, r *peerpb.Request) error {
	reply, err := a.run(ctx, r)
	if err != nil {
		return a.out.Write(&peerpb.Reply{Body: &peerpb.Reply_Fault{Fault: a.fault(err)}})
	}
	return a.out.Write(reply)
}

func (a *answerer) fault(err error) *peerpb.Fault {
	var j *history.Error
	if errors.As(err, &j) {
		return &peerpb.Fault{Kind: uint32(j.Kind()), Operation: j.Op(), Message: j.Error()}
	}
	var e *order.Error
	if !errors.As(err, &e) {
		return fromFault(err)
	}
	return &peerpb.Fault{Kind: uint32(e.Kind()), Operation: e.Op(), Message: e.Message(), Final: e.Final()}
}

func (a *answerer) run(ctx context.Context, r *peerpb.Request) (*peerpb.Reply, error) {
	switch body := r.GetBody().(type) {
	case *peerpb.Request_Beat:
		return a.beat(r.GetFrom(), body.Beat)
	case *peerpb.Request_Serve:
		return a.serve(ctx, body.Serve)
	case *peerpb.Request_Commit:
		return a.commit(ctx, body.Commit)
	case *peerpb.Request_Locate:
		return a.locate(ctx, body.Locate)
	}
	h := a.server.config.Home
	if h == nil {
		return nil, program.Errorf("answer request", program.KindInvalid, "this instance holds no programs")
	}
	switch body := r.GetBody().(type) {
	case *peerpb.Request_Start:
		return a.start(ctx, h, body.Start)
	case *peerpb.Request_Call:
		return a.call(ctx, h, body.Call)
	case *peerpb.Request_End:
		return a.end(ctx, h, body.End)
	case *peerpb.Request_Read:
		return a.read(ctx, h, body.Read)
	case *peerpb.Request_Transfer:
		return a.transfer(ctx, h, body.Transfer)
	}
	return nil, program.Errorf("answer request", program.KindInvalid, "request is of a kind this version does not know")
}

func (a *answerer) start(ctx context.Context, h Home, m *peerpb.Start) (*peerpb.Reply, error) {
	r, err := toStartRequest(m)
	if err != nil {
		return nil, err
	}
	started, err := h.Start(ctx, r)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Started{Started: &peerpb.Started{
		Handle: convert.FromHandle(started.Handle()), BudgetTokens: started.Budget(), NextNumber: started.Next(),
	}}}, nil
}

func (a *answerer) call(ctx context.Context, h Home, m *peerpb.Call) (*peerpb.Reply, error) {
	handle, err := convert.Handle(m.GetHandle())
	if err != nil {
		return nil, err
	}
	call, err := convert.Call(m.GetNumber(), m)
	if err != nil {
		return nil, err
	}
	result, err := h.Call(ctx, handle, call, a.sendText)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Result{Result: fromResult(result)}}, nil
}

// sendText writes a piece of text; one message serves all pieces.
func (a *answerer) sendText(text []byte) error {
	a.text.Text = text
	return a.out.Write(&a.text)
}

func (a *answerer) end(ctx context.Context, h Home, m *peerpb.End) (*peerpb.Reply, error) {
	handle, err := convert.Handle(m.GetHandle())
	if err != nil {
		return nil, err
	}
	ended, err := h.End(ctx, handle, m.GetCancel())
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_State{State: fromEnded(ended)}}, nil
}

func (a *answerer) read(ctx context.Context, h Home, m *peerpb.Read) (*peerpb.Reply, error) {
	handle, err := convert.Handle(m.GetHandle())
	if err != nil {
		return nil, err
	}
	view, err := h.Read(ctx, handle)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_State{State: fromView(view)}}, nil
}

func (a *answerer) transfer(ctx context.Context, h Home, m *peerpb.Transfer) (*peerpb.Reply, error) {
	parent, err := convert.Handle(m.GetParent())
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

func (a *answerer) beat(from string, m *peerpb.Beat) (*peerpb.Reply, error) {
	b, err := toBeat(m)
	if err != nil {
		return nil, err
	}
	answer := a.server.config.Beats.Beat(from, b)
	return &peerpb.Reply{Body: &peerpb.Reply_Beat{Beat: fromAnswer(answer)}}, nil
}

func (a *answerer) serve(ctx context.Context, m *peerpb.Serve) (*peerpb.Reply, error) {
	runner := a.server.config.Runner
	if runner == nil {
		return nil, order.Errorf("serve call", order.KindNotRun, "this instance stands beside no service")
	}
	r, err := toServe(m)
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
