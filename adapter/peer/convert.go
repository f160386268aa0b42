package peer

import (
	"errors"
	"time"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
)

func fromFault(err error) *peerpb.Fault {
	e := program.AsError(err)
	return &peerpb.Fault{
		Outcome: uint32(e.Outcome()), Kind: uint32(e.Kind()), RetryAfterNs: int64(e.RetryAfter()),
		Operation: e.Op(), Message: e.Message(), Home: e.Home(),
	}
}

func toFault(m *peerpb.Fault) error {
	return program.NewError(program.ErrorConfig{
		Op: m.GetOperation(), Kind: program.Kind(m.GetKind()), Outcome: program.Outcome(m.GetOutcome()),
		RetryAfter: time.Duration(m.GetRetryAfterNs()), Home: m.GetHome(), Err: errors.New(m.GetMessage()),
	})
}

func fromLoad(l placement.Load) *peerpb.Load {
	m := &peerpb.Load{
		Incarnation: l.Incarnation(), Leaving: l.Leaving(), Programs: l.Programs(), Running: l.Running(),
		Limit: l.Limit(), PrefillTokensPerSecond: l.PrefillRate(), DecodeTokensPerSecond: l.DecodeRate(),
	}
	for r := range class.Ranks {
		m.Waiting = append(m.Waiting, l.Waiting(r))
		m.BacklogTokens = append(m.BacklogTokens, l.Backlog(r))
		m.OwedNs = append(m.OwedNs, int64(l.Owed(r)))
	}
	return m
}

func toLoad(m *peerpb.Load) placement.Load {
	c := placement.LoadConfig{
		Incarnation: m.GetIncarnation(), Leaving: m.GetLeaving(), Programs: m.GetPrograms(), Running: m.GetRunning(),
		Limit: m.GetLimit(), PrefillRate: m.GetPrefillTokensPerSecond(), DecodeRate: m.GetDecodeTokensPerSecond(),
	}
	copy(c.Waiting[:], m.GetWaiting())
	copy(c.Backlog[:], m.GetBacklogTokens())
	for r, owed := range m.GetOwedNs() {
		if r < len(c.Owed) {
			c.Owed[r] = time.Duration(owed)
		}
	}
	return placement.NewLoad(c)
}

func fromResult(r home.Result) *peerpb.Result {
	result := convert.FromAnswer(r.Answer())
	result.BudgetLeftTokens = r.BudgetLeft()
	result.Replayed = r.Replayed()
	return &peerpb.Result{Handle: convert.FromHandle(r.Handle()), Result: result}
}

func toResult(m *peerpb.Result) (home.Result, error) {
	handle, err := convert.Handle(m.GetHandle())
	if err != nil {
		return home.Result{}, err
	}
	r := m.GetResult()
	answer := program.RestoreAnswer(r.GetNumber(), program.Digest{}, program.AnswerConfig{
		Payload: r.GetPayload(), Usage: convert.Usage(r.GetUsage()), FinishReason: convert.Stop(r.GetFinishReason()),
		Endpoint: r.GetEndpoint(), Timing: program.Timing{
			Queue: r.GetQueueTime().AsDuration(), FirstToken: r.GetFirstTokenTime().AsDuration(),
			Total: r.GetTotalTime().AsDuration(),
		},
	})
	return home.NewResult(handle, answer, r.GetBudgetLeftTokens(), r.GetReplayed()), nil
}

func fromView(v home.View) *peerpb.State {
	return &peerpb.State{Handle: convert.FromHandle(v.Handle()), Program: convert.FromView(v)}
}

func toView(m *peerpb.State) (home.View, error) {
	handle, err := convert.Handle(m.GetHandle())
	if err != nil {
		return home.View{}, err
	}
	state, err := program.ParseState(m.GetProgram().GetState())
	if err != nil {
		return home.View{}, err
	}
	p := m.GetProgram()
	return home.NewView(home.ViewConfig{
		Handle: handle, State: state, Next: p.GetNextNumber(), Budget: p.GetBudgetTokens(),
		Spent: p.GetSpentTokens(), Reserved: p.GetReservedTokens(), Age: p.GetAge().AsDuration(),
	}), nil
}

func fromEnded(e home.Ended) *peerpb.State {
	return &peerpb.State{
		Handle: convert.FromHandle(e.Handle()), TargetMet: e.TargetMet(), LatencyNs: int64(e.Latency()),
		Program: &pb.Program{State: e.State().String(), SpentTokens: e.Spent()},
	}
}

func toEnded(m *peerpb.State) (home.Ended, error) {
	handle, err := convert.Handle(m.GetHandle())
	if err != nil {
		return home.Ended{}, err
	}
	state, err := program.ParseState(m.GetProgram().GetState())
	if err != nil {
		return home.Ended{}, err
	}
	return home.NewEnded(home.EndedConfig{
		Handle: handle, State: state, Spent: m.GetProgram().GetSpentTokens(),
		Latency: time.Duration(m.GetLatencyNs()), TargetMet: m.GetTargetMet(),
	}), nil
}

func toStartRequest(m *peerpb.Start) (home.StartRequest, error) {
	parent, err := convert.OptionalID(m.GetParent())
	return home.StartRequest{
		Caller: m.GetCaller(), Key: m.GetKey(), Class: m.GetClass(), Budget: m.GetBudgetTokens(),
		Parent: parent, ParentHome: m.GetParentHome(),
	}, err
}

func fromStartRequest(r home.StartRequest) *peerpb.Start {
	m := &peerpb.Start{
		Caller: r.Caller, Key: r.Key, Class: r.Class, BudgetTokens: r.Budget, ParentHome: r.ParentHome,
	}
	if !r.Parent.IsZero() {
		m.Parent = r.Parent.Bytes()
	}
	return m
}
