package client

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/program"
)

// Program is a program under way; one goroutine at a time may use it.
type Program struct {
	client   *Client
	id       string
	handle   string
	endpoint string
	next     uint32
	budget   int64
}

// ID returns the name of the program.
func (p *Program) ID() string { return p.id }

// Handle returns the handle to resume the program with.
func (p *Program) Handle() string { return p.handle }

// Endpoint returns the instance that held the program when it last answered.
func (p *Program) Endpoint() string { return p.endpoint }

// Next returns the number of the next call.
func (p *Program) Next() uint32 { return p.next }

// Budget returns what the program may still spend, in tokens.
func (p *Program) Budget() int64 { return p.budget }

// Answer is the result of a call.
type Answer struct {
	text   string
	result *pb.Result
}

// Text returns what a model generated.
func (a *Answer) Text() string { return a.text }

// Payload returns what a service answered.
func (a *Answer) Payload() []byte { return a.result.GetPayload() }

// Usage returns the tokens of a model call.
func (a *Answer) Usage() program.Usage { return convert.UsageFromProto(a.result.GetUsage()) }

// Endpoint returns the instance that ran the call.
func (a *Answer) Endpoint() string { return a.result.GetEndpoint() }

// Replayed reports whether the answer was kept from an earlier run.
func (a *Answer) Replayed() bool { return a.result.GetReplayed() }

// BudgetLeft returns what the program may still spend, in tokens.
func (a *Answer) BudgetLeft() int64 { return a.result.GetBudgetLeftTokens() }

// Timing returns how long the call took.
func (a *Answer) Timing() program.Timing {
	return program.Timing{
		Queue: a.result.GetQueueTime().AsDuration(), FirstToken: a.result.GetFirstTokenTime().AsDuration(),
		Total: a.result.GetTotalTime().AsDuration(),
	}
}

// Ask sends new messages to the model and passes its text on as it comes;
// onText may be nil.
func (p *Program) Ask(ctx context.Context, messages []program.Message, maxTokens int64, onText func(text string)) (*Answer, error) {
	return p.call(ctx, &pb.CallRequest{Work: &pb.CallRequest_Model{Model: &pb.ModelCall{
		Messages: convert.MessagesToProto(messages), MaxTokens: maxTokens,
	}}}, onText)
}

// Do calls a service method that may be repeated.
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

// call sends the next call until it is answered; the number keeps it from
// running twice.
func (p *Program) call(ctx context.Context, m *pb.CallRequest, onText func(text string)) (*Answer, error) {
	m.Handle = p.handle
	m.Number = p.next
	var answer *Answer
	var seen []byte
	err := p.client.repeat(ctx, "call", func() error {
		var err error
		m.Received = string(seen)
		answer, err = p.receive(ctx, m, &seen, onText)
		return err
	})
	if err != nil {
		return nil, err
	}
	p.handle = answer.result.GetHandle()
	p.endpoint = answer.result.GetEndpoint()
	p.budget = answer.result.GetBudgetLeftTokens()
	p.next++
	return answer, nil
}

// receive reads one stream; text that was passed on before is left out.
func (p *Program) receive(ctx context.Context, m *pb.CallRequest, seen *[]byte, onText func(text string)) (*Answer, error) {
	stream, err := p.client.service.Call(ctx, request(p.client, m))
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
		if fresh := text[min(len(text), len(*seen)):]; len(fresh) > 0 {
			if onText != nil {
				onText(string(fresh))
			}
			*seen = append(*seen, fresh...)
		}
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return nil, connect.NewError(connect.CodeUnavailable, errCut)
}

// StartChild creates a sub-agent with a budget moved from this program.
func (p *Program) StartChild(ctx context.Context, s StartConfig) (*Program, error) {
	return p.client.start(ctx, &pb.StartRequest{
		Class: s.Class, Key: s.Key, BudgetTokens: s.Budget, ParentHandle: p.handle,
	})
}

// Summary is what a program came to.
type Summary struct {
	// Spent counts the tokens used.
	Spent int64
	// TargetMet is set when the program finished within its target.
	TargetMet bool
	// Latency is how long the program took.
	Latency time.Duration
}

// Finish ends the program.
func (p *Program) Finish(ctx context.Context) (Summary, error) {
	var reply *connect.Response[pb.FinishResponse]
	err := p.client.repeat(ctx, "finish program", func() error {
		var err error
		reply, err = p.client.service.Finish(ctx, request(p.client, &pb.FinishRequest{Handle: p.handle}))
		return err
	})
	if err != nil {
		return Summary{}, err
	}
	return Summary{
		Spent: reply.Msg.GetSpentTokens(), TargetMet: reply.Msg.GetTargetMet(), Latency: reply.Msg.GetLatency().AsDuration(),
	}, nil
}

// Cancel stops the program and the call it runs.
func (p *Program) Cancel(ctx context.Context) error {
	return p.client.repeat(ctx, "cancel program", func() error {
		_, err := p.client.service.Cancel(ctx, request(p.client, &pb.CancelRequest{Handle: p.handle}))
		return err
	})
}

// Get reads the state of the program and takes over its handle.
func (p *Program) Get(ctx context.Context) (*pb.Program, error) {
	var reply *connect.Response[pb.GetResponse]
	err := p.client.repeat(ctx, "read program", func() error {
		var err error
		reply, err = p.client.service.Get(ctx, request(p.client, &pb.GetRequest{Handle: p.handle}))
		return err
	})
	if err != nil {
		return nil, err
	}
	state := reply.Msg.GetProgram()
	p.id = state.GetId()
	p.handle = state.GetHandle()
	p.next = state.GetNextNumber()
	p.endpoint = state.GetEndpoint()
	p.budget = state.GetBudgetTokens() - state.GetSpentTokens() - state.GetReservedTokens()
	return state, nil
}
