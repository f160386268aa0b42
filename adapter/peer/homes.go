package peer

import (
	"context"

	"github.com/lavendervale/lavendervale/adapter/convert"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/program"
)

// Directory tells the address of an instance.
type Directory interface {
	// Address returns the IP address and port of an instance, or false.
	Address(instance string) (string, bool)
}

// Homes reaches the homes of programs at other instances.
type Homes struct {
	pool      *Pool
	directory Directory
}

// NewHomes returns Homes that finds instances in a directory.
func NewHomes(p *Pool, d Directory) *Homes { return &Homes{pool: p, directory: d} }

// Start creates a program at an instance.
func (h *Homes) Start(ctx context.Context, instance string, r home.StartRequest) (home.Started, error) {
	reply, err := h.ask(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Start{Start: fromStartRequest(r)}})
	if err != nil {
		return home.Started{}, err
	}
	handle, err := convert.Handle(reply.GetStarted().GetHandle())
	if err != nil {
		return home.Started{}, err
	}
	return home.NewStarted(handle, reply.GetStarted().GetBudgetTokens(), reply.GetStarted().GetNextNumber()), nil
}

// Call runs a call at an instance and streams its text.
func (h *Homes) Call(ctx context.Context, instance string, handle program.Handle, call program.Call, sink home.Sink) (home.Result, error) {
	address, err := h.address(instance)
	if err != nil {
		return home.Result{}, err
	}
	x, err := h.pool.open(ctx, address, &peerpb.Request{Body: &peerpb.Request_Call{Call: fromCall(handle, call)}})
	if err != nil {
		return home.Result{}, err
	}
	defer x.close()
	reply := &peerpb.Reply{}
	for {
		text, err := x.nextText(reply)
		if err != nil {
			return home.Result{}, err
		}
		if text == nil {
			return toResult(reply.GetResult())
		}
		if err := sink(text); err != nil {
			return home.Result{}, err
		}
	}
}

// End finishes or cancels a program at an instance.
func (h *Homes) End(ctx context.Context, instance string, handle program.Handle, cancel bool) (home.Ended, error) {
	reply, err := h.ask(ctx, instance, &peerpb.Request{Body: &peerpb.Request_End{
		End: &peerpb.End{Handle: convert.FromHandle(handle), Cancel: cancel},
	}})
	if err != nil {
		return home.Ended{}, err
	}
	return toEnded(reply.GetState())
}

// Read returns the state of a program at an instance.
func (h *Homes) Read(ctx context.Context, instance string, handle program.Handle) (home.View, error) {
	reply, err := h.ask(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Read{
		Read: &peerpb.Read{Handle: convert.FromHandle(handle)},
	}})
	if err != nil {
		return home.View{}, err
	}
	return toView(reply.GetState())
}

// Transfer moves budget between a parent at an instance and a child.
func (h *Homes) Transfer(ctx context.Context, instance string, t home.Transfer) (int64, error) {
	reply, err := h.ask(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Transfer{Transfer: &peerpb.Transfer{
		Parent: convert.FromHandle(t.Parent), Child: t.Child.Bytes(), Tokens: t.Tokens, Settle: t.Settle,
	}}})
	if err != nil {
		return 0, err
	}
	return reply.GetTransfer().GetTokens(), nil
}

// Beat sends a heartbeat to an instance.
func (h *Homes) Beat(ctx context.Context, instance string, b membership.Beat) (membership.Answer, error) {
	reply, err := h.ask(ctx, instance, &peerpb.Request{Body: &peerpb.Request_Beat{Beat: fromBeat(b)}})
	if err != nil {
		return membership.Answer{}, err
	}
	return toAnswer(reply.GetBeat()), nil
}

func (h *Homes) ask(ctx context.Context, instance string, r *peerpb.Request) (*peerpb.Reply, error) {
	address, err := h.address(instance)
	if err != nil {
		return nil, err
	}
	return h.pool.ask(ctx, address, r)
}

func (h *Homes) address(instance string) (string, error) {
	address, ok := h.directory.Address(instance)
	if !ok {
		return "", program.Errorf("reach instance", program.KindUnavailable, "instance %q is not known", instance)
	}
	return address, nil
}

func fromCall(handle program.Handle, call program.Call) *peerpb.Call {
	m := &peerpb.Call{Handle: convert.FromHandle(handle), Number: call.Number(), Received: call.ReceivedText()}
	switch call.Type() {
	case program.ModelCall:
		m.Work = &peerpb.Call_Model{Model: convert.FromModel(call)}
	case program.IdempotentCall:
		m.Work = &peerpb.Call_Idempotent{Idempotent: convert.FromService(call)}
	default:
		m.Work = &peerpb.Call_Order{Order: convert.FromService(call)}
	}
	return m
}
