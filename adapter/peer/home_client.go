package peer

import (
	"context"

	"github.com/lavendervale/lavendervale/adapter/convert"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/program"
)

// Directory maps the names of instances to their addresses.
type Directory interface {
	// Address returns the IP address and port of an instance, or false when the
	// instance is unknown.
	Address(instance string) (string, bool)
}

// HomeClient sends requests to the homes of programs on other instances. It returns the
// errors that the home reports, errors of program.KindInvalid when the request can't be
// encoded, and errors of program.KindUnavailable when the instance is unknown, the connection
// fails or the reply is invalid. The outcome is program.NotRun
// when nothing was sent and program.InDoubt otherwise.
type HomeClient struct {
	pool      *Pool
	directory Directory
}

// NewHomeClient returns a client that looks up the addresses of instances in d.
func NewHomeClient(p *Pool, d Directory) *HomeClient { return &HomeClient{pool: p, directory: d} }

// Start creates a program on an instance, which becomes its home.
func (c *HomeClient) Start(ctx context.Context, instance string, r home.StartRequest) (home.StartResult, error) {
	reply, err := c.roundTrip(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Start{Start: startRequestToProto(r)}})
	if err != nil {
		return home.StartResult{}, err
	}
	handle, err := convert.HandleFromProto(reply.GetStarted().GetHandle())
	if err != nil {
		return home.StartResult{}, invalidReplyError(err)
	}
	return home.NewStartResult(handle, reply.GetStarted().GetBudgetTokens(), reply.GetStarted().GetNextNumber()), nil
}

// Call runs a call of a program on its home. It passes the text to sink in pieces as
// they arrive; a piece is valid only during the call of sink. An error of sink ends the
// request and is returned unchanged.
func (c *HomeClient) Call(ctx context.Context, instance string, handle program.Handle, call program.Call, sink home.Sink) (home.CallResult, error) {
	address, err := c.addressOf(instance)
	if err != nil {
		return home.CallResult{}, err
	}
	x, err := c.pool.openExchange(ctx, address, &peerpb.Request{Body: &peerpb.Request_Call{Call: callToProto(handle, call)}})
	if err != nil {
		return home.CallResult{}, err
	}
	defer x.close()
	reply := &peerpb.Reply{}
	for {
		text, err := x.readText(reply)
		if err != nil {
			return home.CallResult{}, err
		}
		if text == nil {
			result, err := resultFromProto(reply.GetResult())
			return result, invalidReplyError(err)
		}
		if err := sink(text); err != nil {
			return home.CallResult{}, err
		}
	}
}

// End finishes a program on its home, or cancels it when cancel is set.
func (c *HomeClient) End(ctx context.Context, instance string, handle program.Handle, cancel bool) (home.EndResult, error) {
	reply, err := c.roundTrip(ctx, instance, &peerpb.Request{Body: &peerpb.Request_End{
		End: &peerpb.End{Handle: convert.HandleToProto(handle), Cancel: cancel},
	}})
	if err != nil {
		return home.EndResult{}, err
	}
	ended, err := endedFromProto(reply.GetState())
	return ended, invalidReplyError(err)
}

// Read returns the state of a program from its home.
func (c *HomeClient) Read(ctx context.Context, instance string, handle program.Handle) (home.View, error) {
	reply, err := c.roundTrip(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Read{
		Read: &peerpb.Read{Handle: convert.HandleToProto(handle)},
	}})
	if err != nil {
		return home.View{}, err
	}
	view, err := viewFromProto(reply.GetState())
	return view, invalidReplyError(err)
}

// Transfer moves budget between a parent, whose home is the instance, and its child. It
// returns the tokens reserved for the child, or with t.Settle those given back to the
// parent.
func (c *HomeClient) Transfer(ctx context.Context, instance string, t home.BudgetTransfer) (int64, error) {
	reply, err := c.roundTrip(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Transfer{Transfer: &peerpb.Transfer{
		Parent: convert.HandleToProto(t.Parent), Child: t.Child.Bytes(), Tokens: t.Tokens, Settle: t.Settle,
	}}})
	if err != nil {
		return 0, err
	}
	if reply.GetTransfer() == nil {
		return 0, invalidReplyError(errMissingBody)
	}
	return reply.GetTransfer().GetTokens(), nil
}

// Beat sends a heartbeat to an instance and returns its reply.
func (c *HomeClient) Beat(ctx context.Context, instance string, b membership.Heartbeat) (membership.HeartbeatReply, error) {
	reply, err := c.roundTrip(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Beat{Beat: beatToProto(b)}})
	if err != nil {
		return membership.HeartbeatReply{}, err
	}
	if reply.GetBeat() == nil {
		return membership.HeartbeatReply{}, invalidReplyError(errMissingBody)
	}
	return beatReplyFromProto(reply.GetBeat()), nil
}

// roundTrip sends a request that has a single reply.
func (c *HomeClient) roundTrip(ctx context.Context, instance string, r *peerpb.Request) (*peerpb.Reply, error) {
	address, err := c.addressOf(instance)
	if err != nil {
		return nil, err
	}
	return c.pool.roundTrip(ctx, address, r)
}

func (c *HomeClient) addressOf(instance string) (string, error) {
	address, ok := c.directory.Address(instance)
	if !ok {
		return "", program.Errorf("look up instance", program.KindUnavailable, "instance %q is unknown", instance)
	}
	return address, nil
}

func callToProto(handle program.Handle, call program.Call) *peerpb.Call {
	m := &peerpb.Call{Handle: convert.HandleToProto(handle), Number: call.Number(), Received: call.ReceivedText()}
	switch call.Type() {
	case program.ModelCall:
		m.Work = &peerpb.Call_Model{Model: convert.ModelCallToProto(call)}
	case program.IdempotentCall:
		m.Work = &peerpb.Call_Idempotent{Idempotent: convert.ServiceCallToProto(call)}
	default:
		m.Work = &peerpb.Call_Order{Order: convert.ServiceCallToProto(call)}
	}
	return m
}
