package client

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/program"
)

// Program is a started program. It is not safe for concurrent use.
type Program struct {
	client     *Client
	id         string
	handle     string
	endpoint   string
	nextNumber uint32
	// budgetLeft is in tokens.
	budgetLeft int64
}

// ID returns the ID of the program.
func (p *Program) ID() string { return p.id }

// Handle returns the latest handle, with which Client.Resume continues the program.
func (p *Program) Handle() string { return p.handle }

// Endpoint returns the endpoint of the latest response: the name of the instance that ran
// the call or, after Start, StartChild, Resume and Get, of the program's home.
func (p *Program) Endpoint() string { return p.endpoint }

// NextNumber returns the number of the next call.
func (p *Program) NextNumber() uint32 { return p.nextNumber }

// BudgetLeft returns the number of tokens that the program may still spend, as of the
// latest response. After Start and StartChild it is the whole budget, even if the program
// existed before.
func (p *Program) BudgetLeft() int64 { return p.budgetLeft }

// Answer is the complete result of a call.
type Answer struct {
	text   string
	result *pb.Result
}

// Text returns the whole text that a model generated, empty for a service call.
func (a *Answer) Text() string { return a.text }

// Payload returns the body that a service returned, empty for a model call.
func (a *Answer) Payload() []byte { return a.result.GetPayload() }

// Usage returns the token counts of a model call.
func (a *Answer) Usage() program.Usage { return convert.UsageFromProto(a.result.GetUsage()) }

// Endpoint returns the name of the instance that ran the call.
func (a *Answer) Endpoint() string { return a.result.GetEndpoint() }

// Replayed reports whether the answer was recorded by an earlier attempt at the call.
func (a *Answer) Replayed() bool { return a.result.GetReplayed() }

// BudgetLeft returns the number of tokens that the program may still spend after the
// call.
func (a *Answer) BudgetLeft() int64 { return a.result.GetBudgetLeftTokens() }

// Timing returns the durations of the call.
func (a *Answer) Timing() program.Timing {
	return program.Timing{
		Queue: a.result.GetQueueTime().AsDuration(), FirstToken: a.result.GetFirstTokenTime().AsDuration(),
		Total: a.result.GetTotalTime().AsDuration(),
	}
}

// Ask sends new messages to the model, which generates at most maxTokens tokens. onText is
// called with each piece of text as it arrives, once per piece even when the call is
// retried; it may be nil.
func (p *Program) Ask(ctx context.Context, messages []program.Message, maxTokens int64, onText func(text string)) (*Answer, error) {
	return p.call(ctx, &pb.CallRequest{Work: &pb.CallRequest_Model{Model: &pb.ModelCall{
		Messages: convert.MessagesToProto(messages), MaxTokens: maxTokens,
	}}}, onText)
}

// Do calls a service method that may run more than once.
func (p *Program) Do(ctx context.Context, service, method string, payload []byte) (*Answer, error) {
	return p.call(ctx, &pb.CallRequest{Work: &pb.CallRequest_Idempotent{Idempotent: &pb.ServiceCall{
		Service: service, Method: method, Payload: payload,
	}}}, nil)
}

// Order calls a service method that runs at most once.
func (p *Program) Order(ctx context.Context, service, method string, payload []byte) (*Answer, error) {
	return p.call(ctx, &pb.CallRequest{Work: &pb.CallRequest_Order{Order: &pb.ServiceCall{
		Service: service, Method: method, Payload: payload,
	}}}, nil)
}

// call sends the next call and retries it. The server runs each call number once, so a
// retry does not run the call twice.
func (p *Program) call(ctx context.Context, req *pb.CallRequest, onText func(text string)) (*Answer, error) {
	req.Handle = p.handle
	req.Number = p.nextNumber
	var answer *Answer
	var received []byte
	err := p.client.retry(ctx, "call", func() error {
		var err error
		req.Received = string(received)
		answer, err = p.receive(ctx, req, &received, onText)
		return err
	})
	if err != nil {
		return nil, err
	}
	p.handle = answer.result.GetHandle()
	p.endpoint = answer.result.GetEndpoint()
	p.budgetLeft = answer.result.GetBudgetLeftTokens()
	p.nextNumber++
	return answer, nil
}

// receive sends the call and reads the response stream, which carries the text from its
// start. It passes only the text beyond *received to onText and appends it to *received.
func (p *Program) receive(ctx context.Context, req *pb.CallRequest, received *[]byte, onText func(text string)) (*Answer, error) {
	stream, err := p.client.service.Call(ctx, newRequest(p.client, req))
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var text []byte
	for stream.Receive() {
		if r := stream.Msg().GetResult(); r != nil {
			return &Answer{text: string(text), result: r}, nil
		}
		text = append(text, stream.Msg().GetText()...)
		if newText := text[min(len(text), len(*received)):]; len(newText) > 0 {
			if onText != nil {
				onText(string(newText))
			}
			*received = append(*received, newText...)
		}
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return nil, connect.NewError(connect.CodeUnavailable, errStreamEnded)
}

// StartChild starts a child program, whose budget is reserved from that of this program.
func (p *Program) StartChild(ctx context.Context, s StartConfig) (*Program, error) {
	return p.client.start(ctx, &pb.StartRequest{
		Class: s.Class, Key: s.Key, BudgetTokens: s.BudgetTokens, ParentHandle: p.handle,
	})
}

// Summary holds the totals of a finished program.
type Summary struct {
	// SpentTokens is the number of tokens charged to the budget.
	SpentTokens int64
	// TargetMet is set when Latency is within the target of the program's class.
	TargetMet bool
	// Latency is the time from the start of the program to its end.
	Latency time.Duration
}

// Finish finishes the program, which then accepts no more calls.
func (p *Program) Finish(ctx context.Context) (Summary, error) {
	var reply *connect.Response[pb.FinishResponse]
	err := p.client.retry(ctx, "finish program", func() error {
		var err error
		reply, err = p.client.service.Finish(ctx, newRequest(p.client, &pb.FinishRequest{Handle: p.handle}))
		return err
	})
	if err != nil {
		return Summary{}, err
	}
	return Summary{
		SpentTokens: reply.Msg.GetSpentTokens(), TargetMet: reply.Msg.GetTargetMet(), Latency: reply.Msg.GetLatency().AsDuration(),
	}, nil
}

// Cancel cancels the program and its running call.
func (p *Program) Cancel(ctx context.Context) error {
	return p.client.retry(ctx, "cancel program", func() error {
		_, err := p.client.service.Cancel(ctx, newRequest(p.client, &pb.CancelRequest{Handle: p.handle}))
		return err
	})
}

// Get reads the current state of the program and updates p to it, including the handle.
func (p *Program) Get(ctx context.Context) (*pb.Program, error) {
	var reply *connect.Response[pb.GetResponse]
	err := p.client.retry(ctx, "read program", func() error {
		var err error
		reply, err = p.client.service.Get(ctx, newRequest(p.client, &pb.GetRequest{Handle: p.handle}))
		return err
	})
	if err != nil {
		return nil, err
	}
	state := reply.Msg.GetProgram()
	p.id = state.GetId()
	p.handle = state.GetHandle()
	p.nextNumber = state.GetNextNumber()
	p.endpoint = state.GetEndpoint()
	p.budgetLeft = state.GetBudgetTokens() - state.GetSpentTokens() - state.GetReservedTokens()
	return state, nil
}
